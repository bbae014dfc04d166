package cell

import (
	"context"
	"math"
	"slices"
	"time"

	"persimmonworks.example/persimmonworks/advice"
	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/wire"
)

const (
	maxAdviceWorkers    = 100 // workers that one request may name
	adviceTimeout       = 4 * time.Second
	adviceRetryInterval = 150 * time.Millisecond
	adviceSurplus       = 1.4 // factor on the number of workers that are likely needed
	adviceDivision      = 2.0 // a part of a divided request names workers for half of its decision time
	gangAdviceSurplus   = 4.0 // the same for gangs, whose members need many free resources at the same moment
)

// requestAdvice asks which workers may run the step. For a gang it names all
// workers without an answer at once, since each request costs more than the
// workers that it names; for other steps it names those with room.
func (c *Cell) requestAdvice(s *readyStep, indices []uint32, room, workers []*worker, now time.Time) {
	var known, unknown []*worker // with room
	knownCapacity := 0
	amount := demand(s.shape)
	for _, w := range room {
		if !s.knows(w) {
			unknown = append(unknown, w)
			continue
		}
		b := c.workerBin(s, w)
		if n := b.Fits(amount, len(indices)); n > 0 {
			known = append(known, w)
			knownCapacity += n
		}
	}
	gang := s.shape.GetGang()
	switch {
	case gang && knownCapacity >= len(indices):
		c.renewGangTickets(s, indices, known, now)
	case gang && (len(s.tickets) == 0 || len(unknown) > 0):
		if all := s.unknownWorkers(workers); len(all) > 0 {
			c.sendAdviceRequest(s, c.workersToAsk(s, all, indices, gangAdviceSurplus), now)
		}
	case gang:
	case len(known) > 0:
		c.sendAdviceRequest(s, c.workersToAsk(s, known, indices, adviceSurplus), now)
	case len(unknown) > 0:
		c.sendAdviceRequest(s, c.workersToAsk(s, unknown, indices, adviceSurplus), now)
	}
}

// knows reports whether the step has had a permit for this incarnation of the worker.
func (s *readyStep) knows(w *worker) bool {
	t, ok := s.tickets[w.host.ID]
	return ok && t.incarnation == w.incarnation
}

// unknownWorkers returns the workers that the step may use as far as is known, and has
// no answer for.
func (s *readyStep) unknownWorkers(workers []*worker) []*worker {
	var unknown []*worker
	for _, w := range workers {
		if s.mayUse(w) && !s.knows(w) {
			unknown = append(unknown, w)
		}
	}
	return unknown
}

// renewGangTickets renews the tickets of the workers that a whole gang fits on, and
// reserves the resources there until the answer arrives.
func (c *Cell) renewGangTickets(s *readyStep, indices []uint32, known []*worker, now time.Time) {
	counts, ok := c.fitGang(s, len(indices), known)
	if !ok {
		return
	}
	var expiring []*worker
	for i, n := range counts {
		if n == 0 {
			continue
		}
		amount := demand(s.shape).Scale(int64(n))
		known[i].used = known[i].used.Add(amount)
		s.reservations = append(s.reservations, reservation{known[i], amount})
		if !s.hasValidTicket(known[i], now) {
			expiring = append(expiring, known[i])
		}
	}
	if len(expiring) == 0 {
		c.releaseReservations(s)
		return
	}
	c.sendAdviceRequest(s, expiring, now)
}

func (c *Cell) releaseReservations(s *readyStep) {
	for _, r := range s.reservations {
		r.worker.used = r.worker.used.Sub(r.amount)
	}
	s.reservations = nil
}

// workersToAsk selects the workers to name in a request: as many as are likely
// needed for the tasks, times surplus, those with the most free resources first.
func (c *Cell) workersToAsk(s *readyStep, workers []*worker, indices []uint32, surplus float64) []*worker {
	amount := demand(s.shape)
	fits := make(map[*worker]int, len(workers))
	for _, w := range workers {
		b := c.workerBin(s, w)
		fits[w] = b.Fits(amount, len(indices))
	}
	slices.SortStableFunc(workers, func(v, w *worker) int { return fits[w] - fits[v] })
	share := c.Advice.AllowedShare(s.queue.GetName())
	needed := float64(len(indices)) * surplus
	count := 0
	for _, w := range workers {
		if needed <= 0 {
			break
		}
		count++
		n := float64(max(1, fits[w]))
		if _, known := s.tickets[w.host.ID]; !known {
			n *= share
		}
		needed -= n
	}
	minCount := int(math.Ceil(2 / share))
	return workers[:min(len(workers), max(count, minCount))]
}

