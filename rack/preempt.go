package rack

import (
	"math/rand/v2"
	"time"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/placement"
	"persimmonworks.example/persimmonworks/preemption"
	"persimmonworks.example/persimmonworks/resource"
	"persimmonworks.example/persimmonworks/worker"
)

const (
	roomTimeout    = 10 * time.Second // after which an attempt that waits for room is refused
	checkpointTime = time.Second      // that saving and resuming an attempt takes, at most
)

// waiting is an attempt for which victims make room.
type waiting struct {
	attempt *Attempt
	wish    Wish
	until   time.Time
}

// PlaceUrgent puts an attempt on a worker with room, or else stops batch
// attempts, with a checkpoint, to make room for it. Until there is room the
// attempt is Starting on the rack as such, and nothing else but urgent work is
// placed on the rack. Attempts that must not run twice are never stopped.
func (r *Rack) PlaceUrgent(s worker.Start, w Wish, now time.Time, rng *rand.Rand) (*Attempt, error) {
	a, err := r.Place(s, w, now, rng)
	if err == nil || class.Class(s.Class) != class.Urgent || len(r.waiting) > 0 {
		return a, err
	}
	victims, ok := preemption.Victims(s.Demand, r.openFree(), r.preemptible(now))
	if !ok {
		return nil, err
	}
	for _, v := range victims {
		ref := r.byKey[v.Attempt.Task]
		if _, err := r.Stop(ref, v.Action == preemption.Checkpoint); err != nil {
			return nil, err
		}
	}
	// The name of the rack stands for the worker, so that the attempt is not
	// taken for one that is not here.
	a = &Attempt{Start: s, Worker: r.Name, State: Starting, placed: now}
	r.attempts[s.Ref] = a
	r.waiting = append(r.waiting, waiting{attempt: a, wish: w, until: now.Add(roomTimeout)})
	return a, nil
}

// openFree returns what is free on each worker that may get something new.
func (r *Rack) openFree() map[string]resource.Vector {
	free := make(map[string]resource.Vector, len(r.members))
	for id, m := range r.members {
		if r.Closed(id) != "" {
			continue
		}
		left := m.host.Capacity
		for _, a := range m.refs {
			if !a.Final() {
				left = left.Sub(a.Demand)
			}
		}
		free[id] = left
	}
	return free
}

// preemptible returns the running attempts that may be stopped and run again.
func (r *Rack) preemptible(now time.Time) []preemption.Attempt {
	r.byKey = map[string]worker.Ref{}
	var all []preemption.Attempt
	for ref, a := range r.attempts {
		if a.State != Running || a.NonIdempotent || a.stop != nil {
			continue
		}
		cores := float64(a.Demand.MilliCPU) / resource.MilliPerCore
		r.byKey[key(ref)] = ref
		all = append(all, preemption.Attempt{
			Task: key(ref), Worker: a.Worker, Class: class.Class(a.Class), Demand: a.Demand,
			Unsaved: now.Sub(a.placed).Seconds() * cores, CheckpointCost: checkpointTime.Seconds() * cores,
		})
	}
	return all
}

// seat gives attempts that wait for room a worker, and refuses those that have
// waited too long. It returns the refused ones.
func (r *Rack) seat(now time.Time, rng *rand.Rand) (refused []*Attempt) {
	kept := r.waiting[:0]
	for _, x := range r.waiting {
		a := x.attempt
		if a.Final() {
			continue // stopped meanwhile
		}
		id, err := r.shard.Place(r.task(a.Start, x.wish), rng)
		switch {
		case err == nil:
			r.put(a, id)
		case now.After(x.until):
			a.State, a.Reason = Refused, "no room was made in time"
			refused = append(refused, a)
		default:
			kept = append(kept, x)
		}
	}
	r.waiting = kept
	return refused
}

func (r *Rack) task(s worker.Start, w Wish) placement.Task {
	return placement.Task{ID: key(s.Ref), Demand: s.Demand, Class: class.Class(s.Class), Spread: w.Spread, Long: w.Long}
}

// put notes the worker of an attempt.
func (r *Rack) put(a *Attempt, id string) {
	m := r.members[id]
	a.Worker, m.refs[a.Ref], m.urgent = id, a, true
	if m.trial {
		r.settle(m)
	}
}
