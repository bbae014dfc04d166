// Package joblog makes the history of a job shard durable.
//
// A Store appends entries of package job to numbered rows of the platform's
// table, one row for each group commit, and replays them into a job.Book. Rows
// are written by conditional insert and numbered without gaps, so that an owner
// that lost its shard cannot append after the entry that opens the next owner's
// epoch. A long journal is replaced by a snapshot of the book, the base; a row
// below the base could be inserted again, so every append also requires the base
// to be as its writer knows it.
//
// Accepted jobs that carry an idempotency key take the key's row in the same
// commit, so that of two submissions under one key exactly one is accepted,
// whichever shards they meet.
//
// Usage:
//
//	s := joblog.Store{Table: t, Objects: o, DataCentre: "dc1", Shard: "jobs-2", Writer: "e1-7", Epoch: 7}
//	book, err := s.Open(ctx)           // replays and appends the opening entry
//	entry := job.Accept(id, spec, now)
//	err = s.Append(ctx, []job.Entry{entry})
//	book.Apply(entry)                  // only after Append succeeded
package joblog

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"persimmonworks.example/persimmonworks/job"
	"persimmonworks.example/persimmonworks/provider"
)

// Store reads and writes the journal of one job shard. Exported fields are set
// before Open. Its methods are called by one goroutine at a time.
type Store struct {
	Table      provider.Table
	Objects    provider.Objects
	DataCentre string
	Shard      string
	// Writer is unique to this ownership of the shard (process, incarnation
	// and epoch); it tells own rows from others' when a lost answer is
	// resolved.
	Writer string
	Epoch  uint64

	next     uint64 // number of the next journal row
	base     uint64 // rows below are part of the snapshot
	baseRow  uint64 // version of the base row
	snapshot string // object of the snapshot, "" for none
}

// ErrDeposed is returned when another owner has opened a later epoch.
var ErrDeposed = errors.New("another process owns the job shard")

// maxInlineSpec is the size in bytes above which a job's spec goes to the
// object store rather than into the journal row.
const maxInlineSpec = 8 << 10

// replayPage is the number of journal rows read at once.
const replayPage = 200

type baseRecord struct {
	Number uint64 `json:"number"`
	Object string `json:"object"`
	Epoch  uint64 `json:"epoch"`
}

func (s *Store) prefix() string { return "journal/" + s.DataCentre + "/" + s.Shard + "/" }

func (s *Store) rowKey(n uint64) string { return fmt.Sprintf("%s%020d", s.prefix(), n) }

func (s *Store) baseKey() string { return "journal-base/" + s.DataCentre + "/" + s.Shard }

// Open replays the journal and appends the entry that opens this owner's
// epoch; from then on no earlier owner can append. It is repeated after
// failures other than ErrDeposed.
func (s *Store) Open(ctx context.Context) (*job.Book, error) {
	for {
		book, epoch, err := s.replay(ctx)
		if err != nil {
			return nil, err
		}
		if epoch > s.Epoch {
			return nil, fmt.Errorf("job shard %s/%s epoch %d, journal has epoch %d: %w", s.DataCentre, s.Shard, s.Epoch, epoch, ErrDeposed)
		}
		err = s.appendRow(ctx, []job.Entry{{Kind: job.EntryOpen, Epoch: s.Epoch}}, nil)
		if errors.Is(err, provider.ErrConflict) || errors.Is(err, errBaseMoved) {
			continue // the previous owner wrote after the replay
		}
		if err != nil {
			return nil, err
		}
		return book, nil
	}
}

func (s *Store) replay(ctx context.Context) (*job.Book, uint64, error) {
	b := &job.Book{}
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
		rows, err := s.Table.Range(ctx, s.prefix(), after, replayPage)
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
		if len(rows) < replayPage {
			return b, epoch, nil
		}
	}
}

