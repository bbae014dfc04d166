package ownership

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"persimmonworks.example/persimmonworks/provider"
)

// register writes a row for a new incarnation over none, an ended or expired
// one, or a live one of an earlier start of this process. In the last case the
// earlier start may still act; gone and pastOf account for that.
func (s *Session) register(ctx context.Context) error {
	if err := s.lock(ctx); err != nil {
		return err
	}
	defer s.unlock()
	if s.hasEnded() {
		return nil
	}
	key := sessionPrefix + s.Process
	row := sessionRow{
		Process: s.Process, Nonce: s.nonce, DataCentre: s.DataCentre, State: Live, Incarnation: 1, Sequence: 1,
		RelayAddress: s.RelayAddress, CallerAddress: s.CallerAddress,
	}
	current, err := s.tableGet(ctx, key)
	switch {
	case err == nil:
		old, err := decode[sessionRow](current)
		if err != nil {
			return err
		}
		if s.wasRegistered() && old.Nonce != s.nonce {
			return s.replacedBy(old)
		}
		row.Incarnation, row.Previous = old.Incarnation+1, old.past()
	case !errors.Is(err, provider.ErrNotFound):
		return fmt.Errorf("register session of %q: %w", s.Process, err)
	}
	s.mu.Lock()
	row.Witnesses = s.witnessesNow()
	s.self, s.version = row, current.Version
	s.sent, s.witnesses = map[uint64]time.Time{}, map[string]bool{}
	s.mu.Unlock()
	if err := s.put(ctx, row, current.Version); err != nil {
		return fmt.Errorf("register session %q: %w", row.id(), err)
	}
	return nil
}

// renew extends the session: through the table, else through a peer, else by
// the promises of all witnesses.
func (s *Session) renew(ctx context.Context) error {
	if err := s.lock(ctx); err != nil {
		return err
	}
	defer s.unlock()
	if s.hasEnded() {
		return nil
	}
	row, version := s.next()
	err := s.putOver(ctx, row, version)
	if err == nil || errors.Is(err, errLost) || errors.Is(err, ErrReplaced) {
		return err
	}
	if relayed := s.relay(ctx, row, s.rowVersion()); relayed == nil {
		return nil
	}
	if s.gatherPromises(ctx) {
		return nil
	}
	return fmt.Errorf("renew session %q: %w", row.id(), err)
}

func (s *Session) rowVersion() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// next returns the row of the next renewal and the version that it replaces.
func (s *Session) next() (sessionRow, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.self.Sequence++
	s.self.Witnesses = s.witnessesNow()
	return s.self, s.version
}

// witnessesNow names the live sessions of the data centre; mu is held.
func (s *Session) witnessesNow() []string {
	var ids []string
	for _, e := range s.members {
		if e.row.DataCentre == s.DataCentre && e.row.Process != s.Process && s.fresh(e) {
			ids = append(ids, e.row.id())
		}
	}
	slices.Sort(ids)
	return ids
}

// putOver writes the row, and once more over an earlier renewal of this session
// that turns out to have taken effect.
func (s *Session) putOver(ctx context.Context, row sessionRow, version uint64) error {
	err := s.put(ctx, row, version)
	if current := s.rowVersion(); err != nil && current != version {
		return s.put(ctx, row, current)
	}
	return err
}

// put writes the row over version and resolves a conflict or a lost answer by
// reading the row back.
func (s *Session) put(ctx context.Context, row sessionRow, version uint64) error {
	s.noteSent(row)
	key := sessionPrefix + row.Process
	vs, err := s.tableCommit(ctx, provider.Op{Key: key, Value: encode(&row), Expect: version})
	if err == nil {
		s.confirm(row, vs[0])
		return nil
	}
	if !errors.Is(err, provider.ErrConflict) && !errors.Is(err, provider.ErrUnknown) {
		return err
	}
	return s.readBack(ctx, row, version, err)
}

// readBack compares the row in the table with what was written. A live row of
// the same start with a lower sequence is an earlier write of this session
// whose answer was lost; the renewal is then repeated over it, once a round.
func (s *Session) readBack(ctx context.Context, row sessionRow, version uint64, cause error) error {
	current, err := s.tableGet(ctx, sessionPrefix+row.Process)
	if errors.Is(err, provider.ErrNotFound) && version == 0 {
		return cause
	}
	if err != nil {
		return fmt.Errorf("%w; read back: %w", cause, err)
	}
	found, err := decode[sessionRow](current)
	if err != nil {
		return err
	}
	if found.sameStart(&row) && (found.State == Live || found.State == row.State) {
		s.confirm(*found, current.Version)
		if found.Sequence == row.Sequence || found.State == Ended {
			return nil
		}
		return cause
	}
	if current.Version == version {
		return cause // not applied; a late write conflicts with the next one
	}
	if s.wasRegistered() && found.Nonce != s.nonce {
		return s.replacedBy(found)
	}
	return fmt.Errorf("row %q now belongs to %s (%s): %w", current.Key, found.id(), found.State, errLost)
}

func (s *Session) wasRegistered() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.before
}

func (s *Session) replacedBy(row *sessionRow) error {
	return fmt.Errorf("%w: row %q belongs to incarnation %d; stop this start, or give one of the two another name",
		ErrReplaced, sessionPrefix+s.Process, row.Incarnation)
}

// noteSent records that row may become the durable one.
func (s *Session) noteSent(row sessionRow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent[row.Sequence] = time.Now()
	for _, w := range row.Witnesses {
		s.witnesses[w] = true
	}
}

// confirm records that row is durable: the session is valid from the time at
// which this very row was first sent. Writes that were sent after it may still
// take effect, so their witnesses stay.
func (s *Session) confirm(row sessionRow, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version, s.registered, s.before = version, true, true
	sent, ok := s.sent[row.Sequence]
	if !ok {
		return
	}
	if d := sent.Add(s.TTL - s.Margin); d.After(s.deadline) {
		s.deadline = d
	}
	maps.DeleteFunc(s.sent, func(q uint64, _ time.Time) bool { return q < row.Sequence })
	if len(s.sent) == 1 {
		s.witnesses = map[string]bool{}
		for _, w := range row.Witnesses {
			s.witnesses[w] = true
		}
	}
}
