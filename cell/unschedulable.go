package cell

import (
	"iter"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"persimmonworks.example/persimmonworks/docket"
	"persimmonworks.example/persimmonworks/eligibility"
	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/wire"
)

const (
	// unschedulableAfter is how long a step must have been without workers that could run it
	// before its job leaves. It doubles with each move, so that a job that no docket can run
	// after all does not go round.
	unschedulableAfter    = 800 * time.Millisecond
	maxUnschedulableAfter = 30 * time.Second
	// unschedulableBusy is the same for a job of which other tasks run here. They have to end
	// first, and those that last are stopped for it.
	unschedulableBusy = 3 * time.Second
	// outOfTouch is how long a worker may be silent before steps are not thought to run on it.
	outOfTouch = 3 * time.Second
	// noPlaceRetry is how long a job waits for which no docket was found.
	noPlaceRetry = time.Second
	// maxLoadToStop bounds the load of a docket for which tasks that last are stopped.
	maxLoadToStop = 0.8
	// maxMovesPerRound bounds what a round writes to the store.
	maxMovesPerRound = 50
	// maxTransferBytes bounds a job with its state, which has to fit into a row of the store.
	maxTransferBytes = 40 << 10
)

// moveUnschedulable moves jobs away of which a step waits that the workers of this docket
// could not run even if they were idle, to a docket whose workers can. Without it, such jobs
// wait for good in the docket that their names lead to.
func (c *Cell) moveUnschedulable(now time.Time) {
	c.leaving = map[string]bool{}
	var others []eligibility.Group
	unschedulable := c.unschedulableSteps(now)
	for _, s := range unschedulable[:min(len(unschedulable), maxMovesPerRound)] {
		if others == nil {
			others = c.OtherDockets.Known()
		}
		c.moveAway(s, others, now)
	}
}

// sendElsewhere moves a job that was just accepted, before anything of it starts, if the
// workers of this docket could not run all of it and those of another docket can. While none is
// in touch, this process may only have been paused.
func (c *Cell) sendElsewhere(j *docket.Job, now time.Time) {
	if c.OtherDockets == nil || j.Accepted().GetMoved() || now.Sub(c.startedAt) < outOfTouch || c.storeStalled(now) {
		return
	}
	needs := c.needsOf(j, anyStep)
	unmet := func(n eligibility.Need) bool { return !n.MetBy(c.workersInTouch(nil, now)) }
	if !slices.ContainsFunc(needs, unmet) || c.countInTouch(nil, now) == 0 {
		return
	}
	if to, ok := eligibility.Choose(needs, c.OtherDockets.Known()); ok {
		c.moveJob(j, to, "no worker of this docket could run all of it")
	}
}

// unschedulableSteps returns the steps whose jobs should leave, those that have waited for
// that for longest first.
func (c *Cell) unschedulableSteps(now time.Time) []*readyStep {
	var unschedulable []*readyStep
	for _, s := range c.readySteps {
		if !s.waits() || c.couldRunHere(s, now) {
			s.unschedulableSince, s.unschedulableLogged = time.Time{}, false
			continue
		}
		if s.unschedulableSince.IsZero() {
			s.unschedulableSince = now
		}
		if now.Sub(s.unschedulableSince) < c.patience(s) || now.Before(s.nextMoveAt) {
			continue
		}
		c.logUnschedulable(s, now)
		unschedulable = append(unschedulable, s)
	}
	slices.SortFunc(unschedulable, func(a, b *readyStep) int {
		if d := a.unschedulableSince.Compare(b.unschedulableSince); d != 0 {
			return d
		}
		return a.id.Compare(b.id)
	})
	return unschedulable
}

// logUnschedulable logs, once, that a step is unschedulable.
func (c *Cell) logUnschedulable(s *readyStep, now time.Time) {
	if s.unschedulableLogged {
		return
	}
	s.unschedulableLogged = true
	c.Log.Emit(event.StepUnschedulable, "job", s.id.Job, "step", s.id.String(), "queue", s.queue.GetName(), "service", s.queue.GetService(),
		"requires", s.shape.GetRequires(), "tasks", s.need().Tasks, "milli-cpu", s.shape.GetMilliCpu(), "workers", len(c.workers),
		"in-touch", c.countInTouch(s.denied, now), "denied", len(s.denied), "for-ms", now.Sub(s.unschedulableSince).Milliseconds())
	c.Meter.Count("steps", "unschedulable")
}

// patience returns how long the step has to be unschedulable before its job leaves.
func (c *Cell) patience(s *readyStep) time.Duration {
	if s.job.Active() > 0 {
		return unschedulableBusy
	}
	d := unschedulableAfter
	for moves := s.job.Move(); moves > 1 && d < maxUnschedulableAfter; moves-- {
		d *= 2
	}
	return min(d, maxUnschedulableAfter)
}

