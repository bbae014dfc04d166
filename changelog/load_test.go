package changelog_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"persimmonworks.example/persimmonworks/changelog"
	"persimmonworks.example/persimmonworks/fleettest"
)

// After a power failure of all hosts, reading a docket over a weak link took longer than
// one attempt may take; each attempt began anew, so that none ever ended.
func TestLoadGoesOnWhereItStopped(t *testing.T) {
	for _, snapshot := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			table := fleettest.NewTable()
			w := newWriter(t, table, "e1")
			const rows = 60
			for n := range rows {
				if err := w.Append(t.Context(), acceptEntries(n)); err != nil {
					t.Fatal(err)
				}
			}
			if snapshot {
				r := &changelog.Replica{Table: table}
				if err := r.Load(t.Context()); err != nil {
					t.Fatal(err)
				}
				if err := w.Snapshot(t.Context(), r.Docket().Snapshot()); err != nil {
					t.Fatal(err)
				}
			}
			const pageTime, attempt, most = 400 * time.Millisecond, 1500 * time.Millisecond, 20
			table.SetPage(10)
			table.SetSlow(pageTime)
			r := &changelog.Replica{Table: table}
			attempts := 0
			for err := context.DeadlineExceeded; err != nil && attempts < most; attempts++ {
				ctx, cancel := context.WithTimeout(t.Context(), attempt)
				_, err = r.TakeOver(ctx, changelog.Owner{Name: "e2", Address: "10.0.0.2:1"})
				cancel()
			}
			if attempts == most {
				t.Fatalf("not loaded after %d attempts", attempts)
			}
			if n := r.Docket().Len(); n != rows {
				t.Errorf("%d jobs, want %d", n, rows)
			}
			time.Sleep(5 * time.Second)
		})
	}
}
