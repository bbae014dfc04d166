package changelog_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"persimmonworks.example/persimmonworks/changelog"
	"persimmonworks.example/persimmonworks/docket"
	"persimmonworks.example/persimmonworks/fleettest"
	"persimmonworks.example/persimmonworks/wire"
)

func acceptEntries(n int) []*wire.DocketEntry {
	return []*wire.DocketEntry{docket.Accept(&wire.DocketAccepted{
		Job: fmt.Sprintf("%016x", n), Queue: &wire.DocketQueue{Name: "q", MaxAttempts: 1},
		Steps: []*wire.DocketStep{{Count: 1}},
	})}
}

func newReplica(t *testing.T, table changelog.Table) *changelog.Replica {
	t.Helper()
	r := &changelog.Replica{Table: table, OnInvalidEntry: func(err error) { t.Errorf("refused: %v", err) }}
	if err := r.Load(t.Context()); err != nil {
		t.Fatalf("load: %v", err)
	}
	return r
}

func newWriter(t *testing.T, table changelog.Table, name string) *changelog.Writer {
	t.Helper()
	w, err := newReplica(t, table).TakeOver(t.Context(), changelog.Owner{Name: name})
	if err != nil {
		t.Fatalf("take over: %v", err)
	}
	return w
}

func TestLostAnswers(t *testing.T) {
	for _, delay := range []time.Duration{0, 50 * time.Millisecond, 4 * time.Second} {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := fleettest.NewTable()
				w := newWriter(t, table, "e1")
				for n := range 20 {
					if n%3 == 0 {
						table.LoseAnswers(2, delay)
					}
					if err := w.Append(t.Context(), acceptEntries(n)); err != nil {
						t.Fatalf("append %d: %v", n, err)
					}
				}
				time.Sleep(10 * time.Second) // until delayed copies have arrived
				if n := newReplica(t, table).Docket().Len(); n != 20 {
					t.Errorf("%d jobs, want 20", n)
				}
			})
		})
	}
}

func TestDeposedWriterChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := fleettest.NewTable()
		first := newWriter(t, table, "e1")
		table.LoseAnswers(1, 3*time.Second) // delays the first writer's next append beyond the takeover
		expiring, cancel := context.WithTimeout(t.Context(), 15*time.Millisecond)
		defer cancel()
		if err := first.Append(expiring, acceptEntries(1)); err == nil {
			t.Fatal("append succeeded though its answer was lost")
		}
		second := newWriter(t, table, "e2")
		if second.Epoch() != first.Epoch()+1 {
			t.Errorf("epoch %d after %d", second.Epoch(), first.Epoch())
		}
		if err := first.Append(t.Context(), acceptEntries(1)); !errors.Is(err, changelog.ErrDeposed) {
			t.Errorf("append of the first writer: %v, want ErrDeposed", err)
		}
		if err := second.Append(t.Context(), acceptEntries(2)); err != nil {
			t.Errorf("append of the second writer: %v", err)
		}
		time.Sleep(5 * time.Second)
		if _, ok := newReplica(t, table).Docket().Job(fmt.Sprintf("%016x", 1)); ok {
			t.Error("the append of the deposed writer took effect")
		}
	})
}

func TestSnapshotKeepsTheTableSmall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := fleettest.NewTable()
		w := newWriter(t, table, "e1")
		follower := newReplica(t, table)
		n := 0
		for range 5 {
			for range 200 {
				if err := w.Append(t.Context(), acceptEntries(n)); err != nil {
					t.Fatal(err)
				}
				n++
			}
			if err := w.Snapshot(t.Context(), newReplica(t, table).Docket().Snapshot()); err != nil {
				t.Fatal(err)
			}
		}
		for range 40 {
			if err := w.Append(t.Context(), nil); err != nil {
				t.Fatal(err)
			}
		}
		if rows := table.Rows(); rows > 120 {
			t.Errorf("%d rows are left of %d appended", rows, n)
		}
		table.ForgetHistory()
		if err := follower.Follow(t.Context(), 0); err != nil {
			t.Fatal(err)
		}
		for _, r := range []*changelog.Replica{follower, newReplica(t, table)} {
			if got := r.Docket().Len(); got != n {
				t.Errorf("%d jobs, want %d", got, n)
			}
		}
	})
}

func TestReleaseAllowsTakeOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := fleettest.NewTable()
		w := newWriter(t, table, "e1")
		if err := w.Release(t.Context()); err != nil {
			t.Fatal(err)
		}
		r := newReplica(t, table)
		if !r.Head().GetVacant() {
			t.Error("the head is not vacant")
		}
		if _, err := r.TakeOver(t.Context(), changelog.Owner{Name: "e2"}); err != nil {
			t.Errorf("take over: %v", err)
		}
	})
}