// waits reports whether a task of the step could start. A gang that runs waits for nothing.
func (s *readyStep) waits() bool {
	return s.state.Waiting() > 0 && !(s.shape.GetGang() && s.state.Active() > 0)
}

// need returns what the step needs of a docket.
func (s *readyStep) need() eligibility.Need { return needOf(s.queue, s.shape) }

// needOf returns what a step needs of a docket. The members of a gang, and tasks that last, have
// to run at the same time; others can run one after the other.
func needOf(queue *wire.DocketQueue, shape *wire.DocketStep) eligibility.Need {
	n := eligibility.Need{
		Service: queue.GetService(), Label: shape.GetRequires(), Demand: demand(shape), Tasks: 1, PerWorker: int(shape.GetAntiAffinity()),
	}
	if shape.GetGang() || shape.GetLongRunning() {
		n.Tasks = int(shape.GetCount())
	}
	return n
}

// couldRunHere reports whether the workers of this docket that are in touch could run the step.
func (c *Cell) couldRunHere(s *readyStep, now time.Time) bool {
	n := s.need()
	return n.MetBy(c.workersInTouch(s.denied, now))
}

// workersInTouch returns the workers that are listed, stay and answer, but for those that the
// advisory service has denied a step.
func (c *Cell) workersInTouch(denied map[string]bool, now time.Time) iter.Seq[eligibility.Worker] {
	return func(yield func(eligibility.Worker) bool) {
		for _, w := range c.byName {
			if w.stays(now) && w.inTouch(now) && !denied[w.host.ID] && !yield(w.host.Offer()) {
				return
			}
		}
	}
}

// countInTouch returns how many workers workersInTouch returns.
func (c *Cell) countInTouch(denied map[string]bool, now time.Time) int {
	count := 0
	for range c.workersInTouch(denied, now) {
		count++
	}
	return count
}

// stays reports whether the worker is listed and not about to leave.
func (w *worker) stays(now time.Time) bool {
	return (w.inFleet || now.Sub(w.unlistedSince) < unlistedGrace) && !w.host.Draining
}

// inTouch reports whether the worker has answered lately, or could not yet.
func (w *worker) inTouch(now time.Time) bool {
	return now.Sub(w.lastHeard) < outOfTouch || now.Sub(w.awaitedSince) < outOfTouch
}

// Offer returns what the host offers while it is idle.
func (h *Host) Offer() eligibility.Worker {
	return eligibility.Worker{Service: h.Service, Labels: h.Labels, Capacity: h.Capacity}
}

// moveAway moves the job of an unschedulable step, or prepares for that if tasks of it run.
func (c *Cell) moveAway(s *readyStep, others []eligibility.Group, now time.Time) {
	if _, _, moved := s.job.Moved(); moved {
		return // by another step
	}
	busy := s.job.Active() > 0
	if busy {
		others = slices.DeleteFunc(slices.Clone(others), func(g eligibility.Group) bool { return g.Load > maxLoadToStop })
	}
	to, ok := eligibility.Choose(c.needsOf(s.job, anyStep), others)
	if !ok && !busy {
		to, ok = eligibility.Choose(c.needsOf(s.job, func(id docket.StepID) bool { return c.readySteps[id] != nil }), others)
	}
	switch {
	case !ok, s.adviceInFlight > 0, proto.Size(s.job.Transfer()) > maxTransferBytes:
		s.nextMoveAt = now.Add(noPlaceRetry)
	case busy:
		c.leaving[s.id.Job] = true
		c.stopToLeave(s.job)
	default:
		c.moveJob(s.job, to, "no worker of this docket could run "+s.id.String())
	}
}

// anyStep selects all steps in needsOf.
func anyStep(docket.StepID) bool { return true }

// needsOf returns the needs of those steps of a job that are wanted and not done.
func (c *Cell) needsOf(j *docket.Job, wanted func(docket.StepID) bool) []eligibility.Need {
	var needs []eligibility.Need
	first := j.FirstUnfinished()
	occurrences := append(j.OpenOccurrences(), first)
	for i, shape := range j.Accepted().GetSteps() {
		needed := slices.ContainsFunc(occurrences, func(k uint32) bool {
			return wanted(docket.StepID{Job: j.ID(), Occurrence: k, Step: uint32(i)}) && !j.StepDone(k, uint32(i))
		})
		if needed {
			needs = append(needs, needOf(j.Accepted().GetQueue(), shape))
		}
	}
	return needs
}

// stopToLeave stops the tasks of a job that last, so that it can move. Those of a step that
// allows only so many to be away go on: all would be away at once.
func (c *Cell) stopToLeave(j *docket.Job) {
	for id := range j.ActiveTasks() {
		x, ok := c.runs[id]
		if ok && x.shape.GetLongRunning() && x.shape.GetMaxUnavailable() == 0 {
			c.stopRun(x, "the job leaves for a docket that can run all of it")
		}
	}
}
