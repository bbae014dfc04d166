package cell

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// fillRoomKept is how long a worker is kept for a step after the tasks that were preempted
// for it should have stopped.
const fillRoomKept = time.Second

// preemptFills stops tasks that fill idle processor time on as many workers as the remaining
// tasks of a step with a latency target need, and keeps these workers for it. The two never
// share a worker, and work that must run goes before work that fills.
func (c *Cell) preemptFills(s *readyStep, tasks int, workers []*worker, now time.Time) {
	if s.shape.GetTargetMs() == 0 || s.shape.GetFills() {
		return
	}
	for _, w := range c.fillCandidates(s, tasks, workers) {
		if tasks <= 0 {
			return
		}
		tasks -= w.fits
		if w.fillsStopping {
			continue // it will be free soon
		}
		w.keptFor, w.keptUntil = s.id, now.Add(c.Limits.StopTime+fillRoomKept)
		for _, x := range w.fills() {
			c.stopRun(x, "preempted for "+s.id.String())
		}
	}
}

// fillCandidate is a worker on which tasks of a step fit once those that fill are gone.
type fillCandidate struct {
	*worker
	fits          int
	fillsStopping bool // all of them
}

// fillCandidates returns the workers whose fill tasks could be preempted for the step,
// those first where the least has to stop.
func (c *Cell) fillCandidates(s *readyStep, tasks int, workers []*worker) []fillCandidate {
	var candidates []fillCandidate
	for _, w := range workers {
		fills := w.fills()
		if len(fills) == 0 || !w.host.suits(s.queue, s.shape) || s.denied[w.host.ID] || !w.openTo(s) {
			continue
		}
		b := c.workerBin(s, w)
		for _, x := range fills {
			b.Free = b.Free.Add(demand(x.shape))
		}
		if n := b.Fits(demand(s.shape), tasks); n > 0 {
			stopped := !slices.ContainsFunc(fills, func(x *run) bool { return x.phase != stopping })
			candidates = append(candidates, fillCandidate{w, n, stopped})
		}
	}
	slices.SortFunc(candidates, func(a, b fillCandidate) int {
		return cmp.Or(cmp.Compare(a.toStop(), b.toStop()), strings.Compare(a.host.ID, b.host.ID))
	})
	return candidates
}

func (w fillCandidate) toStop() int {
	if w.fillsStopping {
		return 0
	}
	return len(w.fills())
}

// fills returns the runs on the worker that fill idle processor time.
func (w *worker) fills() []*run {
	var fills []*run
	for _, x := range w.runs {
		if x.shape.GetFills() {
			fills = append(fills, x)
		}
	}
	return fills
}
