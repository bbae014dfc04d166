package cell

import (
	"slices"
	"time"

	"persimmonworks.example/persimmonworks/crash"
	"persimmonworks.example/persimmonworks/docket"
	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/packing"
	"persimmonworks.example/persimmonworks/quarantine"
	"persimmonworks.example/persimmonworks/wire"
)

// probeAfter is how long a step waits for a trusted worker before it is tried on a quarantined
// one, where its tasks may fail.
const probeAfter = 2 * time.Second

// ticketMargin is the remaining validity that a ticket needs, so that a start reaches
// the worker in time.
const ticketMargin = 250 * time.Millisecond

// runPass starts every task that can start now.
func (c *Cell) runPass() {
	c.passScheduled = false
	now := time.Now()
	if !c.dirty {
		return
	}
	if c.storeStalled(now) {
		return // a start would wait for the store and outlive its ticket
	}
	c.dirty = false
	accepting := c.schedulableWorkers(now)
	c.setAside(accepting, now)
	c.beginQuotaPass()
	earmarked := newEarmarks(accepting, c.readySteps, now)
	for s := range c.inTurn(now) {
		c.placeStep(s, earmarked.usableBy(s, accepting, now), now)
		if float64(len(earmarked.kept)) < maxEarmarkedShare*float64(len(accepting)) {
			c.earmark(s, earmarked, accepting, now)
		}
		c.noteBehind(s, now)
	}
	c.endQuotaPass(now)
	took := time.Since(now)
	c.Meter.Observe("pass", took)
	c.nextPassAt = now.Add(max(minPassInterval, passPeriodFactor*took))
}

// placeStep starts the tasks of a step that fit, and requests advice if only
// tickets are missing.
func (c *Cell) placeStep(s *readyStep, workers []*worker, now time.Time) {
	if len(s.reservations) > 0 || c.leaving[s.id.Job] {
		return
	}
	indices := s.startableTasks()
	if indices = c.withinQuota(s, indices, workers, now); len(indices) == 0 {
		return
	}
	s.apart = c.isolates(s.queue.GetName(), s.shape)
	mayAsk := s.queue.GetAdvice() != nil && s.adviceInFlight == 0 && c.mayAskApart(s) && now.After(s.nextAdviceAt) && c.Advice.Available(s.queue.GetAdvice(), now)
	if s.queue.GetAdvice() != nil && len(s.tickets) == 0 && !mayAsk {
		return
	}
	workers = c.workersFor(s, workers)
	room := c.workersWithRoom(s, workers)
	if len(room) == 0 && s.needsProbe(workers, now) {
		room = c.probe(s, now)
	}
	if easiest := s.easiestTrial(indices, now); easiest != crash.None {
		room = slices.DeleteFunc(room, func(w *worker) bool { return !w.admits(easiest) })
	}
	ticketed := room
	if s.queue.GetAdvice() != nil {
		ticketed = slices.DeleteFunc(slices.Clone(room), func(w *worker) bool { return !s.hasValidTicket(w, now) })
	}
	onTrial := 0
	if s.shape.GetGang() {
		if c.startGang(s, indices, ticketed, now) {
			return
		}
	} else {
		plain, trials := s.splitTrials(indices)
		plain = c.startTasks(s, plain, ticketed, now)
		trials = c.startTrials(s, trials, ticketed, now)
		indices, onTrial = append(plain, trials...), len(trials)
		if len(indices) == 0 {
			return
		}
	}
	c.preemptFills(s, len(indices)-onTrial, workers, now)
	c.preempt(s, len(indices)-onTrial, workers, now)
	if mayAsk {
		c.requestAdvice(s, indices, room, workers, now)
	}
}

// workersWithRoom returns the workers on which a task of the step fits and that are not
// known to be excluded for it. Room is checked first: in a burst few workers have any.
func (c *Cell) workersWithRoom(s *readyStep, workers []*worker) []*worker {
	amount := demand(s.shape)
	var room []*worker
	for _, w := range workers {
		if w.free().Covers(amount) && s.mayUse(w) && w.openTo(s) {
			room = append(room, w)
		}
	}
	return room
}

