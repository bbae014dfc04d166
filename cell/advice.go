package cell

import (
	"context"
	"math"
	"slices"
	"time"

	"persimmonworks.example/persimmonworks/advice"
	"persimmonworks.example/persimmonworks/event"
)

const (
	adviceMost    = 100 // workers that one question may name
	adviceTimeout = 4 * time.Second
	adviceRetry   = 150 * time.Millisecond
	adviceSpare   = 1.4 // asked for, over what is likely needed
	gangSpare     = 4.0 // the same for gangs, whose members need much room at one moment
)

// seekAdvice asks which workers may run the step: of a gang all unknown ones at
// once, since each question costs more than the workers that it names; of other
// steps those with room.
func (c *Cell) seekAdvice(s *step, indices []uint32, fit []*worker, now time.Time) {
	amount := demand(s.shape)
	var known, unknown, roomy []*worker
	holdsKnown := 0
	for _, w := range fit {
		r := c.room(s, w)
		n := r.Holds(amount, len(indices))
		t, told := s.tickets[w.host.ID]
		switch {
		case !told || t.life != w.life:
			unknown = append(unknown, w)
			if n > 0 {
				roomy = append(roomy, w)
			}
		case n > 0:
			known = append(known, w)
			holdsKnown += n
		}
	}
	gang := s.shape.GetGang()
	switch {
	case gang && holdsKnown >= len(indices):
		c.renewGang(s, indices, known, now)
	case gang && len(unknown) > 0 && (len(s.tickets) == 0 || len(roomy) > 0):
		c.ask(s, c.most(s, unknown, indices, gangSpare), now)
	case gang:
	case len(known) > 0:
		c.ask(s, c.most(s, known, indices, adviceSpare), now)
	case len(roomy) > 0:
		c.ask(s, c.most(s, roomy, indices, adviceSpare), now)
	}
}

// renewGang renews the tickets that a whole gang needs and keeps its room
// meanwhile.
func (c *Cell) renewGang(s *step, indices []uint32, known []*worker, now time.Time) {
	counts, ok := c.fitGang(s, len(indices), known)
	if !ok {
		return
	}
	var named []*worker
	for i, n := range counts {
		if n == 0 {
			continue
		}
		amount := demand(s.shape).Scale(int64(n))
		known[i].used = known[i].used.Add(amount)
		s.reserved = append(s.reserved, reservation{known[i], amount})
		if !s.valid(known[i], now) {
			named = append(named, known[i])
		}
	}
	if len(named) == 0 {
		c.unreserve(s)
		return
	}
	c.ask(s, named, now)
}

func (c *Cell) unreserve(s *step) {
	for _, r := range s.reserved {
		r.worker.used = r.worker.used.Sub(r.amount)
	}
	s.reserved = nil
}

// most returns the workers to name: as many as are likely needed for the tasks
// times spare, those with most room first.
func (c *Cell) most(s *step, workers []*worker, indices []uint32, spare float64) []*worker {
	amount := demand(s.shape)
	holds := make(map[*worker]int, len(workers))
	for _, w := range workers {
		r := c.room(s, w)
		holds[w] = r.Holds(amount, len(indices))
	}
	slices.SortStableFunc(workers, func(v, w *worker) int { return holds[w] - holds[v] })
	share := c.Advice.Allowed(s.queue.GetName())
	want := float64(len(indices)) * spare
	count := 0
	for _, w := range workers {
		if want <= 0 {
			break
		}
		count++
		n := float64(max(1, holds[w]))
		if _, known := s.tickets[w.host.ID]; !known {
			n *= share
		}
		want -= n
	}
	least := int(math.Ceil(2 / share))
	return workers[:min(len(workers), max(count, least), adviceMost)]
}

// ask puts the question; the answer is taken in on the loop.
func (c *Cell) ask(s *step, workers []*worker, now time.Time) {
	a := s.queue.GetAdvice()
	names := make([]string, len(workers))
	lives := make(map[string]int64, len(workers))
	for i, w := range workers {
		names[i] = w.host.ID
		lives[w.host.ID] = w.life
	}
	takes := advice.QuestionTime(a, len(names))
	helper := c.Advice.Choose(takes, now)
	if helper == nil {
		c.unreserve(s)
		return
	}
	s.asking = true
	c.group.Go(func() error {
		call, cancel := context.WithTimeout(c.ctx, adviceTimeout)
		defer cancel()
		permits, err := helper.Advisor.Advise(call, s.id, names)
		c.loop.Post(func() { c.advised(s, helper, names, lives, permits, now, err) })
		return nil
	})
}

// advised takes in the answer to a question sent at a time.
func (c *Cell) advised(s *step, h *advice.Helper, names []string, lives map[string]int64, permits []advice.Permit, sent time.Time, err error) {
	now := time.Now()
	s.asking = false
	c.unreserve(s)
	c.Advice.Done(h, err, now)
	c.Meter.Observe("advice", now.Sub(sent))
	if err != nil {
		s.askAgain = now.Add(adviceRetry)
		c.Log.Emit(event.AdviceFailed, "step", s.id.String(), "helper", h.Name, "error", err)
		c.touch()
		return
	}
	valid := time.Duration(s.queue.GetAdvice().GetValidityMs() * float64(time.Millisecond))
	fresh := 0
	for _, name := range names {
		if _, known := s.tickets[name]; !known {
			fresh++
			s.denied[name] = true
		}
	}
	allowedFresh := 0
	for _, p := range permits {
		if s.denied[p.Worker] {
			allowedFresh++
			delete(s.denied, p.Worker)
		}
		// The service has decided at its earliest when the call arrived.
		s.tickets[p.Worker] = ticket{value: p.Ticket, life: lives[p.Worker], until: now.Add(valid - now.Sub(sent)/8)}
	}
	if fresh > 0 {
		c.Advice.Learn(s.queue.GetName(), allowedFresh, fresh)
	}
	c.Log.Emit(event.Advised, "job", s.id.Job, "step", s.id.String(), "asked", len(names), "allowed", len(permits),
		"helper", h.Name, "took-ms", now.Sub(sent).Milliseconds())
	if _, ok := c.steps[s.id]; ok {
		c.tryStep(s, c.openWorkers(now), now)
	}
	c.touch()
}

func (c *Cell) openWorkers(now time.Time) []*worker {
	var open []*worker
	for _, w := range c.workers {
		if c.takes(w, now) {
			open = append(open, w)
		}
	}
	return open
}
