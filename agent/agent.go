// Package agent simulates the platform's agent on a worker. It implements the
// complete protocol of package worker, but its tasks only sleep.
//
// An Agent keeps one lease deadline for all its attempts, since every Sync that
// takes effect renews all of them. At the deadline all running attempts stop,
// even while the agent is frozen. A Sync that arrives after its NotAfter, or
// that is addressed to another boot, only fences. A Stop of an unknown attempt
// is recorded, so that a Start of it that arrives later runs nothing. A refused
// Start also uses up its attempt number.
//
// The Work of a Start is a JSON object; see type Work. An Agent starts no
// long-running goroutines: it is driven by timers that run under one mutex.
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

// Agent simulates one worker. The exported fields must be set before the first
// call. It is safe for concurrent use.
type Agent struct {
	ID       string
	Capacity resource.Vector
	UsageLag time.Duration // delay until reports include resource usage
	Ledger   *ledger.Ledger
	Faults   *fault.Injector
	// Stopping, when closed, fails all calls that wait for a frozen worker. It
	// may be nil.
	Stopping <-chan struct{}

	mutex      sync.Mutex
	epoch      uint64
	maxAttempt map[string]uint64 // highest attempt number seen, by task
	attempts   map[worker.Ref]*attempt
	clock      clock
	leaseTimer *time.Timer
	leaseEnd   time.Duration // on the worker's clock; 0 while no lease is in force
}

var _ worker.Agent = (*Agent)(nil)

// Sync applies s and returns the inventory, sorted by task and attempt. The
// error wraps worker.ErrStaleEpoch, or worker.ErrUnreachable if the worker is
// frozen or lost.
func (a *Agent) Sync(ctx context.Context, s worker.Sync) (worker.Report, error) {
	if err := a.waitWhileFrozen(ctx); err != nil {
		return worker.Report{}, err
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.Faults.Host(a.ID).Lost { // checked under the mutex, because the fault is set before Crash is called
		return worker.Report{}, fmt.Errorf("worker %s is lost: %w", a.ID, worker.ErrUnreachable)
	}
	if s.Epoch < a.epoch {
		return worker.Report{}, fmt.Errorf("worker %s: epoch %d is below %d: %w", a.ID, s.Epoch, a.epoch, worker.ErrStaleEpoch)
	}
	a.epoch = s.Epoch
	a.ensureBooted()
	// The lease may have expired although its timer has not run yet. A renewal
	// must not revive expired attempts.
	if a.leaseEnd > 0 && a.now() >= a.leaseEnd {
		a.expire()
	}
	if s.BootID == a.clock.boot && a.now() < s.NotAfter {
		a.apply(s)
	}
	return a.report(), nil
}

// ensureBooted initialises the state of a worker that has just started or has
// returned after a loss.
func (a *Agent) ensureBooted() {
	if a.attempts == nil {
		a.attempts = make(map[worker.Ref]*attempt)
		a.maxAttempt = make(map[string]uint64)
		a.clock = startClock()
	}
}

func (a *Agent) now() time.Duration { return a.clock.now(a.Faults.Host(a.ID).ClockError) }

// apply carries out a Sync that has not expired.
func (a *Agent) apply(s worker.Sync) {
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

// waitWhileFrozen blocks while the worker is frozen. With the fault Late it
// keeps waiting after ctx is done, so that the message takes effect although its
// sender has timed out.
func (a *Agent) waitWhileFrozen(ctx context.Context) error {
	for {
		changed := a.Faults.Changed()
		f := a.Faults.Host(a.ID)
		if f.Lost {
			return fmt.Errorf("worker %s is lost: %w", a.ID, worker.ErrUnreachable)
		}
		if !f.Frozen {
			return nil
		}
		senderDone := ctx.Done()
		if f.Late {
			senderDone = nil
		}
		select {
		case <-changed:
			continue
		case <-senderDone:
		case <-a.Stopping:
		}
		return fmt.Errorf("worker %s is frozen: %w", a.ID, worker.ErrUnreachable)
	}
}

// Crash simulates the loss of the host: it ends all attempts and discards the
// epoch and the inventory.
func (a *Agent) Crash() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, t := range a.attempts {
		a.finish(t, worker.Stopped, ledger.Lost, "host lost")
	}
	a.attempts, a.maxAttempt, a.epoch = nil, nil, 0
	if a.leaseTimer != nil {
		a.leaseTimer.Stop()
	}
	a.leaseEnd = 0
}

// renew extends the leases of all attempts. It never shortens them, because an
// older message may arrive after a newer one.
func (a *Agent) renew(until time.Duration) {
	a.leaseEnd = max(a.leaseEnd, until)
	a.scheduleExpiry()
}

// scheduleExpiry sets the timer for the end of the leases. The timer is set
// again if it fires early because the worker's clock has slowed down.
func (a *Agent) scheduleExpiry() {
	if a.leaseTimer != nil {
		a.leaseTimer.Stop()
	}
	clockError := a.Faults.Host(a.ID).ClockError
	left := a.leaseEnd - a.clock.now(clockError)
	boot := a.clock.boot
	a.leaseTimer = time.AfterFunc(realTime(left, clockError), func() {
		a.mutex.Lock()
		defer a.mutex.Unlock()
		switch {
		case a.leaseEnd == 0 || a.clock.boot != boot:
		case a.now() >= a.leaseEnd:
			a.expire()
		default:
			a.scheduleExpiry()
		}
	})
}

func (a *Agent) expire() {
	a.leaseEnd = 0
	for _, t := range a.attempts {
		a.finish(t, worker.Stopped, ledger.Expired, "lease expired")
	}
}

func (a *Agent) start(s worker.Start) {
	last := a.maxAttempt[s.Task]
	if s.Attempt == last && last != 0 {
		return
	}
	if _, known := a.attempts[s.Ref]; known {
		return
	}
	a.maxAttempt[s.Task] = max(last, s.Attempt)
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
	t.state, t.begin, t.progressAt = worker.Running, time.Now(), time.Now()
	t.run = a.Ledger.Begin(a.entry(t))
	if a.Faults.Host(a.ID).FailStarts {
		a.finish(t, worker.Failed, ledger.Failed, "worker fails every start")
		return
	}
	a.scheduleEnd(t)
}

func (a *Agent) entry(t *attempt) ledger.Entry {
	return ledger.Entry{
		Kind: ledger.Task, Host: a.ID, Task: t.start.Task, Attempt: t.start.Attempt,
		NonIdempotent: t.work.NonIdempotent, Demand: t.start.Demand, Capacity: a.Capacity,
	}
}

// scheduleEnd sets the timer for the end of t's work at its current speed.
func (a *Agent) scheduleEnd(t *attempt) {
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

// finish ends an attempt. It has no effect if the attempt is not running.
func (a *Agent) finish(t *attempt, state worker.State, how, reason string) {
	if t.state != worker.Running {
		return
	}
	t.updateProgress()
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
		if s.Attempt <= a.maxAttempt[s.Task] {
			return
		}
		a.maxAttempt[s.Task] = s.Attempt
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
	t.updateProgress()
	t.percent = min(max(s.Percent, 1), fullPercent)
	a.scheduleEnd(t)
}

// acknowledge deletes a finished attempt. It has no effect on a running one.
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
		Epoch: a.epoch, BootID: a.clock.boot, Clock: a.now(), LeaseEnd: a.leaseEnd,
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
