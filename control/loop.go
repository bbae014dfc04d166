// Package control runs the one goroutine that owns a process's control state.
//
// Everything that decides (queues, placement, racks, jobs) is changed by
// functions that the Loop runs one after the other; such functions never block
// and do no input or output. Traffic goroutines hand functions in with Do or
// Post.
//
// Usage:
//
//	l := &control.Loop{}
//	group.Go(func() error { return l.Run(ctx) })
//	err := l.Do(ctx, func() { queue.Push(item) })
package control

import (
	"context"
	"errors"
	"time"
)

// ErrStopped is returned when the loop has ended.
var ErrStopped = errors.New("control loop has stopped")

// backlog is the number of functions that may wait for the loop.
const backlog = 4096

// Loop runs functions in order. Make it with New.
type Loop struct {
	// Busy, when set before Run, is told how long each function took.
	Busy func(time.Duration)

	work chan func()
	done chan struct{}
}

// New returns a loop that has not started.
func New() *Loop {
	return &Loop{work: make(chan func(), backlog), done: make(chan struct{})}
}

// Run runs functions until ctx ends, then those already handed in.
func (l *Loop) Run(ctx context.Context) error {
	defer close(l.done)
	for {
		select {
		case f := <-l.work:
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
		case f := <-l.work:
			l.run(f)
		default:
			return
		}
	}
}

func (l *Loop) run(f func()) {
	if l.Busy == nil {
		f()
		return
	}
	begin := time.Now()
	f()
	l.Busy(time.Since(begin))
}

// Do runs f on the loop and returns when it has run. With an error f has not
// run and will not run, but for ErrStopped, after which it may have.
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
	step := func() {
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
	case l.work <- step:
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

// Post hands f in and does not wait for it. It reports false when the loop has
// stopped; it blocks while the backlog is full.
func (l *Loop) Post(f func()) bool {
	select {
	case l.work <- f:
		return true
	case <-l.done:
		return false
	}
}

// Every posts f in every interval until ctx ends, at most one at a time.
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
