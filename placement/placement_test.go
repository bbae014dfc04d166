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

func addWorkers(t testing.TB, s *Shard, workers int, capacity resource.Vector) {
	t.Helper()
	for n := range workers {
		if err := s.AddWorker(Worker{ID: fmt.Sprint("w", n), Rack: "r", Capacity: capacity}); err != nil {
			t.Fatal(err)
		}
	}
}

// Compares a shard with a model under random calls of Place, Release, Close and Open.
// It guards against overcommitted workers, tasks placed on closed workers, tasks
// refused although an open worker has enough free capacity, and capacity that is
// not returned by Release.
func TestShardNeverExceedsCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Shard{Policy: rapid.SampledFrom([]Policy{nil, BestFit{}, FirstFit{}, Random{}}).Draw(t, "policy")}
		capacity := resource.Vector{MilliCPU: 16000, MemoryMB: 32768, Accelerators: 2}
		for n := range 4 {
			_ = s.AddWorker(Worker{ID: fmt.Sprint("w", n), Capacity: capacity})
		}
		rng := rand.New(rand.NewPCG(1, 1))
		model := map[string]Task{}
		placedOn := map[string]string{}
		closed := map[string]bool{}
		used := func(worker string) (v resource.Vector) {
			for id, w := range placedOn {
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
						t.Fatalf("closed worker %s was given task %v", worker, task)
					}
					model[task.ID], placedOn[task.ID] = task, worker
					return
				}
				for n := range 4 {
					w := fmt.Sprint("w", n)
					if !closed[w] && capacity.Sub(used(w)).Covers(task.Demand) {
						t.Fatalf("demand %v fits on worker %s, but Place failed: %v", task.Demand, w, err)
					}
				}
			},
			"free": func(t *rapid.T) {
				id := fmt.Sprint("t", rapid.IntRange(0, max(1, next)).Draw(t, "task"))
				if _, ok := placedOn[id]; s.Release(id) != ok {
					t.Fatalf("task %s is placed: %v, but Release reported the opposite", id, ok)
				}
				delete(placedOn, id)
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
						t.Fatalf("worker %s has %v free, want %v", w, free, want)
					}
					if !closed[w] {
						largest = largest.Max(free)
					}
				}
				if s.Largest() != largest {
					t.Fatalf("Largest returned %v, want %v", s.Largest(), largest)
				}
			},
		})
	})
}

// Places random long tasks, and checks that the reserved share of the shard stays
// free for short tasks, that LargestLong agrees with Place, and that the reserve
// does not keep out a long task that needs a whole worker.
func TestReserveForShortWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Shard{Reserve: 0.125}
		for n := range 8 {
			_ = s.AddWorker(Worker{ID: fmt.Sprint("w", n), Capacity: cores(16)})
		}
		rng := rand.New(rand.NewPCG(1, 1))
		if _, err := s.Place(Task{ID: "whole", Demand: cores(16), Long: true}, rng); err != nil {
			t.Fatalf("all workers are free, but a long task for a whole worker was refused: %v", err)
		}
		for n, c := range rapid.SliceOfN(rapid.Int64Range(1, 16), 50, 200).Draw(t, "cores") {
			covered := s.LargestLong().Covers(cores(c))
			if _, err := s.Place(Task{ID: fmt.Sprint("long", n), Demand: cores(c), Long: true}, rng); (err == nil) != covered {
				t.Fatalf("LargestLong covers %d cores: %v, but Place returned: %v", c, covered, err)
			}
		}
		for n := range 16 {
			if _, err := s.Place(Task{ID: fmt.Sprint("short", n), Demand: cores(1)}, rng); err != nil {
				t.Fatalf("short task %d of 16 does not fit beside long tasks: %v", n+1, err)
			}
		}
	})
}

// A task marked as long counts towards the capacity used by long tasks. Otherwise
// short tasks that run longer than estimated would occupy the reserve while
// further long tasks start.
func TestOutlastingWorkCountsAsLong(t *testing.T) {
	s := Shard{Reserve: 0.25}
	rng := rand.New(rand.NewPCG(1, 1))
	addWorkers(t, &s, 2, cores(8))
	for n := range 16 {
		if _, err := s.Place(Task{ID: fmt.Sprint(n), Demand: cores(1), Long: n >= 4}, rng); err != nil {
			t.Fatal(err)
		}
	}
	if !s.MarkLong("0") || s.MarkLong("0") || s.MarkLong("absent") {
		t.Error("MarkLong did not mark task 0 exactly once")
	}
	s.Release("15")
	if _, err := s.Place(Task{ID: "long", Demand: cores(1), Long: true}, rng); !errors.Is(err, ErrNoCapacity) {
		t.Errorf("long tasks use 12 of 16 cores and 4 are reserved: got error %v, want ErrNoCapacity", err)
	}
	s.Release("0")
	if _, err := s.Place(Task{ID: "long", Demand: cores(1), Long: true}, rng); err != nil {
		t.Errorf("long tasks use 11 of 16 cores and 4 are reserved, but Place failed: %v", err)
	}
}

