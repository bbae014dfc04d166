package queue

import (
	"time"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/fairness"
)

// Next removes the preferred task among those that fit, and returns it. The
// result of fits must depend only on Class, Long and Demand of the item. If a
// demand does not fit, no demand that covers it may fit. Tasks past their
// deadline are dropped and then returned by Expired.
func (q *Queue) Next(now time.Time, fits func(Item) bool) (Item, bool) {
	q.sweep()
	q.expire(now)
	q.refreshUsage(now)
	q.round++
	q.unfitShapes = q.unfitShapes[:0]
	e, overdue := q.selectNext(now, fits)
	if e == nil {
		return Item{}, false
	}
	if overdue {
		q.startsSinceOverdue = 0
	} else {
		q.startsSinceOverdue++
	}
	q.removeEntry(e)
	return e.item, true
}

// Overdue returns the longest overdue task that is within its quota, whether or
// not it fits, so that the caller can reserve capacity for it.
func (q *Queue) Overdue(now time.Time) (Item, bool) {
	q.expire(now)
	q.round++
	q.unfitShapes = q.unfitShapes[:0]
	oldest := q.longestOverdue(now, func(Item) bool { return true })
	if oldest == nil {
		return Item{}, false
	}
	return oldest.item, true
}

// Preferred returns the task that Next would take if every eligible task fitted,
// so that the caller can reserve capacity for it. Without the reservation,
// smaller tasks of other organisations take capacity as it becomes free, before
// there is enough for a large task. The conditions on fits of Next hold for
// eligible too.
func (q *Queue) Preferred(now time.Time, eligible func(Item) bool) (Item, bool) {
	q.expire(now)
	q.refreshUsage(now)
	q.round++
	q.unfitShapes = q.unfitShapes[:0]
	e, _ := q.selectNext(now, eligible)
	if e == nil {
		return Item{}, false
	}
	return e.item, true
}

// selectNext returns the task to start, and whether it was selected because it is
// overdue.
func (q *Queue) selectNext(now time.Time, fits func(Item) bool) (e *entry, overdue bool) {
	if q.startsSinceOverdue+1 >= q.overdueInterval() && !now.Before(q.nextDue) {
		if e := q.longestOverdue(now, fits); e != nil {
			return e, true
		}
	}
	policy := q.Policy
	if policy == nil {
		policy = Fair{}
	}
	var best *entry
	var bestCandidate Candidate
	_, prunable := policy.(usageFirst)
	for rank := range q.classQueues {
		cq := &q.classQueues[rank]
		var leastUsed *orgQueue
		if prunable && len(cq.orgQueues) > 0 {
			leastUsed = q.leastUsed(cq, now)
			best, bestCandidate = q.bestOf(best, bestCandidate, leastUsed, policy, now, fits)
		}
		for _, oq := range cq.orgQueues {
			if cq.noneFits(q.round) {
				break
			}
			if oq == leastUsed || prunable && best != nil && oq.minUsage > bestCandidate.Usage {
				continue
			}
			best, bestCandidate = q.bestOf(best, bestCandidate, oq, policy, now, fits)
		}
		if best != nil && !policy.ByArrival() {
			break
		}
	}
	return best, false
}

// leastUsed returns the queue of the organisation with the lowest weighted usage,
// and sets minUsage of all.
func (q *Queue) leastUsed(cq *classQueue, now time.Time) *orgQueue {
	var least *orgQueue
	for _, c := range cq.orgQueues {
		c.minUsage = q.currentUsage(c.org, now) / c.org.weight()
		if least == nil || c.minUsage < least.minUsage {
			least = c
		}
	}
	return least
}

// bestOf returns the best candidate that fits, among the best so far, which may
// be nil, and those of oq.
func (q *Queue) bestOf(best *entry, bestCandidate Candidate, oq *orgQueue, policy Policy, now time.Time, fits func(Item) bool) (*entry, Candidate) {
	for _, b := range oq.buckets {
		if b.unfit(q.round) {
			continue
		}
		e := b.preferred(policy)
		x := q.candidate(b, e, now)
		if (best == nil || policy.Before(x, bestCandidate)) && q.fitsOnce(b, e, fits) {
			best, bestCandidate = e, x
		}
	}
	return best, bestCandidate
}

// candidate returns the candidate for e. Its usage includes half of what the
// start would add for its demand. Without that half, organisations with large
// tasks would get more than their share.
func (q *Queue) candidate(b *bucket, e *entry, now time.Time) Candidate {
	o := b.org
	usage := q.currentUsage(o, now) + fairness.RunningWeight/2*e.item.Demand.DominantShare(q.Pool)
	return Candidate{Item: &e.item, Usage: usage / o.weight(), sequence: e.sequence}
}

// longestOverdue returns the longest overdue task that fits, and updates nextDue.
func (q *Queue) longestOverdue(now time.Time, fits func(Item) bool) *entry {
	var longest *entry
	q.nextDue = time.Time{}
	for rank := range q.classQueues {
		cq := &q.classQueues[rank]
		limit := q.ageLimit(class.All[rank])
		for _, oq := range cq.orgQueues {
			for _, b := range oq.buckets {
				e := b.first()
				due := e.item.Enqueued.Add(limit)
				if q.nextDue.IsZero() || due.Before(q.nextDue) {
					q.nextDue = due
				}
				if !due.After(now) && !b.unfit(q.round) && (longest == nil || q.dueBefore(e, longest)) && q.fitsOnce(b, e, fits) {
					longest = e
				}
			}
		}
	}
	return longest
}

// fitsOnce reports whether e is within its quota and fits. In each round it calls
// fits at most once for a shape, and not for a shape that covers one which did
// not fit. Results for coarse buckets are not cached.
func (q *Queue) fitsOnce(b *bucket, e *entry, fits func(Item) bool) bool {
	if !b.org.withinQuota(e.item.Demand) {
		return false
	}
	s := b.shape
	if b.coarse {
		s = &shape{shapeKey: shapeKey{s.class, s.long, e.item.Demand}}
	}
	if s.round == q.round {
		return s.fits
	}
	s.round = q.round
	cq := &q.classQueues[rank(s.class)]
	for _, u := range q.unfitShapes {
		if u.class == s.class && u.long == s.long && s.demand.Covers(u.demand) {
			s.fits = false
			if !b.coarse {
				cq.countUnfit(q.round)
			}
			return false
		}
	}
	s.fits = fits(e.item)
	if !s.fits && !b.coarse {
		cq.countUnfit(q.round)
	}
	if !s.fits && len(q.unfitShapes) < maxUnfitShapes {
		q.unfitShapes = append(q.unfitShapes, s)
	}
	return s.fits
}

// due returns when a task becomes overdue.
func (q *Queue) due(i *Item) time.Time { return i.Enqueued.Add(q.ageLimit(i.Class)) }

func (q *Queue) dueBefore(a, b *entry) bool {
	x, y := q.due(&a.item), q.due(&b.item)
	if !x.Equal(y) {
		return x.Before(y)
	}
	return a.sequence < b.sequence
}

func (q *Queue) ageLimit(c class.Class) time.Duration {
	if d, ok := q.AgeLimit[c]; ok {
		return d
	}
	return defaultAgeLimit[c]
}

func (q *Queue) overdueInterval() int {
	if q.OverdueInterval < 1 {
		return defaultOverdueInterval
	}
	return q.OverdueInterval
}
