package cell

import (
	"cmp"
	"slices"
	"time"

	"persimmonworks.example/persimmonworks/docket"
	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/wire"
)

// step is an occurrence of a step whose tasks may start.
type step struct {
	id       docket.StepID
	job      *docket.Job
	state    *docket.Step
	shape    *wire.DocketStep
	queue    *wire.DocketQueue
	opened   time.Time
	latest   time.Time // last moment to start it and still end the job in time
	useless  time.Time // from then on ending the job is worth nothing
	tickets  map[string]ticket
	denied   map[string]bool // workers that may not run it
	asking   bool
	askAgain time.Time
	reserved []reservation
}

// ticket is a permission to start tasks of a step on a worker.
type ticket struct {
	value string
	life  int64
	until time.Time
}

// reservation is room that is kept while a ticket for it is renewed.
type reservation struct {
	worker *worker
	amount vector
}

const (
	lateFactor  = 3 // up to so many times the objective an answer still has some worth
	estimateTop = 1.25
	// gangPatience bounds how long smaller work may pass a gang that is late.
	gangPatience = 15 * time.Second
	gangLead     = 2 * time.Second // a gang has to wait for room to come together
)

// objective returns how long the job may take to be worth its whole credit.
func objective(j *docket.Job) time.Duration {
	q := j.Accepted().GetQueue()
	work := chain(j, func(uint32) bool { return true })
	if a := q.GetAdvice(); a != nil {
		const asked = 30 // workers
		call := time.Duration((a.GetDecisionMs() + asked*a.GetPerWorkerMs()) * float64(time.Millisecond))
		work += time.Duration(len(j.Accepted().GetSteps())) * call
	}
	return time.Duration(max(1, q.GetDilation())*float64(work)) + time.Duration(q.GetTargetMs())*time.Millisecond
}

