package upkeep

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"persimmonworks.example/persimmonworks/chain"
	"persimmonworks.example/persimmonworks/chain/chaintest"
	"persimmonworks.example/persimmonworks/confirmation"
	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/intent"
	"persimmonworks.example/persimmonworks/pool"
	"persimmonworks.example/persimmonworks/usage"
)

// counter counts the emitted events by kind.
type counter map[*event.Event]int

func (c counter) Emit(e *event.Event, _ ...any) { c[e]++ }

// The responsible process must delete old configurations and plans and keep
// recent ones; any other process must delete nothing.
func TestUpkeepDeletesOnlyWhatIsOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var table chaintest.Table
		publisher := &chain.Publisher{Table: &table}
		c := pool.Configuration{Organisations: []pool.Organisation{{Name: "prado", Weight: 1}}}
		for n := range uint64(130) {
			c.Organisations[0].Weight = int(n) + 1
			if _, err := publisher.Publish(t.Context(), n, c, "ivana", "test"); err != nil {
				t.Fatal(err)
			}
		}
		plans := &confirmation.PlanStore{Table: &table, Publisher: publisher, State: func(context.Context) (intent.State, error) { return intent.State{}, nil }}
		propose := func(weight int) string {
			p, err := plans.Propose(t.Context(), intent.Intent{Kind: intent.SetWeight, Organisation: "prado", Weight: weight, By: "ivana"})
			if err != nil {
				t.Fatal(err)
			}
			return p.Digest()
		}
		old := propose(1000)
		time.Sleep(8 * 24 * time.Hour)
		fresh := propose(2000)
		var responsible atomic.Bool
		log := counter{}
		u := Upkeep{
			Publisher: publisher, Plans: plans, Accounts: &usage.Archive{Table: &table}, Log: log, KeepConfigurations: 1,
			Responsible: func(context.Context) bool { return responsible.Load() },
		}
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		group.Go(func() error { return u.Run(ctx) })
		time.Sleep(time.Hour)
		if _, err := plans.Plan(t.Context(), old); err != nil {
			t.Errorf("a process that is not responsible for upkeep deleted a plan: %v", err)
		}
		responsible.Store(true)
		time.Sleep(time.Hour)
		cancel()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
		if _, err := plans.Plan(t.Context(), old); err == nil {
			t.Error("the old plan was not deleted")
		}
		if _, err := plans.Plan(t.Context(), fresh); err != nil {
			t.Errorf("the recent plan cannot be read: %v", err)
		}
		past, err := plans.History(t.Context(), 1000)
		if err != nil || len(past) != chain.MinRetained {
			t.Errorf("%d configurations are kept, want %d: %v", len(past), chain.MinRetained, err)
		}
		if log[event.UpkeepDone] == 0 || log[event.UpkeepFailed] != 0 {
			t.Errorf("events %v", log)
		}
	})
}
