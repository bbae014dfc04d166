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

// All or nothing: whatever answers are lost, late or refused and whatever
// expires in between, a committed attempt has every hold pinned, and an
// abandoned one leaves no hold behind; and the order of shards is fixed.
func TestAllOrNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		names := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-f]`), 1, 5, rapid.ID).Draw(t, "shards")
		shards := map[string]*Holds{}
		for _, n := range names {
			shards[n] = &Holds{}
		}
		a := NewAttempt(names, start.Add(4*time.Second))
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
					err = fmt.Errorf("shard %q is full", step.Shard)
				} else {
					err = h.Hold("job", 1, a.Until())
				}
			case Pin:
				err = h.Pin("job", 1, now)
			case Release:
				h.Release("job", 1)
			}
			lost := rapid.IntRange(0, 19).Draw(t, "lost") == 0
			if rapid.IntRange(0, 9).Draw(t, "unanswered") > 0 {
				a.Answered(step, err == nil && !lost)
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "expire") {
				for _, h := range shards {
					h.Expire(now)
				}
			}
		}
		if !slices.IsSorted(held) {
			t.Fatalf("the shards were asked in the order %v", held)
		}
		for name, h := range shards {
			x, ok := h.held["job"]
			switch a.Outcome() {
			case Committed:
				if !ok || !x.pinned {
					t.Fatalf("committed, but shard %q has not pinned", name)
				}
			case Abandoned:
				if ok {
					t.Fatalf("abandoned, but shard %q still holds %v", name, x)
				}
			default:
				t.Fatalf("the attempt does not end: %s", a.Outcome())
			}
		}
	})
}

// A shard that was asked but has not answered when time is over is told to
// release too.
func TestUnansweredHoldIsReleased(t *testing.T) {
	until := start.Add(time.Second)
	a := NewAttempt([]string{"y", "x", "z"}, until)
	step, _ := a.Next(start)
	a.Answered(step, true)
	_, _ = a.Next(start)
	var released []string
	for step, ok := a.Next(until); ok; step, ok = a.Next(until) {
		released = append(released, step.Shard)
		a.Answered(step, step.Action == Release)
	}
	if !slices.Equal(released, []string{"x", "y"}) || a.Outcome() != Abandoned {
		t.Errorf("released %v, the attempt is %s", released, a.Outcome())
	}
}

// Holds expire by themselves, pins do not, and lower epochs change nothing.
func TestHolds(t *testing.T) {
	until := start.Add(time.Second)
	for _, c := range []struct {
		failure string
		run     func(h *Holds) bool
	}{
		{"a hold outlives its owner", func(h *Holds) bool { return slices.Equal(h.Expire(until), []string{"job"}) && h.Len() == 0 }},
		{"a hold expires early", func(h *Holds) bool { return len(h.Expire(until.Add(-1))) == 0 }},
		{"an expired hold is pinned", func(h *Holds) bool { return h.Pin("job", 2, until) != nil }},
		{"a pin expires", func(h *Holds) bool { return h.Pin("job", 2, start) == nil && len(h.Expire(until)) == 0 }},
		{"a pin is lost to a repeated hold", func(h *Holds) bool { return h.Pin("job", 2, start) == nil && h.Hold("job", 2, until) != nil }},
		{"a fenced owner releases", func(h *Holds) bool { return !h.Release("job", 1) && h.Len() == 1 }},
		{"a fenced owner pins", func(h *Holds) bool { return h.Pin("job", 1, start) != nil }},
		{"a fenced owner holds", func(h *Holds) bool { return h.Hold("job", 1, until) != nil }},
		{"a new owner cannot release", func(h *Holds) bool { return h.Release("job", 3) }},
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

// The reservation cannot slip: under any stream of backfill that keeps its
// limits, the reserved room is free at the start, and the start is no later
// than the longest limit of what ran when it was made.
func TestReservationCannotSlip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers := rapid.IntRange(1, 5).Draw(t, "workers")
		free := make([]Free, workers)
		var running []Running
		latest := start
		for n := range free {
			free[n] = Free{fmt.Sprint("w", n), cores(16)}
			for free[n].Amount.MilliCPU > 0 && rapid.IntRange(0, 4).Draw(t, "more") > 0 {
				d := cores(rapid.Int64Range(1, free[n].Amount.MilliCPU/1000).Draw(t, "cores"))
				r := Running{free[n].Worker, d, start.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "limit")) * time.Second)}
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
			t.Fatalf("at most one member per empty worker, yet: %v", err)
		}
		if r.Start().After(latest) {
			t.Fatalf("the start is %v, but everything ends by %v", r.Start(), latest)
		}
		for now := start; now.Before(r.Start()); now = now.Add(time.Second) {
			running = slices.DeleteFunc(running, func(x Running) bool {
				over := !x.Limit.IsZero() && !x.Limit.After(now)
				if over {
					give(free, x)
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
				running = append(running, Running{free[w].Worker, d, limit})
			}
		}
		for _, x := range running {
			if !x.Limit.IsZero() && !x.Limit.After(r.Start()) {
				give(free, x)
			}
		}
		var reserved resource.Vector
		for _, f := range free {
			reserved = reserved.Add(r.Reserved(f.Worker))
			if !f.Amount.Covers(r.Reserved(f.Worker)) {
				t.Fatalf("at the start %s has %v free, %v is reserved", f.Worker, f.Amount, r.Reserved(f.Worker))
			}
		}
		var need resource.Vector
		for _, d := range demands {
			need = need.Add(d)
		}
		if reserved != need {
			t.Fatalf("reserved %v for %v", reserved, need)
		}
	})
}

func give(free []Free, x Running) {
	for n := range free {
		if free[n].Worker == x.Worker {
			free[n].Amount = free[n].Amount.Add(x.Demand)
		}
	}
}

// A start may move to earlier only, and a gang job that can never fit is
// refused at once.
func TestReservationMoves(t *testing.T) {
	free := []Free{{"w0", cores(0)}}
	late, err := Reserve([]resource.Vector{cores(4)}, free, []Running{{"w0", cores(4), start.Add(time.Hour)}}, start)
	if err != nil {
		t.Fatal(err)
	}
	early, err := Reserve([]resource.Vector{cores(4)}, free, []Running{{"w0", cores(4), start.Add(time.Minute)}}, start)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		failure  string
		worker   string
		expected time.Duration
		want     bool
	}{
		{"work is started only to be cut off", "w0", 2 * time.Hour, false},
		{"work of unknown length delays the gang job", "w0", 0, false},
		{"short work is kept out", "w0", time.Hour, true},
		{"workers without a reservation are kept idle", "w1", 0, true},
	} {
		if _, ok := late.Backfill(c.worker, cores(1), c.expected, start); ok != c.want {
			t.Error(c.failure)
		}
	}
	if early.Advance(late) {
		t.Error("the start moves to later")
	}
	if !late.Advance(early) || !late.Start().Equal(start.Add(time.Minute)) {
		t.Errorf("the start does not move to earlier: %v", late.Start())
	}
	if _, err := Reserve([]resource.Vector{cores(4)}, free, []Running{{"w0", cores(4), time.Time{}}}, start); err == nil {
		t.Error("a gang job behind a service is given a start")
	}
}
