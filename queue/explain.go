package queue

import (
	"fmt"
	"time"
)

// Explanation tells why a task still waits.
type Explanation struct {
	Item               Item
	Position           int           // 1 for the next task of its organisation and class
	Waited             time.Duration // time since it was enqueued
	Overdue            bool          // whether it has waited for the age limit
	OrganisationsAhead []string      // organisations with waiting tasks of the class and a lower weighted usage
	Reason             string        // a sentence for people, which tells what would let the task start
}

// Explain returns why a task waits, and false if it does not wait. Its cost grows
// with the number of waiting tasks of the organisation, so it is meant for
// queries by people and not for every decision.
func (q *Queue) Explain(id string, now time.Time) (Explanation, bool) {
	e, ok := q.items[id]
	if !ok || !e.Waits() {
		return Explanation{}, false
	}
	x := Explanation{
		Item:               e.item,
		Position:           q.position(e),
		Waited:             now.Sub(e.item.Enqueued),
		Overdue:            !q.due(&e.item).After(now),
		OrganisationsAhead: q.ahead(e, now),
	}
	x.Reason = q.reason(e, x)
	return x, true
}

// position returns the position of e among the tasks of its organisation and
// class, from 1.
func (q *Queue) position(e *entry) int {
	n := 1
	for _, b := range e.bucket.org.orgQueues[rank(e.item.Class)].buckets {
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

// ahead returns the organisations that go before that of e in its class.
func (q *Queue) ahead(e *entry, now time.Time) []string {
	own := q.weightedUsage(e.bucket.org, now)
	var names []string
	for _, o := range q.orgList {
		if o != e.bucket.org && q.Waiting(o.name, e.item.Class) > 0 && q.weightedUsage(o, now) < own {
			names = append(names, o.name)
		}
	}
	return names
}

func (q *Queue) reason(e *entry, x Explanation) string {
	o, i := e.bucket.org, e.item
	switch {
	case !o.withinQuota(i.Demand):
		return fmt.Sprintf("organisation %q runs %v of its quota %v: the task needs %v, and starts when tasks of the organisation end or the quota is raised",
			o.name, q.Running(o.name), o.share.Quota, i.Demand)
	case !e.bucket.coarse && e.bucket.shape.round > 0 && !e.bucket.shape.fits:
		return fmt.Sprintf("no worker had room for %v at the last decision: the task starts when that much is free on one worker", i.Demand)
	case x.Position > 1:
		return fmt.Sprintf("%d tasks of organisation %q and class %q go first, by priority and age", x.Position-1, o.name, i.Class)
	case len(x.OrganisationsAhead) > 0:
		return fmt.Sprintf("organisation %q uses more for its weight than %q, which go first", o.name, x.OrganisationsAhead)
	default:
		return "the task is first in its class, and starts at the next decision unless more urgent work waits"
	}
}
