// Package agent is a stand-in of the platform's agent on a worker. It follows
// the whole protocol of package worker, on tasks that only pass time.
//
// An Agent keeps one deadline for all its attempts, since every Sync that takes
// effect renews all of them. At the deadline everything that runs stops by
// itself, also while the agent is frozen. A Sync that comes later than its
// NotAfter, or for another boot, only fences. A Stop of an attempt that never came
// is remembered, so that its Start, should it come late, runs nothing. The
// same holds for a Start that was refused: its attempt number is used up.
//
// The Work of a Start is a JSON object, see Work. An Agent has no goroutine
// of its own: timers drive it, under one mutex.
//
// Usage:
//
//	a := &agent.Agent{ID: "w-dc1-r1-01", Capacity: c, Ledger: l, Faults: b}
//	report, err := a.Sync(ctx, worker.Sync{Epoch: 1})
package agent

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"persimmonworks.example/persimmonworks/fault"
	"persimmonworks.example/persimmonworks/ledger"
	"persimmonworks.example/persimmonworks/resource"
	"persimmonworks.example/persimmonworks/worker"
)

// Agent is one worker. Its exported fields are set before the first call; it
// is safe for concurrent use.
type Agent struct {
	ID       string
	Capacity resource.Vector
	UsageLag time.Duration // age of the usage that reports show
	Ledger   *ledger.Ledger
	Faults   *fault.Board
	// Stopping gives up all waiting messages when it is closed; nil never does.
	Stopping <-chan struct{}

	mutex    sync.Mutex
	epoch    uint64
	seen     map[string]uint64 // highest attempt by task
	attempts map[worker.Ref]*attempt
	clock    clock
	lease    *time.Timer
	until    time.Duration // on the clock; 0 while no lease is in force
}

var _ worker.Agent = (*Agent)(nil)

// Sync applies s and returns the inventory, in order of task and attempt. The
// error is worker.ErrStaleEpoch, or worker.ErrUnreachable while the worker is
// frozen or lost.
func (a *Agent) Sync(ctx context.Context, s worker.Sync) (worker.Report, error) {
	if err := a.awaitThaw(ctx); err != nil {
		return worker.Report{}, err
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.Faults.Host(a.ID).Lost { // Lose, which comes after the mark, also takes the mutex
		return worker.Report{}, fmt.Errorf("worker %s is lost: %w", a.ID, worker.ErrUnreachable)
	}
	if s.Epoch < a.epoch {
		return worker.Report{}, fmt.Errorf("worker %s: epoch %d is below %d: %w", a.ID, s.Epoch, a.epoch, worker.ErrStaleEpoch)
	}
	a.epoch = s.Epoch
	a.boot()
	// A timer of the lease that is due but has not run yet must not let a
	// renewal revive what has already expired.
	if a.until > 0 && a.now() >= a.until {
		a.expire()
	}
	if s.Boot == a.clock.boot && a.now() < s.NotAfter {
		a.carryOut(s)
	}
	return a.report(), nil
}

// boot makes a worker that has just started, or come back, ready.
func (a *Agent) boot() {
	if a.attempts == nil {
		a.attempts = make(map[worker.Ref]*attempt)
		a.seen = make(map[string]uint64)
		a.clock = startClock()
	}
}

func (a *Agent) now() time.Duration { return a.clock.now(a.Faults.Host(a.ID).ClockError) }

// carryOut applies a Sync that is in time.
func (a *Agent) carryOut(s worker.Sync) {
	for _, ref := range s.Acknowledged {
		a.acknowledge(ref)
	}
	for _, p := range s.Stops {
		a.stop(p)
	}
	for _, t := range s.Throttles {
		a.throttle(t)
	}
	a.renew(s.NotAfter)
	for _, p := range s.Starts {
		a.start(p)
	}
}

// awaitThaw blocks while the worker is frozen. A late message outlives its
// sender's patience.
func (a *Agent) awaitThaw(ctx context.Context) error {
	for {
		changed := a.Faults.Changed()
		f := a.Faults.Host(a.ID)
		if f.Lost {
			return fmt.Errorf("worker %s is lost: %w", a.ID, worker.ErrUnreachable)
		}
		if !f.Frozen {
			return nil
		}
		patience := ctx.Done()
		if f.Late {
			patience = nil
		}
		select {
		case <-changed:
			continue
		case <-patience:
		case <-a.Stopping:
		}
		return fmt.Errorf("worker %s is frozen: %w", a.ID, worker.ErrUnreachable)
	}
}

// Lose ends everything and forgets the epoch and the inventory, as the loss of
// the host does.
func (a *Agent) Lose() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, t := range a.attempts {
		a.finish(t, worker.Stopped, ledger.Lost, "host lost")
	}
	a.attempts, a.seen, a.epoch = nil, nil, 0
	if a.lease != nil {
		a.lease.Stop()
	}
	a.until = 0
}

// renew moves the end of the leases of all attempts, never back: an earlier
// message that was overtaken takes nothing away.
func (a *Agent) renew(until time.Duration) {
	a.until = max(a.until, until)
	a.armLease()
}

