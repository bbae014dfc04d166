package cell

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"persimmonworks.example/persimmonworks/crash"
	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/turn"
	"persimmonworks.example/persimmonworks/wire"
)

const (
	// refusalDelay is how long after a worker's last answer a refused connection still
	// means that its process has just ended, rather than that it was cut off.
	refusalDelay = holdWait + 2*holdRetryInterval
	// recentStart is how long after its start a run may be the cause of a crash that has
	// just become visible.
	recentStart = 2 * holdRetryInterval
	// stepsPerAside is how many steps of isolated kinds may ask for advice in a pass, for
	// each worker that is set aside.
	stepsPerAside = 2
	// maxWaitingPerAside is how many jobs of isolated kinds may wait for each worker that
	// is set aside. Such a worker does about one a second.
	maxWaitingPerAside = 4
)

// use is what a worker is used for while kinds are isolated.
type use int

const (
	forAll     use = iota // but isolated kinds
	forUntried            // tasks of isolated kinds; those on trial take what is left
	forTrials             // tasks of isolated kinds that are on trial, which would wait behind new ones otherwise
)

// isolation is which kinds of task run apart from others, and where. The last pass has
// counted the workers that are set aside and the steps that wait for them.
type isolation struct {
	crash.Isolation
	used            map[string]float64 // share of the pool that urgent tasks of each isolated kind used before
	untried, trials int                // workers that are set aside, by use
	waiting         int                // steps of isolated kinds of which nothing runs
	asking          int                // steps of isolated kinds that were to ask for advice in this pass
}

// urgentWork returns the share of the pool that urgent tasks of the isolated kinds used
// before.
func (i *isolation) urgentWork() float64 {
	sum := 0.0
	for _, share := range i.used {
		sum += share
	}
	return sum
}

// aside returns how many workers are set aside.
func (i *isolation) aside() int { return i.untried + i.trials }

// nextUse returns the use of the next worker that is set aside, and counts it.
func (i *isolation) nextUse() use {
	if i.trials < i.untried {
		i.trials++
		return forTrials
	}
	i.untried++
	return forUntried
}

// kindOf returns what the tasks of a step have in common that may crash workers: their
// queue. Gangs and lasting tasks have none, since they could not do with a part of the
// workers.
func kindOf(queue string, shape *wire.DocketStep) (kind string, ok bool) {
	return queue, !shape.GetGang() && !shape.GetLongRunning()
}

// isolates reports whether the tasks of a step are kept apart from all others.
func (c *Cell) isolates(queue string, shape *wire.DocketStep) bool {
	kind, ok := kindOf(queue, shape)
	return ok && c.isolation.Isolated(kind)
}

// handleRefused processes that a worker refuses connections. That proves nothing about
// its runs, but it is known seconds before a proof.
func (c *Cell) handleRefused(w *worker, now time.Time) {
	if w.refused || !w.reconciled || w.host.Draining || now.Sub(w.lastHeard) > refusalDelay {
		return
	}
	w.refused = true
	e := crash.Ended{Recent: w.recentKinds(now), Shares: c.recentShares(now)}
	for _, kind := range c.isolation.Note(e, now) {
		c.isolation.used[kind] = c.urgentShare(kind)
		c.Meter.Count("isolation", "begun")
		c.Log.Emit(event.KindIsolated, "queue", kind, "worker", w.host.ID, "share", e.Shares[kind], "epoch", c.Epoch())
	}
	for kind := range e.Recent {
		if w.aside == forAll && c.isolation.Isolated(kind) {
			w.aside = c.isolation.nextUse()
		}
	}
}

// exists reports whether the worker is listed and has not certainly ended. One that ended
// stays in the list for a while, beside its next incarnation.
func (w *worker) exists() bool { return w.inFleet && !w.processEnded }

// recentKinds returns the kinds of which a run was started on the worker just before.
func (w *worker) recentKinds(now time.Time) map[string]bool {
	kinds := map[string]bool{}
	for _, x := range w.runs {
		if kind, ok := kindOf(x.queue, x.shape); ok && x.mayHaveBegun() && now.Sub(x.startedAt) < recentStart {
			kinds[kind] = true
		}
	}
	return kinds
}

// recentShares returns, for each kind, the share of the workers on which a run of it was
// started just before.
func (c *Cell) recentShares(now time.Time) map[string]float64 {
	shares, workers := map[string]float64{}, 0
	for _, w := range c.workers {
		if !w.exists() || w.refused {
			continue
		}
		workers++
		for kind := range w.recentKinds(now) {
			shares[kind]++
		}
	}
	for kind := range shares {
		shares[kind] /= float64(max(1, workers))
	}
	return shares
}

