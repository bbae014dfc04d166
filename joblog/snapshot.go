package joblog

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"persimmonworks.example/persimmonworks/job"
	"persimmonworks.example/persimmonworks/provider"
)

// loadBase loads the snapshot into b. It returns the epoch of the owner that
// wrote the snapshot, 0 if there is none.
func (s *Store) loadBase(ctx context.Context, b *job.ShardState) (epoch uint64, err error) {
	s.base, s.baseVersion, s.snapshot = 0, 0, ""
	r, version, err := s.readBase(ctx)
	if err != nil || version == 0 {
		return 0, err
	}
	body, err := s.Objects.Get(ctx, r.Object)
	if err != nil {
		return 0, fmt.Errorf("snapshot %q: %w", r.Object, err)
	}
	if err := b.Restore(body); err != nil {
		return 0, fmt.Errorf("snapshot %q: %w", r.Object, err)
	}
	s.base, s.baseVersion, s.snapshot = r.Number, version, r.Object
	return r.Epoch, nil
}

// readBase returns the record of the base and the version of its row, which is 0
// if there is none.
func (s *Store) readBase(ctx context.Context) (r baseRecord, version uint64, err error) {
	row, err := s.Table.Get(ctx, s.baseKey())
	if errors.Is(err, provider.ErrNotFound) {
		return r, 0, nil
	}
	if err != nil {
		return r, 0, fmt.Errorf("row %q: %w", s.baseKey(), err)
	}
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return r, 0, fmt.Errorf("row %q: %w", s.baseKey(), err)
	}
	return r, row.Version, nil
}

// JournalRows returns the number of journal rows since the last snapshot.
func (s *Store) JournalRows() uint64 { return s.next - s.base }

// NextRow returns the number of the next journal row. A snapshot of the state that is
// taken now covers all rows below this number.
func (s *Store) NextRow() uint64 { return s.next }

// Compact stores a snapshot of the state that covers all journal rows below number
// as a snapshot, makes it the base of the journal and removes those rows. It may
// fail at any point without harm, because replay ignores rows below the base.
func (s *Store) Compact(ctx context.Context, image []byte, number uint64) error {
	name := fmt.Sprintf("snapshots/%s/%s/%020d-%s", s.DataCentre, s.Shard, number, s.Writer)
	if err := s.Objects.Put(ctx, name, image); err != nil {
		return fmt.Errorf("snapshot %q: %w", name, err)
	}
	body, err := json.Marshal(baseRecord{Number: number, Object: name, Epoch: s.Epoch})
	if err != nil {
		return fmt.Errorf("row %q: %w", s.baseKey(), err)
	}
	versions, err := s.Table.Commit(ctx, provider.Update(s.baseKey(), body, s.baseVersion))
	if err != nil {
		return s.reloadBase(ctx, err)
	}
	from, old := s.base, s.snapshot
	s.base, s.baseVersion, s.snapshot = number, versions[0], name
	return s.removeRows(ctx, from, number, old)
}

// reloadBase reads the base again after a failed write, so that the next Compact
// starts from the current one.
func (s *Store) reloadBase(ctx context.Context, cause error) error {
	r, version, err := s.readBase(ctx)
	if err == nil && r.Number <= s.next && r.Epoch <= s.Epoch {
		s.base, s.baseVersion, s.snapshot = r.Number, version, r.Object
	}
	return fmt.Errorf("row %q: %w", s.baseKey(), cause)
}

// removePageSize is the number of rows removed in one commit.
const removePageSize = 100

// removeRows removes the rows from number from up to, but not including, to, and
// then the previous snapshot.
func (s *Store) removeRows(ctx context.Context, from, to uint64, oldSnapshot string) error {
	for from < to {
		rows, err := s.Table.Range(ctx, s.prefix(), "", removePageSize)
		if err != nil {
			return fmt.Errorf("removal of rows below %d: %w", to, err)
		}
		var ops []provider.Op
		for _, r := range rows {
			if r.Key < s.rowKey(to) {
				ops = append(ops, provider.Remove(r.Key, r.Version))
			}
		}
		if len(ops) == 0 {
			break
		}
		if _, err := s.Table.Commit(ctx, ops...); err != nil {
			return fmt.Errorf("removal of rows below %d: %w", to, err)
		}
		from += uint64(len(ops))
	}
	if oldSnapshot != "" {
		if err := s.Objects.Delete(ctx, oldSnapshot); err != nil && !errors.Is(err, provider.ErrNotFound) {
			return fmt.Errorf("removal of snapshot %q: %w", oldSnapshot, err)
		}
	}
	return nil
}
