// Package control serializes access to the control state of a process on one
// goroutine.
//
// The state that decisions depend on (queues, placement, racks, jobs) is read
// and changed only by functions that a Loop runs one after the other. These
// functions must not block and must not do I/O. Goroutines that serve requests
// submit functions with Do or Post.
//
// Usage:
//
//	l := control.New()
//	group.Go(func() error { return l.Run(ctx) })
//	err := l.Do(ctx, func() { queue.Push(item) })
package control

import (
	"context"
	"errors"
	"time"
)

// ErrStopped is returned by Do when the loop has stopped.
var ErrStopped = errors.New("control loop has stopped")

// maxQueued is the number of functions that can wait for the loop before Do and
// Post block.
const maxQueued = 4096

// Loop runs functions in the order in which they were submitted. Create it with
// New.
type Loop struct {
	// OnRun, if set before Run, is called with the duration of each function.
	OnRun func(time.Duration)

	queue chan func()
	done  chan struct{}
}

// New returns a loop. Run starts it.
func New() *Loop {
	return &Loop{queue: make(chan func(), maxQueued), done: make(chan struct{})}
}

// Run runs functions until ctx is done, then those that are still queued.
func (l *Loop) Run(ctx context.Context) error {
	defer close(l.done)
	for {
		select {
		case f := <-l.queue:
			l.run(f)
		case <-ctx.Done():
			l.drain()
			return nil
		}
	}
}

func (l *Loop) drain() {
	for {
		select {
		case f := <-l.queue:
			l.run(f)
		default:
			return
		}
	}
}

func (l *Loop) run(f func()) {
	if l.OnRun == nil {
		f()
		return
	}
	start := time.Now()
	f()
	l.OnRun(time.Since(start))
}

// Do runs f on the loop and returns when f has returned. If Do returns the error
// of ctx, f has not run and will not run. If it returns ErrStopped, f may have
// run.
func (l *Loop) Do(ctx context.Context, f func()) error {
	type state int
	const (
		waiting state = iota
		running
		dropped
	)
	current := waiting
	ran := make(chan struct{})
	lock := make(chan struct{}, 1)
	guarded := func() {
		lock <- struct{}{}
		if current == dropped {
			<-lock
			return
		}
		current = running
		<-lock
		f()
		close(ran)
	}
	select {
	case l.queue <- guarded:
	case <-ctx.Done():
		return ctx.Err()
	case <-l.done:
		return ErrStopped
	}
	select {
	case <-ran:
		return nil
	case <-l.done:
		select {
		case <-ran:
			return nil
		default:
			return ErrStopped
		}
	case <-ctx.Done():
	}
	lock <- struct{}{}
	started := current == running
	if !started {
		current = dropped
	}
	<-lock
	if !started {
		return ctx.Err()
	}
	<-ran
	return nil
}

// Post queues f and does not wait until it has run. It blocks while the queue is
// full, and returns false if the loop has stopped.
func (l *Loop) Post(f func()) bool {
	select {
	case l.queue <- f:
		return true
	case <-l.done:
		return false
	}
}

// Every runs f on the loop once per interval, until ctx is done or the loop has
// stopped. It waits for each run, so at most one is queued.
func (l *Loop) Every(ctx context.Context, interval time.Duration, f func()) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if err := l.Do(ctx, f); err != nil {
				return nil
			}
		case <-ctx.Done():
			return nil
		}
	}
}
