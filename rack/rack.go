// Package rack is the owner's side of a rack shard: which attempts are on its
// workers, what is free there, and what each worker is to be told next.
//
// A Rack is pure state, owned by the control goroutine. The caller sends the
// Sync that Outbox returns and hands the answer to Answer; at most one Sync is
// under way to a worker.
//
// # Invariants
//
//   - Nothing is placed on a worker that has not accepted the rack's epoch:
//     until then it is closed, and attempts that may be on it count as running.
//   - The demands placed on a worker never exceed its capacity.
//   - An attempt is reported lost only when it certainly does not run: its
//     worker's inventory lacks it, or its lease has lapsed. No assumption is
//     made on how long a message to a worker that this owner has heard is under
//     way: what it was sent is void after a time on its own clock, see
//     package worker. For a worker that it has not heard, leases of earlier
//     owners are waited out, see AllowWaitOut.
//   - A finished attempt is kept until its job's owner has acknowledged it.
//
// Usage:
//
//	r := &rack.Rack{Name: "rack-dc1-r1", Epoch: grant.Epoch, Lease: 10 * time.Second}
//	r.SetHosts(hosts, now)
//	w, err := r.Place(start, rack.Wish{}, now, rng)
//	sync, ok := r.Outbox("w-dc1-r1-01", now)
//	changed := r.Answer("w-dc1-r1-01", report, err, now)
package rack

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/placement"
	"persimmonworks.example/persimmonworks/provider"
	"persimmonworks.example/persimmonworks/resource"
	"persimmonworks.example/persimmonworks/worker"
)

// State is where an attempt stands for the rack's owner.
type State string

// States of an attempt.
const (
	Starting State = "starting" // the worker may have been told
	Running  State = "running"  // the worker has reported it
	Ended    State = "ended"    // see Attempt.End
	Lost     State = "lost"     // certainly does not run; no result
	Refused  State = "refused"  // certainly never ran
)

// Attempt is an attempt of a task on the rack.
type Attempt struct {
	worker.Start
	Worker string
	State  State
	// End is the worker's last report, complete when State is Ended.
	End worker.Attempt
	// Reason tells why an attempt was lost or refused.
	Reason string

	stop         *worker.Stop
	throttle     int
	acknowledged bool
	sent         bool
	placed       time.Time
}

// Final reports whether the attempt will not change any more.
func (a *Attempt) Final() bool { return a.State != Starting && a.State != Running }

// Stopping reports whether the attempt has been asked to end.
func (a *Attempt) Stopping() bool { return a.stop != nil }

// Wish is what a placement prefers.
type Wish struct {
	Spread string // attempts of one key keep apart
	Long   bool   // may not take what is kept for short work
	// Avoid names workers that get the attempt only if no other worker of the
	// rack could ever hold it.
	Avoid []string
}

// ErrUnknownAttempt is returned for a Stop or Throttle of an attempt that is
// not on the rack.
var ErrUnknownAttempt = errors.New("attempt is not known on this rack")

// Rack holds the state of one rack shard under one epoch. Exported fields are
// set before the first call.
type Rack struct {
	Name  string
	Epoch uint64
	Lease time.Duration
	// Transit is the longest time that a message of an earlier owner to a
	// worker is under way.
	Transit time.Duration
	// Reserve is the share of the rack's open workers that long work may not take.
	Reserve float64

	shard    placement.Shard
	members  map[string]*member
	attempts map[worker.Ref]*Attempt
	waiting  []waiting             // for room
	byKey    map[string]worker.Ref // of the last choice of victims
	// waitOutFrom is the time from which leases of the previous owner run out;
	// zero while unreachable workers must stay closed.
	waitOutFrom time.Time
}

// member is a worker of the rack.
type member struct {
	host     provider.Host
	accepted bool // the worker has accepted the epoch and shown its inventory
	gone     bool // unreachable, and its leases have lapsed
	busy     bool // a Sync is under way
	urgent   bool // something to tell before the next regular Sync
	heard    time.Time
	sent     time.Time
	spent    time.Time     // until when the budget of early messages is used up
	clock    reading       // of the worker's clock; zero until it was heard
	until    time.Duration // on that clock; no lease and no message lasts longer
	misses   int
	leaving  bool
	held     string // why the worker is in quarantine, "" if it is not
	trial    bool   // on probation: one attempt at a time
	refs     map[worker.Ref]*Attempt
}

