package cell

import (
	"slices"
	"time"

	"persimmonworks.example/persimmonworks/crash"
	"persimmonworks.example/persimmonworks/docket"
	"persimmonworks.example/persimmonworks/packing"
	"persimmonworks.example/persimmonworks/wire"
)

const (
	maxKeptForTrials = 0.1                   // share of the workers that may be kept for trials at a time
	trialKeepTime    = time.Second           // for which a worker is kept for a trial after a pass
	minSettleWait    = 50 * time.Millisecond // of a hold for a report that a run goes on
	maxGangTrialWait = 3 * time.Second       // of a gang, which needs many quiet workers at the same time
	maxAloneWait     = 2 * time.Second       // of a task for a worker with nothing on it, which there may never be
)

// addToCounts counts a run that the worker was given.
func (w *worker) addToCounts(x *run) {
	w.unsettled++
	if x.trial != crash.None {
		w.trials++
	}
}

// settlesIn returns the time until the next run on the worker can settle, or settleTime if
// all have. A start there may wait for the report.
func (w *worker) settlesIn(now time.Time) time.Duration {
	wait := settleTime
	for _, x := range w.runs {
		if !x.settled {
			wait = min(wait, settleTime-now.Sub(x.startedAt))
		}
	}
	return max(minSettleWait, wait)
}

// confirmStart processes that the worker has begun the run. Of a run on trial that is
// stored, for an owner that finds the worker crashed.
func (c *Cell) confirmStart(x *run) {
	if !x.startConfirmed && x.trial != crash.None {
		c.append(docket.Observe(x.task, x.number, false), nil)
	}
	x.startUnanswered, x.startConfirmed = false, true
}

// settleRun processes that the worker has reported the run as running for a while.
func (c *Cell) settleRun(x *run) {
	if !x.settled && x.trial != crash.None {
		c.append(docket.Observe(x.task, x.number, true), nil)
	}
	x.worker.settle(x)
}

// settle records that the worker has reported the run as running for a while. With it
// ends the trial of a run that only had to be apart.
func (w *worker) settle(x *run) {
	if x.settled {
		return
	}
	x.settled = true
	w.unsettled--
	if x.trial == crash.Apart {
		w.trials--
	}
}

// removeFromCounts takes back what was counted for a run that has ended.
func (w *worker) removeFromCounts(x *run) {
	if !x.settled {
		w.unsettled--
	}
	if x.trial == crash.Alone || x.trial == crash.Apart && !x.settled {
		w.trials--
	}
}

// openTo reports whether a task of the step may start on the worker beside the trials
// there, and beside those that wait for it.
func (w *worker) openTo(s *readyStep) bool {
	return w.trials == 0 && (w.keptUntil.IsZero() || w.keptFor == s.id || !time.Now().Before(w.keptUntil))
}

// admits reports whether a task may start on the worker under the trial.
func (w *worker) admits(t crash.Trial) bool {
	switch t {
	case crash.Apart:
		return w.unsettled == 0
	case crash.Alone:
		return len(w.runs) == 0
	}
	return true
}

// trialOf returns the trial of a task.
func (s *readyStep) trialOf(index uint32) crash.Trial { return trialOf(s.shape, s.state, index) }

// trialOf returns the trial of a task. The members of a gang are on trial together.
func trialOf(shape *wire.DocketStep, state *docket.Step, index uint32) crash.Trial {
	tasks := state.Tasks()
	if !shape.GetGang() {
		return crash.TrialFor(historyOf(&tasks[index]))
	}
	trial := crash.None
	for i := range tasks {
		trial = max(trial, crash.TrialFor(historyOf(&tasks[i])))
	}
	return trial
}

// nextTrial returns the trial with which a task may start now. One that has waited for an
// empty worker for long starts as after its first crashes: where a lasting task runs on each
// worker, none is ever empty.
func (s *readyStep) nextTrial(index uint32, now time.Time) crash.Trial {
	trial := s.trialOf(index)
	if trial == crash.Alone && !s.trialSince.IsZero() && now.Sub(s.trialSince) > maxAloneWait {
		return crash.Apart
	}
	return trial
}

// easiestTrial returns the trial that asks least of a worker, of those of the tasks.
func (s *readyStep) easiestTrial(indices []uint32, now time.Time) crash.Trial {
	if s.shape.GetGang() {
		return crash.None // see trialWorkers
	}
	easiest := crash.Alone
	for _, i := range indices {
		easiest = min(easiest, s.nextTrial(i, now))
	}
	return easiest
}

