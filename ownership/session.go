package ownership

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"persimmonworks.example/persimmonworks/provider"
)

// errLost tells that the session row belongs to another start or has expired.
var errLost = errors.New("session lost")

// ErrReplaced is returned by Session.Run when a later start of the same process
// has registered. The earlier start must exit: two that both registered anew
// would take the row from each other for ever.
var ErrReplaced = errors.New("session replaced by a later start of the process")

// Session is this process's registration, one per process start. The exported
// fields are set before Run and not changed after.
type Session struct {
	Table                       provider.Table
	Process, DataCentre         string
	RelayAddress, CallerAddress string
	RenewEvery, TTL, Margin     time.Duration
	// ReadBudget bounds, in bytes a second, what reading the sessions of many
	// processes may cost: they are then read less often than renewed, but at
	// least each half TTL. 0 reads them with every renewal.
	ReadBudget int
	Peers      Witness         // nil for none
	Rand       *rand.Rand      // nil for a random seed
	OnLost     func(id string) // a session ended against the process's will
	OnError    func(err error) // failures that are retried

	once  sync.Once
	nonce uint64        // of this process start
	write chan struct{} // held by the one call that changes the session row or relies on its version
	ends  chan struct{} // signalled when a member's session is seen to have ended

	mu         sync.Mutex
	self       sessionRow // as last sent
	version    uint64     // of the row, as last known
	registered bool
	before     bool // registered at least once
	ended      bool
	deadline   time.Time            // Valid until then
	sent       map[uint64]time.Time // sequence to send time, since the last durable row
	witnesses  map[string]bool      // named by any row that may be the durable one
	members    map[string]*seen
	observedAt time.Time            // receipt of the last read of members
	readBytes  int                  // of that read
	observed   string               // session under which members were last read
	promised   map[string]time.Time // session to the end of this process's promise
	condemned  map[string]bool      // sessions that get no promise
	listeners  []func()
	cutOff     bool // the last call to the platform failed
}

func (s *Session) init() {
	s.once.Do(func() {
		s.RenewEvery = orDefault(s.RenewEvery, DefaultRenewEvery)
		s.TTL = orDefault(s.TTL, DefaultTTL)
		s.Margin = orDefault(s.Margin, DefaultMargin)
		if s.Peers == nil {
			s.Peers = &NoWitness{}
		}
		if s.Rand == nil {
			s.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		}
		s.nonce = s.Rand.Uint64()
		s.write = make(chan struct{}, 1)
		s.ends = make(chan struct{}, 1)
		s.members = map[string]*seen{}
		s.promised = map[string]time.Time{}
		s.condemned = map[string]bool{}
	})
}

func orDefault[T comparable](v, d T) T {
	var zero T
	if v == zero {
		return d
	}
	return v
}

// Run registers and renews the session until ctx ends or End has succeeded. A
// lost session is registered anew under a higher incarnation; ErrReplaced is
// returned if another start of the process has registered since. Run does not end
// the session when ctx ends; call End for a graceful shutdown.
func (s *Session) Run(ctx context.Context) error {
	s.init()
	for {
		began := time.Now()
		err := s.round(ctx)
		if s.hasEnded() {
			return nil
		}
		if errors.Is(err, ErrReplaced) {
			return err
		}
		if err != nil && ctx.Err() == nil {
			s.report(err)
		}
		if err := s.rest(ctx, began.Add(s.jitter(s.RenewEvery))); err != nil {
			return err
		}
	}
}

// rest waits for the next round. A member that comes due before is observed
// when it does, so that its expiry does not wait for a round.
func (s *Session) rest(ctx context.Context, until time.Time) error {
	if due := s.nextDue(time.Now()); s.isRegistered() && !due.IsZero() && due.Before(until) {
		if err := sleep(ctx, time.Until(due)); err != nil {
			return err
		}
		if err := s.observe(ctx); err != nil && ctx.Err() == nil {
			s.report(err)
		}
	}
	return sleep(ctx, time.Until(until))
}

