// Package joblog stores the journal of a job shard.
//
// A Store appends entries of package job to numbered rows of the platform's
// table, one row for each group commit, and replays them into a job.ShardState. Rows
// are written by conditional insert and numbered without gaps, so that an owner
// that has lost its shard cannot append after the entry that opens the next
// owner's epoch. A long journal is compacted: a snapshot of the state, called the
// base, replaces the rows that it covers. A removed row below the base could be
// inserted again, so every append also requires that the version of the base row
// is the one that its writer knows.
//
// Accepting a job with an idempotency key creates the row of the key in the same
// commit. So of two submissions with the same key exactly one is accepted, even
// if they reach different shards.
//
// Usage:
//
//	s := joblog.Store{Table: t, Objects: o, DataCentre: "dc1", Shard: "jobs-2", Writer: "e1-7", Epoch: 7}
//	state, err := s.Open(ctx)          // replays and appends the opening entry
//	entry := job.AcceptEntry(id, spec, now)
//	err = s.Append(ctx, []job.Entry{entry})
//	state.Apply(entry)                 // only after Append succeeded
package joblog

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"persimmonworks.example/persimmonworks/job"
	"persimmonworks.example/persimmonworks/provider"
)

// Store reads and writes the journal of one job shard. The exported fields must
// be set before Open. A Store is not safe for concurrent use.
type Store struct {
	Table      provider.Table
	Objects    provider.Objects
	DataCentre string
	Shard      string
	// Writer identifies this ownership of the shard (process, incarnation and
	// epoch). It distinguishes own rows from those of other owners when a row
	// is read back because the result of its write is unknown.
	Writer string
	Epoch  uint64

	next        uint64 // number of the next journal row
	base        uint64 // number of the first row that the snapshot does not cover
	baseVersion uint64 // version of the base row; 0 if there is none
	snapshot    string // object that holds the snapshot; "" if there is none
}

// ErrDeposed is returned if another owner has opened a later epoch.
var ErrDeposed = errors.New("another process owns the job shard")

// maxInlineSpec is the size in bytes above which the spec of a job is kept in the
// object store instead of the journal row.
const maxInlineSpec = 8 << 10

// replayPageSize is the number of journal rows read by one call of the table.
const replayPageSize = 200

// baseRecord is the value of the base row.
type baseRecord struct {
	Number uint64 `json:"number"`
	Object string `json:"object"`
	Epoch  uint64 `json:"epoch"`
}

func (s *Store) prefix() string { return "journal/" + s.DataCentre + "/" + s.Shard + "/" }

func (s *Store) rowKey(n uint64) string { return fmt.Sprintf("%s%020d", s.prefix(), n) }

func (s *Store) baseKey() string { return "journal-base/" + s.DataCentre + "/" + s.Shard }

// Open replays the journal and appends the entry that opens this owner's epoch.
// From then on no earlier owner can append. After an error other than ErrDeposed
// it can be called again.
func (s *Store) Open(ctx context.Context) (*job.ShardState, error) {
	for {
		state, epoch, err := s.replay(ctx)
		if err != nil {
			return nil, err
		}
		if epoch > s.Epoch {
			return nil, fmt.Errorf("job shard %s/%s epoch %d, journal has epoch %d: %w", s.DataCentre, s.Shard, s.Epoch, epoch, ErrDeposed)
		}
		err = s.appendRow(ctx, []job.Entry{{Kind: job.EntryOpen, Epoch: s.Epoch}}, nil)
		if errors.Is(err, provider.ErrConflict) || errors.Is(err, errBaseChanged) {
			continue // a previous owner appended or compacted after the replay
		}
		if err != nil {
			return nil, err
		}
		return state, nil
	}
}

// replay reads the base and the rows that follow. It returns the state and the
// latest epoch opened in the journal.
func (s *Store) replay(ctx context.Context) (*job.ShardState, uint64, error) {
	b := &job.ShardState{}
	epoch, err := s.loadBase(ctx, b)
	if err != nil {
		return nil, 0, err
	}
	s.next = s.base
	after := ""
	if s.base > 0 {
		after = s.rowKey(s.base - 1)
	}
	for {
		rows, err := s.Table.Range(ctx, s.prefix(), after, replayPageSize)
		if err != nil {
			return nil, 0, fmt.Errorf("replay of %s: %w", s.prefix(), err)
		}
		for _, r := range rows {
			after = r.Key
			if r.Key != s.rowKey(s.next) {
				return nil, 0, fmt.Errorf("journal row %q found where number %d was due", r.Key, s.next)
			}
			s.next++
			opened, err := s.applyRow(ctx, b, r)
			if err != nil {
				return nil, 0, err
			}
			epoch = max(epoch, opened)
		}
		if len(rows) < replayPageSize {
			return b, epoch, nil
		}
	}
}

// applyRow applies the entries of a row to b. It returns the epoch that the row
// opens, 0 if it opens none.
func (s *Store) applyRow(ctx context.Context, b *job.ShardState, r provider.Row) (epoch uint64, err error) {
	decoded, err := decodeBatch(r.Key, r.Value)
	if err != nil {
		return 0, err
	}
	for _, e := range decoded.Entries {
		if e.Kind == job.EntryOpen {
			epoch = e.Epoch
		}
		if e.Kind == job.EntryAccept && e.Spec == nil {
			if e.Spec, err = s.loadSpec(ctx, e.Object); err != nil {
				return 0, err
			}
		}
		b.Apply(e)
	}
	return epoch, nil
}