// missesToClose is the number of unanswered Syncs after which nothing new is
// placed on a worker and its leases are no longer renewed.
const missesToClose = 3

// SetHosts sets the workers of the rack, as the platform's list gives them.
// Workers that have gone from the list stay while attempts may be on them.
func (r *Rack) SetHosts(hosts []provider.Host, now time.Time) {
	if r.members == nil {
		r.members, r.attempts = map[string]*member{}, map[worker.Ref]*Attempt{}
		r.shard.Reserve = r.Reserve
	}
	for _, h := range hosts {
		m, ok := r.members[h.ID]
		if !ok {
			m = &member{host: h, heard: now, refs: map[worker.Ref]*Attempt{}, urgent: true}
			r.members[h.ID] = m
			// AddWorker fails only for an identifier that is already there.
			if err := r.shard.AddWorker(placement.Worker{ID: h.ID, Rack: h.Rack, DataCentre: h.DataCentre, Capacity: h.Capacity}); err != nil {
				continue
			}
			r.close(m, "not yet heard under this epoch")
		}
		m.host.Address = h.Address
		r.setLeaving(m, m.leaving || h.Leaving)
	}
}

// SetLeaving marks a worker as leaving or staying. A leaving worker gets
// nothing new; what runs there finishes.
func (r *Rack) SetLeaving(id string, leaving bool) {
	if m, ok := r.members[id]; ok {
		r.setLeaving(m, leaving)
	}
}

func (r *Rack) setLeaving(m *member, leaving bool) {
	if m.leaving == leaving {
		return
	}
	m.leaving = leaving
	r.settle(m)
}

func (r *Rack) close(m *member, reason string) { _ = r.shard.Close(m.host.ID, reason) }
func (r *Rack) open(m *member)                 { _ = r.shard.Open(m.host.ID) }

// AllowWaitOut lets unreachable workers be treated as free once every lease
// that an earlier owner can have granted by from has lapsed.
func (r *Rack) AllowWaitOut(from time.Time) { r.waitOutFrom = from }