// round registers or renews once, then observes the others.
func (s *Session) round(ctx context.Context) error {
	var err error
	if s.isRegistered() {
		err = s.renew(ctx)
	} else {
		err = s.register(ctx)
	}
	if errors.Is(err, errLost) || errors.Is(err, ErrReplaced) {
		s.lose()
		return err
	}
	if err != nil || !s.readDue(time.Now()) {
		return err
	}
	return s.observe(ctx)
}

// Valid reports whether the session may act at now, a time with a monotonic
// reading. Check it just before each send.
func (s *Session) Valid(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registered && !s.ended && now.Before(s.deadline)
}

// ID returns the name of this session, process@incarnation, or "" before it is
// registered and after it was lost.
func (s *Session) ID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.registered {
		return ""
	}
	return s.self.id()
}

// Incarnation returns the start number of the process, 0 before it is registered.
func (s *Session) Incarnation() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.registered {
		return 0
	}
	return s.self.Incarnation
}

// Reachable reports whether the last call to the platform was answered.
func (s *Session) Reachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.cutOff
}

// End stops acting for good and marks the row ended, so that others take its shards
// without waiting. An error means that they will wait for its expiry.
func (s *Session) End(ctx context.Context) error {
	s.init()
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	if err := s.lock(ctx); err != nil {
		return err
	}
	defer s.unlock()
	if !s.isRegistered() {
		return nil
	}
	row, version := s.next()
	row.State = Ended
	err := s.putOver(ctx, row, version)
	if err != nil && !errors.Is(err, errLost) && !errors.Is(err, ErrReplaced) {
		return fmt.Errorf("end session %q: %w; its shards move after %v", row.id(), err, s.observation())
	}
	s.mu.Lock()
	s.registered = false
	s.mu.Unlock()
	return nil
}

// commit applies ops if this session is still the one in the table.
func (s *Session) commit(ctx context.Context, ops ...provider.Op) ([]uint64, error) {
	if err := s.lock(ctx); err != nil {
		return nil, err
	}
	defer s.unlock()
	if !s.Valid(time.Now()) {
		return nil, fmt.Errorf("session of %q is not valid, waits for its renewal: %w", s.Process, provider.ErrUnavailable)
	}
	s.mu.Lock()
	guard := provider.Require(sessionPrefix+s.Process, s.version)
	s.mu.Unlock()
	vs, err := s.tableCommit(ctx, append(ops, guard)...)
	if err != nil {
		return nil, err
	}
	return vs[:len(ops)], nil
}

func (s *Session) tableCommit(ctx context.Context, ops ...provider.Op) ([]uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, s.RenewEvery/callsPerRenewal)
	defer cancel()
	vs, err := s.Table.Commit(ctx, ops...)
	s.noteTable(err)
	return vs, err
}

func (s *Session) tableGet(ctx context.Context, key string) (provider.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, s.RenewEvery/callsPerRenewal)
	defer cancel()
	r, err := s.Table.Get(ctx, key)
	s.noteTable(err)
	return r, err
}

// noteTable remembers whether the platform answered.
func (s *Session) noteTable(err error) {
	answered := err == nil || errors.Is(err, provider.ErrConflict) || errors.Is(err, provider.ErrNotFound)
	s.mu.Lock()
	s.cutOff = !answered
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

func (s *Session) lose() {
	s.mu.Lock()
	id := s.self.id()
	was := s.registered
	s.registered, s.deadline = false, time.Time{}
	listeners := s.listeners
	s.mu.Unlock()
	if !was {
		return
	}
	for _, f := range listeners {
		f()
	}
	if s.OnLost != nil {
		s.OnLost(id)
	}
}

// whenLost adds a function that is called as soon as the session is lost.
func (s *Session) whenLost(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, f)
}

func (s *Session) report(err error) {
	if s.OnError != nil {
		s.OnError(err)
	}
}

func (s *Session) lock(ctx context.Context) error {
	select {
	case s.write <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Session) unlock() { <-s.write }

// jitter spreads d over 75 % to 100 %, so that processes do not renew in step.
func (s *Session) jitter(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return d - time.Duration(s.Rand.Int64N(int64(d)/4+1))
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