// sendAdviceRequest asks about the workers. A request that names many is divided over
// helpers that have nothing to do, since the service takes time for each worker named.
func (c *Cell) sendAdviceRequest(s *readyStep, workers []*worker, now time.Time) {
	parts := c.adviceParts(s.queue.GetAdvice(), len(workers), now)
	workers = workers[:min(len(workers), parts*maxAdviceWorkers)]
	for i := range parts {
		c.sendAdvicePart(s, workers[i*len(workers)/parts:(i+1)*len(workers)/parts], now)
	}
	if s.adviceInFlight == 0 {
		c.releaseReservations(s)
	}
}

// adviceParts returns over how many helpers a request is divided. The time for the
// decision is spent once a part, so a part is not shorter than that; half of the idle
// helpers are left to other steps.
func (c *Cell) adviceParts(a *wire.DocketAdvice, workers int, now time.Time) int {
	useful := workers / maxAdviceWorkers
	if a.GetDecisionMs() > 0 {
		useful = max(useful, int(math.Round(float64(workers)*a.GetPerWorkerMs()*adviceDivision/a.GetDecisionMs())))
	}
	if useful < 2 {
		return 1
	}
	idle := c.Advice.Idle(advice.RequestDuration(a, workers/useful), now)
	return max(1, min(useful, idle/2))
}

// sendAdvicePart sends one request. The answer is handled on the control loop.
func (c *Cell) sendAdvicePart(s *readyStep, workers []*worker, now time.Time) {
	names := make([]string, len(workers))
	incarnations := make(map[string]int64, len(workers))
	for i, w := range workers {
		names[i] = w.host.ID
		incarnations[w.host.ID] = w.incarnation
	}
	duration := advice.RequestDuration(s.queue.GetAdvice(), len(names))
	helper := c.Advice.Acquire(duration, now)
	if helper == nil {
		return
	}
	s.adviceInFlight++
	c.group.Go(func() error {
		call, cancel := context.WithTimeout(c.ctx, adviceTimeout)
		defer cancel()
		permits, err := helper.Advisor.Advise(call, s.id, names)
		c.loop.Post(func() { c.handleAdvice(s, helper, names, incarnations, permits, now, err) })
		return nil
	})
}

// handleAdvice processes the answer to a request sent at the given time.
func (c *Cell) handleAdvice(s *readyStep, h *advice.Helper, names []string, incarnations map[string]int64, permits []advice.Permit, sent time.Time, err error) {
	now := time.Now()
	s.adviceInFlight--
	if s.adviceInFlight == 0 {
		c.releaseReservations(s)
	}
	c.Advice.Release(h, err, now)
	c.Meter.Observe("advice", now.Sub(sent))
	if err != nil {
		s.nextAdviceAt = now.Add(adviceRetryInterval)
		c.Log.Emit(event.AdviceFailed, "step", s.id.String(), "helper", h.Name, "error", err)
		c.requestPass()
		return
	}
	valid := time.Duration(s.queue.GetAdvice().GetValidityMs() * float64(time.Millisecond))
	newlyAsked := 0
	for _, name := range names {
		if _, known := s.tickets[name]; !known {
			newlyAsked++
			s.denied[name] = true
		}
	}
	newlyAllowed := 0
	for _, p := range permits {
		if s.denied[p.Worker] {
			newlyAllowed++
			delete(s.denied, p.Worker)
		}
		// The validity runs from the service's decision, which was made no earlier than
		// the request arrived; an eighth of the round trip is allowed for the time since.
		s.tickets[p.Worker] = ticket{value: p.Ticket, incarnation: incarnations[p.Worker], validUntil: now.Add(valid - now.Sub(sent)/8)}
	}
	if newlyAsked > 0 {
		c.Advice.RecordAllowed(s.queue.GetName(), newlyAllowed, newlyAsked)
	}
	c.Log.Emit(event.Advised, "job", s.id.Job, "step", s.id.String(), "asked", len(names), "allowed", len(permits),
		"helper", h.Name, "took-ms", now.Sub(sent).Milliseconds())
	if _, ok := c.readySteps[s.id]; ok {
		c.placeStep(s, c.schedulableWorkers(now), now)
	}
	c.requestPass()
}

// schedulableWorkers returns the workers on which tasks may be started, by name.
func (c *Cell) schedulableWorkers(now time.Time) []*worker {
	accepting := make([]*worker, 0, len(c.byName))
	for _, w := range c.byName {
		if c.acceptsStarts(w, now) {
			accepting = append(accepting, w)
		}
	}
	return accepting
}
