package gang

import (
	"slices"
	"time"
)

// Action is a request to a shard.
type Action string

// Actions, in the order in which a successful acquisition sends them; Release
// undoes both.
const (
	Hold    Action = "hold"
	Pin     Action = "pin"
	Release Action = "release"
)

// State is the state of an acquisition.
type State string

// States of an acquisition. Members may start only in state Committed. Abandoned
// means that no member was started and that every contacted shard has confirmed
// the release.
const (
	Pending   State = "pending"
	Committed State = "committed"
	Abandoned State = "abandoned"
)

// Step is a request to one shard.
type Step struct {
	Shard  string
	Action Action
}

// Acquisition is one attempt to acquire capacity for all members of a gang job. It
// is a two-phase commit: all shards hold the capacity first, and then all pin it.
//
// Invariants: shards are contacted in the order of their names; no shard is asked
// to pin before all hold; the state is Committed only if all have pinned; and once
// a shard has refused or the holds have expired, every shard that may hold capacity
// is asked to release it.
type Acquisition struct {
	shards     []string
	holdExpiry time.Time // time at which the requested holds expire
	phase      Action
	nextShard  int // index of the shard to contact next
	contacted  int // number of leading shards that may hold capacity
	state      State
	refusedBy  string
}

// NewAcquisition returns an acquisition that has not contacted any shard. Its holds
// expire at the given time. Without shards it is committed from the start.
func NewAcquisition(shards []string, holdExpiry time.Time) *Acquisition {
	sorted := slices.Clone(shards)
	slices.Sort(sorted)
	a := &Acquisition{shards: slices.Compact(sorted), holdExpiry: holdExpiry, phase: Hold, state: Pending}
	if len(sorted) == 0 {
		a.state = Committed
	}
	return a
}

// State returns the state of the acquisition.
func (a *Acquisition) State() State { return a.state }

// RefusedBy returns the shard whose refusal or unknown answer ended the acquisition,
// or "" if the holds expired or no shard has refused.
func (a *Acquisition) RefusedBy() string { return a.refusedBy }

// HoldExpiry returns the time at which the holds expire.
func (a *Acquisition) HoldExpiry() time.Time { return a.holdExpiry }

// Next returns the next step, and false once the acquisition is committed or
// abandoned. It returns the same step until that is answered, but switches to
// releasing once the holds have expired.
func (a *Acquisition) Next(now time.Time) (Step, bool) {
	if a.state == Pending && a.phase != Release && !now.Before(a.holdExpiry) {
		a.beginRelease("")
	}
	if a.state != Pending {
		return Step{}, false
	}
	return Step{a.shards[a.nextShard], a.phase}, true
}

// RecordAnswer records the answer to the step that Next returned. Agreed must be
// false if the answer is unknown. A release that is not confirmed is sent again.
// Answers to other steps are late and are ignored.
func (a *Acquisition) RecordAnswer(s Step, agreed bool) {
	if a.state != Pending || s != (Step{a.shards[a.nextShard], a.phase}) {
		return
	}
	if a.phase == Hold {
		a.contacted = max(a.contacted, a.nextShard+1)
	}
	switch {
	case agreed:
		a.advance()
	case a.phase != Release:
		a.beginRelease(s.Shard)
	}
}

// advance moves to the next shard, or to the next phase after the last one.
func (a *Acquisition) advance() {
	a.nextShard++
	switch {
	case a.phase == Release && a.nextShard == a.contacted:
		a.state = Abandoned
	case a.nextShard < len(a.shards):
	case a.phase == Hold:
		a.phase, a.nextShard = Pin, 0
	case a.phase == Pin:
		a.state = Committed
	}
}

// beginRelease starts to release all shards that may hold capacity. The shard is
// the one that refused, or "" if the holds expired.
func (a *Acquisition) beginRelease(shard string) {
	a.refusedBy = shard
	if a.phase == Hold && a.nextShard >= a.contacted {
		// A hold request to this shard may still be in flight.
		a.contacted = a.nextShard + 1
	}
	a.phase, a.nextShard = Release, 0
}
