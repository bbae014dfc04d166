package ownership

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"persimmonworks.example/persimmonworks/pause"
	"persimmonworks.example/persimmonworks/provider"
)

// errLost means that the session row belongs to another start or has expired.
var errLost = errors.New("session lost")

// ErrReplaced is returned by Session.Run when a later start of the same process
// has registered. The earlier start must exit: if both kept registering again,
// they would replace each other's row forever.
var ErrReplaced = errors.New("session replaced by a later start of the process")

// Session is the registration of this process, one per process start. The
// exported fields are set before Run and must not be changed afterwards.
type Session struct {
	Table                       provider.Table
	Process, DataCentre         string
	RelayAddress, CallerAddress string
	RenewEvery, TTL, Margin     time.Duration
	// ReadBudget limits the bytes per second spent on reading the session rows.
	// With many processes they are read less often than this session is renewed,
	// but at least once per half TTL. 0 reads them with every renewal.
	ReadBudget int
	Peers      PeerClient      // nil means NoPeers
	Rand       *rand.Rand      // nil means a random seed
	OnLost     func(id string) // called when the session expired or was replaced
	OnError    func(err error) // called with errors that are retried

	once        sync.Once
	nonce       uint64        // random number that identifies this process start
	rowLock     chan struct{} // semaphore of the call that changes the session row or relies on its version
	memberEnded chan struct{} // signalled when a read shows that a member's session is no longer live

	mu                  sync.Mutex
	ownRow              sessionRow // session row as last sent
	version             uint64     // last known version of the session row
	registered          bool
	everRegistered      bool // this start has registered at least once
	ended               bool
	deadline            time.Time            // Valid reports false from this time on
	sendTimes           map[uint64]time.Time // sequence to send time, from the last durable row on
	witnesses           map[string]bool      // sessions named as witnesses by any row that may be the durable one
	members             map[string]*observedSession
	membersReadAt       time.Time            // receipt of the last read of all sessions
	membersReadBytes    int                  // size of that read
	membersReadBy       string               // ID of this process's session at that read
	promisedUntil       map[string]time.Time // session to the end of the promise that this process gave
	promiseRefused      map[string]bool      // sessions to which this process gives no promise any more
	lostListeners       []func()
	platformUnreachable bool // the platform did not answer the last call
}

func (s *Session) init() {
	s.once.Do(func() {
		s.RenewEvery = orDefault(s.RenewEvery, DefaultRenewEvery)
		s.TTL = orDefault(s.TTL, DefaultTTL)
		s.Margin = orDefault(s.Margin, DefaultMargin)
		if s.Peers == nil {
			s.Peers = &NoPeers{}
		}
		if s.Rand == nil {
			s.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		}
		s.nonce = s.Rand.Uint64()
		s.rowLock = make(chan struct{}, 1)
		s.memberEnded = make(chan struct{}, 1)
		s.members = map[string]*observedSession{}
		s.promisedUntil = map[string]time.Time{}
		s.promiseRefused = map[string]bool{}
	})
}

func orDefault[T comparable](v, d T) T {
	var zero T
	if v == zero {
		return d
	}
	return v
}

// Run registers and renews the session until ctx is done or End was called. A
// lost session is registered again with a higher incarnation. Run returns
// ErrReplaced if a later start of the process has registered. It does not end
// the session when ctx is done; call End for a graceful shutdown.
func (s *Session) Run(ctx context.Context) error {
	s.init()
	for {
		roundStart := time.Now()
		err := s.round(ctx)
		if s.hasEnded() {
			return nil
		}
		if errors.Is(err, ErrReplaced) {
			return err
		}
		if err != nil && ctx.Err() == nil {
			s.reportError(err)
		}
		if err := s.waitForNextRound(ctx, roundStart.Add(s.jitter(s.RenewEvery))); err != nil {
			return err
		}
	}
}

// waitForNextRound waits until the next round. If a member becomes due to be
// expired before, the sessions are read at that time, so that the expiry does
// not wait for the round.
func (s *Session) waitForNextRound(ctx context.Context, until time.Time) error {
	if due := s.nextExpiry(time.Now()); s.isRegistered() && !due.IsZero() && due.Before(until) {
		if !pause.For(ctx, time.Until(due)) {
			return ctx.Err()
		}
		if err := s.observeMembers(ctx); err != nil && ctx.Err() == nil {
			s.reportError(err)
		}
	}
	pause.For(ctx, time.Until(until))
	return ctx.Err()
}

