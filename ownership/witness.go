package ownership

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"persimmonworks.example/persimmonworks/provider"
)

// maxRelays is the number of peers that are asked to relay one renewal.
const maxRelays = 3

// renewThroughPeer asks up to maxRelays peers of the data centre, one after the
// other, to write the row.
func (s *Session) renewThroughPeer(ctx context.Context, row sessionRow, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, s.RenewEvery/callTimeoutDivisor)
	defer cancel()
	value := encode(&row)
	err := provider.ErrUnavailable
	for _, p := range s.relayPeers() {
		v, callErr := s.Peers.Renew(ctx, p, row.id(), version, value)
		if callErr == nil {
			s.confirmDurable(row, v)
			return nil
		}
		err = callErr
	}
	return err
}

// relayPeers returns up to maxRelays live processes of the data centre in random
// order.
func (s *Session) relayPeers() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ps []string
	for _, id := range s.currentWitnesses() {
		ps = append(ps, processOf(id))
	}
	s.Rand.Shuffle(len(ps), func(i, j int) { ps[i], ps[j] = ps[j], ps[i] })
	return ps[:min(len(ps), maxRelays)]
}

// RelayRenewal serves a peer's Renew call. It writes value, the row of session,
// over version or over an earlier row of the same process start, and returns the
// new version of the row. Errors are those of provider.Table.
func (s *Session) RelayRenewal(ctx context.Context, session string, version uint64, value []byte) (uint64, error) {
	s.init()
	key := sessionPrefix + processOf(session)
	row, err := decode[sessionRow](provider.Row{Key: key, Value: value, Version: version})
	if err != nil {
		return 0, err
	}
	if row.id() != session || row.State != Live || row.DataCentre != s.DataCentre {
		return 0, fmt.Errorf("relay for session %q: row of %q, %s, data centre %q; send the session's own live row",
			session, row.id(), row.State, row.DataCentre)
	}
	vs, err := s.tableCommit(ctx, provider.Update(key, value, version))
	if err == nil {
		return vs[0], nil
	}
	if !errors.Is(err, provider.ErrConflict) && !errors.Is(err, provider.ErrOutcomeUnknown) {
		return 0, err
	}
	return s.retryRelay(ctx, key, row, value, err)
}

// retryRelay reads the row back and repeats the write if the table holds an
// earlier renewal of the same process start. The calling peer may not know that
// this renewal was applied.
func (s *Session) retryRelay(ctx context.Context, key string, row *sessionRow, value []byte, cause error) (uint64, error) {
	current, err := s.tableGet(ctx, key)
	if err != nil {
		return 0, fmt.Errorf("%w; read back: %w", cause, err)
	}
	if bytes.Equal(current.Value, value) {
		return current.Version, nil
	}
	found, err := decode[sessionRow](current)
	if err != nil {
		return 0, err
	}
	if !found.sameStart(row) || found.State != Live || found.Sequence >= row.Sequence {
		return 0, cause
	}
	vs, err := s.tableCommit(ctx, provider.Update(key, value, current.Version))
	if err != nil {
		return 0, err
	}
	return vs[0], nil
}

// extendByPromises extends the deadline if every witness promises not to expire
// the session. The extension counts from before the requests are sent, so it
// ends before any of the promises does.
func (s *Session) extendByPromises(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, s.RenewEvery/callTimeoutDivisor)
	defer cancel()
	s.mu.Lock()
	id := s.ownRow.id()
	witnesses := make([]string, 0, len(s.witnesses))
	for w := range s.witnesses {
		witnesses = append(witnesses, w)
	}
	s.mu.Unlock()
	slices.Sort(witnesses)
	askedAt := time.Now()
	var mu sync.Mutex
	shortest := s.TTL
	g, ctx := errgroup.WithContext(ctx)
	for _, w := range witnesses {
		g.Go(func() error {
			d, ok, err := s.Peers.Promise(ctx, processOf(w), id, s.TTL)
			if err == nil && !ok {
				err = fmt.Errorf("witness %q refuses a promise to session %q", w, id)
			}
			if err != nil {
				return err
			}
			mu.Lock()
			shortest = min(shortest, d)
			mu.Unlock()
			return nil
		})
	}
	if g.Wait() != nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if until := askedAt.Add(shortest - s.Margin); until.After(s.deadline) {
		s.deadline = until
	}
	return true
}

// GivePromise serves a peer's Promise call. With d > 0 the owner of the session
// asks that it is not expired for d. The results are the length of the promise
// and true, or false if the promise is refused: while this process can reach the
// platform, or if it does not know the session as live.
//
// With d = 0 a process that has taken over shards of the session asks whether a
// promise is in force. false is a denial: none is in force and none will be
// given. Only the session that is named as witness can deny, because an earlier
// start of its process may have promised; all others return true.
func (s *Session) GivePromise(session string, d time.Duration) (time.Duration, bool) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if d <= 0 {
		if left := s.promisedUntil[session].Sub(now); left > 0 {
			return left, true
		}
		p := s.recordOf(session)
		if !s.registered || p == nil || !slices.Contains(p.Witnesses, s.ownRow.id()) {
			return 0, true
		}
		s.promiseRefused[session] = true
		return 0, false
	}
	e := s.members[sessionPrefix+processOf(session)]
	switch {
	case !s.platformUnreachable, !s.registered, s.ended, s.membersReadBy != s.ownRow.id():
		return 0, false
	case e == nil, s.promiseRefused[session], e.row.id() != session, e.row.State != Live:
		return 0, false
	}
	d = min(d, s.TTL)
	if until := now.Add(d); until.After(s.promisedUntil[session]) {
		s.promisedUntil[session] = until
	}
	return d, true
}
