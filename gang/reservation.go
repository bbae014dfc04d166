package gang

import (
	"fmt"
	"slices"
	"time"

	"persimmonworks.example/persimmonworks/resource"
)

// RunningTask is a running task. It is stopped or checkpointed at its limit at the
// latest.
type RunningTask struct {
	Worker string
	Demand resource.Vector
	Limit  time.Time // zero for a task without a limit, such as a service
}

// FreeCapacity is the free capacity of a worker.
type FreeCapacity struct {
	Worker string
	Amount resource.Vector
}

// Reservation reserves future capacity for a gang job that does not fit yet.
//
// Invariants: the start never moves to a later time. At the start, the reserved
// capacity is free on every worker of the reservation, provided that each task is
// ended at its limit and that each task started since was permitted by Backfill.
// Counted from the reservation, a gang job therefore waits no longer than until
// the latest limit among the tasks that were running at that time.
type Reservation struct {
	start   time.Time
	workers map[string]*workerReservation
}

// workerReservation is the capacity of a worker that is free at the start, divided
// into the reserved part and the spare part.
type workerReservation struct {
	reserved resource.Vector
	spare    resource.Vector
}

// Reserve finds the earliest time at which all demands fit, each on a single
// worker, given the free capacity now and the limits of the running tasks. It
// returns an error if they do not fit even after all tasks with a limit have ended.
func Reserve(demands []resource.Vector, free []FreeCapacity, running []RunningTask, now time.Time) (*Reservation, error) {
	descending := slices.Clone(demands)
	slices.SortStableFunc(descending, func(a, b resource.Vector) int { return int(b.MilliCPU - a.MilliCPU) })
	endings := slices.DeleteFunc(slices.Clone(running), func(r RunningTask) bool { return r.Limit.IsZero() })
	slices.SortStableFunc(endings, func(a, b RunningTask) int { return a.Limit.Compare(b.Limit) })
	available := make(map[string]resource.Vector, len(free))
	for _, f := range free {
		available[f.Worker] = f.Amount
	}
	start := now
	for n := 0; ; n++ {
		if n == len(endings) || endings[n].Limit.After(start) {
			if reservations, ok := bestFitDecreasing(descending, free, available); ok {
				return &Reservation{start, reservations}, nil
			}
		}
		if n == len(endings) {
			return nil, fmt.Errorf("a gang job of %d members does not fit on %d workers even after all tasks with a limit have ended: reduce its size or add workers", len(demands), len(free))
		}
		r := endings[n]
		if r.Limit.After(start) {
			start = r.Limit
		}
		if f, ok := available[r.Worker]; ok {
			available[r.Worker] = f.Add(r.Demand)
		}
	}
}

// bestFitDecreasing assigns each demand, in the given order, to the worker with the
// least available CPU that covers it. The caller sorts the demands by decreasing
// CPU. It reports false if a demand does not fit.
func bestFitDecreasing(demands []resource.Vector, workers []FreeCapacity, available map[string]resource.Vector) (map[string]*workerReservation, bool) {
	reservations := make(map[string]*workerReservation)
	remaining := func(worker string) resource.Vector {
		if r, ok := reservations[worker]; ok {
			return r.spare
		}
		return available[worker]
	}
	for _, d := range demands {
		best := ""
		for _, w := range workers {
			l := remaining(w.Worker)
			if l.Covers(d) && (best == "" || l.MilliCPU < remaining(best).MilliCPU) {
				best = w.Worker
			}
		}
		if best == "" {
			return nil, false
		}
		r, ok := reservations[best]
		if !ok {
			r = &workerReservation{spare: available[best]}
			reservations[best] = r
		}
		r.reserved = r.reserved.Add(d)
		r.spare = r.spare.Sub(d)
	}
	return reservations, true
}

// Start returns the latest time at which the gang job starts.
func (r *Reservation) Start() time.Time { return r.start }

// Reserved returns the capacity that is reserved on a worker from the start on.
func (r *Reservation) Reserved(worker string) resource.Vector {
	if x, ok := r.workers[worker]; ok {
		return x.reserved
	}
	return resource.Vector{}
}

// MoveEarlier replaces the reservation by one with an earlier start, found after
// tasks have ended before their limits. It reports whether it did so; a reservation
// that does not start earlier is ignored.
func (r *Reservation) MoveEarlier(earlier *Reservation) bool {
	if !earlier.start.Before(r.start) {
		return false
	}
	*r = *earlier
	return true
}

// Backfill reports whether a task may start on a worker now without delaying the
// gang job. The returned limit is the time at which the task must be ended; it is
// zero if the reservation does not require one, because the task fits beside the
// reserved capacity or the worker has none reserved. Expected is the expected run
// time, or zero if unknown.
func (r *Reservation) Backfill(worker string, demand resource.Vector, expected time.Duration, now time.Time) (limit time.Time, ok bool) {
	x, reserved := r.workers[worker]
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
