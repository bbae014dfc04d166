package usage

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"persimmonworks.example/persimmonworks/chain/chaintest"
	"persimmonworks.example/persimmonworks/class"
)

// Merging the records of a period must leave one record and the same totals;
// Prune must delete the oldest period.
func TestMergeKeepsTheSums(t *testing.T) {
	var table chaintest.Table
	objects := store{}
	reader := &Archive{Table: &table, Objects: objects}
	periods := []time.Time{start, start.Add(time.Minute), start.Add(2 * time.Minute)}
	for p, from := range periods {
		for process := range 5 {
			var b Book
			a := Attempt{Task: fmt.Sprint("t", process), Number: 1, Organisation: "prado", Class: class.Batch}
			b.AddUsage(a, uint64(process), from, from.Add(time.Duration(p+process+1)*time.Second), cpu(2), nil)
			b.AddUsage(Attempt{Task: "shared", Number: 1, Organisation: "prado"}, uint64(process), from, from.Add(time.Second), cpu(1), nil)
			b.AddCapacity("w", uint64(process), from, from.Add(time.Minute), cpu(8))
			archive := Archive{Table: &table, Objects: objects, Process: fmt.Sprint("e", process), Incarnation: 1}
			if err := archive.StorePart(t.Context(), p, b.Record(from, from.Add(time.Minute))); err != nil {
				t.Fatal(err)
			}
		}
	}
	load := func() Summary {
		t.Helper()
		book, err := reader.Load(t.Context(), start, start.Add(time.Hour))
		if err != nil {
			t.Fatal(err)
		}
		return book.Summary(start, start.Add(time.Hour))
	}
	before := load()
	next, replaced, err := reader.Merge(t.Context(), "", periods[2])
	if err != nil || replaced != 10 || next != "" {
		t.Fatalf("merge: %d replaced, next %q, %v", replaced, next, err)
	}
	if after := load(); !cmp.Equal(before, after) {
		t.Errorf("the sums changed: %s", cmp.Diff(before, after))
	}
	if rows, err := table.Range(t.Context(), rowPrefix, "", 100); err != nil || len(rows) != 2+5 || len(objects) != 2+5 {
		t.Errorf("%d rows and %d objects, want 7: %v", len(rows), len(objects), err)
	}
	if _, again, err := reader.Merge(t.Context(), "", periods[2]); again != 0 || err != nil {
		t.Errorf("merged again: %d, %v", again, err)
	}
	if n, err := reader.Prune(t.Context(), periods[1]); n != 1 || err != nil {
		t.Errorf("pruned %d, %v", n, err)
	}
}

// mergingStore simulates another process that merges a period after Load has
// listed its rows and before it reads their objects.
type mergingStore struct {
	store
	merge func()
}

func (s *mergingStore) Get(ctx context.Context, name string) ([]byte, error) {
	if f := s.merge; f != nil {
		s.merge = nil
		f()
	}
	return s.store.Get(ctx, name)
}

// A Load that loses the race with a Merge must read the period again and count
// it once.
func TestLoadSurvivesMerge(t *testing.T) {
	var table chaintest.Table
	objects := store{}
	for process := range 3 {
		var b Book
		b.AddUsage(Attempt{Task: fmt.Sprint("t", process), Number: 1, Organisation: "prado"}, 1, at(0), at(100), cpu(1), nil)
		b.AddCapacity("w", 1, at(0), at(1000), cpu(8))
		archive := Archive{Table: &table, Objects: objects, Process: fmt.Sprint("z", process), Incarnation: 1}
		if err := archive.StorePart(t.Context(), 0, b.Record(start, start.Add(time.Minute))); err != nil {
			t.Fatal(err)
		}
	}
	overtaken := &mergingStore{store: objects, merge: func() {
		merger := &Archive{Table: &table, Objects: objects}
		if _, n, err := merger.Merge(t.Context(), "", start.Add(time.Hour)); n != 3 || err != nil {
			t.Errorf("merged %d, %v", n, err)
		}
	}}
	book, err := (&Archive{Table: &table, Objects: overtaken}).Load(t.Context(), start, start.Add(time.Hour))
	if err != nil {
		t.Fatal(err)
	}
	if got := book.Summary(at(0), at(1000)).Reserved(); got != cpu(300) {
		t.Errorf("reserved %v, want %v", got, cpu(300))
	}
}
