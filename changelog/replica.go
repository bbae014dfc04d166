package changelog

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"persimmonworks.example/persimmonworks/docket"
	"persimmonworks.example/persimmonworks/provider"
	"persimmonworks.example/persimmonworks/wire"
)

// errGap is a missing row of changes; the replica loads everything again.
var errGap = errors.New("a row of changes is missing")

// Replica follows the changes of a docket. It belongs to one goroutine.
type Replica struct {
	Table Table
	// Refused, if set, is told of entries that did not fit the state.
	Refused func(error)

	docket   *docket.Docket
	head     *wire.DocketHead
	version  uint64 // of the head row
	sequence uint64 // of the newest row applied
	after    uint64 // where the feed goes on
}

// Docket returns the state as far as it was followed, nil before Load.
func (r *Replica) Docket() *docket.Docket { return r.docket }

// Head returns the newest head that was seen. It must not be changed.
func (r *Replica) Head() *wire.DocketHead { return r.head }

// Version returns the version of the head row, which rises with each change.
func (r *Replica) Version() uint64 { return r.version }

// Load reads the whole docket.
func (r *Replica) Load(ctx context.Context) error {
	head, version, newest, err := readHead(ctx, r.Table)
	if err != nil {
		return err
	}
	r.docket, r.head, r.version, r.sequence, r.after = docket.New(), head, version, head.GetBase(), newest
	for part := range head.GetSnapshotParts() {
		key := snapshotKey(head.GetBase(), part)
		page, err := r.Table.Read(ctx, key, key+"\x00")
		if err != nil {
			return fmt.Errorf("read snapshot: %w", err)
		}
		if len(page.Rows) == 0 {
			return fmt.Errorf("read snapshot %s: %w", key, errGap)
		}
		if err := r.apply(page.Rows[0].Value, head.GetBase()); err != nil {
			return err
		}
	}
	return r.readEntries(ctx)
}

func (r *Replica) readEntries(ctx context.Context) error {
	for {
		page, err := r.Table.Read(ctx, entryKey(r.sequence+1), entryEnd)
		if err != nil {
			return fmt.Errorf("read changes: %w", err)
		}
		for _, row := range page.Rows {
			if err := r.take(row); err != nil {
				return err
			}
		}
		if !page.More {
			break
		}
	}
	if r.sequence < r.head.GetSequence() {
		return fmt.Errorf("read changes up to %d of %d: %w", r.sequence, r.head.GetSequence(), errGap)
	}
	return nil
}

// Follow applies what has changed, and waits for a change. When the history is
// gone it loads everything again.
func (r *Replica) Follow(ctx context.Context, wait time.Duration) error {
	if r.docket == nil {
		return r.Load(ctx)
	}
	page, err := r.Table.Feed(ctx, r.after, wait)
	if errors.Is(err, ErrHistoryGone) {
		return r.Load(ctx)
	}
	if err != nil {
		return fmt.Errorf("follow changes: %w", err)
	}
	for _, row := range page.Rows {
		err := r.take(row)
		if errors.Is(err, errGap) {
			return r.Load(ctx)
		}
		if err != nil {
			return err
		}
	}
	r.after = max(r.after, page.Version)
	return nil
}

// take applies a row of changes, or notes a head.
func (r *Replica) take(row provider.Row) error {
	if row.Key == headKey {
		if row.Version <= r.version {
			return nil
		}
		head := &wire.DocketHead{}
		if err := proto.Unmarshal(row.Value, head); err != nil {
			return fmt.Errorf("head: %w", err)
		}
		r.head, r.version = head, row.Version
		return nil
	}
	number, ok := strings.CutPrefix(row.Key, entryPrefix)
	if !ok {
		return nil
	}
	var sequence uint64
	if _, err := fmt.Sscanf(number, "%d", &sequence); err != nil {
		return fmt.Errorf("row %q: %w", row.Key, err)
	}
	if sequence <= r.sequence {
		return nil
	}
	if sequence != r.sequence+1 {
		return fmt.Errorf("row %d after %d: %w", sequence, r.sequence, errGap)
	}
	if err := r.apply(row.Value, sequence); err != nil {
		return err
	}
	r.sequence = sequence
	return nil
}

func (r *Replica) apply(value []byte, sequence uint64) error {
	batch := &wire.DocketBatch{}
	if err := proto.Unmarshal(value, batch); err != nil {
		return fmt.Errorf("row of changes %d: %w", sequence, err)
	}
	for _, e := range batch.GetEntries() {
		if err := r.docket.Apply(e, sequence); err != nil && r.Refused != nil {
			r.Refused(err)
		}
	}
	return nil
}

// TakeOver makes the process the writer, with a higher epoch. It fails with
// ErrDeposed when the head is newer than what the replica has seen; the replica
// then follows on and may try again.
func (r *Replica) TakeOver(ctx context.Context, o Owner) (*Writer, error) {
	if r.docket == nil || r.sequence != r.head.GetSequence() {
		if err := r.Load(ctx); err != nil {
			return nil, err
		}
	}
	w := &Writer{table: r.Table, version: r.version, head: proto.CloneOf(r.head)}
	w.head.Owner, w.head.Incarnation, w.head.Address, w.head.Vacant = o.Name, o.Incarnation, o.Address, false
	w.head.Strongest = max(o.Cores, w.head.GetStrongest())
	w.head.Epoch++
	w.epoch = w.head.GetEpoch()
	if err := w.Append(ctx, nil); err != nil {
		return nil, err
	}
	r.head, r.version, r.sequence = proto.CloneOf(w.head), w.version, w.head.GetSequence()
	return w, nil
}