// armLease sets the timer of the end of the leases. It sets it again when the
// worker's clock was slower than expected.
func (a *Agent) armLease() {
	if a.lease != nil {
		a.lease.Stop()
	}
	clockError := a.Faults.Host(a.ID).ClockError
	left := a.until - a.clock.now(clockError)
	boot := a.clock.boot
	a.lease = time.AfterFunc(realTime(left, clockError), func() {
		a.mutex.Lock()
		defer a.mutex.Unlock()
		switch {
		case a.until == 0 || a.clock.boot != boot:
		case a.now() >= a.until:
			a.expire()
		default:
			a.armLease()
		}
	})
}

func (a *Agent) expire() {
	a.until = 0
	for _, t := range a.attempts {
		a.finish(t, worker.Stopped, ledger.Expired, "lease expired")
	}
}

func (a *Agent) start(s worker.Start) {
	last := a.seen[s.Task]
	if s.Attempt == last && last != 0 {
		return
	}
	if _, known := a.attempts[s.Ref]; known {
		return
	}
	a.seen[s.Task] = max(last, s.Attempt)
	work, reason := decodeWork(s.Work)
	switch {
	case s.Attempt < last:
		reason = fmt.Sprintf("attempt %d of task %q is below %d", s.Attempt, s.Task, last)
	case s.Attempt == 0:
		reason = fmt.Sprintf("task %q has attempt 0", s.Task)
	case s.Demand.Negative():
		reason = fmt.Sprintf("demand %v is negative", s.Demand)
	case !a.free().Covers(s.Demand):
		reason = fmt.Sprintf("demand %v exceeds the free %v", s.Demand, a.free())
	}
	t := &attempt{start: s, work: work, percent: fullPercent, usageLag: a.UsageLag}
	a.attempts[s.Ref] = t
	if reason != "" {
		t.state, t.reason = worker.Refused, reason
		a.Ledger.Refuse(a.entry(t))
		return
	}
	t.state, t.begin, t.since = worker.Running, time.Now(), time.Now()
	t.run = a.Ledger.Begin(a.entry(t))
	if a.Faults.Host(a.ID).FailStarts {
		a.finish(t, worker.Failed, ledger.Failed, "worker fails every start")
		return
	}
	a.arm(t)
}

func (a *Agent) entry(t *attempt) ledger.Entry {
	return ledger.Entry{
		Kind: ledger.Task, Host: a.ID, Task: t.start.Task, Attempt: t.start.Attempt,
		NonIdempotent: t.work.NonIdempotent, Demand: t.start.Demand, Capacity: a.Capacity,
	}
}

// arm sets the timer of the end of t's work at its present pace.
func (a *Agent) arm(t *attempt) {
	if t.timer != nil {
		t.timer.Stop()
	}
	if t.work.Forever {
		return
	}
	t.generation++
	generation := t.generation
	t.timer = time.AfterFunc(t.remaining(), func() {
		a.mutex.Lock()
		defer a.mutex.Unlock()
		if t.generation != generation {
			return
		}
		if t.work.Fail {
			a.finish(t, worker.Failed, ledger.Failed, "task failed")
			return
		}
		a.finish(t, worker.Done, ledger.Done, "")
	})
}

// finish ends a running attempt; it does nothing to one that has ended.
func (a *Agent) finish(t *attempt, state worker.State, how, reason string) {
	if t.state != worker.Running {
		return
	}
	t.settle()
	t.generation++
	if t.timer != nil {
		t.timer.Stop()
	}
	t.state, t.reason, t.end = state, reason, time.Now()
	if state == worker.Done {
		t.result = []byte(t.work.Output)
	}
	a.Ledger.End(t.run, how)
}

func (a *Agent) stop(s worker.Stop) {
	t, known := a.attempts[s.Ref]
	if !known {
		if s.Attempt <= a.seen[s.Task] {
			return
		}
		a.seen[s.Task] = s.Attempt
		a.attempts[s.Ref] = &attempt{start: worker.Start{Ref: s.Ref}, state: worker.Stopped, reason: "stopped before its start"}
		return
	}
	if t.state != worker.Running {
		return
	}
	a.finish(t, worker.Stopped, ledger.Stopped, "stopped by the owner")
	if s.Checkpoint {
		t.checkpoint = t.work.checkpoint(t.progress)
	}
}

func (a *Agent) throttle(s worker.Throttle) {
	t, known := a.attempts[s.Ref]
	if !known || t.state != worker.Running {
		return
	}
	t.settle()
	t.percent = min(max(s.Percent, 1), fullPercent)
	a.arm(t)
}

// acknowledge forgets a finished attempt; a running one stays.
func (a *Agent) acknowledge(ref worker.Ref) {
	if t, known := a.attempts[ref]; known && t.state != worker.Running {
		delete(a.attempts, ref)
	}
}

func (a *Agent) free() resource.Vector {
	free := a.Capacity
	for _, t := range a.attempts {
		if t.state == worker.Running {
			free = free.Sub(t.start.Demand)
		}
	}
	return free
}

func (a *Agent) report() worker.Report {
	r := worker.Report{
		Epoch: a.epoch, Boot: a.clock.boot, Clock: a.now(), Until: a.until,
		Capacity: a.Capacity, Leaving: a.Faults.Host(a.ID).Leaving,
	}
	for _, t := range a.attempts {
		r.Attempts = append(r.Attempts, t.report())
	}
	slices.SortFunc(r.Attempts, func(x, y worker.Attempt) int {
		return cmp.Or(cmp.Compare(x.Task, y.Task), cmp.Compare(x.Attempt, y.Attempt))
	})
	return r
}
