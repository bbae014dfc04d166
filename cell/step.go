package cell

import (
	"time"

	"persimmonworks.example/persimmonworks/docket"
	"persimmonworks.example/persimmonworks/estimate"
	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/objective"
	"persimmonworks.example/persimmonworks/quota"
	"persimmonworks.example/persimmonworks/turn"
	"persimmonworks.example/persimmonworks/wire"
)

// readyStep is a step of one occurrence of a job whose tasks may start.
type readyStep struct {
	id                  docket.StepID
	job                 *docket.Job
	state               *docket.Step
	shape               *wire.DocketStep
	queue               *wire.DocketQueue
	known               *estimate.Task
	expected            time.Duration // of a task, as of expectedAt
	expectedAt          time.Time
	longest             time.Duration // of the runs of its tasks so far, at the usual speed of a worker
	timedTasks          int           // tasks whose runs taught their lengths
	readyAt             time.Time
	latestStart         time.Time // latest start with which the job still ends in time
	worthlessAfter      time.Time // a job whose step starts after this ends too late to be worth anything
	tickets             map[string]ticket
	denied              map[string]bool // workers that may not run the step
	adviceInFlight      int             // requests that are not answered yet
	nextAdviceAt        time.Time
	reservations        []reservation
	preempted           map[uint32]bool // tasks of which a run was preempted
	preemptTriedAt      time.Time       // when preemption for the step was last tried
	trialSince          time.Time       // since when a gang, or a task that is to run alone, waits for workers for its trial; zero if none does
	apart               bool            // its tasks are of an isolated kind
	unschedulableSince  time.Time       // since when no worker in touch could run it, zero if one can
	unschedulableLogged bool
	heldByQuota         bool      // the limit of its organisation holds tasks back
	heldSince           time.Time // since when, zero if it does not
	heldLogged          bool
	quotaHold           quota.Hold
	nextMoveAt          time.Time     // a place for its job in another docket is not looked for before
	standing            turn.Standing // of its organisation, when its turn came in the latest pass
	behindLogged        bool          // that it waits because its organisation is over its share
	interruptedAt       time.Time     // of a lasting step: since when a task that ran is missing, zero if none is
}

// organisation returns whose job the step is of, empty if it belongs to none.
func (s *readyStep) organisation() string { return s.job.Accepted().GetOrganisation() }

// ticket is a permission to start tasks of a step on a worker.
type ticket struct {
	value       string
	incarnation int64
	validUntil  time.Time
}

// reservation holds resources on a worker while its ticket is renewed.
type reservation struct {
	worker *worker
	amount vector
}

const (
	worthlessFactor = 3               // a job that takes longer than this many times its objective is worth nothing
	gangLeadTime    = 2 * time.Second // a gang has to wait until enough resources are free at the same time
)

// openSteps makes the steps of a job ready whose time and dependencies have come. It is
// called once for each job.
func (c *Cell) openSteps(j *docket.Job) {
	now := time.Now()
	for _, occurrence := range j.OpenOccurrences() {
		c.openOccurrence(j, occurrence, now) // an earlier owner has begun it
	}
	c.openFrom(j, j.FirstUnfinished(), now)
}

// openFrom opens the occurrences of a job, in order from the given one, that are due and
// for whose state there is memory. The job is kept in timedJobs if some are left.
func (c *Cell) openFrom(j *docket.Job, next uint32, now time.Time) {
	if _, _, moved := j.Moved(); moved || j.Terminal() {
		return
	}
	for ; next < j.Occurrences(); next++ {
		if j.HasDueTimes() && j.DueMS(next) > now.UnixMilli() || !c.hasMemoryFor(j, next) {
			c.timedJobs = append(c.timedJobs, timedJob{j.ID(), next})
			break
		}
		c.openOccurrence(j, next, now)
	}
}

// openOccurrence makes the steps of an occurrence ready whose dependencies are done.
func (c *Cell) openOccurrence(j *docket.Job, occurrence uint32, now time.Time) {
	steps := c.Docket.Open(j, occurrence)
	for i, s := range steps {
		id := docket.StepID{Job: j.ID(), Occurrence: occurrence, Step: uint32(i)}
		if _, ok := c.readySteps[id]; ok || s.Done() || !j.Ready(occurrence, uint32(i)) {
			continue
		}
		c.readySteps[id] = c.newReadyStep(j, id, now)
	}
	c.requestPass()
}

func (c *Cell) newReadyStep(j *docket.Job, id docket.StepID, now time.Time) *readyStep {
	s := &readyStep{
		id: id, job: j, state: c.Docket.Open(j, id.Occurrence)[id.Step], shape: j.StepDefinition(id.Step), queue: j.Accepted().GetQueue(),
		known: taskOf(j.Accepted(), id.Step), readyAt: now, tickets: map[string]ticket{}, denied: map[string]bool{}, preempted: map[uint32]bool{},
	}
	start := c.startTime(j, now)
	if j.HasDueTimes() {
		start = fromUnix(j.DueMS(id.Occurrence), now)
	}
	if len(s.shape.GetAfter()) == 0 && start.Before(now) {
		s.readyAt = start // it may have waited under an earlier owner
	}
	inTime, useful := c.slacksOf(j.Accepted(), func(step uint32) bool { return j.StepDone(id.Occurrence, step) })
	s.latestStart = start.Add(inTime)
	if s.shape.GetGang() {
		s.latestStart = s.latestStart.Add(-gangLeadTime)
	}
	s.worthlessAfter = start.Add(useful)
	s.noteInterruption(now)
	return s
}

