// Package rack implements the owner's side of a rack shard. It tracks the
// attempts on the rack's workers and their free capacity, and builds the next
// message to each worker.
//
// A Rack does no I/O and is not safe for concurrent use; it belongs to the
// control goroutine. The caller sends the Sync returned by NextSync and passes
// the response to HandleReport. At most one Sync per worker is in flight.
//
// # Invariants
//
//   - Nothing is placed on a worker that has not accepted the rack's epoch.
//     Until then the worker is closed, and attempts that may be on it count as
//     running.
//   - The total demand placed on a worker never exceeds its capacity.
//   - An attempt is reported lost only when it is certain not to be running:
//     either the worker's inventory does not list it, or its lease has expired.
//     For a worker that has responded to this owner, no bound on network delay
//     is assumed, because each message expires at a time on the worker's own
//     clock (see package worker). For a worker that has not responded, the
//     leases of earlier owners must run out first (see SetPreviousOwnerEnd).
//   - A finished attempt is kept until the owner of its job acknowledges it.
//
// Usage:
//
//	r := &rack.Rack{Name: "rack-dc1-r1", Epoch: grant.Epoch, Lease: 10 * time.Second}
//	r.SetHosts(hosts, now)
//	attempt, err := r.Place(start, rack.Preferences{}, now, rng)
//	sync, ok := r.NextSync("w-dc1-r1-01", now)
//	changed, err := r.HandleReport("w-dc1-r1-01", sync, report, err, now)
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

// State is the state of an attempt as known to the rack's owner.
type State string

// States of an attempt.
const (
	Starting State = "starting" // the worker may have received the Start
	Running  State = "running"  // the worker has reported it as running
	Ended    State = "ended"    // see Attempt.LastReport
	Lost     State = "lost"     // certainly not running; there is no result
	Refused  State = "refused"  // certainly never ran
)

// Attempt is one attempt to run a task on a worker of the rack.
type Attempt struct {
	worker.Start
	Worker string
	State  State
	// LastReport is the attempt's entry in the worker's last report. It is
	// complete only when State is Ended.
	LastReport worker.Attempt
	// Reason describes why the attempt was lost or refused.
	Reason string
	// Suspicion says whether a lost attempt may have ended its worker's process.
	Suspicion Suspicion

	stopRequest     *worker.Stop
	throttlePercent int
	acknowledged    bool
	sent            bool
	placedAt        time.Time
}

// Suspicion says whether an attempt may have ended the process of its worker.
type Suspicion int

// Suspicions.
const (
	Unsuspected Suspicion = iota
	Suspected             // one of several attempts that may
	SoleSuspect           // the only one that may
)

// Final reports whether the attempt has reached a terminal state.
func (a *Attempt) Final() bool { return a.State != Starting && a.State != Running }

// Stopping reports whether a stop of the attempt has been requested.
func (a *Attempt) Stopping() bool { return a.stopRequest != nil }

// Preferences guides the choice of a worker for an attempt.
type Preferences struct {
	Spread string // attempts with the same key go to different workers if possible
	Long   bool   // long-running; may not use the capacity reserved for short work
	// Avoid lists workers to use only if no other worker of the rack is large
	// enough for the attempt.
	Avoid []string
}

// ErrUnknownAttempt is returned by Stop and Throttle for an attempt that is
// not on the rack.
var ErrUnknownAttempt = errors.New("unknown attempt")

// Rack is the state of one rack shard under one epoch. The exported fields
// must be set before the first call.
type Rack struct {
	Name  string
	Epoch uint64
	Lease time.Duration
	// MaxTransit is the maximum network delay of a message from an earlier owner
	// to a worker.
	MaxTransit time.Duration
	// Reserve is the fraction of the open workers' capacity that is reserved
	// for short work.
	Reserve float64

	shard    placement.Shard
	members  map[string]*member
	attempts map[worker.Ref]*Attempt
	pending  []pendingAttempt      // urgent attempts waiting for victims to stop
	refByKey map[string]worker.Ref // preemption candidates of the last PlaceUrgent, by attemptKey
	// previousOwnerEnd is a time after which no earlier owner sends messages. It
	// is zero while workers that have not responded must stay closed.
	previousOwnerEnd time.Time
}

