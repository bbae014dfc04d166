// Package revision lets a process catch up with the newest configuration that others
// have in force, when its own feed from the store is late.
//
// Processes tell each other the versions that they have in force. A process that hears
// of a newer one waits a moment for its feed, then reads the store, and asks the process
// that has the version if the store does not give it soon. Versions only rise, so whatever
// arrives late or twice does no harm.
//
// Usage:
//
//	f := &revision.Follower{Source: routes, Peers: peers, Log: log}
//	group.Go(func() error { return f.Run(ctx) })
//	f.Announce(7, "10.1.0.13:7720")   // whenever a process has told its version
package revision

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/pause"
)

const (
	feedTime    = 300 * time.Millisecond // within which the feed usually brings a change to all processes
	callTimeout = 900 * time.Millisecond // of one call to the store or to another process
	// storePatience is how long the store alone is asked. A store that hangs must not use up
	// the time that a change has, and one that answers is asked by many processes at once.
	storePatience = 250 * time.Millisecond
	retryDelay    = 300 * time.Millisecond
)

// Source is the configuration in force in this process.
type Source interface {
	Version() uint64 // 0 if none is in force
	// Reread reads the configuration from the store and puts it in force if it is newer.
	Reread(ctx context.Context) error
	// Apply puts a configuration as it is stored in force if it is newer.
	Apply(value []byte) error
}

// Peers asks other processes.
type Peers interface {
	// Configuration returns the configuration in force at an address, as it is stored,
	// or nothing if its version is not above the given one.
	Configuration(ctx context.Context, address string, above uint64) ([]byte, error)
}

// Follower catches up with versions that others have. Set the exported fields, then call
// Run. Announce may be called from any goroutine, also before Run.
type Follower struct {
	Source Source
	Peers  Peers
	Log    event.Emitter

	once sync.Once
	wake chan struct{}

	mu      sync.Mutex
	version uint64 // newest that another process has
	address string // of that process
}

func (f *Follower) init() { f.wake = make(chan struct{}, 1) }

// Announce notes that the process at an address has a version in force.
func (f *Follower) Announce(version uint64, address string) {
	if version <= f.Source.Version() {
		return
	}
	f.once.Do(f.init)
	f.mu.Lock()
	if version >= f.version {
		f.version, f.address = version, address // the process that told it last is the one that surely lives
	}
	f.mu.Unlock()
	select {
	case f.wake <- struct{}{}:
	default: // Run is about to look anyway
	}
}

// Behind returns the newest version that another process has and that process's address.
// It reports false if none is newer than the one in force here.
func (f *Follower) Behind() (version uint64, address string, behind bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version, f.address, f.version > f.Source.Version()
}

// Run catches up whenever this process is behind, until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	f.once.Do(f.init)
	for {
		select {
		case <-f.wake:
		case <-ctx.Done():
			return nil
		}
		version, _, _ := f.Behind()
		pause.For(ctx, feedTime)
		if f.Source.Version() < version {
			f.catchUp(ctx)
		}
	}
}

// catchUp asks the store and another process until this one is no longer behind.
func (f *Follower) catchUp(ctx context.Context) {
	begun := time.Now()
	for ctx.Err() == nil {
		version, address, behind := f.Behind()
		if !behind {
			return
		}
		from, failure := f.ask(ctx, version, address)
		f.Log.Emit(event.RoutesBehind, "version", version, "process", address, "from", from, "in-force", f.Source.Version(),
			"behind-ms", time.Since(begun).Milliseconds(), "error", failure)
		if f.Source.Version() < version {
			pause.For(ctx, retryDelay)
		}
	}
}

// ask reads the store, and asks the other process too if that has not brought the version
// within storePatience. It returns whom it asked last.
func (f *Follower) ask(ctx context.Context, version uint64, address string) (from string, failure error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	answered := make(chan error, 1)
	var group errgroup.Group
	group.Go(func() error {
		answered <- f.Source.Reread(call)
		return nil
	})
	defer func() {
		cancel()
		_ = group.Wait() // no function returns an error
	}()
	select {
	case failure = <-answered:
	case <-time.After(storePatience):
	case <-ctx.Done():
	}
	if f.Source.Version() >= version {
		return "store", failure
	}
	return address, f.fetch(ctx, address)
}

func (f *Follower) fetch(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, err := f.Peers.Configuration(ctx, address, f.Source.Version())
	if err != nil || len(value) == 0 {
		return err
	}
	return f.Source.Apply(value)
}
