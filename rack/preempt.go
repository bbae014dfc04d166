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
	pendingTimeout = 10 * time.Second // after this an attempt waiting for capacity is refused
	checkpointTime = time.Second      // upper bound on the time to save and resume an attempt
)

// pendingAttempt is an urgent attempt that waits for preempted attempts to end.
type pendingAttempt struct {
	attempt  *Attempt
	prefs    Preferences
	deadline time.Time
}

// PlaceUrgent is like Place, but if no worker has enough free capacity for an
// attempt of class urgent and no other attempt is pending, it preempts batch
// attempts, with a checkpoint where possible. Until a worker has room the
// attempt is Starting without a worker, and only urgent work is placed on the
// rack. Non-idempotent attempts are never preempted.
func (r *Rack) PlaceUrgent(s worker.Start, prefs Preferences, now time.Time, rng *rand.Rand) (*Attempt, error) {
	a, err := r.Place(s, prefs, now, rng)
	if err == nil || class.Class(s.Class) != class.Urgent || len(r.pending) > 0 {
		return a, err
	}
	victims, ok := preemption.Victims(s.Demand, r.freeByWorker(), r.preemptible(now))
	if !ok {
		return nil, err
	}
	for _, v := range victims {
		ref := r.refByKey[v.Attempt.Task]
		if _, err := r.Stop(ref, v.Action == preemption.Checkpoint); err != nil {
			return nil, err
		}
	}
	// The rack's name takes the place of the worker's, so that the attempt is not
	// mistaken for one that is not on the rack.
	a = &Attempt{Start: s, Worker: r.Name, State: Starting, placedAt: now}
	r.attempts[s.Ref] = a
	r.pending = append(r.pending, pendingAttempt{attempt: a, prefs: prefs, deadline: now.Add(pendingTimeout)})
	return a, nil
}

// freeByWorker returns the free capacity of each open worker.
func (r *Rack) freeByWorker() map[string]resource.Vector {
	free := make(map[string]resource.Vector, len(r.members))
	for id, m := range r.members {
		if r.Closed(id) != "" {
			continue
		}
		left := m.host.Capacity
		for _, a := range m.attempts {
			if !a.Final() {
				left = left.Sub(a.Demand)
			}
		}
		free[id] = left
	}
	return free
}

// preemptible returns the running attempts that may be stopped and retried, and
// sets refByKey for them.
func (r *Rack) preemptible(now time.Time) []preemption.Attempt {
	r.refByKey = map[string]worker.Ref{}
	var all []preemption.Attempt
	for ref, a := range r.attempts {
		if a.State != Running || a.NonIdempotent || a.stopRequest != nil {
			continue
		}
		cores := float64(a.Demand.MilliCPU) / resource.MilliPerCore
		r.refByKey[attemptKey(ref)] = ref
		all = append(all, preemption.Attempt{
			Task: attemptKey(ref), Worker: a.Worker, Class: class.Class(a.Class), Demand: a.Demand,
			Unsaved: now.Sub(a.placedAt).Seconds() * cores, CheckpointCost: checkpointTime.Seconds() * cores,
		})
	}
	return all
}

// placePending assigns waiting attempts to workers that now have room. It
// refuses and returns those whose deadline has passed.
func (r *Rack) placePending(now time.Time, rng *rand.Rand) (refused []*Attempt) {
	stillPending := r.pending[:0]
	for _, p := range r.pending {
		a := p.attempt
		if a.Final() {
			continue // stopped while it was waiting
		}
		id, err := r.shard.Place(r.task(a.Start, p.prefs), rng)
		switch {
		case err == nil:
			r.assign(a, id)
		case now.After(p.deadline):
			a.State, a.Reason = Refused, "no room was made in time"
			refused = append(refused, a)
		default:
			stillPending = append(stillPending, p)
		}
	}
	r.pending = stillPending
	return refused
}

func (r *Rack) task(s worker.Start, prefs Preferences) placement.Task {
	return placement.Task{ID: attemptKey(s.Ref), Demand: s.Demand, Class: class.Class(s.Class), SpreadKey: prefs.Spread, Long: prefs.Long}
}

// assign records the worker of an attempt and requests a Sync to it.
func (r *Rack) assign(a *Attempt, id string) {
	m := r.members[id]
	a.Worker, m.attempts[a.Ref], m.syncRequested = id, a, true
	if m.onProbation {
		r.updateAvailability(m)
	}
}
