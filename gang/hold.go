// Package gang starts the members of a gang job all at once or not at all.
//
// The members of a gang job may need room on several shards with different
// owners. The owner of the job runs an Attempt, which asks the shards one
// after the other, in the order of their names, to hold the room; a fixed
// order keeps two gang jobs from holding what the other one needs for ever.
// Each shard keeps its holds in Holds. A hold expires by itself, so that an
// owner that dies gives the room back. Once all shards hold, the Attempt asks
// each to pin its hold: a pinned hold does not expire. Members start only
// after all shards have pinned; if one has let its hold expire, all are
// released and nothing has started. Pins of an owner that died are released
// or taken over by the next owner of the job, under a higher epoch.
//
// A gang job that does not fit gets a Reservation: a time at which its room is
// free, computed from the limits of what runs. Other work may be backfilled
// only if it ends by then or takes room beyond the reservation, and the time
// never moves to later.
//
// Nothing here reads a clock or sends anything.
//
// Usage:
//
//	a := gang.NewAttempt(needs, now.Add(10*time.Second))
//	for step, ok := a.Next(now); ok; step, ok = a.Next(now) {
//		a.Answered(step, send(step)) // hold, pin or release
//	}
//	if a.Outcome() == gang.Committed { start all members }
package gang

import (
	"fmt"
	"slices"
	"time"
)

// Holds keeps the holds of one shard. The zero value holds nothing. A hold is
// a claim on room that the caller has already taken in the shard.
type Holds struct {
	held map[string]hold
}

type hold struct {
	epoch  uint64
	until  time.Time
	pinned bool
}

// Hold claims the room of a gang job until a time. A repeated hold of the
// same or a higher epoch replaces the first.
func (h *Holds) Hold(job string, epoch uint64, until time.Time) error {
	if x, ok := h.held[job]; ok && (x.epoch > epoch || x.pinned) {
		return fmt.Errorf("gang job %q is held under epoch %d (pinned: %v): release it first, epoch %d is refused", job, x.epoch, x.pinned, epoch)
	}
	if h.held == nil {
		h.held = make(map[string]hold)
	}
	h.held[job] = hold{epoch: epoch, until: until}
	return nil
}

// Pin makes a hold last until it is released. A hold that has expired, and
// one of another epoch, cannot be pinned; pinning twice does nothing.
func (h *Holds) Pin(job string, epoch uint64, now time.Time) error {
	x, ok := h.held[job]
	if !ok || x.epoch != epoch || !x.pinned && !now.Before(x.until) {
		return fmt.Errorf("gang job %q has no valid hold of epoch %d: release all its holds and try again", job, epoch)
	}
	x.pinned = true
	h.held[job] = x
	return nil
}

// Release gives a hold up, pinned or not, and reports whether there was one.
// An epoch below that of the hold is ignored.
func (h *Holds) Release(job string, epoch uint64) bool {
	x, ok := h.held[job]
	if !ok || x.epoch > epoch {
		return false
	}
	delete(h.held, job)
	return true
}

// Expire drops the holds that are over, and returns their jobs in order, so
// that the caller frees their room.
func (h *Holds) Expire(now time.Time) []string {
	var jobs []string
	for job, x := range h.held {
		if !x.pinned && !now.Before(x.until) {
			delete(h.held, job)
			jobs = append(jobs, job)
		}
	}
	slices.Sort(jobs)
	return jobs
}

// Len returns the number of holds, including those that are over but not yet
// dropped by Expire.
func (h *Holds) Len() int { return len(h.held) }