// Restore may overcommit a worker. No further task is placed there until enough
// capacity is free again.
func TestRestoreBeyondCapacity(t *testing.T) {
	var s Shard
	addWorkers(t, &s, 1, cores(4))
	rng := rand.New(rand.NewPCG(1, 1))
	for _, id := range []string{"a", "b"} {
		if err := s.Restore(Task{ID: id, Demand: cores(3)}, "w0"); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := s.Place(Task{ID: "c"}, rng); !errors.Is(err, ErrNoCapacity) {
		t.Errorf("Place on a worker with 6 of 4 cores allocated returned %v, want ErrNoCapacity", err)
	}
	if err := s.Restore(Task{ID: "a"}, "w0"); err == nil {
		t.Error("Restore accepted task a twice")
	}
	s.Release("a")
	if _, err := s.Place(Task{ID: "c", Demand: cores(1)}, rng); err != nil {
		t.Errorf("1 of 4 cores is free, but Place failed: %v", err)
	}
	if lost := s.RemoveWorker("w0"); fmt.Sprint(lost) != "[b c]" || s.Release("b") || s.Fits(Task{}) {
		t.Errorf("RemoveWorker returned %v, want [b c], or the worker is still in use", lost)
	}
}

// The default policy packs small tasks so that whole workers stay free for large
// ones, and spreads tasks with the same spread key over the workers. The error
// distinguishes a task that can never fit from one that does not fit now.
func TestPolicies(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	var s Shard
	addWorkers(t, &s, 8, cores(16))
	for n := range 16 {
		if _, err := s.Place(Task{ID: fmt.Sprint("small", n), Demand: cores(1)}, rng); err != nil {
			t.Fatal(err)
		}
	}
	for n := range 7 {
		if _, err := s.Place(Task{ID: fmt.Sprint("large", n), Demand: cores(16)}, rng); err != nil {
			t.Fatalf("large task %d of 7 found no empty worker: %v", n+1, err)
		}
	}
	if _, err := s.Place(Task{ID: "later", Demand: cores(16)}, rng); !errors.Is(err, ErrNoCapacity) {
		t.Errorf("got error %v, want ErrNoCapacity", err)
	}
	if _, err := s.Place(Task{ID: "never", Demand: cores(17)}, rng); !errors.Is(err, ErrTooLarge) {
		t.Errorf("got error %v, want ErrTooLarge", err)
	}
	var spread Shard
	addWorkers(t, &spread, 4, cores(16))
	seen := map[string]bool{}
	for n := range 4 {
		w, err := spread.Place(Task{ID: fmt.Sprint(n), Demand: cores(1), SpreadKey: "web"}, rng)
		if err != nil || seen[w] {
			t.Errorf("replica %d was placed on worker %q, which already has one (error: %v)", n, w, err)
		}
		seen[w] = true
	}
}

// An earmarked worker accepts no other long task. A large task therefore fits as
// soon as the tasks that were running there have ended, even if small tasks keep
// arriving.
func TestEarmarkBoundsTheWait(t *testing.T) {
	var s Shard
	rng := rand.New(rand.NewPCG(1, 1))
	addWorkers(t, &s, 2, cores(8))
	for n := range 16 {
		if _, err := s.Place(Task{ID: fmt.Sprint(n), Demand: cores(1), Long: true}, rng); err != nil {
			t.Fatal(err)
		}
	}
	large := Task{ID: "large", Demand: cores(8), Long: true}
	earmarked, err := s.Earmark(large, nobody)
	if err != nil {
		t.Fatal(err)
	}
	for n := range 16 {
		s.Release(fmt.Sprint(n))
		_, _ = s.Place(Task{ID: fmt.Sprint("again", n), Demand: cores(1), Long: true}, rng)
	}
	if w, err := s.Place(large, rng); err != nil || w != earmarked {
		t.Errorf("the large task was placed on %q (error: %v), want %q", w, err, earmarked)
	}
	if s.ClearEarmark("large") {
		t.Error("the earmark still exists after the placement")
	}
	if again, err := s.Earmark(Task{ID: "next", Demand: cores(8), Long: true}, nobody); err != nil || again == earmarked {
		t.Errorf("Earmark returned %q (error: %v), want a worker that is not freed by the end of a single task", again, err)
	}
}

// nobody reports that no organisation is below its share.
func nobody(string) bool { return false }

// Of two workers with the same missing capacity, Earmark chooses the one whose
// tasks belong to an organisation that is not below its share.
func TestEarmarkSparesTheOwed(t *testing.T) {
	for _, belowShare := range []string{"a", "b"} {
		var s Shard
		rng := rand.New(rand.NewPCG(1, 1))
		addWorkers(t, &s, 2, cores(8))
		tasksOn := make(map[string]string)
		for n := range 16 {
			owner := string(rune('a' + n/8))
			w, err := s.Place(Task{ID: fmt.Sprint(n), Demand: cores(1), Long: true, Organisation: owner}, rng)
			if err != nil {
				t.Fatal(err)
			}
			tasksOn[w] += owner
		}
		earmarked, err := s.Earmark(Task{ID: "large", Demand: cores(8), Long: true, Organisation: "c"}, func(o string) bool { return o == belowShare })
		if err != nil || tasksOn[earmarked] == strings.Repeat(belowShare, 8) {
			t.Errorf("organisation %q is below its share, but Earmark chose worker %q with tasks of %q (error: %v)", belowShare, earmarked, tasksOn[earmarked], err)
		}
	}
}
