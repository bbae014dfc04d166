package confirmation

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"golang.org/x/sync/errgroup"

	"persimmonworks.example/persimmonworks/chain"
	"persimmonworks.example/persimmonworks/chain/chaintest"
	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/intent"
	"persimmonworks.example/persimmonworks/pool"
	"persimmonworks.example/persimmonworks/provider"
	"persimmonworks.example/persimmonworks/resource"
)

// smallPool returns a state with two workers on two racks and a runner.
func smallPool() intent.State {
	cores := func(n int64) resource.Vector {
		return resource.Vector{MilliCPU: n * resource.MilliPerCore, MemoryMB: n * 1024}
	}
	return intent.State{
		Configuration: pool.Configuration{Organisations: []pool.Organisation{
			{Name: "prado", Weight: 1}, {Name: "returns", Weight: 1},
		}},
		Hosts: []intent.Host{
			{ID: "w3", Kind: provider.KindWorker, Rack: "r2", DataCentre: "sofia", Capacity: cores(8)},
			{ID: "w1", Kind: provider.KindWorker, Rack: "r1", DataCentre: "sofia", Capacity: cores(8)},
			{ID: "u1", Kind: provider.KindRunner, Rack: "r1", DataCentre: "sofia"},
		},
		Attempts: []intent.Attempt{
			{Task: "b", Number: 2, Organisation: "returns", Class: class.Batch, Host: "w1", Demand: cores(6), Checkpointable: true},
		},
	}
}

// newPlanStore publishes the configuration of smallPool and returns a PlanStore on table.
func newPlanStore(t *testing.T, table *chaintest.Table) *PlanStore {
	t.Helper()
	p := chain.Publisher{Table: table}
	if _, err := p.Publish(t.Context(), 0, smallPool().Configuration, "ivana", "first"); err != nil {
		t.Fatal(err)
	}
	return &PlanStore{
		Table:     table,
		State:     func(context.Context) (intent.State, error) { return smallPool(), nil },
		Publisher: &chain.Publisher{Table: table, RetryDelay: time.Nanosecond},
		Now:       func() time.Time { return time.Unix(1_790_000_000, 0).UTC() },
	}
}

func propose(t *testing.T, store *PlanStore, in intent.Intent) string {
	t.Helper()
	p, err := store.Propose(t.Context(), in)
	if err != nil {
		t.Fatal(err)
	}
	return p.Digest()
}

func weightOf(t *testing.T, table *chaintest.Table, name string) int {
	t.Helper()
	e, err := chain.Newest(t.Context(), table)
	if err != nil {
		t.Fatal(err)
	}
	return e.Configuration.Organisation(name).Weight
}

func TestConfirmUndoAndHistory(t *testing.T) {
	var table chaintest.Table
	store := newPlanStore(t, &table)
	heavier := propose(t, store, intent.Intent{Kind: intent.SetWeight, Organisation: "prado", Weight: 4, By: "ivana"})
	drain := propose(t, store, intent.Intent{Kind: intent.DrainRack, Target: "r1", By: "oto"})
	rival := propose(t, store, intent.Intent{Kind: intent.SetWeight, Organisation: "prado", Weight: 5, By: "oto"})
	if weightOf(t, &table, "prado") != 1 {
		t.Fatal("a proposal changed the configuration")
	}
	for range 2 { // a repeated confirmation has no further effect
		if number, err := store.Confirm(t.Context(), heavier, "ivana"); number != 2 || err != nil {
			t.Fatalf("Confirm = %d, %v", number, err)
		}
	}
	var confirmed *ConfirmedError
	if _, err := store.Confirm(t.Context(), heavier, "oto"); !errors.As(err, &confirmed) || confirmed.By != "ivana" {
		t.Errorf("second operator confirms the same plan: %v", err)
	}
	var raced *chain.RaceError
	if _, err := store.Confirm(t.Context(), rival, "oto"); !errors.Is(err, intent.ErrStale) || !errors.As(err, &raced) || raced.By != "ivana" {
		t.Errorf("confirm a conflicting plan: %v", err)
	}
	if number, err := store.Confirm(t.Context(), drain, "oto"); number != 3 || err != nil {
		t.Errorf("confirm a plan that touches other parts: %d, %v", number, err)
	}
	if _, err := store.Confirm(t.Context(), "ff", "oto"); !errors.Is(err, ErrPlanNotFound) {
		t.Errorf("confirm an unknown digest: %v", err)
	}
	back, err := store.Undo(t.Context(), 2, "ivana")
	if err != nil {
		t.Fatal(err)
	}
	if number, err := store.Confirm(t.Context(), back.Digest(), "ivana"); number != 4 || err != nil {
		t.Fatalf("undo: %d, %v", number, err)
	}
	if _, err := store.Undo(t.Context(), 99, "ivana"); !errors.Is(err, provider.ErrNotFound) || !strings.Contains(err.Error(), "configuration 99") {
		t.Errorf("undo of an unpublished number: %v", err)
	}
	entries, err := store.History(t.Context(), 2)
	if err != nil || len(entries) != 2 || entries[0].Why != "undo configuration 2" || entries[1].By != "oto" {
		t.Errorf("history %v, %v", entries, err)
	}
	c := entries[0].Configuration
	if c.Organisation("prado").Weight != 1 || len(c.Drains) != 1 {
		t.Errorf("after the undo: %+v", c)
	}
	if _, err := store.Undo(t.Context(), 2, "ivana"); !errors.Is(err, intent.ErrInvalid) {
		t.Errorf("second undo of the same configuration: %v", err)
	}
}

