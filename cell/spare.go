package cell

import (
	"time"

	"persimmonworks.example/persimmonworks/docket"
	"persimmonworks.example/persimmonworks/preemption"
	"persimmonworks.example/persimmonworks/turn"
)

// sparesRuns reports whether runs are stopped for others only where that gains more than it
// costs the callers.
func (c *Cell) sparesRuns() bool { return c.shares.inForce() != nil }

// mayWaitForRoom reports whether runs need not be stopped for the step yet.
func (c *Cell) mayWaitForRoom(s *readyStep, now time.Time) bool {
	return c.sparesRuns() && !s.shape.GetLongRunning() && preemption.MayWait(s.latestStart, now, c.Limits.StopTime)
}

// mayStopFor reports whether the run, of less urgent work, may be stopped for the step. An
// organisation that has more than its share makes room among its own runs only.
func (c *Cell) mayStopFor(s *readyStep, x *run) bool {
	if !c.sparesRuns() {
		return true
	}
	if s.standing != turn.Within && x.organisation != s.organisation() {
		return false
	}
	return !c.hasStoppedTasks(x.task.Job)
}

// hasStoppedTasks reports whether a task of the job was preempted and has not ended since. No
// job is stopped twice in a row.
func (c *Cell) hasStoppedTasks(job string) bool {
	j, ok := c.Docket.Job(job)
	if !ok {
		return false
	}
	for _, occurrence := range j.OpenOccurrences() {
		for i := range j.Accepted().GetSteps() {
			s, ok := c.readySteps[docket.StepID{Job: job, Occurrence: occurrence, Step: uint32(i)}]
			if ok && s.hasStoppedTasks() {
				return true
			}
		}
	}
	return false
}

func (s *readyStep) hasStoppedTasks() bool {
	for index := range s.preempted {
		if !s.state.Tasks()[index].Done() {
			return true
		}
	}
	return false
}

// spoilt returns the core seconds of the run's task that are late, or of no use, to its job
// if the run is stopped.
func (c *Cell) spoilt(x *run, now time.Time) float64 {
	s, ok := c.readySteps[x.task.StepID()]
	if !ok || !c.sparesRuns() {
		return 0
	}
	usual := c.durationOf(s)
	done := max(now.Sub(x.startedAt), usual*time.Duration(x.percent)/100)
	o := preemption.Outlook{Done: done, LatestStart: s.lateAfter(), UselessFrom: s.worthlessAfter}
	if !o.Spoils(now, c.Limits.StopTime+c.Limits.RestoreTime) {
		return 0
	}
	return coreSeconds(demand(x.shape), usual)
}