// member is the state of one worker of the rack.
type member struct {
	host                provider.Host
	accepted            bool // the worker has accepted the epoch and reported its inventory
	leasesExpired       bool // the worker is unreachable and all its leases have expired
	syncInFlight        bool // a Sync was sent and has not been answered
	syncRequested       bool // send a Sync without waiting for the regular interval
	lastReportAt        time.Time
	lastSyncAt          time.Time
	earlySyncsPaidUntil time.Time     // the budget of early Syncs is used up to this time
	clock               clockReading  // last reading of the worker's clock; zero before the first report
	leaseEnd            time.Duration // on the worker's clock; every lease and message has expired by then
	missedSyncs         int
	leaving             bool
	quarantineReason    string // empty if the worker is not quarantined
	onProbation         bool   // quarantined, but may run one attempt at a time
	attempts            map[worker.Ref]*Attempt
}

// maxMissedSyncs is the number of consecutive unanswered Syncs after which a
// worker gets no new attempts and its leases are no longer renewed.
const maxMissedSyncs = 3

// SetHosts adds and updates the workers of the rack from the platform's host
// list. Workers missing from the list are kept, because attempts may still be
// running on them.
func (r *Rack) SetHosts(hosts []provider.Host, now time.Time) {
	if r.members == nil {
		r.members, r.attempts = map[string]*member{}, map[worker.Ref]*Attempt{}
		r.shard.Reserve = r.Reserve
	}
	for _, h := range hosts {
		m, ok := r.members[h.ID]
		if !ok {
			m = &member{host: h, lastReportAt: now, attempts: map[worker.Ref]*Attempt{}, syncRequested: true}
			r.members[h.ID] = m
			// AddWorker fails only for a duplicate ID.
			if err := r.shard.AddWorker(placement.Worker{ID: h.ID, Rack: h.Rack, DataCentre: h.DataCentre, Capacity: h.Capacity}); err != nil {
				continue
			}
			r.close(m, "not yet heard under this epoch")
		}
		m.host.Address = h.Address
		r.setLeaving(m, m.leaving || h.Leaving)
	}
}

// SetLeaving sets or clears the leaving mark of a worker. A leaving worker
// gets no new attempts; running attempts continue.
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
	r.updateAvailability(m)
}

func (r *Rack) close(m *member, reason string) { _ = r.shard.Close(m.host.ID, reason) }
func (r *Rack) open(m *member)                 { _ = r.shard.Open(m.host.ID) }

// SetPreviousOwnerEnd declares that no earlier owner sends messages after from. An
// unreachable worker then counts as free once every lease that an earlier
// owner can have granted by that time has expired.
func (r *Rack) SetPreviousOwnerEnd(from time.Time) { r.previousOwnerEnd = from }

