package cell

import (
	"cmp"
	"slices"
	"time"

	"persimmonworks.example/persimmonworks/docket"
	"persimmonworks.example/persimmonworks/turn"
)

const (
	earmarkHorizon    = 2500 * time.Millisecond // resources expected to come free within this time are counted
	maxEarmarkedShare = 0.5                     // share of the workers that may be earmarked at a time
)

// earmarks are the workers that a pass keeps for waiting gangs, so that smaller tasks
// do not take the resources there as they come free one by one. Urgent tasks ignore
// earmarks, but for those of an organisation that has more than its share.
type earmarks struct {
	kept map[*worker]docket.StepID
	soon map[*worker]vector // free resources at the end of earmarkHorizon
}

// newEarmarks returns the earmarks of workers on which runs were preempted for a gang that
// still waits.
func newEarmarks(workers []*worker, steps map[docket.StepID]*readyStep, now time.Time) *earmarks {
	e := &earmarks{kept: map[*worker]docket.StepID{}, soon: map[*worker]vector{}}
	for _, w := range workers {
		if !now.Before(w.clearedUntil) {
			continue
		}
		if s, ok := steps[w.clearedFor]; ok && len(s.startableTasks()) > 0 {
			e.kept[w] = s.id
		}
	}
	return e
}

// roomSoon returns the resources of the worker that are expected to be free at the end
// of earmarkHorizon.
func (e *earmarks) roomSoon(c *Cell, w *worker, now time.Time) vector {
	v, ok := e.soon[w]
	if !ok {
		v = w.free().Add(c.freedWithin(w, now, earmarkHorizon))
		e.soon[w] = v
	}
	return v
}

// usableBy returns the workers that are not kept for another step.
func (e *earmarks) usableBy(s *readyStep, workers []*worker, now time.Time) []*worker {
	if len(e.kept) == 0 || s.passesEarmarks(now) {
		return workers
	}
	rest := make([]*worker, 0, len(workers))
	for _, w := range workers {
		if id, kept := e.kept[w]; !kept || id == s.id {
			rest = append(rest, w)
		}
	}
	return rest
}

// earmark marks the workers on which a waiting gang will fit soonest.
func (c *Cell) earmark(s *readyStep, e *earmarks, workers []*worker, now time.Time) {
	members := len(s.startableTasks())
	if !s.shape.GetGang() || members == 0 || s.heldByQuota || len(s.reservations) > 0 || placementRank(s, now) > turn.InTime {
		return
	}
	amount := demand(s.shape)
	type candidate struct {
		worker            *worker
		fitsNow, fitsSoon int
	}
	var candidates []candidate
	for _, w := range workers {
		if _, earmarked := e.kept[w]; earmarked || !e.roomSoon(c, w, now).Covers(amount) || !s.mayUse(w) {
			continue
		}
		if _, known := s.tickets[w.host.ID]; !known && s.queue.GetAdvice() != nil {
			continue
		}
		b := c.workerBin(s, w)
		n := candidate{worker: w, fitsNow: b.Fits(amount, members)}
		b.Free = e.roomSoon(c, w, now)
		n.fitsSoon = b.Fits(amount, members)
		if n.fitsSoon > 0 {
			candidates = append(candidates, n)
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.fitsNow, a.fitsNow), cmp.Compare(b.fitsSoon, a.fitsSoon))
	})
	maxEarmarked := int(maxEarmarkedShare * float64(len(workers)))
	for i, n := range candidates {
		members -= n.fitsSoon
		if members > 0 {
			continue
		}
		if len(e.kept)+i+1 > maxEarmarked {
			return
		}
		for _, k := range candidates[:i+1] {
			e.kept[k.worker] = s.id
		}
		return
	}
}

// freedWithin returns the resources of the runs that are stopping or expected to end
// within the given time.
func (c *Cell) freedWithin(w *worker, now time.Time, within time.Duration) vector {
	var v vector
	for _, x := range w.runs {
		if c.endsBy(x, now, now.Add(within)) {
			v = v.Add(demand(x.shape))
		}
	}
	return v
}