// setAside chooses the workers for isolated kinds, as long as there are any.
func (c *Cell) setAside(accepting []*worker, now time.Time) {
	for _, kind := range c.isolation.Expire(now) {
		c.Meter.Count("isolation", "ended")
		c.Log.Emit(event.KindReleased, "queue", kind, "epoch", c.Epoch())
		delete(c.isolation.used, kind)
	}
	i := &c.isolation
	if !i.Any() {
		if i.aside() > 0 {
			c.returnWorkers(0)
		}
		return
	}
	existing := c.countIsolated()
	limit := crash.IsolatedWorkers(existing, i.urgentWork(), c.otherWork(now))
	if i.aside() > limit {
		c.returnWorkers(limit)
		return
	}
	for _, w := range c.leastAtStake(accepting) {
		if i.aside() >= limit {
			return
		}
		w.aside = i.nextUse()
	}
}

// countIsolated brings the counts of the isolation up to date. It returns how many
// workers there are.
func (c *Cell) countIsolated() (workers int) {
	i := &c.isolation
	i.untried, i.trials, i.waiting, i.asking = 0, 0, 0, 0
	for _, w := range c.workers {
		if !w.exists() {
			continue
		}
		workers++
		switch w.aside {
		case forUntried:
			i.untried++
		case forTrials:
			i.trials++
		}
	}
	for _, s := range c.readySteps {
		if s.state.Active() == 0 && c.isolates(s.queue.GetName(), s.shape) {
			i.waiting++
		}
	}
	return workers
}

// returnWorkers leaves that many workers to isolated kinds, those with most runs.
func (c *Cell) returnWorkers(limit int) {
	var aside []*worker
	for _, w := range c.workers {
		if w.aside != forAll {
			aside = append(aside, w)
		}
	}
	slices.SortFunc(aside, func(v, w *worker) int {
		return cmp.Or(cmp.Compare(len(w.runs), len(v.runs)), strings.Compare(v.host.ID, w.host.ID))
	})
	for _, w := range aside[min(limit, len(aside)):] {
		w.aside = forAll
	}
	c.countIsolated()
}

// leastAtStake returns the workers that are not set aside, those first on which other
// kinds would lose least.
func (c *Cell) leastAtStake(accepting []*worker) []*worker {
	stake := map[*worker]int64{}
	var workers []*worker
	for _, w := range accepting {
		if w.aside != forAll {
			continue
		}
		workers = append(workers, w)
		for _, x := range w.runs {
			if !c.isolates(x.queue, x.shape) {
				stake[w] += max(1, x.shape.GetMilliCpu())
			}
		}
	}
	slices.SortStableFunc(workers, func(v, w *worker) int { return cmp.Compare(stake[v], stake[w]) })
	return workers
}

// urgentShare returns the share of the pool's processors that urgent runs of the kind use.
func (c *Cell) urgentShare(kind string) float64 {
	used := int64(0)
	for _, x := range c.runs {
		if k, ok := kindOf(x.queue, x.shape); ok && k == kind && x.priority == 0 {
			used += demand(x.shape).MilliCPU
		}
	}
	return float64(used) / float64(max(1, c.processors()))
}

// processors returns the capacity of all workers, in milli-cores.
func (c *Cell) processors() (milliCPU int64) {
	for _, w := range c.workers {
		if w.exists() {
			milliCPU += w.host.Capacity.MilliCPU
		}
	}
	return milliCPU
}

// otherWork returns the share of the pool's processors that kinds use or wait for that
// are not isolated, at most 1. Jobs that end too late to be worth anything do not count.
func (c *Cell) otherWork(now time.Time) float64 {
	work := int64(0)
	for _, x := range c.runs {
		if !c.isolates(x.queue, x.shape) {
			work += demand(x.shape).MilliCPU
		}
	}
	for _, s := range c.readySteps {
		if !c.isolates(s.queue.GetName(), s.shape) && placementRank(s, now) < turn.Worthless {
			work += demand(s.shape).MilliCPU * int64(len(s.startableTasks()))
		}
	}
	return min(1, float64(work)/float64(max(1, c.processors())))
}

// mayAskApart reports whether the step may ask for advice, as far as isolated kinds are
// concerned. Few of their steps can start soon, and the advice for the others would delay
// that of all other kinds.
func (c *Cell) mayAskApart(s *readyStep) bool {
	if !s.apart {
		return true
	}
	c.isolation.asking++
	return c.isolation.asking <= stepsPerAside*c.isolation.aside()
}

// apartOverloaded reports whether the job is of an isolated kind of which more already
// waits than the workers that are set aside can run in useful time.
func (c *Cell) apartOverloaded(job *wire.DocketAccepted) bool {
	i := &c.isolation
	if i.waiting < maxWaitingPerAside*i.aside() || !i.Any() || job.GetMoved() {
		return false
	}
	queue := job.GetQueue().GetName()
	return slices.ContainsFunc(job.GetSteps(), func(s *wire.DocketStep) bool { return c.isolates(queue, s) })
}

// workersFor returns the workers that the step may use while kinds are isolated.
func (c *Cell) workersFor(s *readyStep, workers []*worker) []*worker {
	if c.isolation.aside() == 0 {
		return workers
	}
	untried := s.apart && s.easiestTrial(s.startableTasks(), time.Now()) == crash.None
	return slices.DeleteFunc(slices.Clone(workers), func(w *worker) bool {
		return s.apart != (w.aside != forAll) || untried && w.aside == forTrials
	})
}
