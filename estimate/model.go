package estimate

import (
	"math/bits"
	"time"
)

const (
	maxSteps    = 1024 // steps whose tasks are kept apart
	maxKinds    = 512
	maxTeams    = 256 // pairs of a queue and an organisation
	maxQueues   = 64
	minSiblings = 4 // tasks that a step needs to be kept apart
	// The weight that the wider level keeps beside the observations of the narrower one.
	// Tasks of one step differ little and jobs of one organisation much, so the first
	// siblings say nearly all while a queue takes some jobs to be known.
	stepBlend = 1.0
	kindBlend = 8.0
	teamBlend = 4.0
	// minWeight is the weight below which a bin of a level is dropped. One job counts as one
	// observation there, however many tasks it has.
	minWeight = 0.01
	// firstHalving is the weight at which a level is halved first. Each halving doubles it up
	// to maxWeight, so that what was seen while little was known does not last.
	firstHalving = 8.0
)

// Task is what is known of a task before it runs. Tasks of one step are identically
// distributed; the fewer fields two tasks share, the less one says of the other.
type Task struct {
	Queue        string
	Organisation string        // empty if it belongs to none
	Kind         string        // what it runs, for example an image; may be empty
	Job          string        // with Step, its step
	Step         uint32        // in its job
	Siblings     int           // tasks of its step, itself included
	Whole        bool          // it stands for its step, which takes as long as the longest of its tasks
	Declared     time.Duration // what the caller has said; 0 for nothing
	MilliCPU     int64
}

// Model learns from runs how long tasks take, and how much slower or faster than usual each
// worker is. All times that it keeps are those on a worker of usual speed. The zero value is
// ready; it is not safe for concurrent use.
type Model struct {
	lines  lines
	levels [numLevels]levelCache
	speeds speeds
	census uint32
}

// levelKey names the tasks that one level of a Model does not tell apart.
type levelKey struct {
	queue, organisation, kind string // for a step, kind is its job
	step                      uint32
	size                      int
	width                     int // of whole steps, 0 for tasks
}

// Levels from wide to narrow.
const (
	queueLevel = iota
	teamLevel  // of one organisation
	kindLevel  // of one kind, step and size
	stepLevel
	numLevels
)

// blends hold the weight of the wider level at each one, that of the caller's estimate for a
// queue.
var blends = [numLevels]float64{estimateBlend, teamBlend, kindBlend, stepBlend}

// key returns the key of a task at a level, or false if the level says nothing of its own
// about the task.
func (t *Task) key(level int) (levelKey, bool) {
	switch level {
	case queueLevel:
		return levelKey{queue: t.Queue, width: t.width()}, true
	case teamLevel:
		return levelKey{queue: t.Queue, organisation: t.Organisation, width: t.width()}, t.Organisation != ""
	case kindLevel:
		size := bits.Len64(uint64(max(0, t.MilliCPU)))
		return levelKey{t.Queue, t.Organisation, t.Kind, t.Step, size, t.width()}, t.Kind != ""
	}
	return levelKey{kind: t.Job, step: t.Step}, t.Siblings >= minSiblings && !t.Whole
}

// width returns the class of whole steps of about as many tasks, 0 for a single task.
func (t *Task) width() int {
	if !t.Whole {
		return 0
	}
	return bits.Len(uint(max(1, t.Siblings)))
}

// weight returns what one task counts at a level. The tasks of a step are about as long as
// each other, so that together they say as much of other jobs as one of them.
func (t *Task) weight(level int) float32 {
	if level == stepLevel || t.Whole {
		return 1
	}
	return 1 / float32(max(1, t.Siblings))
}

// Ended records a task that has ended by itself after the given time on the worker. Runs
// that failed, or that resumed from a checkpoint, must not be recorded.
func (m *Model) Ended(t *Task, worker string, took time.Duration) {
	known := m.Of(t)
	usual := m.speeds.usual(worker, took)
	if known.Known() {
		m.speeds.observe(worker, float64(took)/float64(known.Quantile(medianQuantile)))
	}
	m.learn(t, usual)
}

// GangEnded records a member of a gang that has ended by itself. The members work together,
// so it took as long as on the slowest of their workers, and says nothing of its own.
func (m *Model) GangEnded(t *Task, slowest float64, took time.Duration) {
	m.learn(t, time.Duration(float64(took)/slowest))
}

// StepEnded records a whole step of which all tasks have ended by themselves, and the longest
// of them took the given time at the usual speed.
func (m *Model) StepEnded(t *Task, longest time.Duration) { m.learn(t, longest) }

// StepRunning records a whole step in a census, which has gone on for a time at the usual
// speed.
func (m *Model) StepRunning(t *Task, since time.Duration) { m.count(t, since) }

func (m *Model) learn(t *Task, usual time.Duration) {
	m.lines.observe(t, usual)
	centre := m.lines.centre(t)
	for l := range m.levels {
		if s := m.levels[l].of(t, l); s != nil {
			s.observe(s.binOf(usual, centre, l), t.weight(l), true)
		}
	}
}

// Stopped records a task that was stopped before it had ended: it takes at least so long.
func (m *Model) Stopped(t *Task, worker string, after time.Duration) {
	usual := m.speeds.usual(worker, after)
	centre := m.lines.centre(t)
	for l := range m.levels {
		if s := m.levels[l].of(t, l); s != nil {
			s.observe(s.binOf(usual, centre, l), t.weight(l), false)
		}
	}
}

// BeginCensus forgets which tasks run. Each that does has to be named to Running anew.
func (m *Model) BeginCensus() { m.census++ }

// Running records a task that still runs. Without those the first ends, which are the short
// ones, would stand for all.
func (m *Model) Running(t *Task, worker string, since time.Duration) {
	m.count(t, m.speeds.usual(worker, since))
}

func (m *Model) count(t *Task, usual time.Duration) {
	centre := m.lines.centre(t)
	for l := range m.levels {
		if s := m.levels[l].of(t, l); s != nil {
			s.running(s.binOf(usual, centre, l), t.weight(l), m.census)
		}
	}
}

// Of returns how long a task takes, as far as it is known, on a worker of usual speed.
func (m *Model) Of(t *Task) Distribution {
	centre := m.lines.centre(t)
	if centre <= 0 {
		return Distribution{}
	}
	d := newDistribution(centre)
	for l := range m.levels {
		if s := m.levels[l].find(t, l); s != nil {
			d.narrow(s, s.shift(centre, l), blends[l])
		}
	}
	return d
}

// On returns the same for a worker.
func (m *Model) On(t *Task, worker string) Distribution {
	d := m.Of(t)
	return d.Slowed(m.Slowdown(worker))
}

// Slowdown returns the factor by which tasks take longer than usual on the worker.
func (m *Model) Slowdown(worker string) float64 { return m.speeds.slowdown(worker) }
