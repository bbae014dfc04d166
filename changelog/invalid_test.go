package changelog_test

import (
	"testing"
	"testing/synctest"

	"persimmonworks.example/persimmonworks/changelog"
	"persimmonworks.example/persimmonworks/fleettest"
	"persimmonworks.example/persimmonworks/provider"
)

// One row that cannot be decoded is reported, and the docket goes on with the others.
func TestUndecodableRowIsLeftOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := fleettest.NewTable()
		w := newWriter(t, table, "e1")
		for n := range 4 {
			if err := w.Append(t.Context(), acceptEntries(n)); err != nil {
				t.Fatal(err)
			}
		}
		rows, err := table.Read(t.Context(), "row-", "row.")
		if err != nil {
			t.Fatal(err)
		}
		damaged := rows.Rows[2]
		_, err = table.Commit(t.Context(), changelog.Transaction{
			Require: provider.Row{Key: damaged.Key, Version: damaged.Version},
			Put:     []provider.Row{{Key: damaged.Key, Value: []byte{0xff, 0xff, 0xff}}},
		})
		if err != nil {
			t.Fatal(err)
		}
		reported := 0
		r := &changelog.Replica{Table: table, OnInvalidEntry: func(error) { reported++ }}
		if err := r.Load(t.Context()); err != nil {
			t.Fatalf("load: %v", err)
		}
		next, err := r.TakeOver(t.Context(), changelog.Owner{Name: "e2"})
		if err != nil {
			t.Fatalf("take over: %v", err)
		}
		if err := next.Append(t.Context(), acceptEntries(9)); err != nil {
			t.Fatal(err)
		}
		if reported != 1 || r.Docket().Len() != 3 {
			t.Errorf("%d rows were reported and %d jobs are known, want 1 and 3", reported, r.Docket().Len())
		}
	})
}
