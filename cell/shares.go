package cell

import (
	"iter"
	"sync/atomic"
	"time"

	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/organisation"
	"persimmonworks.example/persimmonworks/turn"
)

const (
	sharesInterval = 100 * time.Millisecond // between two times that shares are worked out
	// Steps that wait behind those of other organisations are logged no more often.
	behindLogInterval = 100 * time.Millisecond
	maxMeasured       = 8 // organisations with metrics of their own; the others share one
)

// OtherOwners tells what the owners of the other dockets have told. Its method never blocks.
type OtherOwners interface {
	Reports() []turn.Report
}

// shares is what decides between organisations. It stays empty while the configuration
// knows none.
type shares struct {
	accounts       turn.Accounts
	organisations  *organisation.Set // at the latest update, nil for none
	updatedAt      time.Time
	behindLoggedAt time.Time
	measured       map[string]bool
	line           []turn.Step // buffer, reused by the next pass
	report         atomic.Pointer[turn.Report]
}

// started accounts a run to its organisation.
func (s *shares) started(x *run, now time.Time) {
	if s.organisations.Configured() && !x.accounted {
		x.accounted = true
		s.accounts.Started(x.organisation, demand(x.shape), x.priority == 0, now)
	}
}

// ended takes a run off the account of its organisation.
func (s *shares) ended(x *run, now time.Time) {
	if x.accounted {
		x.accounted = false
		s.accounts.Ended(x.organisation, demand(x.shape), x.priority == 0, now)
	}
}

// inForce returns the accounts, nil while the configuration knows no organisations.
func (s *shares) inForce() *turn.Accounts {
	if !s.organisations.Configured() {
		return nil
	}
	return &s.accounts
}

// standing compares what an organisation has with its share.
func (s *shares) standing(name string, now time.Time) turn.Standing {
	if !s.organisations.Configured() {
		return turn.Within
	}
	return s.accounts.Standing(name, false, now)
}

// updateShares works out again what each organisation has, wants and may have.
func (c *Cell) updateShares(now time.Time) {
	if now.Sub(c.shares.updatedAt) < sharesInterval {
		return
	}
	c.shares.updatedAt = now
	before := c.shares.organisations
	if c.shares.organisations = c.organisations(); !c.shares.organisations.Configured() {
		return
	}
	if !before.Configured() {
		for _, x := range c.runs {
			c.shares.started(x, now)
		}
	}
	if c.OtherOwners != nil {
		for _, r := range c.OtherOwners.Reports() {
			c.shares.accounts.Receive(r)
		}
	}
	capacity := c.usableCapacity(now)
	c.shares.accounts.Update(c.shares.organisations, capacity, c.waitingByOrganisation(), now)
	report := c.shares.accounts.Report(capacity, now)
	c.shares.report.Store(&report)
}

// ShareReport returns what to tell the owners of the other dockets, nil while the
// configuration knows no organisations. It may be called from any goroutine.
func (c *Cell) ShareReport() *turn.Report { return c.shares.report.Load() }

// usableCapacity returns the capacity of the workers that take starts now.
func (c *Cell) usableCapacity(now time.Time) vector {
	var sum vector
	for _, w := range c.workers {
		if c.acceptsStarts(w, now) {
			sum = sum.Add(w.host.Capacity)
		}
	}
	return sum
}

// waitingByOrganisation returns what the tasks that wait would take.
func (c *Cell) waitingByOrganisation() map[string]vector {
	waiting := map[string]vector{}
	for _, s := range c.readySteps {
		if n := s.waitingTasks(); n > 0 {
			name := s.organisation()
			waiting[name] = waiting[name].Add(demand(s.shape).Scale(int64(n)))
		}
	}
	return waiting
}

// waitingTasks returns the number of startableTasks.
func (s *readyStep) waitingTasks() int {
	if s.shape.GetGang() && s.state.Active() > 0 {
		return 0
	}
	return s.state.Waiting()
}

// inLine describes the step to package turn.
func (s *readyStep) inLine(now time.Time) turn.Step {
	return turn.Step{ID: s.id, Rank: placementRank(s, now), LatestStart: s.latestStart}
}

// inTurn returns the steps in the order in which they are placed. The loop body may start
// tasks, which moves the other steps of their organisation back.
func (c *Cell) inTurn(now time.Time) iter.Seq[*readyStep] {
	c.updateShares(now)
	accounts := c.shares.inForce()
	steps := make([]*readyStep, 0, len(c.readySteps))
	line := c.shares.line[:0]
	for _, s := range c.readySteps {
		n := s.inLine(now)
		n.Index = len(steps)
		if accounts != nil {
			n.Organisation = s.organisation()
			n.Exempt = !s.interruptedAt.IsZero()
		}
		steps, line = append(steps, s), append(line, n)
	}
	c.shares.line = line
	l := turn.NewLine(line, accounts, now)
	return func(yield func(*readyStep) bool) {
		for n, ok := l.Next(); ok; n, ok = l.Next() {
			s := steps[n.Index]
			if s.standing = n.Standing; !yield(s) {
				return
			}
		}
	}
}

// passesEarmarks reports whether the step may use workers that are kept for gangs.
func (s *readyStep) passesEarmarks(now time.Time) bool {
	return s.standing == turn.Within && urgent(placementRank(s, now))
}

// noteBehind logs, once for each step and not often, that a step waits because its
// organisation has more than its share.
func (c *Cell) noteBehind(s *readyStep, now time.Time) {
	if s.standing == turn.Within || s.behindLogged || s.waitingTasks() == 0 {
		return
	}
	s.behindLogged = true
	name := s.organisation()
	c.Meter.Count("steps-behind", c.shares.label(name))
	if now.Sub(c.shares.behindLoggedAt) < behindLogInterval {
		return
	}
	c.shares.behindLoggedAt = now
	c.Log.Emit(event.StepBehind, "job", s.id.Job, "step", s.id.String(), "organisation", name, "standing", s.standing.String(),
		"has", c.shares.accounts.Taken(name, now), "share", c.shares.accounts.Share(name), "waited-ms", now.Sub(s.readyAt).Milliseconds())
}

// noteShareOfStart records how long a task has waited, by the standing of its organisation.
func (c *Cell) noteShareOfStart(s *readyStep, now time.Time) {
	if c.shares.inForce() == nil {
		return
	}
	c.Meter.Observe("wait-"+s.standing.String(), now.Sub(s.readyAt))
	c.Meter.Count("starts-by-organisation", c.shares.label(s.organisation()))
}

// label returns the name under which an organisation appears in metrics. The number of
// names is bounded: those that come first have their own.
func (s *shares) label(name string) string {
	if s.measured[name] {
		return name
	}
	if len(s.measured) >= maxMeasured {
		return "others"
	}
	if s.measured == nil {
		s.measured = map[string]bool{}
	}
	s.measured[name] = true
	return name
}
