package gang

import (
	"fmt"
	"slices"
	"time"

	"persimmonworks.example/persimmonworks/resource"
)

// Running is a task that holds room on a worker until its limit at the
// latest: at the limit it is stopped or checkpointed.
type Running struct {
	Worker string
	Demand resource.Vector
	Limit  time.Time // zero for a task that cannot be ended, such as a service
}

// Free is what is free on a worker.
type Free struct {
	Worker string
	Amount resource.Vector
}

// Reservation keeps room for a gang job that does not fit yet.
//
// Invariants: Start never moves to later; and at Start, every worker of the
// reservation has its reserved room free, provided that each task is ended at
// its limit and that each task started since was let in by Backfill. So a
// gang job waits, from the time of its reservation, no longer than the
// longest limit among the tasks that ran then.
type Reservation struct {
	start time.Time
	room  map[string]*room
}

// room is what is left of a worker at the start, beside the reservation.
type room struct {
	reserved resource.Vector
	spare    resource.Vector
}

// Reserve finds the earliest time at which all demands fit, each on one
// worker, given what is free now and when what runs ends. It fails if they do
// not fit even when everything has ended that can be.
func Reserve(demands []resource.Vector, free []Free, running []Running, now time.Time) (*Reservation, error) {
	ordered := slices.Clone(demands)
	slices.SortStableFunc(ordered, func(a, b resource.Vector) int { return int(b.MilliCPU - a.MilliCPU) })
	ending := slices.DeleteFunc(slices.Clone(running), func(r Running) bool { return r.Limit.IsZero() })
	slices.SortStableFunc(ending, func(a, b Running) int { return a.Limit.Compare(b.Limit) })
	at := make(map[string]resource.Vector, len(free))
	for _, f := range free {
		at[f.Worker] = f.Amount
	}
	start := now
	for n := 0; ; n++ {
		if n == len(ending) || ending[n].Limit.After(start) {
			if rooms, ok := fit(ordered, free, at); ok {
				return &Reservation{start, rooms}, nil
			}
		}
		if n == len(ending) {
			return nil, fmt.Errorf("a gang job of %d members does not fit on %d workers even when all tasks with a limit have ended: make it smaller or add workers", len(demands), len(free))
		}
		r := ending[n]
		if r.Limit.After(start) {
			start = r.Limit
		}
		if f, ok := at[r.Worker]; ok {
			at[r.Worker] = f.Add(r.Demand)
		}
	}
}

// fit places the demands, the largest first, each on the fullest worker that
// has room.
func fit(demands []resource.Vector, workers []Free, at map[string]resource.Vector) (map[string]*room, bool) {
	rooms := make(map[string]*room)
	left := func(worker string) resource.Vector {
		if r, ok := rooms[worker]; ok {
			return r.spare
		}
		return at[worker]
	}
	for _, d := range demands {
		best := ""
		for _, w := range workers {
			l := left(w.Worker)
			if l.Covers(d) && (best == "" || l.MilliCPU < left(best).MilliCPU) {
				best = w.Worker
			}
		}
		if best == "" {
			return nil, false
		}
		r, ok := rooms[best]
		if !ok {
			r = &room{spare: at[best]}
			rooms[best] = r
		}
		r.reserved = r.reserved.Add(d)
		r.spare = r.spare.Sub(d)
	}
	return rooms, true
}

// Start returns when the gang job starts at the latest.
func (r *Reservation) Start() time.Time { return r.start }

// Reserved returns what is kept on a worker from Start on.
func (r *Reservation) Reserved(worker string) resource.Vector {
	if x, ok := r.room[worker]; ok {
		return x.reserved
	}
	return resource.Vector{}
}

// Advance moves the start to an earlier reservation, found after tasks have
// ended early, and reports whether it did. A later one is refused.
func (r *Reservation) Advance(earlier *Reservation) bool {
	if !earlier.start.Before(r.start) {
		return false
	}
	*r = *earlier
	return true
}

// Backfill reports whether a task may start on a worker now without moving
// the reservation. A task that can end by Start gets the limit by which it
// must be ended; one that needs no limit for the sake of the reservation gets
// the zero time. Expected is the expected run time; zero if unknown.
func (r *Reservation) Backfill(worker string, demand resource.Vector, expected time.Duration, now time.Time) (limit time.Time, ok bool) {
	x, reserved := r.room[worker]
	switch {
	case !reserved:
		return time.Time{}, true
	case x.spare.Covers(demand):
		x.spare = x.spare.Sub(demand)
		return time.Time{}, true
	case expected > 0 && !now.Add(expected).After(r.start):
		return r.start, true
	default:
		return time.Time{}, false
	}
}
