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

// register writes a row for a new incarnation. There may be no row yet, or one
// of an ended or expired session, or a live one of an earlier start of this
// process. In the last case the earlier start may still act; isTerminated and
// recordOf account for that.
func (s *Session) register(ctx context.Context) error {
	if err := s.lockRow(ctx); err != nil {
		return err
	}
	defer s.unlockRow()
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
		if s.hasEverRegistered() && old.Nonce != s.nonce {
			return s.replacedError(old)
		}
		row.Incarnation, row.Previous = old.Incarnation+1, old.record()
	case !errors.Is(err, provider.ErrNotFound):
		return fmt.Errorf("register session of %q: %w", s.Process, err)
	}
	s.mu.Lock()
	row.Witnesses = s.currentWitnesses()
	s.ownRow, s.version = row, current.Version
	s.sendTimes, s.witnesses = map[uint64]time.Time{}, map[string]bool{}
	s.mu.Unlock()
	if err := s.writeRow(ctx, row, current.Version); err != nil {
		return fmt.Errorf("register session %q: %w", row.id(), err)
	}
	return nil
}

// renew extends the session by a write to the table. If this fails, it asks a
// peer to relay the write, and if this fails too, asks all witnesses for a
// promise.
func (s *Session) renew(ctx context.Context) error {
	if err := s.lockRow(ctx); err != nil {
		return err
	}
	defer s.unlockRow()
	if s.hasEnded() {
		return nil
	}
	row, version := s.nextRow()
	err := s.writeRowWithRetry(ctx, row, version)
	if err == nil || errors.Is(err, errLost) || errors.Is(err, ErrReplaced) {
		return err
	}
	if relayed := s.renewThroughPeer(ctx, row, s.rowVersion()); relayed == nil {
		return nil
	}
	if s.extendByPromises(ctx) {
		return nil
	}
	return fmt.Errorf("renew session %q: %w", row.id(), err)
}

func (s *Session) rowVersion() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// nextRow returns the row of the next renewal and the version of the row that
// it replaces.
func (s *Session) nextRow() (sessionRow, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ownRow.Sequence++
	s.ownRow.Witnesses = s.currentWitnesses()
	return s.ownRow, s.version
}

// currentWitnesses returns the IDs of the other live sessions of the data
// centre. The caller holds mu.
func (s *Session) currentWitnesses() []string {
	var ids []string
	for _, e := range s.members {
		if e.row.DataCentre == s.DataCentre && e.row.Process != s.Process && s.isLive(e) {
			ids = append(ids, e.row.id())
		}
	}
	slices.Sort(ids)
	return ids
}

// writeRowWithRetry writes the row. If the table turns out to hold an earlier
// renewal of this session whose answer was lost, it writes the row once more
// over that version.
func (s *Session) writeRowWithRetry(ctx context.Context, row sessionRow, version uint64) error {
	err := s.writeRow(ctx, row, version)
	if current := s.rowVersion(); err != nil && current != version {
		return s.writeRow(ctx, row, current)
	}
	return err
}

// writeRow writes the row over version. It resolves a conflict or a lost answer
// by reading the row back.
func (s *Session) writeRow(ctx context.Context, row sessionRow, version uint64) error {
	s.recordSend(row)
	key := sessionPrefix + row.Process
	vs, err := s.tableCommit(ctx, provider.Op{Key: key, Value: encode(&row), Expect: version})
	if err == nil {
		s.confirmDurable(row, vs[0])
		return nil
	}
	if !errors.Is(err, provider.ErrConflict) && !errors.Is(err, provider.ErrOutcomeUnknown) {
		return err
	}
	return s.readBack(ctx, row, version, err)
}

// readBack compares the row in the table with the row that was written. A live
// row of the same start with a lower sequence is an earlier write of this
// session whose answer was lost; the caller then repeats the renewal over it,
// once per round.
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
		s.confirmDurable(*found, current.Version)
		if found.Sequence == row.Sequence || found.State == Ended {
			return nil
		}
		return cause
	}
	if current.Version == version {
		return cause // not applied; if it is applied late, the next write conflicts with it
	}
	if s.hasEverRegistered() && found.Nonce != s.nonce {
		return s.replacedError(found)
	}
	return fmt.Errorf("row %q now belongs to session %s, state %s: %w", current.Key, found.id(), found.State, errLost)
}

func (s *Session) hasEverRegistered() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.everRegistered
}

func (s *Session) replacedError(row *sessionRow) error {
	return fmt.Errorf("%w: row %q belongs to incarnation %d; stop this process, or give one of the two another name",
		ErrReplaced, sessionPrefix+s.Process, row.Incarnation)
}

// recordSend records the send time and the witnesses of a row that may become
// durable.
func (s *Session) recordSend(row sessionRow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sendTimes[row.Sequence] = time.Now()
	for _, w := range row.Witnesses {
		s.witnesses[w] = true
	}
}

// confirmDurable records that row is durable. The deadline counts from the send
// time of this very row, which precedes any relay of it. Rows sent after it may
// still become durable, so their witnesses are kept.
func (s *Session) confirmDurable(row sessionRow, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version, s.registered, s.everRegistered = version, true, true
	sentAt, ok := s.sendTimes[row.Sequence]
	if !ok {
		return
	}
	if d := sentAt.Add(s.TTL - s.Margin); d.After(s.deadline) {
		s.deadline = d
	}
	maps.DeleteFunc(s.sendTimes, func(sequence uint64, _ time.Time) bool { return sequence < row.Sequence })
	if len(s.sendTimes) == 1 {
		s.witnesses = map[string]bool{}
		for _, w := range row.Witnesses {
			s.witnesses[w] = true
		}
	}
}
