package chain

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"golang.org/x/sync/errgroup"

	"persimmonworks.example/persimmonworks/chain/chaintest"
	"persimmonworks.example/persimmonworks/provider"
)

// call is the input of an operation: a publication based on base, or a read if
// nonce is empty.
type call struct {
	base  uint64
	nonce string
}

type result string

const (
	won     result = "won"
	refused result = "refused" // known not to be published
	unknown result = "unknown"
)

// answer is the output of an operation: the result of a publication, or the
// entry that a read returned.
type answer struct {
	result result
	number uint64
	nonce  string
}

// top is the state of the model: the newest entry.
type top struct {
	number uint64
	nonce  string
}

// headModel models the chain's head as a single compare-and-swap register. A
// publication with an unknown result may or may not take effect.
var headModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{top{}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(top), input.(call), output.(answer)
		after := top{in.base + 1, in.nonce}
		switch {
		case in.nonce == "":
			if out.number == s.number && out.nonce == s.nonce {
				return []any{s}
			}
		case out.result == won:
			if s.number == in.base {
				return []any{after}
			}
		case out.result == refused:
			return []any{s}
		case s.number == in.base:
			return []any{s, after}
		default:
			return []any{s}
		}
		return nil
	},
}

// history records operations with timestamps of a logical clock.
type history struct {
	mu    sync.Mutex
	clock int64
	ops   []porcupine.Operation
}

func (h *history) tick() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.clock++
	return h.clock
}

func (h *history) add(client int, at int64, in call, out answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.clock++
	op := porcupine.Operation{ClientId: client, Input: in, Call: at, Output: out, Return: h.clock}
	if out.result == unknown {
		op.Return = math.MaxInt64 // it may take effect at any time after the call
	}
	h.ops = append(h.ops, op)
}

func (h *history) client(t *testing.T, table provider.Table, id, calls int, seed uint64) error {
	r := rand.New(rand.NewPCG(seed, uint64(id)))
	for i := range calls {
		at := h.tick()
		newest, err := Newest(t.Context(), table)
		if err != nil {
			continue
		}
		h.add(id, at, call{}, answer{number: newest.Number, nonce: newest.Nonce})
		nonce := fmt.Sprintf("%d-%d", id, i)
		in := call{base: newest.Number - min(newest.Number, r.Uint64N(2)), nonce: nonce}
		p := Publisher{Table: table, Nonce: func() string { return nonce }, RetryDelay: time.Nanosecond}
		at = h.tick()
		_, err = p.Publish(t.Context(), in.base, withWeight(1), nonce, "test")
		out := answer{result: refused}
		switch {
		case err == nil:
			out.result = won
		case errors.Is(err, provider.ErrOutcomeUnknown):
			out.result = unknown
		}
		h.add(id, at, in, out)
	}
	return nil
}

// fault draws the fault for a call. If lossy is set, most commits lose their
// responses, so that some publications stay unknown after all retries.
func fault(r *rand.Rand, call string, lossy bool) chaintest.Fault {
	if lossy && call == "commit" && r.IntN(6) > 0 {
		return []chaintest.Fault{chaintest.LostBefore, chaintest.LostBefore, chaintest.LostBefore, chaintest.Late}[r.IntN(4)]
	}
	return faults[r.IntN(len(faults))]
}

func TestHeadIsLinearizable(t *testing.T) {
	const seeds, clients, calls = 100, 4, 8
	counts := make(map[result]int)
	for seed := range uint64(seeds) {
		r := rand.New(rand.NewPCG(seed, 20261204))
		table := chaintest.Table{Fault: func(call string) chaintest.Fault { return fault(r, call, seed%2 == 1) }}
		var h history
		var g errgroup.Group
		for id := range clients {
			g.Go(func() error { return h.client(t, &table, id, calls, seed) })
		}
		_ = g.Wait()
		for _, op := range h.ops {
			counts[op.Output.(answer).result]++
		}
		if !porcupine.CheckOperations(headModel.ToModel(), h.ops) {
			t.Fatalf("seed %d: not linearizable: %+v", seed, h.ops)
		}
	}
	if counts[won] == 0 || counts[refused] == 0 || counts[unknown] == 0 {
		t.Errorf("not every result occurred: %v", counts)
	}
	t.Logf("results %v", counts)
}

// TestModelRefusesBrokenHistories checks that the model rejects histories that
// are not linearizable; otherwise TestHeadIsLinearizable would prove nothing.
func TestModelRefusesBrokenHistories(t *testing.T) {
	twice := []porcupine.Operation{
		{ClientId: 0, Input: call{0, "a"}, Call: 1, Output: answer{result: won, number: 1}, Return: 2},
		{ClientId: 1, Input: call{0, "b"}, Call: 3, Output: answer{result: won, number: 1}, Return: 4},
	}
	reverted := []porcupine.Operation{
		{ClientId: 0, Input: call{0, "a"}, Call: 1, Output: answer{result: won, number: 1}, Return: 2},
		{ClientId: 1, Input: call{}, Call: 3, Output: answer{}, Return: 4},
	}
	for name, ops := range map[string][]porcupine.Operation{"two winners": twice, "reverted read": reverted} {
		if porcupine.CheckOperations(headModel.ToModel(), ops) {
			t.Errorf("%s: accepted as linearizable", name)
		}
	}
}
