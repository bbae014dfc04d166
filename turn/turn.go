// Package turn decides whose waiting step is placed next.
//
// A step has a rank, by its urgency and by whether it can still end in time. Without
// organisations the steps are placed by rank, then by latest start. Where organisations
// share the pool, that order holds inside each of them, and between them as long as each
// has no more than its share. The steps of an organisation that has more than its share go
// behind those of others: behind those of the same rank if it has little more, behind all
// that are still worth something if it has much more.
//
// Urgent steps go before the other steps of all organisations only as far as an
// organisation's urgent work alone is within its share. So an organisation that calls all
// its work urgent gets no more by it than its share.
//
// It answers two loads. One organisation sends many times its usual: its own steps wait, and
// those of the others as without it. All send more than there is room for: the room is
// divided by weight, and small organisations have their turn as well.
//
// Accounts holds what each organisation has and wants, over all resources and all owners of
// the deployment, and how much that may be. It remembers the last few seconds, but not what
// an organisation took while nobody else wanted it.
//
// The package does no input or output and reads no clock.
//
// Usage:
//
//	a := turn.Accounts{}
//	a.Started("press", demand, urgent, now)
//	a.Update(organisations, pool, waiting, now)
//	l := turn.NewLine(steps, &a, now)
//	for s, ok := l.Next(); ok; s, ok = l.Next() {
//		// try to place s, and call a.Started for each task
//	}
package turn

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"persimmonworks.example/persimmonworks/docket"
)

// Rank is the urgency of a step. A lower rank goes first.
type Rank int

// Ranks of steps in the order of placement. Steps of jobs that can only end too late to be
// worth anything come last.
const (
	Urgent Rank = iota
	UrgentLate
	InTime
	Late
	Worthless
)

// urgent reports whether a step of the rank is urgent work.
func (r Rank) urgent() bool { return r <= UrgentLate }

// Step is a step that waits.
type Step struct {
	ID           docket.StepID
	Organisation string
	Rank         Rank
	LatestStart  time.Time // with which its job still ends in time
	// Exempt steps keep their turn whatever their organisation has: they continue work
	// that was interrupted and must go on.
	Exempt bool
	Index  int // for the caller's use
	// Standing is set by Line.Next: that of the organisation when the step's turn came.
	Standing Standing
}

// Compare orders steps without regard to organisations: by rank, then by latest start.
//
// It answers bursts, in which more work arrives than the workers can do in time. In the
// order of latest starts alone the step that is about to miss its time always goes first,
// so all of them miss it by a little. Steps that are late already therefore wait behind
// those of the same urgency that can still end in time.
func Compare(a, b *Step) int {
	if a.Rank != b.Rank {
		return cmp.Compare(a.Rank, b.Rank)
	}
	if c := a.LatestStart.Compare(b.LatestStart); c != 0 {
		return c
	}
	return a.ID.Compare(b.ID)
}

// Standing says how what an organisation has compares with its share.
type Standing int

// Standings of organisations.
const (
	Within  Standing = iota // it has no more than its share, or there is room for all
	Over                    // it has somewhat more than its share
	FarOver                 // it has much more than its share
)

// String returns the name used in logs.
func (s Standing) String() string { return [...]string{"within", "over", "far-over"}[s] }

// position is the place of a step of a rank among the steps of all organisations.
func position(r Rank, s Standing) int {
	const behindAll = 2 * int(Worthless) // behind what is of use and belongs to others
	switch {
	case r == Worthless:
		return 2*behindAll + int(s)
	case s == FarOver:
		return behindAll + int(r)
	}
	return 2*int(r) + int(s)
}

// Line is the order in which waiting steps are tried. What an organisation gets on the way
// moves its remaining steps back, so that one that sends many at once does not have all of
// them placed before any of the others'.
type Line struct {
	accounts *Accounts // nil for the order without organisations
	now      time.Time
	groups   groupHeap
	served   bool // the steps of groups[0] may have moved since it was ordered
}

// group holds the steps of one organisation that are left, in order.
type group struct {
	steps    []*Step
	standing Standing
	position int
	judged   judgement // what latest was worked out for
	latest   Standing
}

// judgement is what the standing of a group depends on. The zero value is none.
type judgement struct {
	made, urgent bool
	changes      uint64 // of the accounts
}

// NewLine returns the line of the given steps, which it sorts. Without accounts it has the
// order of Compare.
func NewLine(steps []Step, accounts *Accounts, now time.Time) *Line {
	sorted := make([]*Step, len(steps))
	for i := range steps {
		sorted[i] = &steps[i]
	}
	slices.SortFunc(sorted, Compare)
	l := &Line{accounts: accounts, now: now}
	if accounts == nil {
		if len(sorted) > 0 {
			l.groups = groupHeap{{steps: sorted}}
		}
		return l
	}
	byOrganisation := map[string]*group{}
	for _, s := range sorted {
		g, ok := byOrganisation[s.Organisation]
		if !ok {
			g = &group{}
			byOrganisation[s.Organisation] = g
			l.groups = append(l.groups, g)
		}
		g.steps = append(g.steps, s)
	}
	for _, g := range l.groups {
		l.rate(g)
	}
	heap.Init(&l.groups)
	return l
}

// rate works out the position of the first step of a group.
func (l *Line) rate(g *group) {
	s := g.steps[0]
	g.standing = Within
	if l.accounts != nil && !s.Exempt {
		g.standing = l.standing(g, s)
	}
	g.position = position(s.Rank, g.standing)
}

// standing returns the standing of a group for a step of it. Most steps of a burst find no
// room, and then it is the one of the step before.
func (l *Line) standing(g *group, s *Step) Standing {
	if now := (judgement{true, s.Rank.urgent(), l.accounts.changes}); g.judged != now {
		g.judged = now
		g.latest = l.accounts.Standing(s.Organisation, now.urgent, l.now)
	}
	return g.latest
}

// Next removes the step whose turn it is and returns it, or false if none is left. What was
// placed since the call before must have been told to the accounts.
func (l *Line) Next() (*Step, bool) {
	if l.served {
		l.served = false
		if g := l.groups[0]; len(g.steps) == 0 {
			heap.Pop(&l.groups)
		} else if l.accounts != nil {
			l.rate(g)
			heap.Fix(&l.groups, 0)
		}
	}
	if len(l.groups) == 0 {
		return nil, false
	}
	g := l.groups[0]
	s := g.steps[0]
	s.Standing = g.standing
	g.steps = g.steps[1:]
	l.served = true
	return s, true
}

// groupHeap implements heap.Interface.
type groupHeap []*group

func (h groupHeap) Len() int { return len(h) }

func (h groupHeap) Less(i, j int) bool {
	if h[i].position != h[j].position {
		return h[i].position < h[j].position
	}
	return Compare(h[i].steps[0], h[j].steps[0]) < 0
}

func (h groupHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *groupHeap) Push(x any) { *h = append(*h, x.(*group)) }

// Pop implements heap.Interface.
func (h *groupHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
