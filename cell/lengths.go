package cell

import (
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"persimmonworks.example/persimmonworks/docket"
	"persimmonworks.example/persimmonworks/estimate"
	"persimmonworks.example/persimmonworks/objective"
	"persimmonworks.example/persimmonworks/wire"
)

// The quantiles of run times that the decisions go by, see docs/design/durations.md.
const (
	// orderQuantile is that of the work of a job. The objective grows with the work, and so
	// does the slack: seven jobs of ten have at least the slack that they are given.
	orderQuantile = 0.3
	// worthlessQuantile is the same for a job that is given up as too late to be worth
	// anything: only one in five has more slack than that.
	worthlessQuantile = 0.8
	// freedQuantile is that of the rest of a run whose room is counted on. A gang needs the
	// room of many runs, of which as many end earlier as later.
	freedQuantile = 0.5
	// gainQuantile is that of what an urgent task lets start, in preemption, where a single
	// long one must not pay for many victims.
	gainQuantile = 0.5
	// highQuantile is what nineteen runs in twenty keep, for the metrics.
	highQuantile = 0.95
)

const (
	censusInterval = time.Second
	expectedMaxAge = time.Second           // of what is expected of a step that waits
	minRest        = 20 * time.Millisecond // a run that is over at any moment is not expected anew sooner
	// What was learnt is stored with changes that are stored anyway. An owner that dies
	// loses this much of it at most, while there are changes.
	timesStoreInterval  = 5 * time.Second
	speedsStoreInterval = 15 * time.Second
)

// lengths is what the owner has learnt of how long tasks take.
type lengths struct {
	estimate.Model
	changed        bool // since the times were stored
	countedAt      time.Time
	timesStoredAt  time.Time
	speedsStoredAt time.Time
}

// taskOf returns what is known of a task of a step before it runs.
func taskOf(job *wire.DocketAccepted, step uint32) *estimate.Task {
	s := job.GetSteps()[step]
	kind := s.GetImage()
	if kind == "" && job.GetSpec() != "" {
		kind = strconv.FormatUint(xxhash.Sum64String(job.GetSpec()), 36)
	}
	return &estimate.Task{
		Queue: job.GetQueue().GetName(), Organisation: job.GetOrganisation(), Kind: kind, Job: job.GetJob(), Step: step,
		Siblings: int(s.GetCount()) * int(max(1, job.GetRepeat())), Declared: time.Duration(s.GetEstimateMs()) * time.Millisecond,
		MilliCPU: s.GetMilliCpu(),
	}
}

// wholeStep returns what is known of the step of a task, which ends with its longest task.
func wholeStep(t *estimate.Task) *estimate.Task {
	whole := *t
	whole.Whole = true
	return &whole
}

// durationOf returns how long a task of the step is expected to take.
func (c *Cell) durationOf(s *readyStep) time.Duration {
	if s.shape.GetLongRunning() {
		return lastingDuration
	}
	if now := time.Now(); now.Sub(s.expectedAt) >= expectedMaxAge {
		s.expected, s.expectedAt = c.expectedLength(s.known), now
	}
	return s.expected
}

// expectedLength returns how long a task is expected to take on a worker of usual speed.
func (c *Cell) expectedLength(t *estimate.Task) time.Duration {
	d := c.lengths.Of(t)
	return d.Quantile(gainQuantile)
}

// slacksOf returns how long after its beginning a job may go on with the steps that are not
// done, to end in time, and to end while it is worth anything. It goes by the work that is
// expected and not by the caller's estimates, so that nobody gets ahead by a low one.
func (c *Cell) slacksOf(job *wire.DocketAccepted, done func(step uint32) bool) (inTime, useful time.Duration) {
	steps := make([]estimate.Distribution, len(job.GetSteps()))
	for i := range steps {
		steps[i] = c.lengths.Of(wholeStep(taskOf(job, uint32(i))))
	}
	target, left := workOf(job, done, steps, orderQuantile)
	inTime = target - left
	target, left = workOf(job, done, steps, worthlessQuantile)
	return inTime, worthlessFactor*target - left
}

// workOf returns how long the job may take to be on time, and the longest chain of its work
// that is left, if each step takes a quantile of what is known.
func workOf(job *wire.DocketAccepted, done func(step uint32) bool, steps []estimate.Distribution, quantile float64) (target, left time.Duration) {
	takes := make([]time.Duration, len(steps))
	for i := range steps {
		takes[i] = steps[i].Quantile(quantile)
	}
	whole := objective.Chain(job, func(step uint32) time.Duration { return takes[step] })
	left = objective.Chain(job, func(step uint32) time.Duration {
		if done(step) {
			return 0
		}
		return takes[step]
	})
	return objective.Given(job, whole), left
}

// expectRun records what is expected of a run that is about to start.
func (c *Cell) expectRun(x *run, s *readyStep, w *worker, now time.Time) (expected time.Duration, runs int) {
	x.known = s.known
	d := c.lengths.On(x.known, w.host.ID)
	x.expected, x.expectedHigh = d.Quantile(freedQuantile), d.Quantile(highQuantile)
	x.endsAt = now.Add(x.expected)
	return x.expected, int(d.Runs())
}

// endsBy reports whether the run is expected to end by the given time.
func (c *Cell) endsBy(x *run, now, by time.Time) bool {
	if x.phase == stopping {
		return true
	}
	if x.shape.GetLongRunning() || x.known == nil {
		return false
	}
	return now.Add(c.restOf(x, now)).Before(by)
}