func (s *Store) loadSpec(ctx context.Context, name string) (*job.Spec, error) {
	body, err := s.Objects.Get(ctx, name)
	if err != nil {
		return nil, fmt.Errorf("object %q of an accepted job: %w", name, err)
	}
	var spec job.Spec
	if err := json.Unmarshal(body, &spec); err != nil {
		return nil, fmt.Errorf("object %q of an accepted job: %w", name, err)
	}
	return &spec, nil
}

// Append writes entries durably as one row.
//
//   - After provider.ErrUnavailable this call has written nothing.
//   - After provider.ErrOutcomeUnknown the write may or may not have taken effect. The
//     same entries must be appended again before any others; this succeeds in
//     either case.
//   - After ErrDeposed the shard is lost and nothing was written. If the error is
//     provider.ErrOutcomeUnknown as well, an earlier attempt to append the same entries
//     may have been written.
//   - After ErrKeyTaken nothing was written, because an idempotency key of an
//     accepted job belongs to another job. The rows of the keys are created in
//     the same commit as the journal row.
func (s *Store) Append(ctx context.Context, entries []job.Entry) error {
	var keys []provider.Op
	for i := range entries {
		e := &entries[i]
		if e.Kind != job.EntryAccept {
			continue
		}
		if err := s.storeSpec(ctx, e); err != nil {
			return err
		}
		if e.Spec.IdempotencyKey != "" {
			body, err := encodeKey(e.Job, e.Spec)
			if err != nil {
				return err
			}
			keys = append(keys, provider.Create(KeyRow(e.Spec.Organisation, e.Spec.IdempotencyKey), body))
		}
	}
	err := s.appendRow(ctx, entries, keys)
	for errors.Is(err, errBaseChanged) {
		err = s.appendRow(ctx, entries, keys)
	}
	if errors.Is(err, provider.ErrConflict) {
		return s.explainConflict(ctx, entries, err)
	}
	return err
}

// SpecObject returns the name of the object that holds the spec of a job which
// is too large for the journal row.
func SpecObject(id string) string { return "jobs/" + id }

// storeSpec puts the spec of an accepted job into the object store if it is
// larger than maxInlineSpec.
func (s *Store) storeSpec(ctx context.Context, e *job.Entry) error {
	body, err := json.Marshal(e.Spec)
	if err != nil {
		return fmt.Errorf("spec of job %s: %w", e.Job, err)
	}
	if len(body) <= maxInlineSpec || e.Object != "" {
		return nil
	}
	name := SpecObject(e.Job)
	if err := s.Objects.Put(ctx, name, body); err != nil {
		// An object left by a failed call does no harm: no row refers to it.
		return fmt.Errorf("object %q: %v: %w", name, err, provider.ErrUnavailable)
	}
	e.Object = name
	return nil
}

// appendRow writes entries as the next row, together with the rows of the
// idempotency keys.
func (s *Store) appendRow(ctx context.Context, entries []job.Entry, keys []provider.Op) error {
	stored := make([]job.Entry, len(entries))
	for i, e := range entries {
		if e.Object != "" {
			e.Spec = nil
		}
		stored[i] = e
	}
	body, err := encodeBatch(s.Writer, stored)
	if err != nil {
		return err
	}
	key := s.rowKey(s.next)
	ops := []provider.Op{provider.Create(key, body), provider.RequireVersion(s.baseKey(), s.baseVersion)}
	_, err = s.Table.Commit(ctx, append(ops, keys...)...)
	if errors.Is(err, provider.ErrOutcomeUnknown) || errors.Is(err, provider.ErrConflict) {
		err = s.resolveRow(ctx, key, body, err)
	}
	if err != nil {
		return fmt.Errorf("journal row %q: %w", key, err)
	}
	s.next++
	return nil
}

// errBaseChanged means that the write must be repeated, because a snapshot of
// this or an earlier owner has become the base of the journal in the meantime.
var errBaseChanged = errors.New("the base of the journal has changed")

// resolveRow reads the row back after a write that had an unknown result or
// conflicted. The row may be our own, written by a call whose result was lost. If
// the row is absent after an unknown result, the write may still take effect, so
// the error stays provider.ErrOutcomeUnknown.
func (s *Store) resolveRow(ctx context.Context, key string, body []byte, cause error) error {
	row, err := s.Table.Get(ctx, key)
	switch {
	case err == nil && string(row.Value) == string(body):
		return nil
	case err == nil:
		return provider.ErrConflict
	case errors.Is(err, provider.ErrNotFound) && errors.Is(cause, provider.ErrConflict):
		return s.resolveBase(ctx, cause)
	case errors.Is(err, provider.ErrNotFound):
		return cause
	default:
		return fmt.Errorf("read back after %v: %v: %w", cause, err, provider.ErrOutcomeUnknown)
	}
}

// resolveBase checks whether a conflict was caused by a change of the base, and
// adopts a base of this or an earlier owner. If the base is that of a later owner,
// our row may have been written and then removed by compaction, so the result is
// unknown.
func (s *Store) resolveBase(ctx context.Context, cause error) error {
	r, version, err := s.readBase(ctx)
	switch {
	case err != nil:
		return fmt.Errorf("read of the base after %v: %v: %w", cause, err, provider.ErrOutcomeUnknown)
	case version == s.baseVersion:
		return cause
	case r.Epoch > s.Epoch:
		return fmt.Errorf("%w: %w", ErrDeposed, provider.ErrOutcomeUnknown)
	}
	s.base, s.baseVersion, s.snapshot = r.Number, version, r.Object
	return errBaseChanged
}
