package placement

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"persimmonworks.example/persimmonworks/resource"
)

func cores(n int64) resource.Vector {
	return resource.Vector{MilliCPU: n * resource.MilliPerCore, MemoryMB: n * 2048}
}

func rack(t testing.TB, s *Shard, workers int, capacity resource.Vector) {
	t.Helper()
	for n := range workers {
		if err := s.AddWorker(Worker{ID: fmt.Sprint("w", n), Rack: "r", Capacity: capacity}); err != nil {
			t.Fatal(err)
		}
	}
}

// A worker is never given more than its capacity; a placed task fits; a task
// that fits on an open worker is placed; a closed worker takes nothing; and
// what is freed is free again.
func TestShardNeverExceedsCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Shard{Policy: rapid.SampledFrom([]Policy{nil, BestFit{}, FirstFit{}, Random{}}).Draw(t, "policy")}
		capacity := resource.Vector{MilliCPU: 16000, MemoryMB: 32768, Accelerators: 2}
		for n := range 4 {
			_ = s.AddWorker(Worker{ID: fmt.Sprint("w", n), Capacity: capacity})
		}
		rng := rand.New(rand.NewPCG(1, 1))
		model := map[string]Task{}
		on := map[string]string{}
		closed := map[string]bool{}
		used := func(worker string) (v resource.Vector) {
			for id, w := range on {
				if w == worker {
					v = v.Add(model[id].Demand)
				}
			}
			return v
		}
		next := 0
		t.Repeat(map[string]func(*rapid.T){
			"place": func(t *rapid.T) {
				next++
				task := Task{ID: fmt.Sprint("t", next), Demand: resource.Vector{
					MilliCPU:     rapid.Int64Range(0, 17000).Draw(t, "cpu"),
					MemoryMB:     rapid.Int64Range(0, 33000).Draw(t, "memory"),
					Accelerators: rapid.Int64Range(0, 2).Draw(t, "accelerators"),
				}}
				worker, err := s.Place(task, rng)
				if err == nil {
					if closed[worker] {
						t.Fatalf("%s is closed and was given %v", worker, task)
					}
					model[task.ID], on[task.ID] = task, worker
					return
				}
				for n := range 4 {
					w := fmt.Sprint("w", n)
					if !closed[w] && capacity.Sub(used(w)).Covers(task.Demand) {
						t.Fatalf("%v fits on %s, but: %v", task.Demand, w, err)
					}
				}
			},
			"free": func(t *rapid.T) {
				id := fmt.Sprint("t", rapid.IntRange(0, max(1, next)).Draw(t, "task"))
				if _, ok := on[id]; s.Free(id) != ok {
					t.Fatalf("task %s is placed: %v, but Free says otherwise", id, ok)
				}
				delete(on, id)
			},
			"close": func(t *rapid.T) {
				w := fmt.Sprint("w", rapid.IntRange(0, 3).Draw(t, "worker"))
				closed[w] = rapid.Bool().Draw(t, "closed")
				if closed[w] {
					_ = s.Close(w, "drain")
				} else {
					_ = s.Open(w)
				}
			},
			"": func(t *rapid.T) {
				var largest resource.Vector
				for n := range 4 {
					w := fmt.Sprint("w", n)
					free, _ := s.FreeOn(w)
					if want := capacity.Sub(used(w)); free != want || free.Negative() {
						t.Fatalf("%s has %v free, want %v", w, free, want)
					}
					if !closed[w] {
						largest = largest.Max(free)
					}
				}
				if s.Largest() != largest {
					t.Fatalf("the largest free amounts are %v, want %v", s.Largest(), largest)
				}
			},
		})
	})
}

// Whatever long work is offered, the reserved share of the shard stays free of
// it, so that short work never waits behind long work; and a long task that
// needs a whole worker can still run.
func TestReserveForShortWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Shard{Reserve: 0.125}
		for n := range 8 {
			_ = s.AddWorker(Worker{ID: fmt.Sprint("w", n), Capacity: cores(16)})
		}
		rng := rand.New(rand.NewPCG(1, 1))
		if _, err := s.Place(Task{ID: "whole", Demand: cores(16), Long: true}, rng); err != nil {
			t.Fatalf("a whole worker is free, but: %v", err)
		}
		for n, c := range rapid.SliceOfN(rapid.Int64Range(1, 16), 50, 200).Draw(t, "cores") {
			covered := s.LargestLong().Covers(cores(c))
			if _, err := s.Place(Task{ID: fmt.Sprint("long", n), Demand: cores(c), Long: true}, rng); (err == nil) != covered {
				t.Fatalf("%d cores are advertised to long work: %v, but: %v", c, covered, err)
			}
		}
		for n := range 16 {
			if _, err := s.Place(Task{ID: fmt.Sprint("short", n), Demand: cores(1)}, rng); err != nil {
				t.Fatalf("short task %d of 16 waits behind long work: %v", n+1, err)
			}
		}
	})
}

// Work that has outlasted its estimate counts against what long work may
// take, so that it does not use up the reserve for good.
func TestOutlastingWorkCountsAsLong(t *testing.T) {
	s := Shard{Reserve: 0.25}
	rng := rand.New(rand.NewPCG(1, 1))
	rack(t, &s, 2, cores(8))
	for n := range 16 {
		if _, err := s.Place(Task{ID: fmt.Sprint(n), Demand: cores(1), Long: n >= 4}, rng); err != nil {
			t.Fatal(err)
		}
	}
	if !s.MarkLong("0") || s.MarkLong("0") || s.MarkLong("absent") {
		t.Error("task 0 was not marked exactly once")
	}
	s.Free("15")
	if _, err := s.Place(Task{ID: "long", Demand: cores(1), Long: true}, rng); !errors.Is(err, ErrNoRoom) {
		t.Errorf("long work holds 12 of 16 cores, 4 are reserved, but: %v", err)
	}
	s.Free("0")
	if _, err := s.Place(Task{ID: "long", Demand: cores(1), Long: true}, rng); err != nil {
		t.Errorf("long work holds 11 of 16 cores, 4 are reserved, but: %v", err)
	}
}