// startTime returns when the job was accepted, on the steady clock. The time of day is
// used once a job, so that jumps of it do not make the later steps of a job look late.
func (c *Cell) startTime(j *docket.Job, now time.Time) time.Time {
	start, ok := c.startTimes[j.ID()]
	if !ok {
		start = fromUnix(j.Accepted().GetAcceptedMs(), now)
		c.startTimes[j.ID()] = start
	}
	return start
}

// fromUnix returns the time of a Unix timestamp in milliseconds on the clock of now.
func fromUnix(ms int64, now time.Time) time.Time {
	return now.Add(time.Duration(ms-now.UnixMilli()) * time.Millisecond)
}

// noteInterruption records since when a lasting step misses a task that ran before.
func (s *readyStep) noteInterruption(now time.Time) {
	if !s.shape.GetLongRunning() {
		return
	}
	missing := false
	tasks := s.state.Tasks()
	for i := range tasks {
		missing = missing || tasks[i].Run() > 0 && !tasks[i].Active()
	}
	switch {
	case !missing:
		s.interruptedAt = time.Time{}
	case s.interruptedAt.IsZero():
		s.interruptedAt = now
	}
}

// timedJob is a job of which the occurrences from next on are not open yet.
type timedJob struct {
	job  string
	next uint32
}

// openDueOccurrences opens the occurrences of timed jobs that have become due.
func (c *Cell) openDueOccurrences(now time.Time) {
	timed := c.timedJobs
	c.timedJobs = nil
	for _, t := range timed {
		if j, ok := c.Docket.Job(t.job); ok {
			c.openFrom(j, t.next, now)
		}
	}
}

// advanceJob updates the steps of a job after the end of a run.
func (c *Cell) advanceJob(t docket.TaskID, outcome wire.DocketOutcome) {
	j, ok := c.Docket.Job(t.Job)
	if !ok {
		return
	}
	if j.Terminal() {
		c.withdrawJob(j)
		return
	}
	id := t.StepID()
	if j.StepDone(t.Occurrence, t.Step) {
		if s, ok := c.readySteps[id]; ok {
			c.learnStep(s)
		}
		c.removeStep(id)
		c.openOccurrence(j, t.Occurrence, time.Now())
		return
	}
	if j.StepDefinition(t.Step).GetGang() && outcome != wire.DocketOutcome_DOCKET_OUTCOME_DONE {
		c.stopGang(id, j.Task(t).Run(), "a gang member ended: "+outcomeName(outcome))
	}
	if s, ok := c.readySteps[id]; ok {
		s.noteInterruption(time.Now())
		return
	}
	c.openOccurrence(j, t.Occurrence, time.Now())
}

func (c *Cell) removeStep(id docket.StepID) {
	if s, ok := c.readySteps[id]; ok {
		c.releaseReservations(s)
		delete(c.readySteps, id)
	}
}

// withdrawJob removes the steps of a job that has ended and stops its runs.
func (c *Cell) withdrawJob(j *docket.Job) {
	delete(c.startTimes, j.ID())
	delete(c.admission.forecasts, j.ID())
	for occurrence := range j.Occurrences() {
		for i := range j.Accepted().GetSteps() {
			c.removeStep(docket.StepID{Job: j.ID(), Occurrence: occurrence, Step: uint32(i)})
		}
	}
	if j.State() != docket.Completed {
		for id := range j.ActiveTasks() {
			if x, ok := c.runs[id]; ok {
				c.stopRun(x, "job "+string(j.State()))
			}
		}
	}
	if c.lastEndedJob != j.ID() {
		c.lastEndedJob = j.ID()
		took := j.EndedAt() - j.Accepted().GetAcceptedMs()
		c.Log.Emit(event.DocketJobEnded, "job", j.ID(), "queue", j.Accepted().GetQueue().GetName(), "state", string(j.State()),
			"after-ms", took, "objective-ms", objective.Of(j.Accepted()).Milliseconds())
		c.Meter.Count("jobs", string(j.State()))
		c.Meter.Observe("job", time.Duration(took)*time.Millisecond)
	}
	c.Docket.Trim(j)
}

// startableTasks returns the indices of the tasks that have neither a run nor ended
// successfully.
func (s *readyStep) startableTasks() []uint32 {
	var indices []uint32
	tasks := s.state.Tasks()
	if s.shape.GetGang() {
		if s.state.Active() > 0 || s.state.Done() {
			return nil
		}
	}
	for i := range tasks {
		if !tasks[i].Active() && !tasks[i].Done() {
			indices = append(indices, uint32(i))
		}
	}
	return indices
}
