package chain

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/pool"
	"persimmonworks.example/persimmonworks/provider"
)

const defaultPollInterval = time.Second // so that every process applies a change within seconds

// ErrNoConfiguration is returned by Start if neither the platform nor a peer supplied a
// configuration.
var ErrNoConfiguration = errors.New("no configuration available")

// Peers queries the other processes. Newest returns the entry with the highest
// number that any of them has, or nil if no number is greater than above.
type Peers interface {
	Newest(ctx context.Context, above uint64) (*Entry, error)
}

// Follower holds the configuration in force in this process. Set the exported
// fields before the first call. All methods are safe for concurrent use;
// Current takes no lock.
type Follower struct {
	Reader       provider.Reader
	Peers        Peers         // nil if there are none
	Log          event.Emitter // nil disables logging
	PollInterval time.Duration // poll interval; 0 means 1 s

	current   atomic.Pointer[Entry]
	announced atomic.Uint64 // highest number known to be published
	wake      wakeup

	mu          sync.Mutex // serializes Apply and guards the fields below
	floor       uint64
	refused     uint64 // last number that was logged as refused
	subscribers []func(*Entry)
}

// empty is the entry in force before the first configuration is applied.
var empty Entry

// Current returns the entry in force, which has number 0 before the first
// configuration is applied. The caller must not modify it.
func (f *Follower) Current() *Entry {
	if e := f.current.Load(); e != nil {
		return e
	}
	return &empty
}

// Number returns the number of the configuration in force.
func (f *Follower) Number() uint64 { return f.Current().Number }

// Subscribe registers a function that is called with each entry as it comes
// into force, in order. If an entry is in force already, Subscribe calls it at
// once. The function must not block and must not call Apply.
func (f *Follower) Subscribe(changed func(*Entry)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.subscribers = append(f.subscribers, changed)
	if f.Number() > 0 {
		changed(f.Current())
	}
}

// SetFloor makes Apply ignore every number below floor. A restarted process
// calls it with the highest number that it is known to have had in force, so
// that a peer cannot give it an older configuration.
func (f *Follower) SetFloor(floor uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.floor = max(f.floor, floor)
}

// Apply puts e into force if its number is greater than the current one, is not
// below the floor, and its configuration is valid. It reports whether e came
// into force. The caller must not modify e afterwards.
func (f *Follower) Apply(e *Entry) (bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e.Number <= f.Number() || e.Number < f.floor {
		return false, nil
	}
	if err := pool.Check(&e.Configuration).Err(); err != nil {
		f.reportRefused(e.Number, err)
		return false, fmt.Errorf("apply configuration %d by %s: %w", e.Number, e.By, err)
	}
	f.current.Store(e)
	f.emit(event.ConfigApplied, "number", e.Number, "by", e.By, "why", e.Why)
	for _, changed := range f.subscribers {
		changed(e)
	}
	return true, nil
}

// reportRefused logs a refused number once instead of with every poll.
func (f *Follower) reportRefused(number uint64, err error) {
	if f.refused == number {
		return
	}
	f.refused = number
	f.emit(event.ConfigRefused, "number", number, "error", err)
}

// Announce records that the given number has been published, as reported by a peer
// or by a publisher in this process. If it is greater than the current one, Run
// polls immediately.
func (f *Follower) Announce(number uint64) {
	for {
		old := f.announced.Load()
		if number <= old {
			return
		}
		if f.announced.CompareAndSwap(old, number) {
			break
		}
	}
	if number > f.Number() {
		f.wake.signal()
	}
}

// Behind returns the highest number passed to Announce and whether it is greater
// than the current one.
func (f *Follower) Behind() (number uint64, behind bool) {
	number = f.announced.Load()
	return number, number > f.Number()
}

// Poll looks for a newer configuration once. It reads the table first and asks
// the peers if that fails or if a higher number has been passed to Announce. It
// returns an error only if neither source responded or the entry found was
// refused.
func (f *Follower) Poll(ctx context.Context) error {
	failure := f.pollTable(ctx)
	if _, behind := f.Behind(); failure == nil && !behind {
		return nil
	}
	if f.Peers == nil {
		return failure
	}
	e, err := f.Peers.Newest(ctx, f.Number())
	if err != nil {
		return errors.Join(failure, fmt.Errorf("ask peers for a configuration above %d: %w", f.Number(), err))
	}
	if e == nil {
		return nil
	}
	_, err = f.Apply(e)
	return err
}

func (f *Follower) pollTable(ctx context.Context) error {
	_, at, err := readHead(ctx, f.Reader)
	if err != nil {
		return err
	}
	if at.Number <= f.Number() {
		return nil
	}
	e, err := readEntry(ctx, f.Reader, at.Number)
	if err != nil {
		return err
	}
	_, err = f.Apply(e)
	return err
}

// Start polls until the first configuration is in force. It returns ErrNoConfiguration if
// ctx is done before that.
func (f *Follower) Start(ctx context.Context) error {
	var failure error
	for f.Number() == 0 {
		failure = f.Poll(ctx)
		if f.Number() > 0 {
			break
		}
		if !f.pause(ctx) {
			return fmt.Errorf("%w: check the addresses of the platform and of the peer seeds: %v", ErrNoConfiguration, failure)
		}
	}
	return nil
}

// Run polls until ctx is done. A failed poll does not end it: the current
// configuration stays in force.
func (f *Follower) Run(ctx context.Context) error {
	var reported uint64
	failures := 0
	for {
		failures = f.reportPoll(ctx, f.Poll(ctx), failures)
		if number, behind := f.Behind(); behind && number != reported && ctx.Err() == nil {
			f.emit(event.ConfigBehind, "number", number, "in-force", f.Number())
			reported = number
		}
		if !f.pause(ctx) {
			return nil
		}
	}
}

// reportPoll logs when polls begin to fail and when they succeed again. It returns how
// many have failed since the last success.
func (f *Follower) reportPoll(ctx context.Context, err error, failures int) int {
	if err == nil {
		if failures > 0 {
			f.emit(event.FeedRegained, "table", "chain", "version", f.Number(), "failures", failures)
		}
		return 0
	}
	if failures == 0 && ctx.Err() == nil {
		f.emit(event.FeedLost, "table", "chain", "version", f.Number(), "error", err)
	}
	return failures + 1
}

func (f *Follower) pause(ctx context.Context) bool {
	every := f.PollInterval
	if every == 0 {
		every = defaultPollInterval
	}
	timer := time.NewTimer(every)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-f.wake.channel():
	case <-timer.C:
	}
	return ctx.Err() == nil
}

func (f *Follower) emit(e *event.Event, keysAndValues ...any) {
	if f.Log != nil {
		f.Log.Emit(e, keysAndValues...)
	}
}

// wakeup is a signal that stays pending until it is received. The zero value is
// ready to use.
type wakeup struct {
	once sync.Once
	c    chan struct{}
}

func (w *wakeup) channel() chan struct{} {
	w.once.Do(func() { w.c = make(chan struct{}, 1) })
	return w.c
}

func (w *wakeup) signal() {
	select {
	case w.channel() <- struct{}{}:
	default:
	}
}
