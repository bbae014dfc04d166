package queue

import (
	"fmt"
	"time"
)

// Explanation says why a task still waits.
type Explanation struct {
	Item     Item
	Position int           // 1 for the next task of its organisation and class
	Waited   time.Duration // since it was enqueued
	Overdue  bool
	Behind   []string // organisations of the same class that go first now
	Reason   string   // in plain words, with what would let the task run
}

// Explain returns why a task waits. Its cost grows with the number of tasks
// of the organisation, so it is for people and not for every decision.
func (q *Queue) Explain(id string, now time.Time) (Explanation, bool) {
	e, ok := q.items[id]
	if !ok || !e.Waits() {
		return Explanation{}, false
	}
	x := Explanation{
		Item:     e.item,
		Position: q.position(e),
		Waited:   now.Sub(e.item.Enqueued),
		Overdue:  !q.due(&e.item).After(now),
		Behind:   q.ahead(e, now),
	}
	x.Reason = q.reason(e, x)
	return x, true
}

func (q *Queue) position(e *entry) int {
	n := 1
	for _, b := range e.bucket.account.claims[rank(e.item.Class)].buckets {
		if b.shape.class != e.item.Class {
			continue
		}
		for _, other := range b.ready.Waiting() {
			if !byPriority(other, e) {
				break
			}
			n++
		}
	}
	return n
}

func (q *Queue) ahead(e *entry, now time.Time) []string {
	own := q.weightedUsage(e.bucket.account, now)
	var names []string
	for _, a := range q.order {
		if a != e.bucket.account && q.Waiting(a.name, e.item.Class) > 0 && q.weightedUsage(a, now) < own {
			names = append(names, a.name)
		}
	}
	return names
}

func (q *Queue) reason(e *entry, x Explanation) string {
	a, i := e.bucket.account, e.item
	switch {
	case !a.within(i.Demand):
		return fmt.Sprintf("organisation %q runs %v of its quota %v: the task needs %v, and starts when tasks of the organisation end or the quota is raised",
			a.name, q.Running(a.name), a.share.Quota, i.Demand)
	case !e.bucket.coarse && e.bucket.shape.round > 0 && !e.bucket.shape.fits:
		return fmt.Sprintf("no worker had room for %v at the last decision: the task starts when that much is free on one worker", i.Demand)
	case x.Position > 1:
		return fmt.Sprintf("%d tasks of organisation %q and class %q go first, by priority and age", x.Position-1, a.name, i.Class)
	case len(x.Behind) > 0:
		return fmt.Sprintf("organisation %q uses more for its weight than %q, which go first", a.name, x.Behind)
	default:
		return "the task is first in its class, and starts at the next decision unless more urgent work waits"
	}
}