// Restore counts what is there even beyond the capacity, and nothing more is
// placed until there is room again.
func TestRestoreBeyondCapacity(t *testing.T) {
	var s Shard
	rack(t, &s, 1, cores(4))
	rng := rand.New(rand.NewPCG(1, 1))
	for _, id := range []string{"a", "b"} {
		if err := s.Restore(Task{ID: id, Demand: cores(3)}, "w0"); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := s.Place(Task{ID: "c"}, rng); !errors.Is(err, ErrNoRoom) {
		t.Errorf("a worker with 6 of 4 cores taken was given a task: %v", err)
	}
	if err := s.Restore(Task{ID: "a"}, "w0"); err == nil {
		t.Error("task a was counted twice")
	}
	s.Free("a")
	if _, err := s.Place(Task{ID: "c", Demand: cores(1)}, rng); err != nil {
		t.Errorf("1 of 4 cores is free, but: %v", err)
	}
	if lost := s.RemoveWorker("w0"); fmt.Sprint(lost) != "[b c]" || s.Free("b") || s.Fits(Task{}) {
		t.Errorf("the removed worker still counts, or lost %v", lost)
	}
}

// Best fit keeps whole workers free for large tasks, where random does not;
// services spread over workers; and what is too large is told from what
// merely waits.
func TestPolicies(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	var s Shard
	rack(t, &s, 8, cores(16))
	for n := range 16 {
		if _, err := s.Place(Task{ID: fmt.Sprint("small", n), Demand: cores(1)}, rng); err != nil {
			t.Fatal(err)
		}
	}
	for n := range 7 {
		if _, err := s.Place(Task{ID: fmt.Sprint("large", n), Demand: cores(16)}, rng); err != nil {
			t.Fatalf("large task %d of 7 finds no whole worker: %v", n+1, err)
		}
	}
	if _, err := s.Place(Task{ID: "later", Demand: cores(16)}, rng); !errors.Is(err, ErrNoRoom) {
		t.Errorf("the error is %v, want ErrNoRoom", err)
	}
	if _, err := s.Place(Task{ID: "never", Demand: cores(17)}, rng); !errors.Is(err, ErrTooLarge) {
		t.Errorf("the error is %v, want ErrTooLarge", err)
	}
	var spread Shard
	rack(t, &spread, 4, cores(16))
	seen := map[string]bool{}
	for n := range 4 {
		w, err := spread.Place(Task{ID: fmt.Sprint(n), Demand: cores(1), Spread: "web"}, rng)
		if err != nil || seen[w] {
			t.Errorf("replica %d is on worker %q, which has one already (%v)", n, w, err)
		}
		seen[w] = true
	}
}

// An earmarked worker takes no other long task, so a large task fits once
// what runs there has ended, whatever small tasks arrive.
func TestEarmarkBoundsTheWait(t *testing.T) {
	var s Shard
	rng := rand.New(rand.NewPCG(1, 1))
	rack(t, &s, 2, cores(8))
	for n := range 16 {
		if _, err := s.Place(Task{ID: fmt.Sprint(n), Demand: cores(1), Long: true}, rng); err != nil {
			t.Fatal(err)
		}
	}
	large := Task{ID: "large", Demand: cores(8), Long: true}
	kept, err := s.Earmark(large, nobody)
	if err != nil {
		t.Fatal(err)
	}
	for n := range 16 {
		s.Free(fmt.Sprint(n))
		_, _ = s.Place(Task{ID: fmt.Sprint("again", n), Demand: cores(1), Long: true}, rng)
	}
	if w, err := s.Place(large, rng); err != nil || w != kept {
		t.Errorf("the large task is on %q (%v), want %q", w, err, kept)
	}
	if s.Unmark("large") {
		t.Error("the earmark outlives the placement")
	}
	if again, err := s.Earmark(Task{ID: "next", Demand: cores(8), Long: true}, nobody); err != nil || again == kept {
		t.Errorf("the worker of a task as large is kept (%q, %v), which would come free for it anyway", again, err)
	}
}

// nobody is an organisation's claim on the workers that it holds.
func nobody(string) bool { return false }

// Of two workers that lack as much, the one is kept that holds tasks of an
// organisation which has its share.
func TestEarmarkSparesTheOwed(t *testing.T) {
	for _, owed := range []string{"a", "b"} {
		var s Shard
		rng := rand.New(rand.NewPCG(1, 1))
		rack(t, &s, 2, cores(8))
		on := make(map[string]string)
		for n := range 16 {
			owner := string(rune('a' + n/8))
			w, err := s.Place(Task{ID: fmt.Sprint(n), Demand: cores(1), Long: true, Owner: owner}, rng)
			if err != nil {
				t.Fatal(err)
			}
			on[w] += owner
		}
		kept, err := s.Earmark(Task{ID: "large", Demand: cores(8), Long: true, Owner: "c"}, func(o string) bool { return o == owed })
		if err != nil || on[kept] == strings.Repeat(owed, 8) {
			t.Errorf("%q is owed and worker %q is kept, with tasks of %q (%v)", owed, kept, on[kept], err)
		}
	}
}
