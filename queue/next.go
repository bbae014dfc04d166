package queue

import (
	"time"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/fairness"
)

// Next takes the preferred task among those that fit out of the queue. The
// answer of fits may depend on Class, Long and Demand of the item only, and a
// demand that covers one which does not fit must not fit either. Tasks
// past their deadline are dropped, and reported by Expired.
func (q *Queue) Next(now time.Time, fits func(Item) bool) (Item, bool) {
	q.sweep()
	q.expire(now)
	q.refresh(now)
	q.round++
	q.unfit = q.unfit[:0]
	e, overdue := q.choose(now, fits)
	if e == nil {
		return Item{}, false
	}
	if overdue {
		q.sinceAged = 0
	} else {
		q.sinceAged++
	}
	q.take(e)
	return e.item, true
}

// Overdue returns the task within its quota that has been due longest, also if
// it does not fit, so that the caller can keep room for it.
func (q *Queue) Overdue(now time.Time) (Item, bool) {
	q.expire(now)
	q.round++
	q.unfit = q.unfit[:0]
	oldest := q.longestDue(now, func(Item) bool { return true })
	if oldest == nil {
		return Item{}, false
	}
	return oldest.item, true
}

// Preferred returns the task that Next would take if every task that eligible
// reports true for did fit, so that the caller can keep room for it: else
// smaller tasks of others take each room that comes free before it is large
// enough. As in Next, eligible decides for all tasks of one shape alike, and a
// task that needs more than one that is not eligible is not eligible either.
func (q *Queue) Preferred(now time.Time, eligible func(Item) bool) (Item, bool) {
	q.expire(now)
	q.refresh(now)
	q.round++
	q.unfit = q.unfit[:0]
	e, _ := q.choose(now, eligible)
	if e == nil {
		return Item{}, false
	}
	return e.item, true
}

// choose returns the task to start, and whether it goes first because it is
// overdue.
func (q *Queue) choose(now time.Time, fits func(Item) bool) (e *entry, overdue bool) {
	if q.sinceAged+1 >= q.agedEvery() && !now.Before(q.nextDue) {
		if e := q.longestDue(now, fits); e != nil {
			return e, true
		}
	}
	policy := q.Policy
	if policy == nil {
		policy = Fair{}
	}
	var best *entry
	var chosen Candidate
	_, pruned := policy.(usageFirst)
	for rank := range q.lanes {
		l := &q.lanes[rank]
		var first *claim
		if pruned && len(l.claims) > 0 {
			first = q.leastUsed(l, now)
			best, chosen = q.better(best, chosen, first, policy, now, fits)
		}
		for _, c := range l.claims {
			if l.full(q.round) {
				break
			}
			if c == first || pruned && best != nil && c.least > chosen.Usage {
				continue
			}
			best, chosen = q.better(best, chosen, c, policy, now, fits)
		}
		if best != nil && !policy.ByArrival() {
			break
		}
	}
	return best, false
}

// leastUsed returns the claim of the organisation with the lowest weighted
// usage, and notes the usage of each.
func (q *Queue) leastUsed(l *lane, now time.Time) *claim {
	var least *claim
	for _, c := range l.claims {
		c.least = q.current(c.account, now) / c.account.weight()
		if least == nil || c.least < least.least {
			least = c
		}
	}
	return least
}

// better returns the best fitting candidate among that found so far, if any,
// and those of a claim.
func (q *Queue) better(best *entry, chosen Candidate, c *claim, policy Policy, now time.Time, fits func(Item) bool) (*entry, Candidate) {
	for _, b := range c.buckets {
		if b.unfit(q.round) {
			continue
		}
		e := b.preferred(policy)
		x := q.candidate(b, e, now)
		if (best == nil || policy.Before(x, chosen)) && q.fitting(b, e, fits) {
			best, chosen = e, x
		}
	}
	return best, chosen
}

// candidate takes the usage midway through the start: without its half of
// the demand, organisations with large tasks would get more.
func (q *Queue) candidate(b *bucket, e *entry, now time.Time) Candidate {
	a := b.account
	midway := q.current(a, now) + fairness.RunningWeight/2*e.item.Demand.DominantShare(q.Pool)
	return Candidate{Item: &e.item, Usage: midway / a.weight(), sequence: e.sequence}
}

// longestDue returns the fitting task that has been due longest, and learns
// when the next task becomes due.
func (q *Queue) longestDue(now time.Time, fits func(Item) bool) *entry {
	var oldest *entry
	q.nextDue = time.Time{}
	for rank := range q.lanes {
		l := &q.lanes[rank]
		limit := q.ageLimit(class.All[rank])
		for _, c := range l.claims {
			for _, b := range c.buckets {
				e := b.first()
				due := e.item.Enqueued.Add(limit)
				if q.nextDue.IsZero() || due.Before(q.nextDue) {
					q.nextDue = due
				}
				if !due.After(now) && !b.unfit(q.round) && (oldest == nil || q.dueBefore(e, oldest)) && q.fitting(b, e, fits) {
					oldest = e
				}
			}
		}
	}
	return oldest
}

// fitting asks fits at most once for each shape in a call of Next, and not at
// all for a shape that covers one which did not fit.
func (q *Queue) fitting(b *bucket, e *entry, fits func(Item) bool) bool {
	if !b.account.within(e.item.Demand) {
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
	l := &q.lanes[rank(s.class)]
	for _, u := range q.unfit {
		if u.class == s.class && u.long == s.long && s.demand.Covers(u.demand) {
			s.fits = false
			if !b.coarse {
				l.countUnfit(q.round)
			}
			return false
		}
	}
	s.fits = fits(e.item)
	if !s.fits && !b.coarse {
		l.countUnfit(q.round)
	}
	if !s.fits && len(q.unfit) < maxUnfit {
		q.unfit = append(q.unfit, s)
	}
	return s.fits
}

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

func (q *Queue) agedEvery() int {
	if q.AgedEvery < 1 {
		return defaultAgedEvery
	}
	return q.AgedEvery
}