// needsProbe reports whether a step that has no room is to be tried on quarantined workers: no
// trusted worker could ever run it, or it has waited for long.
func (s *readyStep) needsProbe(trusted []*worker, now time.Time) bool {
	return now.Sub(s.readyAt) > probeAfter || !slices.ContainsFunc(trusted, s.mayUse)
}

// probe returns quarantined workers on which the step may be tried, since no other has room
// for it.
func (c *Cell) probe(s *readyStep, now time.Time) []*worker {
	if !c.quarantine.Any() {
		return nil
	}
	var barred []*worker
	for _, w := range c.byName {
		if c.quarantine.State(w.host.ID) == quarantine.Quarantined && w.mayStart(now) {
			barred = append(barred, w)
		}
	}
	return slices.DeleteFunc(c.workersWithRoom(s, c.workersFor(s, barred)), func(w *worker) bool {
		return !c.quarantine.Probe(w.host.ID, len(w.runs), now)
	})
}

// mayUse reports whether the worker is not known to be excluded for the step.
func (s *readyStep) mayUse(w *worker) bool {
	return w.host.suits(s.queue, s.shape) && !s.denied[w.host.ID] && !w.conflictsWith(s.shape)
}

// conflictsWith reports whether the step would fill up idle processor time beside a
// task with a latency target, or the reverse. Such tasks run on different workers,
// since nothing throttles the task that fills up.
func (w *worker) conflictsWith(shape *wire.DocketStep) bool {
	if !shape.GetFills() && shape.GetTargetMs() == 0 {
		return false
	}
	for _, x := range w.runs {
		if shape.GetFills() && x.shape.GetTargetMs() > 0 || shape.GetTargetMs() > 0 && x.shape.GetFills() {
			return true
		}
	}
	return false
}

func (s *readyStep) hasValidTicket(w *worker, now time.Time) bool {
	t, ok := s.tickets[w.host.ID]
	return ok && t.incarnation == w.incarnation && now.Add(ticketMargin).Before(t.validUntil)
}

func (c *Cell) workerBin(s *readyStep, w *worker) packing.Bin {
	b := packing.Bin{Free: w.free(), Capacity: w.host.Capacity, MaxTasks: -1, Cost: c.lengths.Slowdown(w.host.ID)}
	if maxTasks := s.shape.GetAntiAffinity(); maxTasks > 0 {
		b.MaxTasks = int(maxTasks) - w.countTasks(s.id)
	}
	if c.quarantine.Any() {
		b.MaxTasks = c.mostOnProbation(w, b.MaxTasks)
	}
	if rack := s.shape.GetDataRack(); rack != "" && rack != w.host.Rack {
		b.Cost += 0.5 // tasks away from their data take half as long again
	}
	return b
}

// mostOnProbation returns how many tasks may start on a worker on which so many could, -1
// for no limit, if it were trusted.
func (c *Cell) mostOnProbation(w *worker, trusted int) int {
	most := c.quarantine.MostTasks(w.host.ID)
	if most < 0 {
		return trusted
	}
	most = max(0, most-len(w.runs))
	if trusted < 0 {
		return most
	}
	return min(trusted, most)
}

// runsOthers reports whether tasks of other jobs run on the worker.
func (w *worker) runsOthers(job string) bool {
	for t := range w.runs {
		if t.Job != job {
			return true
		}
	}
	return false
}

func (w *worker) countTasks(id docket.StepID) int {
	count := 0
	for t := range w.runs {
		if t.StepID() == id {
			count++
		}
	}
	return count
}

func (c *Cell) workerBins(s *readyStep, workers []*worker) []packing.Bin {
	bins := make([]packing.Bin, len(workers))
	for i, w := range workers {
		bins[i] = c.workerBin(s, w)
	}
	return bins
}

