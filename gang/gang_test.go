package gang

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"persimmonworks.example/persimmonworks/resource"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func cores(n int64) resource.Vector {
	return resource.Vector{MilliCPU: n * resource.MilliPerCore, MemoryMB: n * 2048}
}

// Runs acquisitions with random refusals, unknown and missing answers, and expiring
// holds. A committed acquisition must have pinned every hold, an abandoned one must
// leave no hold, and the shards must be contacted in the order of their names.
func TestAllOrNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		names := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-f]`), 1, 5, rapid.ID).Draw(t, "shards")
		shards := map[string]*Holds{}
		for _, n := range names {
			shards[n] = &Holds{}
		}
		a := NewAcquisition(names, start.Add(4*time.Second))
		var held []string
		for n := 0; n < 200; n++ {
			step, ok := a.Next(now)
			if !ok {
				break
			}
			h, err := shards[step.Shard], error(nil)
			switch step.Action {
			case Hold:
				held = append(held, step.Shard)
				if rapid.IntRange(0, 9).Draw(t, "full") == 0 {
					err = fmt.Errorf("shard %q has no capacity", step.Shard)
				} else {
					err = h.Hold("job", 1, a.HoldExpiry())
				}
			case Pin:
				err = h.Pin("job", 1, now)
			case Release:
				h.Release("job", 1)
			}
			lost := rapid.IntRange(0, 19).Draw(t, "lost") == 0
			if rapid.IntRange(0, 9).Draw(t, "unanswered") > 0 {
				a.RecordAnswer(step, err == nil && !lost)
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "expire") {
				for _, h := range shards {
					h.Expire(now)
				}
			}
		}
		if !slices.IsSorted(held) {
			t.Fatalf("shards were contacted in the order %v, want sorted", held)
		}
		for name, h := range shards {
			x, ok := h.held["job"]
			switch a.State() {
			case Committed:
				if !ok || !x.pinned {
					t.Fatalf("committed, but shard %q has no pinned hold", name)
				}
			case Abandoned:
				if ok {
					t.Fatalf("abandoned, but shard %q still has hold %v", name, x)
				}
			default:
				t.Fatalf("the acquisition did not terminate: state %s", a.State())
			}
		}
	})
}

// A shard that has not answered a hold request when the holds expire may still hold
// capacity, so it must be asked to release as well.
func TestUnansweredHoldIsReleased(t *testing.T) {
	until := start.Add(time.Second)
	a := NewAcquisition([]string{"y", "x", "z"}, until)
	step, _ := a.Next(start)
	a.RecordAnswer(step, true)
	_, _ = a.Next(start)
	var released []string
	for step, ok := a.Next(until); ok; step, ok = a.Next(until) {
		released = append(released, step.Shard)
		a.RecordAnswer(step, step.Action == Release)
	}
	if !slices.Equal(released, []string{"x", "y"}) || a.State() != Abandoned {
		t.Errorf("released %v, state %s; want [x y] and abandoned", released, a.State())
	}
}

// Holds expire unless they are pinned, and requests with a lower epoch are refused.
func TestHolds(t *testing.T) {
	until := start.Add(time.Second)
	for _, c := range []struct {
		failure string
		run     func(h *Holds) bool
	}{
		{"a hold did not expire", func(h *Holds) bool { return slices.Equal(h.Expire(until), []string{"job"}) && h.Len() == 0 }},
		{"a hold expired early", func(h *Holds) bool { return len(h.Expire(until.Add(-1))) == 0 }},
		{"an expired hold was pinned", func(h *Holds) bool { return h.Pin("job", 2, until) != nil }},
		{"a pinned hold expired", func(h *Holds) bool { return h.Pin("job", 2, start) == nil && len(h.Expire(until)) == 0 }},
		{"a repeated hold replaced a pinned one", func(h *Holds) bool { return h.Pin("job", 2, start) == nil && h.Hold("job", 2, until) != nil }},
		{"a request of a lower epoch released the hold", func(h *Holds) bool { return !h.Release("job", 1) && h.Len() == 1 }},
		{"a request of a lower epoch pinned the hold", func(h *Holds) bool { return h.Pin("job", 1, start) != nil }},
		{"a request of a lower epoch replaced the hold", func(h *Holds) bool { return h.Hold("job", 1, until) != nil }},
		{"a request of a higher epoch could not release the hold", func(h *Holds) bool { return h.Release("job", 3) }},
	} {
		var h Holds
		if err := h.Hold("job", 2, until); err != nil {
			t.Fatal(err)
		}
		if !c.run(&h) {
			t.Error(c.failure)
		}
	}
}

// Backfills random tasks that respect their limits, and checks that the reserved
// capacity is free at the start of the reservation and that the start is no later
// than the latest limit of the tasks that were running when it was made.
func TestReservationStartNeverMovesLater(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers := rapid.IntRange(1, 5).Draw(t, "workers")
		free := make([]FreeCapacity, workers)
		var running []RunningTask
		latest := start
		for n := range free {
			free[n] = FreeCapacity{fmt.Sprint("w", n), cores(16)}
			for free[n].Amount.MilliCPU > 0 && rapid.IntRange(0, 4).Draw(t, "more") > 0 {
				d := cores(rapid.Int64Range(1, free[n].Amount.MilliCPU/1000).Draw(t, "cores"))
				r := RunningTask{free[n].Worker, d, start.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "limit")) * time.Second)}
				if r.Limit.After(latest) {
					latest = r.Limit
				}
				free[n].Amount = free[n].Amount.Sub(d)
				running = append(running, r)
			}
		}
		var demands []resource.Vector
		for range rapid.IntRange(1, workers).Draw(t, "members") {
			demands = append(demands, cores(rapid.Int64Range(1, 16).Draw(t, "member")))
		}
		r, err := Reserve(demands, free, running, start)
		if err != nil {
			t.Fatalf("there are no more members than workers, but Reserve failed: %v", err)
		}
		if r.Start().After(latest) {
			t.Fatalf("the start is %v, but all tasks end by %v", r.Start(), latest)
		}
		for now := start; now.Before(r.Start()); now = now.Add(time.Second) {
			running = slices.DeleteFunc(running, func(x RunningTask) bool {
				over := !x.Limit.IsZero() && !x.Limit.After(now)
				if over {
					release(free, x)
				}
				return over
			})
			w := rapid.IntRange(0, workers-1).Draw(t, "worker")
			d := cores(rapid.Int64Range(1, 16).Draw(t, "backfill"))
			expected := time.Duration(rapid.IntRange(0, 60).Draw(t, "expected")) * time.Second
			if !free[w].Amount.Covers(d) {
				continue
			}
			if limit, ok := r.Backfill(free[w].Worker, d, expected, now); ok {
				free[w].Amount = free[w].Amount.Sub(d)
				running = append(running, RunningTask{free[w].Worker, d, limit})
			}
		}
		for _, x := range running {
			if !x.Limit.IsZero() && !x.Limit.After(r.Start()) {
				release(free, x)
			}
		}
		var reserved resource.Vector
		for _, f := range free {
			reserved = reserved.Add(r.Reserved(f.Worker))
			if !f.Amount.Covers(r.Reserved(f.Worker)) {
				t.Fatalf("at the start worker %s has %v free, but %v is reserved", f.Worker, f.Amount, r.Reserved(f.Worker))
			}
		}
		var need resource.Vector
		for _, d := range demands {
			need = need.Add(d)
		}
		if reserved != need {
			t.Fatalf("reserved %v in total, want %v", reserved, need)
		}
	})
}

// release returns the demand of a task to its worker.
func release(free []FreeCapacity, x RunningTask) {
	for n := range free {
		if free[n].Worker == x.Worker {
			free[n].Amount = free[n].Amount.Add(x.Demand)
		}
	}
}

// The start moves only to an earlier time, Backfill permits only tasks that do not
// delay the gang job, and a gang job that can never fit is refused at once.
func TestReservationMovesEarlierOnly(t *testing.T) {
	free := []FreeCapacity{{"w0", cores(0)}}
	late, err := Reserve([]resource.Vector{cores(4)}, free, []RunningTask{{"w0", cores(4), start.Add(time.Hour)}}, start)
	if err != nil {
		t.Fatal(err)
	}
	early, err := Reserve([]resource.Vector{cores(4)}, free, []RunningTask{{"w0", cores(4), start.Add(time.Minute)}}, start)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		failure  string
		worker   string
		expected time.Duration
		want     bool
	}{
		{"a task longer than the time until the start was backfilled", "w0", 2 * time.Hour, false},
		{"a task of unknown length was backfilled", "w0", 0, false},
		{"a task that ends by the start was refused", "w0", time.Hour, true},
		{"a task on a worker without a reservation was refused", "w1", 0, true},
	} {
		if _, ok := late.Backfill(c.worker, cores(1), c.expected, start); ok != c.want {
			t.Error(c.failure)
		}
	}
	if early.MoveEarlier(late) {
		t.Error("the start was moved to a later time")
	}
	if !late.MoveEarlier(early) || !late.Start().Equal(start.Add(time.Minute)) {
		t.Errorf("the start was not moved to the earlier time: %v", late.Start())
	}
	if _, err := Reserve([]resource.Vector{cores(4)}, free, []RunningTask{{"w0", cores(4), time.Time{}}}, start); err == nil {
		t.Error("Reserve accepted a gang job that needs the capacity of a service")
	}
}
