package changelog_test

import (
	"testing"
	"testing/synctest"
	"time"

	"persimmonworks.example/persimmonworks/fleettest"
)

// Replays a store that becomes sixty times slower at once. Repeating a transaction that
// is only slow would fill the store's queue with copies of it.
func TestSlowStoreGetsNoCopies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slow, appends = 415 * time.Millisecond, 6
		table := fleettest.NewTable()
		w := newWriter(t, table, "e1")
		for n := range 5 {
			if err := w.Append(t.Context(), acceptEntries(n)); err != nil {
				t.Fatal(err)
			}
		}
		table.SetSlow(slow)
		before := table.CommitCalls()
		for n := range appends {
			begun := time.Now()
			if err := w.Append(t.Context(), acceptEntries(100+n)); err != nil {
				t.Fatal(err)
			}
			if took := time.Since(begun); took > 2*slow {
				t.Errorf("append %d took %v, want at most %v", n, took, 2*slow)
			}
		}
		if n := table.CommitCalls() - before; n != appends {
			t.Errorf("%d transactions were sent for %d rows", n, appends)
		}
		time.Sleep(5 * time.Second)
	})
}

// A transaction whose answer is lost by a store that answers quickly is repeated soon.
func TestLostAnswerIsNoticedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := fleettest.NewTable()
		w := newWriter(t, table, "e1")
		table.HangCommits(1)
		begun := time.Now()
		if err := w.Append(t.Context(), acceptEntries(1)); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(begun); took > 400*time.Millisecond {
			t.Errorf("append took %v", took)
		}
	})
}