// Workers returns the identifiers of the rack's workers in order.
func (r *Rack) Workers() []string {
	ids := make([]string, 0, len(r.members))
	for id := range r.members {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Address returns the base URL of a worker.
func (r *Rack) Address(id string) string {
	if m, ok := r.members[id]; ok {
		return m.host.Address
	}
	return ""
}

// Closed returns why a worker gets nothing new, "" if it does.
func (r *Rack) Closed(id string) string { return r.shard.Closed(id) }

// Complete reports whether every worker has shown its inventory under this
// epoch or certainly runs nothing of an earlier owner.
func (r *Rack) Complete() bool {
	for _, m := range r.members {
		if !m.accepted && !m.gone {
			return false
		}
	}
	return r.members != nil
}

// Settled reports whether every worker has accepted the epoch.
func (r *Rack) Settled() bool {
	for _, m := range r.members {
		if !m.accepted {
			return false
		}
	}
	return len(r.members) > 0
}

// Free returns the sum of what is free on open workers.
func (r *Rack) Free() resource.Vector { return r.shard.FreeCapacity() }

// Largest returns the largest free amount of each resource on one open worker.
func (r *Rack) Largest() resource.Vector { return r.shard.Largest() }

// LargestLong returns the same for long work, which may not take what is kept
// for short work.
func (r *Rack) LargestLong() resource.Vector { return r.shard.LargestLong() }

// Capacity returns the sum of the capacities of the workers that are known.
func (r *Rack) Capacity() resource.Vector {
	var sum resource.Vector
	for _, m := range r.members {
		sum = sum.Add(m.host.Capacity)
	}
	return sum
}

// Place puts an attempt on a worker with room. An attempt that is already on
// the rack is returned as it is, so that a repeated request has no further
// effect. The error wraps placement.ErrNoRoom or placement.ErrTooLarge.
func (r *Rack) Place(s worker.Start, w Wish, now time.Time, rng *rand.Rand) (*Attempt, error) {
	if a, ok := r.attempts[s.Ref]; ok {
		return a, nil
	}
	if len(r.waiting) > 0 && class.Class(s.Class) != class.Urgent {
		return nil, fmt.Errorf("rack %s makes room for urgent work: %w", r.Name, placement.ErrNoRoom)
	}
	id, err := r.choose(r.task(s, w), w.Avoid, rng)
	if err != nil {
		return nil, fmt.Errorf("rack %s, task %s attempt %d: %w", r.Name, s.Task, s.Attempt, err)
	}
	a := &Attempt{Start: s, State: Starting, placed: now}
	r.attempts[s.Ref] = a
	r.put(a, id)
	return a, nil
}

// choose places a task, with the workers to avoid closed for the moment.
func (r *Rack) choose(t placement.Task, avoid []string, rng *rand.Rand) (string, error) {
	if len(avoid) > 0 && r.holdsElsewhere(t.Demand, avoid) {
		for _, id := range avoid {
			if m, ok := r.members[id]; ok && r.shard.Closed(id) == "" {
				r.close(m, "failed this task before")
				defer r.open(m)
			}
		}
	}
	return r.shard.Place(t, rng)
}

// holdsElsewhere reports whether a worker that is not to be avoided could hold
// a demand when it is free.
func (r *Rack) holdsElsewhere(demand resource.Vector, avoid []string) bool {
	for id, m := range r.members {
		if m.accepted && !m.leaving && m.held == "" && m.host.Capacity.Covers(demand) && !slices.Contains(avoid, id) {
			return true
		}
	}
	return false
}

func key(ref worker.Ref) string { return fmt.Sprintf("%s#%d", ref.Task, ref.Attempt) }

// Refuse makes sure that an attempt which is not on the rack never starts
// here, and reports whether that is so: false when it is already here.
func (r *Rack) Refuse(ref worker.Ref) bool {
	_, here := r.attempts[ref]
	return !here
}

// Attempt returns an attempt by its name.
func (r *Rack) Attempt(ref worker.Ref) (*Attempt, bool) {
	a, ok := r.attempts[ref]
	return a, ok
}

// Attempts returns all attempts, in order of task and attempt number.
func (r *Rack) Attempts() []*Attempt {
	all := make([]*Attempt, 0, len(r.attempts))
	for _, a := range r.attempts {
		all = append(all, a)
	}
	slices.SortFunc(all, func(x, y *Attempt) int {
		return cmp.Or(cmp.Compare(x.Task, y.Task), cmp.Compare(x.Ref.Attempt, y.Ref.Attempt))
	})
	return all
}

// Stop asks for an attempt to end, after a checkpoint if wanted. An attempt
// that no worker has been told of is refused at once. It returns the attempt.
func (r *Rack) Stop(ref worker.Ref, checkpoint bool) (*Attempt, error) {
	a, ok := r.attempts[ref]
	if !ok {
		return nil, fmt.Errorf("stop of task %s attempt %d on rack %s: %w", ref.Task, ref.Attempt, r.Name, ErrUnknownAttempt)
	}
	if a.Final() {
		return a, nil
	}
	if !a.sent {
		r.finish(a, Refused, "stopped before it was started")
		return a, nil
	}
	a.stop = &worker.Stop{Ref: ref, Checkpoint: checkpoint}
	r.members[a.Worker].urgent = true
	return a, nil
}

// Throttle limits a running attempt to a percentage of its processors.
func (r *Rack) Throttle(ref worker.Ref, percent int) error {
	a, ok := r.attempts[ref]
	if !ok || a.Final() || !a.sent {
		return fmt.Errorf("throttle of task %s attempt %d on rack %s: %w", ref.Task, ref.Attempt, r.Name, ErrUnknownAttempt)
	}
	a.throttle = percent
	r.members[a.Worker].urgent = true
	return nil
}

// Acknowledge lets a final attempt be forgotten, here and by its worker.
func (r *Rack) Acknowledge(ref worker.Ref) {
	a, ok := r.attempts[ref]
	if !ok || !a.Final() {
		return
	}
	if a.State == Ended {
		a.acknowledged = true // forgotten once the worker was told
		return
	}
	r.forget(a)
}

func (r *Rack) forget(a *Attempt) {
	delete(r.attempts, a.Ref)
	if m, ok := r.members[a.Worker]; ok {
		delete(m.refs, a.Ref)
	}
}

func (r *Rack) finish(a *Attempt, s State, reason string) {
	a.State, a.Reason = s, reason
	r.shard.Free(key(a.Ref))
}
