package cell

import (
	"time"

	"persimmonworks.example/persimmonworks/docket"
)

// adoptedGangWait is how long a new owner waits for the workers of all members of a
// gang to list them. The members may have waited for most of the gang timeout before
// the takeover.
const adoptedGangWait = 500 * time.Millisecond

// gangRun identifies a run of a gang.
type gangRun struct {
	step   docket.StepID
	number uint32
}

// gangProgress is what the owner knows of the members of a gang run.
type gangProgress struct {
	waitingSince time.Time // when the first member may have begun to wait
	adopted      bool      // some member was adopted and not listed since
	doubtful     bool      // some member is not known to have started, or to be there still
	works        bool      // a member has made progress, so all had started
	open         bool      // some member is not being stopped
}

// doubtful reports whether the run is not known to have started, or its worker does not
// answer.
func (x *run) doubtful() bool { return !x.startConfirmed || x.worker.unresponsive }

// add records a member.
func (g *gangProgress) add(x *run) {
	g.open = g.open || x.phase != stopping
	g.works = g.works || x.percent > 0
	g.adopted = g.adopted || x.phase == adopted
	g.doubtful = g.doubtful || x.doubtful()
	if x.phase != committing && (g.waitingSince.IsZero() || x.startedAt.Before(g.waitingSince)) {
		g.waitingSince = x.startedAt
	}
}

// overdue reports whether the gang has to be given up: members of it may wait for
// one that did not start, and would soon have waited too long.
func (g *gangProgress) overdue(now time.Time, gangTimeout time.Duration) bool {
	if !g.open || !g.doubtful || g.works || g.waitingSince.IsZero() {
		return false
	}
	limit := gangTimeout / 2
	if g.adopted {
		limit = min(limit, adoptedGangWait)
	}
	return now.Sub(g.waitingSince) >= limit
}

// stopIncompleteGangs stops gangs of which a member did not start in time, whether
// this owner or an earlier one has started them.
func (c *Cell) stopIncompleteGangs(now time.Time) {
	gangs := map[gangRun]*gangProgress{}
	for _, x := range c.runs {
		if x.gang && x.doubtful() {
			gangs[gangRun{x.task.StepID(), x.number}] = &gangProgress{}
		}
	}
	if len(gangs) == 0 {
		return
	}
	for _, x := range c.runs {
		if g, ok := gangs[gangRun{x.task.StepID(), x.number}]; ok {
			g.add(x)
		}
	}
	for id, g := range gangs {
		if g.overdue(now, c.Limits.GangTimeout) {
			c.stopGang(id.step, id.number, "a gang member did not start")
		}
	}
}

// stopGang stops all members of a run of a gang.
func (c *Cell) stopGang(id docket.StepID, number uint32, reason string) {
	j, ok := c.Docket.Job(id.Job)
	if !ok {
		return
	}
	for index := range j.StepDefinition(id.Step).GetCount() {
		if x, ok := c.runs[id.Task(index)]; ok && x.number == number {
			c.stopRun(x, reason)
		}
	}
}
