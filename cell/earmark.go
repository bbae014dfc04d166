package cell

import (
	"cmp"
	"slices"
	"time"

	"persimmonworks.example/persimmonworks/docket"
)

const (
	earmarkHorizon = 2500 * time.Millisecond // room that frees up within it is waited for
	earmarkShare   = 0.5                     // of the workers that may be kept for waiting gangs
)

// earmarks keeps workers for gangs that do not fit yet, so that smaller tasks
// do not take each piece of room as it becomes free. Urgent tasks ignore it.
type earmarks map[*worker]docket.StepID

// allowed returns the workers that a step may use in spite of earmarks.
func (e earmarks) allowed(s *step, workers []*worker, now time.Time) []*worker {
	if len(e) == 0 || rank(s, now) == urgent {
		return workers
	}
	rest := make([]*worker, 0, len(workers))
	for _, w := range workers {
		if id, kept := e[w]; !kept || id == s.id {
			rest = append(rest, w)
		}
	}
	return rest
}

// earmark keeps the workers on which a waiting gang will fit soonest.
func (c *Cell) earmark(s *step, e earmarks, open []*worker, now time.Time) {
	members := len(s.startable())
	if !s.shape.GetGang() || members == 0 || len(s.reserved) > 0 || rank(s, now) > inTime {
		return
	}
	amount := demand(s.shape)
	type candidate struct {
		worker    *worker
		now, soon int
	}
	var candidates []candidate
	for _, w := range open {
		if _, kept := e[w]; kept || w.host.Service != s.queue.GetService() || s.denied[w.host.ID] || !w.host.Has(s.shape.GetRequires()) {
			continue
		}
		if _, known := s.tickets[w.host.ID]; !known && s.queue.GetAdvice() != nil {
			continue
		}
		r := c.room(s, w)
		n := candidate{worker: w, now: r.Holds(amount, members)}
		r.Free = r.Free.Add(c.freeSoon(w, now))
		n.soon = r.Holds(amount, members)
		if n.soon > 0 {
			candidates = append(candidates, n)
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.now, a.now), cmp.Compare(b.soon, a.soon))
	})
	most := int(earmarkShare * float64(len(open)))
	for i, n := range candidates {
		members -= n.soon
		if members > 0 {
			continue
		}
		if len(e)+i+1 > most {
			return
		}
		for _, k := range candidates[:i+1] {
			e[k.worker] = s.id
		}
		return
	}
}

// freeSoon returns the room of the runs that are expected to end soon.
func (c *Cell) freeSoon(w *worker, now time.Time) vector {
	var v vector
	for _, x := range w.runs {
		usual := c.speeds.usual(x.queue, x.shape.GetEstimateMs())
		if x.phase == stopping || x.began.Add(usual).Before(now.Add(earmarkHorizon)) {
			v = v.Add(demand(x.shape))
		}
	}
	return v
}
