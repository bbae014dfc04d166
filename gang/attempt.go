package gang

import (
	"slices"
	"time"
)

// Action is what a shard is asked to do.
type Action string

// Actions of a step.
const (
	Hold    Action = "hold"
	Pin     Action = "pin"
	Release Action = "release"
)

// Outcome is the state of an attempt.
type Outcome string

// Outcomes of an attempt. Only Committed allows members to start. Abandoned
// means that nothing was started, and that all shards were told to release.
const (
	Pending   Outcome = "pending"
	Committed Outcome = "committed"
	Abandoned Outcome = "abandoned"
)

// Step is a question to one shard.
type Step struct {
	Shard  string
	Action Action
}

// Attempt is one try to get the room for all members of a gang job.
//
// Invariants: shards are asked in the order of their names; no shard is asked
// to pin before all hold; the attempt is Committed only if all have pinned;
// and once one has refused, every shard that was asked is told to release.
type Attempt struct {
	shards  []string
	until   time.Time // expiry of the holds
	action  Action
	next    int // index of the shard to ask
	asked   int // shards that may hold
	outcome Outcome
	refused string
}

// NewAttempt returns an attempt that has asked nobody. The holds that it asks
// for expire at the given time.
func NewAttempt(shards []string, until time.Time) *Attempt {
	order := slices.Clone(shards)
	slices.Sort(order)
	a := &Attempt{shards: slices.Compact(order), until: until, action: Hold, outcome: Pending}
	if len(order) == 0 {
		a.outcome = Committed
	}
	return a
}

// Outcome returns the state of the attempt.
func (a *Attempt) Outcome() Outcome { return a.outcome }

// RefusedBy returns the shard that ended the attempt, or "" if time did or
// if none has.
func (a *Attempt) RefusedBy() string { return a.refused }

// Until returns when the holds expire.
func (a *Attempt) Until() time.Time { return a.until }

// Next returns the next question, and false once the attempt is over. Until
// it is answered the same question is returned.
func (a *Attempt) Next(now time.Time) (Step, bool) {
	if a.outcome == Pending && a.action != Release && !now.Before(a.until) {
		a.abandon("")
	}
	if a.outcome != Pending {
		return Step{}, false
	}
	return Step{a.shards[a.next], a.action}, true
}

// Answered takes in the answer to the question that Next returned; agreed is
// false also if the answer is unknown. A release that is not confirmed is
// asked again. Answers to other questions are late, and ignored.
func (a *Attempt) Answered(s Step, agreed bool) {
	if a.outcome != Pending || s != (Step{a.shards[a.next], a.action}) {
		return
	}
	if a.action == Hold {
		a.asked = max(a.asked, a.next+1)
	}
	switch {
	case agreed:
		a.advance()
	case a.action != Release:
		a.abandon(s.Shard)
	}
}

func (a *Attempt) advance() {
	a.next++
	switch {
	case a.action == Release && a.next == a.asked:
		a.outcome = Abandoned
	case a.next < len(a.shards):
	case a.action == Hold:
		a.action, a.next = Pin, 0
	case a.action == Pin:
		a.outcome = Committed
	}
}

func (a *Attempt) abandon(shard string) {
	a.refused = shard
	if a.action == Hold && a.next >= a.asked {
		// The question to this shard may be on its way.
		a.asked = a.next + 1
	}
	a.action, a.next = Release, 0
}
