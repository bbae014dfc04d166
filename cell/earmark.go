package cell

import (
	"cmp"
	"slices"
	"time"

	"persimmonworks.example/persimmonworks/docket"
)

const (
	earmarkHorizon    = 2500 * time.Millisecond // resources expected to come free within this time are counted
	maxEarmarkedShare = 0.5                     // share of the workers that may be earmarked at a time
)

// earmarks maps workers to the waiting gang that they are kept for, so that smaller
// tasks do not take the resources there as they come free one by one. Urgent tasks
// ignore earmarks.
type earmarks map[*worker]docket.StepID

// usableBy returns the workers that are not earmarked for another step.
func (e earmarks) usableBy(s *readyStep, workers []*worker, now time.Time) []*worker {
	if len(e) == 0 || urgent(placementRank(s, now)) {
		return workers
	}
	rest := make([]*worker, 0, len(workers))
	for _, w := range workers {
		if id, earmarked := e[w]; !earmarked || id == s.id {
			rest = append(rest, w)
		}
	}
	return rest
}

// earmark marks the workers on which a waiting gang will fit soonest.
func (c *Cell) earmark(s *readyStep, e earmarks, workers []*worker, now time.Time) {
	members := len(s.startableTasks())
	if !s.shape.GetGang() || members == 0 || len(s.reservations) > 0 || placementRank(s, now) > rankInTime {
		return
	}
	amount := demand(s.shape)
	type candidate struct {
		worker            *worker
		fitsNow, fitsSoon int
	}
	var candidates []candidate
	for _, w := range workers {
		if _, earmarked := e[w]; earmarked || w.host.Service != s.queue.GetService() || s.denied[w.host.ID] || !w.host.HasLabel(s.shape.GetRequires()) {
			continue
		}
		if _, known := s.tickets[w.host.ID]; !known && s.queue.GetAdvice() != nil {
			continue
		}
		b := c.workerBin(s, w)
		n := candidate{worker: w, fitsNow: b.Fits(amount, members)}
		b.Free = b.Free.Add(c.freedWithin(w, now, earmarkHorizon))
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
		if len(e)+i+1 > maxEarmarked {
			return
		}
		for _, k := range candidates[:i+1] {
			e[k.worker] = s.id
		}
		return
	}
}

// freedWithin returns the resources of the runs that are stopping or expected to end
// within the given time.
func (c *Cell) freedWithin(w *worker, now time.Time, within time.Duration) vector {
	var v vector
	for _, x := range w.runs {
		usual := c.durations.expected(x.queue, x.shape.GetEstimateMs())
		if x.phase == stopping || x.startedAt.Add(usual).Before(now.Add(within)) {
			v = v.Add(demand(x.shape))
		}
	}
	return v
}
