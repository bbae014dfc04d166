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

// maxRelays is how many peers are asked to relay one renewal.
const maxRelays = 3

// relay asks peers of the data centre to write the row.
func (s *Session) relay(ctx context.Context, row sessionRow, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, s.RenewEvery/callsPerRenewal)
	defer cancel()
	value := encode(&row)
	err := provider.ErrUnavailable
	for _, p := range s.somePeers() {
		v, callErr := s.Peers.Renew(ctx, p, row.id(), version, value)
		if callErr == nil {
			s.confirm(row, v)
			return nil
		}
		err = callErr
	}
	return err
}

// somePeers returns a few live processes of the data centre in random order.
func (s *Session) somePeers() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ps []string
	for _, id := range s.witnessesNow() {
		ps = append(ps, processOf(id))
	}
	s.Rand.Shuffle(len(ps), func(i, j int) { ps[i], ps[j] = ps[j], ps[i] })
	return ps[:min(len(ps), maxRelays)]
}

// RelayRenewal serves a peer's Renew: it writes value, the row of session,
// over version or over an earlier row of the same process start. It returns
// the row's new version. Errors are those of provider.Table.
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
	if !errors.Is(err, provider.ErrConflict) && !errors.Is(err, provider.ErrUnknown) {
		return 0, err
	}
	return s.relayOver(ctx, key, row, value, err)
}

// relayOver reads the row back and repeats the write over an earlier renewal
// of the same start, of which the caller may not know that it took effect.
func (s *Session) relayOver(ctx context.Context, key string, row *sessionRow, value []byte, cause error) (uint64, error) {
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

// gatherPromises extends the deadline if every witness promises. The time
// runs from before the questions were sent, so it ends before any promise does.
func (s *Session) gatherPromises(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, s.RenewEvery/callsPerRenewal)
	defer cancel()
	s.mu.Lock()
	id := s.self.id()
	witnesses := make([]string, 0, len(s.witnesses))
	for w := range s.witnesses {
		witnesses = append(witnesses, w)
	}
	s.mu.Unlock()
	slices.Sort(witnesses)
	asked := time.Now()
	var mu sync.Mutex
	shortest := s.TTL
	g, ctx := errgroup.WithContext(ctx)
	for _, w := range witnesses {
		g.Go(func() error {
			d, ok, err := s.Peers.Promise(ctx, processOf(w), id, s.TTL)
			if err == nil && !ok {
				err = fmt.Errorf("witness %q gives no promise to %q", w, id)
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
	if until := asked.Add(shortest - s.Margin); until.After(s.deadline) {
		s.deadline = until
	}
	return true
}

// GivePromise serves a peer's Promise. For d above 0 the session asks not to be
// expired for d; true is the promise, with its length. It is refused while
// this process can reach the platform or holds no valid view of the session.
//
// With d = 0 a process that took shards of the session asks: false denies, that
// is no promise runs and none will be given. Only a named witness can deny, as
// an earlier start of its process may have promised; all others answer true.
func (s *Session) GivePromise(session string, d time.Duration) (time.Duration, bool) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if d <= 0 {
		if left := s.promised[session].Sub(now); left > 0 {
			return left, true
		}
		p := s.pastOf(session)
		if !s.registered || p == nil || !slices.Contains(p.Witnesses, s.self.id()) {
			return 0, true
		}
		s.condemned[session] = true
		return 0, false
	}
	e := s.members[sessionPrefix+processOf(session)]
	switch {
	case !s.cutOff, !s.registered, s.ended, s.observed != s.self.id():
		return 0, false
	case e == nil, s.condemned[session], e.row.id() != session, e.row.State != Live:
		return 0, false
	}
	d = min(d, s.TTL)
	if until := now.Add(d); until.After(s.promised[session]) {
		s.promised[session] = until
	}
	return d, true
}