func (s *Store) applyRow(ctx context.Context, b *job.Book, r provider.Row) (epoch uint64, err error) {
	rows, err := decodeBatch(r.Key, r.Value)
	if err != nil {
		return 0, err
	}
	for _, e := range rows.Entries {
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

// Append makes entries durable as one row. On ErrDeposed the shard is lost and
// nothing was written, unless the error is provider.ErrUnknown too: then an
// earlier try of these entries may have been. On provider.ErrUnknown alone the
// same entries must be appended again before any others, which succeeds whether
// or not the first write took effect; on provider.ErrUnavailable this try wrote
// nothing.
//
// Accepted jobs that carry an idempotency key take the key's row in the same
// commit; ErrKeyTaken is returned when another job has one of the keys.
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
		if e.Spec.Key != "" {
			body, err := encodeKey(e.Job, e.Spec)
			if err != nil {
				return err
			}
			keys = append(keys, provider.Create(KeyRow(e.Spec.Organisation, e.Spec.Key), body))
		}
	}
	err := s.appendRow(ctx, entries, keys)
	for errors.Is(err, errBaseMoved) {
		err = s.appendRow(ctx, entries, keys)
	}
	if errors.Is(err, provider.ErrConflict) {
		return s.explainConflict(ctx, entries, err)
	}
	return err
}

// SpecObject returns the object that holds a job's specification, if that is
// too large for the journal.
func SpecObject(id string) string { return "jobs/" + id }

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
		// A stray object harms nobody: no row refers to it.
		return fmt.Errorf("object %q: %v: %w", name, err, provider.ErrUnavailable)
	}
	e.Object = name
	return nil
}

func (s *Store) appendRow(ctx context.Context, entries []job.Entry, keys []provider.Op) error {
	slim := make([]job.Entry, len(entries))
	for i, e := range entries {
		if e.Object != "" {
			e.Spec = nil
		}
		slim[i] = e
	}
	body, err := encodeBatch(s.Writer, slim)
	if err != nil {
		return err
	}
	key := s.rowKey(s.next)
	ops := []provider.Op{provider.Create(key, body), provider.Require(s.baseKey(), s.baseRow)}
	_, err = s.Table.Commit(ctx, append(ops, keys...)...)
	if errors.Is(err, provider.ErrUnknown) || errors.Is(err, provider.ErrConflict) {
		err = s.resolve(ctx, key, body, err)
	}
	if err != nil {
		return fmt.Errorf("journal row %q: %w", key, err)
	}
	s.next++
	return nil
}

// errBaseMoved tells that the write is to be repeated, since a snapshot of this
// owner or an earlier one has become the base of the journal meanwhile.
var errBaseMoved = errors.New("the journal has another base")

// resolve reads the row back after a lost answer or a conflict: the row may be
// our own, written by the call whose answer was lost. A row that is absent
// after a lost answer may still appear, so the error stays ErrUnknown.
func (s *Store) resolve(ctx context.Context, key string, body []byte, cause error) error {
	row, err := s.Table.Get(ctx, key)
	switch {
	case err == nil && string(row.Value) == string(body):
		return nil
	case err == nil:
		return provider.ErrConflict
	case errors.Is(err, provider.ErrNotFound) && errors.Is(cause, provider.ErrConflict):
		return s.followBase(ctx, cause)
	case errors.Is(err, provider.ErrNotFound):
		return cause
	default:
		return fmt.Errorf("read back after %v: %v: %w", cause, err, provider.ErrUnknown)
	}
}

// followBase finds out whether a conflict comes from the base. Under a later
// owner's base the row may have been written, read and removed.
func (s *Store) followBase(ctx context.Context, cause error) error {
	r, version, err := s.readBase(ctx)
	switch {
	case err != nil:
		return fmt.Errorf("read of the base after %v: %v: %w", cause, err, provider.ErrUnknown)
	case version == s.baseRow:
		return cause
	case r.Epoch > s.Epoch:
		return fmt.Errorf("%w: %w", ErrDeposed, provider.ErrUnknown)
	}
	s.base, s.baseRow, s.snapshot = r.Number, version, r.Object
	return errBaseMoved
}
