package estimate

import (
	"math"
	"time"
)

const (
	lineMemory = 256.0 // jobs after which older ones fade
	// A queue of which little is known is taken to be estimated well: the prior counts as
	// estimateBlend jobs, and as many spread by a factor of e on either side for the slope.
	slopePrior = 2.0
	// longestTask is how much longer than the usual one the longest task of a step takes,
	// before steps of the queue were seen.
	longestTask = 1.25
	// maxOffLine bounds the logarithm by which one run counts as off: a factor of 4.
	maxOffLine = 1.386
)

// lines expect the run times of tasks from the callers' estimates, a line for each
// organisation in each queue: the logarithm of the run time over that of the estimate.
//
// The slope says how much an estimate that is higher than the organisation's usual one is
// worth: 1 if run times go with the estimates, 0 if estimates say nothing. It belongs to the
// queue and is learnt from the differences within organisations. The level belongs to the
// organisation, so that one whose estimates are always off by a factor is expected to take
// what it takes, and others are not held for it.
type lines struct {
	queues map[levelKey]*line
	teams  map[levelKey]*line
}

// line is in logarithms of seconds.
type line struct {
	jobs             float64 // weight of what was seen
	meanX, meanY     float64 // of estimates and run times
	spreadX, spreadY float64 // of queues: sums of squared differences of estimates, and of their products with those of run times
}

// keys returns where the lines of a task are. Tasks without an estimate have lines of their
// own.
func (t *Task) lineKeys() (queue, team levelKey) {
	estimated := 0
	if t.Declared > 0 {
		estimated = 1
	}
	whole := min(1, t.width())
	return levelKey{queue: t.Queue, size: estimated, width: whole}, levelKey{queue: t.Queue, organisation: t.Organisation, size: estimated, width: whole}
}

// x returns the logarithm of the estimate.
func (t *Task) x() float64 {
	if t.Declared <= 0 {
		return 0
	}
	return math.Log(t.Declared.Seconds())
}

// centre returns what the task is expected to take, 0 if nothing is known.
func (l *lines) centre(t *Task) time.Duration {
	y, known := l.expect(t)
	if !known {
		return 0
	}
	return time.Duration(math.Exp(y) * float64(time.Second))
}

// expect returns the logarithm of the seconds that a task is expected to take, and whether
// anything is known of it.
func (l *lines) expect(t *Task) (float64, bool) {
	x, y, known := t.x(), t.x(), t.Declared > 0
	if t.Whole {
		single := *t
		single.Whole = false
		y, known = l.expect(&single)
		if t.Siblings > 1 {
			y += math.Log(longestTask)
		}
	}
	q, o := t.lineKeys()
	queue, team := l.queues[q], l.teams[o]
	if queue == nil {
		return y, known
	}
	prior := 0.0
	if known {
		prior = estimateBlend
	}
	slope := queue.slope()
	y = blend(queue.at(x, slope), queue.jobs, y, prior)
	if team != nil {
		y = blend(team.at(x, slope), team.jobs, y, teamBlend)
	}
	return y, true
}

func blend(a, weight, b, other float64) float64 { return (a*weight + b*other) / (weight + other) }

func (l *line) slope() float64 {
	return min(1, max(0, (l.spreadY+slopePrior)/(l.spreadX+slopePrior)))
}

func (l *line) at(x, slope float64) float64 { return l.meanY + slope*(x-l.meanX) }

// observe records a run time.
func (l *lines) observe(t *Task, usual time.Duration) {
	if l.queues == nil {
		l.queues, l.teams = map[levelKey]*line{}, map[levelKey]*line{}
	}
	qk, ok := t.lineKeys()
	queue := lineOf(l.queues, qk, maxQueues)
	team := lineOf(l.teams, ok, maxTeams)
	if queue == nil || team == nil {
		return
	}
	x, y := t.x(), math.Log(max(usual, firstBinBound).Seconds())
	if queue.jobs >= firstHalving {
		expected, _ := l.expect(t)
		y = min(max(y, expected-maxOffLine), expected+maxOffLine)
	}
	w := float64(t.weight(queueLevel))
	if team.jobs > 0 {
		// The difference to the organisation's usual, not to that of the queue.
		dx, dy := x-team.meanX, y-team.meanY
		share := team.jobs / (team.jobs + w)
		queue.spreadX += w * share * dx * dx
		queue.spreadY += w * share * dx * dy
	}
	queue.add(x, y, w)
	team.add(x, y, w)
}

func (l *line) add(x, y, w float64) {
	l.jobs += w
	l.meanX += w / l.jobs * (x - l.meanX)
	l.meanY += w / l.jobs * (y - l.meanY)
	if l.jobs > lineMemory {
		fade := lineMemory / l.jobs
		l.jobs *= fade
		l.spreadX *= fade
		l.spreadY *= fade
	}
}

// lineOf returns the line for a key, nil if there would be too many.
func lineOf(in map[levelKey]*line, k levelKey, limit int) *line {
	if known, ok := in[k]; ok {
		return known
	}
	if len(in) >= limit {
		return nil
	}
	in[k] = &line{}
	return in[k]
}