// restOf returns how much longer the run is expected to take. It is asked for all runs at
// once, so a run is expected anew only when it has outlasted what was expected of it.
func (c *Cell) restOf(x *run, now time.Time) time.Duration {
	if !x.endsAt.After(now) {
		d := c.lengths.Of(x.known).Slowed(c.slowdownOf(x))
		x.endsAt = now.Add(max(minRest, d.Rest(now.Sub(x.startedAt), freedQuantile)))
	}
	return x.endsAt.Sub(now)
}

// slowdownOf returns the slowdown of the worker of a run, or of the slowest one of its gang,
// whose members work together.
func (c *Cell) slowdownOf(x *run) float64 {
	if !x.gang {
		return c.lengths.Slowdown(x.worker.host.ID)
	}
	if x.slowest > 0 {
		return x.slowest
	}
	slowest := 0.0
	var members []*run
	for _, y := range c.runs {
		if y.task.StepID() == x.task.StepID() && y.number == x.number {
			members = append(members, y)
			slowest = max(slowest, c.lengths.Slowdown(y.worker.host.ID))
		}
	}
	for _, y := range members {
		y.slowest = slowest
	}
	return slowest
}

// usual returns how long the run would have taken so far at the usual speed.
func (c *Cell) usual(x *run, took time.Duration) time.Duration {
	return time.Duration(float64(took) / c.slowdownOf(x))
}

// learnEnd learns from a run that has ended by itself. Left out are tasks that resumed from
// a checkpoint, and runs that an earlier owner started, since it is not known when.
func (c *Cell) learnEnd(x *run, now time.Time) {
	if !c.teaches(x) {
		return
	}
	took := now.Sub(x.startedAt)
	if s, ok := c.readySteps[x.task.StepID()]; ok {
		s.longest = max(s.longest, c.usual(x, took))
		s.timedTasks++
	}
	if x.gang {
		c.lengths.GangEnded(x.known, c.slowdownOf(x), took)
	} else {
		c.lengths.Ended(x.known, x.worker.host.ID, took)
	}
	c.lengths.changed = true
	if x.expected <= 0 {
		return
	}
	queue := metricName(x.queue)
	c.Meter.Observe("run-time."+queue, took)
	c.Meter.Observe("run-time-expected."+queue, x.expected)
	c.Meter.Count("run-forecasts."+queue, forecastOutcome(took, x))
}

// learnStep learns from a step that is done, if the run of each task taught its length. A
// gang is done with the first of its members.
func (c *Cell) learnStep(s *readyStep) {
	if s.timedTasks == len(s.state.Tasks()) || s.shape.GetGang() && s.timedTasks > 0 {
		c.lengths.StepEnded(wholeStep(s.known), s.longest)
	}
}

// forecastOutcome returns which quantile of the forecast a run has kept.
func forecastOutcome(took time.Duration, x *run) string {
	switch {
	case took <= x.expected:
		return "within-median"
	case took <= x.expectedHigh:
		return "within-p95"
	}
	return "above-p95"
}

// metricName returns the name of a queue as a part of a metric's.
func metricName(queue string) string {
	return strings.Map(func(r rune) rune {
		switch {
		case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9', r == '-', r == '_', r == '.':
			return r
		}
		return '_'
	}, queue)
}

// learnStop learns from a run that has ended because this owner stopped it. A run that was
// broken by another member of its gang, or that never worked, says nothing.
func (c *Cell) learnStop(x *run, now time.Time) {
	if x.phase == stopping && x.startConfirmed && c.teaches(x) {
		c.lengths.Stopped(x.known, x.worker.host.ID, now.Sub(x.startedAt))
	}
}

// teaches reports whether the time since the start of the run says something of the length
// of its task.
func (c *Cell) teaches(x *run) bool {
	if x.inherited || x.known == nil || x.shape.GetLongRunning() || x.shape.GetFills() {
		return false
	}
	j, ok := c.Docket.Job(x.task.Job)
	if !ok {
		return false
	}
	t := j.Task(x.task)
	return t != nil && t.Checkpoint() == ""
}

// countRunning tells the model which runs go on, now and then.
func (c *Cell) countRunning(now time.Time) {
	if now.Sub(c.lengths.countedAt) < censusInterval {
		return
	}
	c.lengths.countedAt = now
	c.lengths.BeginCensus()
	active := map[*readyStep]int{}
	for _, x := range c.runs {
		if x.phase != running || !c.teaches(x) {
			continue
		}
		since := now.Sub(x.startedAt)
		c.lengths.Running(x.known, x.worker.host.ID, since)
		if s, ok := c.readySteps[x.task.StepID()]; ok {
			s.longest = max(s.longest, c.usual(x, since))
			active[s]++
		}
	}
	for s, running := range active {
		if s.timedTasks+running == len(s.state.Tasks()) {
			c.lengths.StepRunning(wholeStep(s.known), s.longest)
		}
	}
}

// storeLearnt stores what was learnt for the next owner, if other changes are stored with
// it.
func (c *Cell) storeLearnt(now time.Time) {
	if !c.lengths.changed || len(c.commits.pending) == 0 {
		return
	}
	if now.Sub(c.lengths.timesStoredAt) >= timesStoreInterval {
		c.lengths.timesStoredAt, c.lengths.changed = now, false
		if times := c.lengths.Times(); times != nil {
			c.append(docket.Learn(times), nil)
		}
	}
	if now.Sub(c.lengths.speedsStoredAt) >= speedsStoreInterval {
		c.lengths.speedsStoredAt = now
		if speeds := c.lengths.Speeds(); speeds != nil {
			c.append(docket.LearnSpeeds(speeds), nil)
		}
	}
}

// restoreLearnt restores what earlier owners have learnt.
func (c *Cell) restoreLearnt(now time.Time) {
	c.lengths.Restore(c.Docket.Learnt())
	c.lengths.timesStoredAt, c.lengths.speedsStoredAt = now, now
}