// chain returns the longest chain of estimated work over the steps of the first
// occurrence that pass the filter.
func chain(j *docket.Job, counts func(step uint32) bool) time.Duration {
	steps := j.Accepted().GetSteps()
	ends := make([]time.Duration, len(steps))
	longest := time.Duration(0)
	for i, s := range steps {
		for _, before := range s.GetAfter() {
			ends[i] = max(ends[i], ends[before])
		}
		if counts(uint32(i)) {
			ends[i] += time.Duration(float64(s.GetEstimateMs())*estimateTop) * time.Millisecond
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// open offers the steps of a job whose turn has come.
func (c *Cell) open(j *docket.Job) {
	if j.Terminal() {
		return
	}
	now := time.Now()
	for occurrence := range j.Occurrences() {
		if j.Timed() && j.DueMS(occurrence) > now.UnixMilli() {
			c.noteDue(j)
			break
		}
		for i := range j.Accepted().GetSteps() {
			id := docket.StepID{Job: j.ID(), Occurrence: occurrence, Step: uint32(i)}
			if _, ok := c.steps[id]; ok || j.Step(occurrence, uint32(i)).Done() || !j.Ready(occurrence, uint32(i)) {
				continue
			}
			c.steps[id] = c.newStep(j, id, now)
		}
	}
	c.touch()
}

func (c *Cell) newStep(j *docket.Job, id docket.StepID, now time.Time) *step {
	s := &step{
		id: id, job: j, state: j.Step(id.Occurrence, id.Step), shape: j.Shape(id.Step), queue: j.Accepted().GetQueue(),
		opened: now, tickets: map[string]ticket{}, denied: map[string]bool{},
	}
	begin := j.Accepted().GetAcceptedMs()
	if j.Timed() {
		begin = j.DueMS(id.Occurrence)
	}
	from := now.Add(time.Duration(begin-now.UnixMilli()) * time.Millisecond)
	goal := objective(j)
	rest := chain(j, func(i uint32) bool { return !j.Step(id.Occurrence, i).Done() })
	s.latest = from.Add(goal - rest)
	if s.shape.GetGang() {
		s.latest = s.latest.Add(-gangLead)
	}
	s.useless = from.Add(lateFactor*goal - rest)
	return s
}

// noteDue makes openDue look at a job again.
func (c *Cell) noteDue(j *docket.Job) {
	if !slices.Contains(c.timed, j.ID()) {
		c.timed = append(c.timed, j.ID())
	}
}

// openDue opens the occurrences of timed jobs that have become due.
func (c *Cell) openDue(time.Time) {
	timed := c.timed
	c.timed = nil
	for _, id := range timed {
		if j, ok := c.Docket.Job(id); ok {
			c.open(j)
		}
	}
}

// settle follows up the end of a run.
func (c *Cell) settle(t docket.TaskID, how wire.DocketOutcome) {
	j, ok := c.Docket.Job(t.Job)
	if !ok {
		return
	}
	if j.Terminal() {
		c.closeJob(j)
		return
	}
	id := t.StepID()
	st := j.Step(t.Occurrence, t.Step)
	if st.Done() {
		c.closeStep(id)
		c.open(j)
		return
	}
	if j.Shape(t.Step).GetGang() && how != wire.DocketOutcome_DOCKET_OUTCOME_DONE {
		c.stopGang(id, j.Task(t).Run(), "a member ended: "+outcomeName(how))
	}
	if _, ok := c.steps[id]; !ok {
		c.open(j)
	}
}

func (c *Cell) closeStep(id docket.StepID) {
	if s, ok := c.steps[id]; ok {
		c.unreserve(s)
		delete(c.steps, id)
	}
}

// closeJob withdraws what is left of a job that has ended.
func (c *Cell) closeJob(j *docket.Job) {
	for occurrence := range j.Occurrences() {
		for i, shape := range j.Accepted().GetSteps() {
			id := docket.StepID{Job: j.ID(), Occurrence: occurrence, Step: uint32(i)}
			c.closeStep(id)
			if j.State() == docket.Completed || j.Step(occurrence, uint32(i)).Active() == 0 {
				continue
			}
			for index := range shape.GetCount() {
				if x, ok := c.runs[id.Task(index)]; ok {
					c.stopRun(x, "job "+string(j.State()))
				}
			}
		}
	}
	if c.closed != j.ID() {
		c.closed = j.ID()
		took := j.EndedAt() - j.Accepted().GetAcceptedMs()
		c.Log.Emit(event.DocketJobEnded, "job", j.ID(), "queue", j.Accepted().GetQueue().GetName(), "state", string(j.State()),
			"after-ms", took, "objective-ms", objective(j).Milliseconds())
		c.Meter.Count("jobs", string(j.State()))
		c.Meter.Observe("job", time.Duration(took)*time.Millisecond)
	}
}

// startable returns the indices of tasks that have no run.
func (s *step) startable() []uint32 {
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

// compareSteps orders steps for placement: queues of the highest priority
// first; of the others those that can still end in time before those that are
// late, and these before the useless; within each the earliest latest start.
func compareSteps(a, b *step, now time.Time) int {
	return cmp.Or(
		cmp.Compare(rank(a, now), rank(b, now)),
		a.latest.Compare(b.latest),
		a.id.Compare(b.id),
	)
}

// lateFrom returns from when on the job cannot end in time.
func (s *step) lateFrom() time.Time {
	if s.shape.GetGang() {
		return s.latest.Add(gangLead)
	}
	return s.latest
}

// Ranks of steps, the first to be placed first.
const (
	urgent = iota
	inTime
	late
	useless
)

func rank(s *step, now time.Time) int {
	switch {
	case s.shape.GetGang() && now.Sub(s.opened) > gangPatience:
		return inTime
	case now.After(s.useless):
		return useless
	case s.queue.GetPriority() == 0:
		return urgent
	case now.After(s.lateFrom()):
		return late
	}
	return inTime
}
