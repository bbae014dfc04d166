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

const pollEvery = time.Second // a change is in force everywhere within seconds

// ErrNone is returned if neither the platform nor a peer has a configuration.
var ErrNone = errors.New("no configuration can be had")

// Peers asks the other processes. Newest returns the entry with the highest
// number above the given one that any of them has, nil if none has.
type Peers interface {
	Newest(ctx context.Context, above uint64) (*Entry, error)
}

// Follower holds the configuration in force in this process. Set the exported
// fields before Run. All methods may be called from any goroutine; Current
// takes no lock.
type Follower struct {
	Reader provider.Reader
	Peers  Peers         // nil without peers
	Log    event.Emitter // nil writes nothing
	Every  time.Duration // between polls; 0 is 1 s

	current atomic.Pointer[Entry]
	heard   atomic.Uint64 // highest number heard of
	wake    wakeup

	mu          sync.Mutex // guards the order of applications
	floor       uint64
	refused     uint64 // number that was refused and reported
	subscribers []func(*Entry)
}

// empty is in force before the first configuration.
var empty Entry

// Current returns the entry in force, with number 0 before the first one. It
// must not be changed.
func (f *Follower) Current() *Entry {
	if e := f.current.Load(); e != nil {
		return e
	}
	return &empty
}

// Number returns the number of the configuration in force.
func (f *Follower) Number() uint64 { return f.Current().Number }

// Subscribe adds a function that is called with each entry that comes into
// force, in order and with the one in force now if there is one. It must not
// block and must not call Apply.
func (f *Follower) Subscribe(changed func(*Entry)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.subscribers = append(f.subscribers, changed)
	if f.Number() > 0 {
		changed(f.Current())
	}
}

// SetFloor refuses every number below floor from now on. A restarted process
// calls it with the highest number that it is known to have had in force.
func (f *Follower) SetFloor(floor uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.floor = max(f.floor, floor)
}

// Apply puts e into force if its number is above the one in force and it is
// sound. It reports whether e is new; e must not be changed afterwards.
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

// reportRefused logs a refused number once, not with each poll.
func (f *Follower) reportRefused(number uint64, err error) {
	if f.refused == number {
		return
	}
	f.refused = number
	f.emit(event.ConfigRefused, "number", number, "error", err)
}

// Heard notes that a peer has a number; Run polls at once if it is higher.
func (f *Follower) Heard(number uint64) {
	for {
		old := f.heard.Load()
		if number <= old {
			return
		}
		if f.heard.CompareAndSwap(old, number) {
			break
		}
	}
	if number > f.Number() {
		f.wake.signal()
	}
}

// Behind returns the highest number heard of if it is above the one in force.
func (f *Follower) Behind() (number uint64, behind bool) {
	number = f.heard.Load()
	return number, number > f.Number()
}

// Poll looks for a higher number once: in the table and, if that fails or is
// behind what was heard, at the peers. It returns an error only if neither
// answered or the entry found was refused.
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

// Start polls until the first configuration is in force. It returns ErrNone
// if ctx ends before.
func (f *Follower) Start(ctx context.Context) error {
	var failure error
	for f.Number() == 0 {
		failure = f.Poll(ctx)
		if f.Number() > 0 {
			break
		}
		if !f.pause(ctx) {
			return fmt.Errorf("%w: check the platform and the seeds: %v", ErrNone, failure)
		}
	}
	return nil
}

// Run polls until ctx ends. Failures of polls are not its failures: the
// configuration in force stays.
func (f *Follower) Run(ctx context.Context) error {
	var reported uint64
	for {
		_ = f.Poll(ctx)
		if number, behind := f.Behind(); behind && number != reported && ctx.Err() == nil {
			f.emit(event.ConfigBehind, "number", number, "in-force", f.Number())
			reported = number
		}
		if !f.pause(ctx) {
			return nil
		}
	}
}

func (f *Follower) pause(ctx context.Context) bool {
	every := f.Every
	if every == 0 {
		every = pollEvery
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

// wakeup is a signal that is kept until it is seen. The zero value is ready.
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