// round registers or renews the session once, then reads the other sessions if
// this is due.
func (s *Session) round(ctx context.Context) error {
	var err error
	if s.isRegistered() {
		err = s.renew(ctx)
	} else {
		err = s.register(ctx)
	}
	if errors.Is(err, errLost) || errors.Is(err, ErrReplaced) {
		s.markLost()
		return err
	}
	if err != nil || !s.readDue(time.Now()) {
		return err
	}
	return s.observeMembers(ctx)
}

// Valid reports whether the process may act for this session at now, which must
// have a monotonic clock reading. Check it immediately before each send.
func (s *Session) Valid(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registered && !s.ended && now.Before(s.deadline)
}

// ID returns the ID of this session, process@incarnation, or "" while it is not
// registered: before Run has registered it and after it was lost or ended.
func (s *Session) ID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.registered {
		return ""
	}
	return s.ownRow.id()
}

// Incarnation returns the incarnation of this session, 0 while it is not
// registered.
func (s *Session) Incarnation() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.registered {
		return 0
	}
	return s.ownRow.Incarnation
}

// PlatformReachable reports whether the platform answered the last call.
func (s *Session) PlatformReachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.platformUnreachable
}

// End makes the session invalid for good and marks its row ended, so that others
// take over its shards without waiting. After an error they wait until the
// session has expired.
func (s *Session) End(ctx context.Context) error {
	s.init()
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	if err := s.lockRow(ctx); err != nil {
		return err
	}
	defer s.unlockRow()
	if !s.isRegistered() {
		return nil
	}
	row, version := s.nextRow()
	row.State = Ended
	err := s.writeRowWithRetry(ctx, row, version)
	if err != nil && !errors.Is(err, errLost) && !errors.Is(err, ErrReplaced) {
		return fmt.Errorf("end session %q: %w; its shards are taken over after %v", row.id(), err, s.expiryTimeout())
	}
	s.mu.Lock()
	s.registered = false
	s.mu.Unlock()
	return nil
}

// commit applies ops on the condition that the session row has not changed since
// its last known version.
func (s *Session) commit(ctx context.Context, ops ...provider.Op) ([]uint64, error) {
	if err := s.lockRow(ctx); err != nil {
		return nil, err
	}
	defer s.unlockRow()
	if !s.Valid(time.Now()) {
		return nil, fmt.Errorf("session of process %q is not valid until it is renewed: %w", s.Process, provider.ErrUnavailable)
	}
	s.mu.Lock()
	guard := provider.RequireVersion(sessionPrefix+s.Process, s.version)
	s.mu.Unlock()
	vs, err := s.tableCommit(ctx, append(ops, guard)...)
	if err != nil {
		return nil, err
	}
	return vs[:len(ops)], nil
}

func (s *Session) tableCommit(ctx context.Context, ops ...provider.Op) ([]uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, s.RenewEvery/callTimeoutDivisor)
	defer cancel()
	vs, err := s.Table.Commit(ctx, ops...)
	s.recordTableResult(err)
	return vs, err
}

func (s *Session) tableGet(ctx context.Context, key string) (provider.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, s.RenewEvery/callTimeoutDivisor)
	defer cancel()
	r, err := s.Table.Get(ctx, key)
	s.recordTableResult(err)
	return r, err
}

// recordTableResult records whether the platform answered a call. A conflict or
// a missing row is an answer.
func (s *Session) recordTableResult(err error) {
	answered := err == nil || errors.Is(err, provider.ErrConflict) || errors.Is(err, provider.ErrNotFound)
	s.mu.Lock()
	s.platformUnreachable = !answered
	s.mu.Unlock()
}

func (s *Session) isRegistered() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registered
}

func (s *Session) hasEnded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended
}

func (s *Session) markLost() {
	s.mu.Lock()
	id := s.ownRow.id()
	wasRegistered := s.registered
	s.registered, s.deadline = false, time.Time{}
	listeners := s.lostListeners
	s.mu.Unlock()
	if !wasRegistered {
		return
	}
	for _, f := range listeners {
		f()
	}
	if s.OnLost != nil {
		s.OnLost(id)
	}
}

// addLostListener adds a function that is called as soon as the session is lost.
func (s *Session) addLostListener(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lostListeners = append(s.lostListeners, f)
}

func (s *Session) reportError(err error) {
	if s.OnError != nil {
		s.OnError(err)
	}
}

func (s *Session) lockRow(ctx context.Context) error {
	select {
	case s.rowLock <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Session) unlockRow() { <-s.rowLock }

// jitter returns a random duration between 75 % and 100 % of d, so that processes
// do not renew at the same times.
func (s *Session) jitter(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return d - time.Duration(s.Rand.Int64N(int64(d)/4+1))
}