// startTasks starts independent tasks while they fit and returns the remaining ones.
func (c *Cell) startTasks(s *readyStep, indices []uint32, workers []*worker, now time.Time) []uint32 {
	if len(workers) == 0 {
		return indices
	}
	bins := c.workerBins(s, workers)
	amount := demand(s.shape)
	var remaining []uint32
	for _, index := range indices {
		t := &s.state.Tasks()[index]
		i, ok := packing.BestFit(bins, amount)
		if !ok {
			remaining = append(remaining, index)
			continue
		}
		if workers[i].host.ID == t.FailedOn() && len(workers) > 1 {
			others := slices.Clone(bins)
			others[i].MaxTasks = 0
			if k, ok := packing.BestFit(others, amount); ok {
				i = k
			}
		}
		bins[i].Free = bins[i].Free.Sub(amount)
		if bins[i].MaxTasks > 0 {
			bins[i].MaxTasks--
		}
		c.startRun(s, index, t.Run()+1, workers[i], now)
	}
	s.noteInterruption(now)
	return remaining
}

// startGang starts all members of a gang, or none.
func (c *Cell) startGang(s *readyStep, indices []uint32, workers []*worker, now time.Time) bool {
	workers = c.trialWorkers(s, workers, now)
	counts, ok := c.fitGang(s, len(indices), workers)
	if !ok {
		return false
	}
	lastRun := uint32(0)
	for i := range s.state.Tasks() {
		lastRun = max(lastRun, s.state.Tasks()[i].Run())
	}
	s.trialSince = time.Time{}
	next := 0
	for i, w := range workers {
		for range counts[i] {
			c.startRun(s, indices[next], lastRun+1, w, now)
			next++
		}
	}
	return true
}

// fitGang distributes a gang over workers, within one rack if the step prefers that
// and some rack has enough free resources.
func (c *Cell) fitGang(s *readyStep, members int, workers []*worker) ([]int, bool) {
	bins := c.workerBins(s, workers)
	amount := demand(s.shape)
	if s.shape.GetSameRack() {
		for _, rack := range distinctRacks(workers) {
			inRack := slices.Clone(bins)
			for i, w := range workers {
				if w.host.Rack != rack {
					inRack[i].MaxTasks = 0
				}
			}
			if counts, ok := packing.FitAll(inRack, amount, members); ok {
				return counts, true
			}
		}
	}
	return packing.FitAll(bins, amount, members)
}

func distinctRacks(workers []*worker) []string {
	var racks []string
	for _, w := range workers {
		if !slices.Contains(racks, w.host.Rack) {
			racks = append(racks, w.host.Rack)
		}
	}
	return racks
}

// startRun appends the start of a run to the docket and sends it to the worker once
// it is durable.
func (c *Cell) startRun(s *readyStep, index, number uint32, w *worker, now time.Time) {
	id := s.id.Task(index)
	x := &run{
		task: id, number: number, shape: s.shape, queue: s.queue.GetName(), organisation: s.organisation(), gang: s.shape.GetGang(), priority: s.queue.GetPriority(),
		incarnation: w.incarnation, phase: committing, startedAt: now, ticket: s.tickets[w.host.ID].value, trial: s.trialOf(index),
	}
	if !c.append(docket.Start(id, number, w.host.ID, w.incarnation), func() { c.sendStart(x) }) {
		return
	}
	if x.trial == crash.Alone && w.runsOthers(id.Job) {
		x.crowded = true
		if !x.gang {
			x.trial = s.nextTrial(index, now)
		}
	}
	expected, basis := c.expectRun(x, s, w, now)
	c.assignRun(x, w)
	c.Log.Emit(event.TaskStarting, "job", id.Job, "task", id.String(), "run", number, "worker", w.host.ID,
		"epoch", c.Epoch(), "free-milli-cpu", w.free().MilliCPU, "waited-ms", now.Sub(s.readyAt).Milliseconds(),
		"heard-ms", w.silentMS(now), "expected-ms", expected.Milliseconds(), "expected-from-runs", basis)
	c.Meter.Observe("wait", now.Sub(s.readyAt))
	c.noteShareOfStart(s, now)
	c.compareForecast(id.Job, now)
}