// Workers returns the sorted IDs of the rack's workers.
func (r *Rack) Workers() []string {
	ids := make([]string, 0, len(r.members))
	for id := range r.members {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Address returns the base URL of a worker, or "" if the worker is unknown.
func (r *Rack) Address(id string) string {
	if m, ok := r.members[id]; ok {
		return m.host.Address
	}
	return ""
}

// Closed returns the reason why a worker gets no new attempts, or "" if it is
// open.
func (r *Rack) Closed(id string) string { return r.shard.ClosedReason(id) }

// InventoryComplete reports whether every worker has either reported its inventory
// under this epoch or is certain to run nothing from an earlier owner.
func (r *Rack) InventoryComplete() bool {
	for _, m := range r.members {
		if !m.accepted && !m.leasesExpired {
			return false
		}
	}
	return r.members != nil
}

// AllWorkersAccepted reports whether every worker has accepted the epoch.
func (r *Rack) AllWorkersAccepted() bool {
	for _, m := range r.members {
		if !m.accepted {
			return false
		}
	}
	return len(r.members) > 0
}

// Free returns the total free capacity of the open workers.
func (r *Rack) Free() resource.Vector { return r.shard.FreeCapacity() }

// Largest returns, for each resource, the largest amount that is free on any
// single open worker.
func (r *Rack) Largest() resource.Vector { return r.shard.Largest() }

// LargestLong is like Largest but leaves out the capacity reserved for short
// work, so it applies to long work.
func (r *Rack) LargestLong() resource.Vector { return r.shard.LargestLong() }

// Capacity returns the total capacity of all known workers, open or closed.
func (r *Rack) Capacity() resource.Vector {
	var sum resource.Vector
	for _, m := range r.members {
		sum = sum.Add(m.host.Capacity)
	}
	return sum
}

// Place assigns an attempt to a worker with enough free capacity. It is
// idempotent: an attempt that is already on the rack is returned unchanged.
// The error wraps placement.ErrNoCapacity or placement.ErrTooLarge.
func (r *Rack) Place(s worker.Start, w Preferences, now time.Time, rng *rand.Rand) (*Attempt, error) {
	if a, ok := r.attempts[s.Ref]; ok {
		return a, nil
	}
	if len(r.pending) > 0 && class.Class(s.Class) != class.Urgent {
		return nil, fmt.Errorf("rack %s is making room for urgent work: %w", r.Name, placement.ErrNoCapacity)
	}
	id, err := r.chooseWorker(r.task(s, w), w.Avoid, rng)
	if err != nil {
		return nil, fmt.Errorf("rack %s, task %s attempt %d: %w", r.Name, s.Task, s.Attempt, err)
	}
	a := &Attempt{Start: s, State: Starting, placedAt: now}
	r.attempts[s.Ref] = a
	r.assign(a, id)
	return a, nil
}

// chooseWorker places a task in the shard and returns its worker. The workers
// in avoid are closed during the call if the task fits on any other worker.
func (r *Rack) chooseWorker(t placement.Task, avoid []string, rng *rand.Rand) (string, error) {
	if len(avoid) > 0 && r.fitsElsewhere(t.Demand, avoid) {
		for _, id := range avoid {
			if m, ok := r.members[id]; ok && r.shard.ClosedReason(id) == "" {
				r.close(m, "failed this task before")
				defer r.open(m)
			}
		}
	}
	return r.shard.Place(t, rng)
}

// fitsElsewhere reports whether some usable worker outside avoid has enough
// total capacity for the demand.
func (r *Rack) fitsElsewhere(demand resource.Vector, avoid []string) bool {
	for id, m := range r.members {
		if m.accepted && !m.leaving && m.quarantineReason == "" && m.host.Capacity.Covers(demand) && !slices.Contains(avoid, id) {
			return true
		}
	}
	return false
}

func attemptKey(ref worker.Ref) string { return fmt.Sprintf("%s#%d", ref.Task, ref.Attempt) }

// Absent reports whether an attempt is not on the rack. Such an attempt cannot
// start here later unless it is placed again.
func (r *Rack) Absent(ref worker.Ref) bool {
	_, found := r.attempts[ref]
	return !found
}

// Attempt returns the attempt with the given reference.
func (r *Rack) Attempt(ref worker.Ref) (*Attempt, bool) {
	a, ok := r.attempts[ref]
	return a, ok
}

// Attempts returns all attempts, sorted by task and attempt number.
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

// Stop requests that an attempt end, after taking a checkpoint if checkpoint
// is set, and returns the attempt. An attempt that has not been sent to a
// worker becomes Refused at once.
func (r *Rack) Stop(ref worker.Ref, checkpoint bool) (*Attempt, error) {
	a, ok := r.attempts[ref]
	if !ok {
		return nil, fmt.Errorf("stop task %s attempt %d on rack %s: %w", ref.Task, ref.Attempt, r.Name, ErrUnknownAttempt)
	}
	if a.Final() {
		return a, nil
	}
	if !a.sent {
		r.finish(a, Refused, "stopped before it was started")
		return a, nil
	}
	a.stopRequest = &worker.Stop{Ref: ref, Checkpoint: checkpoint}
	r.members[a.Worker].syncRequested = true
	return a, nil
}

// Throttle limits a running attempt to a percentage of its CPU demand.
func (r *Rack) Throttle(ref worker.Ref, percent int) error {
	a, ok := r.attempts[ref]
	if !ok || a.Final() || !a.sent {
		return fmt.Errorf("throttle task %s attempt %d on rack %s: %w", ref.Task, ref.Attempt, r.Name, ErrUnknownAttempt)
	}
	a.throttlePercent = percent
	r.members[a.Worker].syncRequested = true
	return nil
}

// Acknowledge allows a final attempt to be deleted here and on its worker.
func (r *Rack) Acknowledge(ref worker.Ref) {
	a, ok := r.attempts[ref]
	if !ok || !a.Final() {
		return
	}
	if a.State == Ended {
		a.acknowledged = true // deleted once the worker has received the acknowledgement
		return
	}
	r.remove(a)
}

func (r *Rack) remove(a *Attempt) {
	delete(r.attempts, a.Ref)
	if m, ok := r.members[a.Worker]; ok {
		delete(m.attempts, a.Ref)
	}
}

func (r *Rack) finish(a *Attempt, s State, reason string) {
	a.State, a.Reason = s, reason
	r.shard.Release(attemptKey(a.Ref))
}
