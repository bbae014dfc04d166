// Package gang starts the members of a gang job all at once or not at all.
//
// The members of a gang job may need capacity on several shards with different
// owners. The owner of the job runs an Acquisition, which asks the shards one by
// one, in the order of their names, to hold the capacity. The fixed order prevents
// a deadlock in which two gang jobs each hold what the other one needs. Each shard
// keeps its holds in Holds. A hold expires after a time, so that the capacity is
// freed if the owner of the job fails. Once all shards hold, the Acquisition asks
// each of them to pin its hold; a pinned hold does not expire. Members start only
// after all shards have pinned. If a hold has expired before it is pinned, all
// holds are released and no member has started. The pinned holds of an owner that
// failed are released or taken over by the next owner of the job, under a higher
// epoch.
//
// A gang job that does not fit gets a Reservation: a time at which its capacity is
// free, computed from the time limits of the running tasks. Other tasks may be
// backfilled only if they end by then or use capacity that is not reserved. The
// start time is never moved to a later time.
//
// The package reads no clock and does no I/O.
//
// Usage:
//
//	a := gang.NewAcquisition(shards, now.Add(10*time.Second))
//	for step, ok := a.Next(now); ok; step, ok = a.Next(now) {
//		a.RecordAnswer(step, send(step)) // hold, pin or release
//	}
//	if a.State() == gang.Committed { start all members }
package gang

import (
	"fmt"
	"slices"
	"time"
)

// Holds tracks the holds of one shard. The zero value has no holds. A hold refers
// to capacity that the caller has already allocated in the shard.
type Holds struct {
	held map[string]hold
}

// hold is the claim of one gang job.
type hold struct {
	epoch   uint64
	expires time.Time
	pinned  bool
}

// Hold records a hold for a gang job that expires at the given time. It replaces
// an earlier hold of the job that is not pinned and has the same or a lower epoch.
func (h *Holds) Hold(job string, epoch uint64, expires time.Time) error {
	if x, ok := h.held[job]; ok && (x.epoch > epoch || x.pinned) {
		return fmt.Errorf("gang job %q already has a hold of epoch %d (pinned: %v): release it first; the hold of epoch %d is refused", job, x.epoch, x.pinned, epoch)
	}
	if h.held == nil {
		h.held = make(map[string]hold)
	}
	h.held[job] = hold{epoch: epoch, expires: expires}
	return nil
}

// Pin makes a hold permanent until it is released. It fails if the hold has expired
// or has another epoch. Pinning a pinned hold has no effect.
func (h *Holds) Pin(job string, epoch uint64, now time.Time) error {
	x, ok := h.held[job]
	if !ok || x.epoch != epoch || !x.pinned && !now.Before(x.expires) {
		return fmt.Errorf("gang job %q has no valid hold of epoch %d: release all its holds and retry", job, epoch)
	}
	x.pinned = true
	h.held[job] = x
	return nil
}

// Release removes a hold, pinned or not, and reports whether it did. A request
// with an epoch lower than that of the hold is ignored.
func (h *Holds) Release(job string, epoch uint64) bool {
	x, ok := h.held[job]
	if !ok || x.epoch > epoch {
		return false
	}
	delete(h.held, job)
	return true
}

// Expire removes the expired holds and returns their jobs, sorted. The caller must
// free the capacity of these jobs.
func (h *Holds) Expire(now time.Time) []string {
	var jobs []string
	for job, x := range h.held {
		if !x.pinned && !now.Before(x.expires) {
			delete(h.held, job)
			jobs = append(jobs, job)
		}
	}
	slices.Sort(jobs)
	return jobs
}

// Len returns the number of holds, including those that have expired but have not
// been removed by Expire.
func (h *Holds) Len() int { return len(h.held) }