func TestUndoRefusesWhatChangedAgain(t *testing.T) {
	var table chaintest.Table
	store := newPlanStore(t, &table)
	for i := range 2 {
		digest := propose(t, store, intent.Intent{Kind: intent.SetWeight, Organisation: "prado", Weight: 4 + i, By: "ivana"})
		if _, err := store.Confirm(t.Context(), digest, "ivana"); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := store.Undo(t.Context(), 2, "oto"); !errors.Is(err, intent.ErrInvalid) {
		t.Errorf("undo of a change that a later configuration overwrote: %v", err)
	}
}

func TestPruneDeletesOldPlansOnly(t *testing.T) {
	var table chaintest.Table
	store := newPlanStore(t, &table)
	old := propose(t, store, intent.Intent{Kind: intent.SetWeight, Organisation: "prado", Weight: 2, By: "ivana"})
	young := propose(t, store, intent.Intent{Kind: intent.SetWeight, Organisation: "prado", Weight: 3, By: "ivana", At: store.Now().Add(time.Hour)})
	deleted, next, err := store.Prune(t.Context(), store.Now().Add(time.Minute), "")
	if deleted != 1 || next != "" || err != nil {
		t.Errorf("Prune = %d, %q, %v", deleted, next, err)
	}
	if _, err := store.Confirm(t.Context(), old, "ivana"); !errors.Is(err, ErrPlanNotFound) {
		t.Errorf("confirm the deleted plan: %v", err)
	}
	if _, err := store.Confirm(t.Context(), young, "ivana"); err != nil {
		t.Errorf("confirm the remaining plan: %v", err)
	}
}

// Results of a confirmation in a recorded history.
const (
	won      = "won"
	lost     = "lost"   // refused with the name of the operator who won
	noEffect = "failed" // known to have no effect, no winner named
	unknown  = "unknown"
)

// confirmModel is a register that holds the digest of the confirmed plan. Only
// one of the conflicting plans can be confirmed, any number of times by its own
// operator. A confirmation with an unknown result may or may not take effect.
var confirmModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		winner, digest := state.(string), input.(string)
		free := winner == "" || winner == digest
		switch output.(string) {
		case won:
			if free {
				return []any{digest}
			}
		case lost:
			if !free {
				return []any{winner}
			}
		case unknown:
			if free {
				return []any{winner, digest}
			}
			return []any{winner}
		default:
			return []any{winner}
		}
		return nil
	},
}

// confirmConcurrently runs one operator per plan, each of which confirms its
// plan three times, and returns the recorded operations.
func confirmConcurrently(t *testing.T, store *PlanStore, plans []string) []porcupine.Operation {
	var mu sync.Mutex
	var clock int64
	var ops []porcupine.Operation
	tick := func() int64 {
		mu.Lock()
		defer mu.Unlock()
		clock++
		return clock
	}
	var g errgroup.Group
	for i, digest := range plans {
		g.Go(func() error {
			for range 3 {
				at := tick()
				_, err := store.Confirm(t.Context(), digest, fmt.Sprint("operator-", i))
				op := porcupine.Operation{ClientId: i, Input: digest, Call: at, Output: result(err), Return: tick()}
				if op.Output == unknown {
					op.Return = math.MaxInt64
				}
				mu.Lock()
				ops = append(ops, op)
				mu.Unlock()
			}
			return nil
		})
	}
	_ = g.Wait()
	return ops
}

func result(err error) string {
	var raced *chain.RaceError
	switch {
	case err == nil:
		return won
	case errors.As(err, &raced):
		return lost
	case errors.Is(err, provider.ErrOutcomeUnknown):
		return unknown
	}
	return noEffect
}

// fault draws the fault for a call. If lossy is set, every commit loses its
// response, so that some confirmations stay unknown after all retries.
func fault(r *rand.Rand, call string, lossy bool) chaintest.Fault {
	faults := []chaintest.Fault{
		chaintest.None, chaintest.None, chaintest.Unavailable, chaintest.LostBefore, chaintest.LostAfter, chaintest.Late,
	}
	if lossy && call == "commit" {
		faults = []chaintest.Fault{chaintest.LostBefore, chaintest.LostBefore, chaintest.LostBefore, chaintest.LostBefore, chaintest.Late}
	}
	return faults[r.IntN(len(faults))]
}

func TestOneOfRacingConfirmationsWins(t *testing.T) {
	counts := make(map[string]int)
	for seed := range uint64(200) {
		var table chaintest.Table
		store := newPlanStore(t, &table)
		var plans []string
		for i := range 4 {
			by := fmt.Sprint("operator-", i)
			plans = append(plans, propose(t, store, intent.Intent{Kind: intent.SetWeight, Organisation: "prado", Weight: 2 + i, By: by}))
		}
		r := rand.New(rand.NewPCG(seed, 20261204))
		table.Fault = func(call string) chaintest.Fault { return fault(r, call, seed%2 == 1) }
		ops := confirmConcurrently(t, store, plans)
		for _, op := range ops {
			counts[op.Output.(string)]++
		}
		if !porcupine.CheckOperations(confirmModel.ToModel(), ops) {
			t.Fatalf("seed %d: not linearizable: %+v", seed, ops)
		}
		table.Fault = nil
		table.ApplyLate()
		if e, err := chain.Newest(t.Context(), &table); err != nil || e.Number > 2 {
			t.Fatalf("seed %d: %d configurations, %v", seed, e.Number, err)
		}
	}
	if counts[won] == 0 || counts[lost] == 0 || counts[unknown] == 0 {
		t.Errorf("not every result occurred: %v", counts)
	}
	t.Logf("results %v", counts)
}
