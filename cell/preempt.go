package cell

import (
	"time"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/preemption"
	"persimmonworks.example/persimmonworks/resource"
	"persimmonworks.example/persimmonworks/turn"
)

const (
	minRunBeforePreemption = time.Second            // a run gets at least this long before it is preempted
	maxPreemptionsPerStep  = 64                     // at a time
	preemptionInterval     = 250 * time.Millisecond // between two attempts for one step
	// gangPreemptionWait is how long a gang waits for room that comes free by itself.
	gangPreemptionWait = 400 * time.Millisecond
	// preemptionGain is how many core seconds preemption may cost for each core second
	// of urgent work that it lets start.
	preemptionGain = 2.0
	// clearedRoomKept is how long the room that runs made for a gang is kept for it after
	// they should have stopped.
	clearedRoomKept = 200 * time.Millisecond
	lastingDuration = 30 * time.Second // for which a lasting task counts
)

// preempt stops runs of less urgent work so that the remaining tasks of a step can
// start on the workers. It answers bursts of short urgent work on workers full of long
// tasks, none of which ends in time, and gangs that would have to wait until enough
// tasks have ended by chance at the same time.
//
// Only runs that lose nothing but the time to stop and resume are stopped: tasks of a
// lower priority that save checkpoints and are in no gang. A task is preempted at most
// once in a step, and only if the step still ends in time after the stop.
func (c *Cell) preempt(s *readyStep, tasks int, workers []*worker, now time.Time) {
	if !c.mayPreemptFor(s, now) {
		return
	}
	s.preemptTriedAt = now
	workers = c.startableWorkers(s, workers, now)
	amount := demand(s.shape)
	free, tasks := c.roomSoon(s, tasks, workers, now)
	if tasks <= 0 {
		return
	}
	attempts, byName := c.preemptible(s, workers, now)
	victims, left := preemption.MakeRoom(preemption.Need{
		Demand: amount, Tasks: tasks, MaxVictims: maxPreemptionsPerStep,
		Gain: preemptionGain * coreSeconds(amount, c.durationOf(s)),
	}, free, attempts)
	if s.shape.GetGang() && left > 0 {
		return // the gang would not fit all the same
	}
	for _, v := range victims {
		c.stopPreempted(byName[v.Attempt.Task], s)
	}
}

// mayPreemptFor reports whether runs may be stopped for the step now.
func (c *Cell) mayPreemptFor(s *readyStep, now time.Time) bool {
	if now.Sub(s.preemptTriedAt) < preemptionInterval {
		return false
	}
	inTime := s.shape.GetLongRunning() || now.Add(c.Limits.StopTime).Before(s.lateAfter())
	switch placementRank(s, now) {
	case turn.Urgent:
		return inTime && !c.mayWaitForRoom(s, now)
	case turn.InTime:
		return inTime && s.shape.GetGang() && now.Sub(s.readyAt) > gangPreemptionWait
	}
	return false
}

// durationOf returns how long a task of the step is expected to take.
func (c *Cell) durationOf(s *readyStep) time.Duration {
	if s.shape.GetLongRunning() {
		return lastingDuration
	}
	return c.durations.Expected(s.queue.GetName(), s.shape.GetEstimateMs())
}

// startableWorkers returns the workers on which a start of the step's tasks would be
// accepted if there were room.
func (c *Cell) startableWorkers(s *readyStep, workers []*worker, now time.Time) []*worker {
	var startable []*worker
	for _, w := range workers {
		if s.queue.GetAdvice() != nil && !s.hasValidTicket(w, now) {
			continue
		}
		if s.mayUse(w) {
			startable = append(startable, w)
		}
	}
	return startable
}

// roomSoon returns the free resources of the workers once the runs that stop or are
// about to end have ended and as many tasks of the step as fit have started, and how
// many do not fit.
func (c *Cell) roomSoon(s *readyStep, tasks int, workers []*worker, now time.Time) (map[string]vector, int) {
	amount := demand(s.shape)
	free := make(map[string]vector, len(workers))
	for _, w := range workers {
		b := c.workerBin(s, w)
		b.Free = b.Free.Add(c.freedWithin(w, now, c.Limits.StopTime))
		n := b.Fits(amount, tasks)
		tasks -= n
		if b.MaxTasks >= 0 && b.MaxTasks-n <= 0 {
			continue
		}
		free[w.host.ID] = b.Free.Sub(amount.Scale(int64(n)))
	}
	return free, tasks
}

// preemptible returns the runs on the workers that may be preempted for the step, and
// the same by the name of their task.
func (c *Cell) preemptible(s *readyStep, workers []*worker, now time.Time) ([]preemption.Attempt, map[string]*run) {
	var attempts []preemption.Attempt
	byName := map[string]*run{}
	for _, w := range workers {
		for _, x := range w.runs {
			if x.priority <= s.queue.GetPriority() || !c.mayPreempt(x, now) || !c.mayStopFor(s, x) {
				continue
			}
			name := x.task.String()
			amount := demand(x.shape)
			byName[name] = x
			attempts = append(attempts, preemption.Attempt{
				Task: name, Worker: w.host.ID, Class: class.Batch, Demand: amount,
				Unsaved:        coreSeconds(amount, now.Sub(x.startedAt)),
				CheckpointCost: coreSeconds(amount, c.Limits.StopTime+c.Limits.RestoreTime),
				Spoilt:         c.spoilt(x, now),
				Preferred:      c.shares.standing(x.organisation, now) != turn.Within,
			})
		}
	}
	return attempts, byName
}

func (c *Cell) mayPreempt(x *run, now time.Time) bool {
	if x.phase != running || x.gang || !x.shape.GetCheckpointing() || x.shape.GetLongRunning() || x.shape.GetFills() {
		return false
	}
	s, ok := c.readySteps[x.task.StepID()]
	return ok && !s.preempted[x.task.Index] && now.Sub(x.startedAt) >= minRunBeforePreemption
}

func (c *Cell) stopPreempted(x *run, s *readyStep) {
	c.readySteps[x.task.StepID()].preempted[x.task.Index] = true
	c.Meter.Count("preemptions", s.queue.GetName())
	c.Log.Emit(event.TaskPreempted, "job", x.task.Job, "task", x.task.String(), "run", x.number, "worker", x.worker.host.ID,
		"for", s.id.String(), "ran-ms", time.Since(x.startedAt).Milliseconds())
	c.stopRun(x, "preempted")
	if s.shape.GetGang() {
		// The runs do not all end at once, and the gang starts only when they have.
		x.worker.clearedFor, x.worker.clearedUntil = s.id, time.Now().Add(c.Limits.StopTime+clearedRoomKept)
	}
}

func coreSeconds(v vector, d time.Duration) float64 {
	return float64(v.MilliCPU) / resource.MilliPerCore * d.Seconds()
}