// splitTrials separates the tasks that are on trial from the others.
func (s *readyStep) splitTrials(indices []uint32) (plain, trials []uint32) {
	for _, i := range indices {
		if s.trialOf(i) == crash.None {
			plain = append(plain, i)
			continue
		}
		trials = append(trials, i)
	}
	return plain, trials
}

// startTrials starts the tasks that are on trial, each on a worker of its own where the
// least is lost if it crashes, and returns those that have to wait. A worker is kept for
// one that waits, so that it becomes quiet.
func (c *Cell) startTrials(s *readyStep, indices []uint32, workers []*worker, now time.Time) []uint32 {
	var waiting []uint32
	for len(indices) > 0 {
		trial := s.nextTrial(indices[0], now)
		w := c.trialWorker(s, trial, workers)
		if w == nil {
			waiting = append(waiting, indices[0])
			indices = indices[1:]
			continue
		}
		together := s.countTogether(indices, trial, c.workerBin(s, w), now)
		for _, index := range indices[:together] {
			c.startRun(s, index, s.state.Tasks()[index].Run()+1, w, now)
		}
		indices = indices[together:]
	}
	s.noteTrialWait(waiting, now)
	if len(waiting) > 0 && !s.apart {
		c.keepForTrial(s, workers, now)
	}
	return waiting
}

// noteTrialWait records since when tasks wait for an empty worker.
func (s *readyStep) noteTrialWait(waiting []uint32, now time.Time) {
	alone := slices.ContainsFunc(waiting, func(i uint32) bool { return s.trialOf(i) == crash.Alone })
	switch {
	case !alone:
		s.trialSince = time.Time{}
	case s.trialSince.IsZero():
		s.trialSince = now
	}
}

// countTogether returns how many of the first tasks start together on the worker. Tasks
// of one job need no trial against each other, since it fails with any of them.
func (s *readyStep) countTogether(indices []uint32, trial crash.Trial, b packing.Bin, now time.Time) int {
	if trial == crash.Alone {
		return 1
	}
	room := b.Fits(demand(s.shape), len(indices))
	together := 1
	for together < room && s.nextTrial(indices[together], now) == trial {
		together++
	}
	return together
}

// trialWorker returns the worker for a trial, or nil if there is none.
func (c *Cell) trialWorker(s *readyStep, t crash.Trial, workers []*worker) *worker {
	var best *worker
	amount := demand(s.shape)
	for _, w := range workers {
		b := c.workerBin(s, w)
		if !w.openTo(s) || !w.admits(t) || b.Fits(amount, 1) == 0 {
			continue
		}
		if best == nil || len(w.runs) < len(best.runs) {
			best = w
		}
	}
	return best
}

// keepForTrial keeps the worker with the fewest runs from other work for a while.
func (c *Cell) keepForTrial(s *readyStep, workers []*worker, now time.Time) {
	kept := 0
	for _, w := range c.workers {
		if now.Before(w.keptUntil) {
			if w.keptFor == s.id {
				w.keptUntil = now.Add(trialKeepTime)
				return
			}
			kept++
		}
	}
	if float64(kept) >= max(1, maxKeptForTrials*float64(len(c.workers))) {
		return
	}
	var best *worker
	for _, w := range workers {
		if w.openTo(s) && (best == nil || len(w.runs) < len(best.runs)) {
			best = w
		}
	}
	if best != nil {
		best.keptFor, best.keptUntil = s.id, now.Add(trialKeepTime)
	}
}

// trialWorkers returns the workers that a gang may use. One on trial starts beside nothing
// that has not settled, or on workers with nothing on them. After a while it takes what
// the next easier trial takes: a wide gang might wait for ever otherwise, and one that
// crashes its workers is on a harder trial after the next crashes.
func (c *Cell) trialWorkers(s *readyStep, workers []*worker, now time.Time) []*worker {
	trial := s.trialOf(0)
	if trial == crash.None {
		return workers
	}
	if s.trialSince.IsZero() {
		s.trialSince = now
	}
	if now.Sub(s.trialSince) > maxGangTrialWait {
		trial--
	}
	return slices.DeleteFunc(slices.Clone(workers), func(w *worker) bool { return !w.admits(trial) })
}
