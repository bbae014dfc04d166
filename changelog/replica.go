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

// errMissingRow means that a row of the changelog or of a snapshot is missing. Follow
// then loads the whole docket again.
var errMissingRow = errors.New("a row of the changelog is missing")

// Replica holds the state of a docket by following its changelog. It is not safe for
// concurrent use.
type Replica struct {
	Table Table
	// OnInvalidEntry, if set, is called with the error of each entry that was not valid in the
	// current state and therefore had no effect.
	OnInvalidEntry func(error)

	docket      *docket.Docket
	head        *wire.DocketHead
	version     uint64 // of the head row
	sequence    uint64 // of the newest applied row
	feedVersion uint64 // store version after which the next feed call starts
	base        uint64 // of the snapshot that was read
	partsRead   uint32 // parts of that snapshot that were applied
	loaded      bool   // all rows up to the head were applied once
}

// Docket returns the state up to the newest applied row, or nil before Load. It is
// incomplete until Load or TakeOver has succeeded.
func (r *Replica) Docket() *docket.Docket { return r.docket }

// Loaded reports whether the state was complete once; Follow keeps it so.
func (r *Replica) Loaded() bool { return r.loaded }

// Head returns the newest head that was read. The result must not be modified.
func (r *Replica) Head() *wire.DocketHead { return r.head }

// Version returns the version of the head row, which increases with each change.
func (r *Replica) Version() uint64 { return r.version }

// Load reads the whole docket: the head, its snapshot and all later rows. After an error
// the next call goes on where this one stopped, since reading everything may take longer
// than one call may.
func (r *Replica) Load(ctx context.Context) error {
	head, version, newest, err := readHead(ctx, r.Table)
	if err != nil {
		return err
	}
	if !r.canGoOn(head) {
		r.docket, r.sequence, r.base, r.partsRead = docket.New(), head.GetBase(), head.GetBase(), 0
	}
	r.loaded, r.head, r.version, r.feedVersion = false, head, version, newest
	err = r.readAll(ctx)
	if errors.Is(err, errMissingRow) {
		r.docket = nil // a newer snapshot has replaced what was to be read
	}
	r.loaded = err == nil
	return err
}

// canGoOn reports whether the rows and the parts of a snapshot that were applied so far
// are a beginning of what the head stands for.
func (r *Replica) canGoOn(head *wire.DocketHead) bool {
	if r.docket == nil || r.sequence > head.GetSequence() {
		return false
	}
	return r.base == head.GetBase() || r.loaded && r.sequence >= head.GetBase()
}

func (r *Replica) readAll(ctx context.Context) error {
	for r.base == r.head.GetBase() && r.partsRead < r.head.GetSnapshotParts() {
		key := snapshotKey(r.base, r.partsRead)
		page, err := r.Table.Read(ctx, key, key+"\x00")
		if err != nil {
			return fmt.Errorf("read snapshot: %w", err)
		}
		if len(page.Rows) == 0 {
			return fmt.Errorf("read snapshot %s: %w", key, errMissingRow)
		}
		r.applyBatch(page.Rows[0].Value, r.base)
		r.partsRead++
	}
	return r.readRows(ctx)
}

func (r *Replica) readRows(ctx context.Context) error {
	for {
		page, err := r.Table.Read(ctx, rowKey(r.sequence+1), rowEnd)
		if err != nil {
			return fmt.Errorf("read rows: %w", err)
		}
		for _, row := range page.Rows {
			if err := r.applyRow(row); err != nil {
				return err
			}
		}
		if !page.More {
			break
		}
	}
	if r.sequence < r.head.GetSequence() {
		return fmt.Errorf("read rows up to %d of %d: %w", r.sequence, r.head.GetSequence(), errMissingRow)
	}
	return nil
}

// Follow applies the rows written since the last call, and waits up to wait for one. It
// loads the whole docket again if the store no longer has all changes since then.
func (r *Replica) Follow(ctx context.Context, wait time.Duration) error {
	if !r.loaded {
		return r.Load(ctx)
	}
	page, err := r.Table.Feed(ctx, r.feedVersion, wait)
	if errors.Is(err, ErrHistoryGone) {
		return r.Load(ctx)
	}
	if err != nil {
		return fmt.Errorf("follow rows: %w", err)
	}
	for _, row := range page.Rows {
		err := r.applyRow(row)
		if errors.Is(err, errMissingRow) {
			return r.Load(ctx)
		}
		if err != nil {
			return err
		}
	}
	r.feedVersion = max(r.feedVersion, page.Version)
	return nil
}

// applyRow applies a row of entries, or records a new head. Other rows and those already
// applied are skipped.
func (r *Replica) applyRow(row provider.Row) error {
	if row.Key == headKey {
		if row.Version <= r.version {
			return nil
		}
		head := &wire.DocketHead{}
		if err := proto.Unmarshal(row.Value, head); err != nil {
			return fmt.Errorf("decode head: %w", err)
		}
		r.head, r.version = head, row.Version
		return nil
	}
	number, ok := strings.CutPrefix(row.Key, rowPrefix)
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
		return fmt.Errorf("row %d after %d: %w", sequence, r.sequence, errMissingRow)
	}
	r.applyBatch(row.Value, sequence)
	r.sequence = sequence
	return nil
}

// applyBatch applies a row of entries. A row that cannot be decoded is reported and left
// out, by all processes alike; stopping there would stop every owner of the docket.
func (r *Replica) applyBatch(value []byte, sequence uint64) {
	batch := &wire.DocketBatch{}
	if err := proto.Unmarshal(value, batch); err != nil {
		r.reportInvalid(fmt.Errorf("row %d cannot be decoded and is left out: %w", sequence, err))
		return
	}
	for _, e := range batch.GetEntries() {
		if err := r.docket.Apply(e, sequence); err != nil {
			r.reportInvalid(fmt.Errorf("row %d: %w", sequence, err))
		}
	}
}

func (r *Replica) reportInvalid(err error) {
	if r.OnInvalidEntry != nil {
		r.OnInvalidEntry(err)
	}
}

// TakeOver makes the process the writer, with a higher epoch. It fails with ErrDeposed
// if the head is newer than the one that the replica has read. The replica can then
// follow on and try again.
func (r *Replica) TakeOver(ctx context.Context, o Owner) (*Writer, error) {
	if !r.loaded || r.sequence != r.head.GetSequence() {
		if err := r.Load(ctx); err != nil {
			return nil, err
		}
	}
	w := &Writer{table: r.Table, version: r.version, head: proto.CloneOf(r.head)}
	w.head.Owner, w.head.Incarnation, w.head.Address, w.head.Vacant = o.Name, o.Incarnation, o.Address, false
	w.head.Strongest = max(o.Cores, w.head.GetStrongest())
	w.head.Epoch++
	w.epoch, w.takeoverSentAt = w.head.GetEpoch(), time.Now()
	if err := w.Append(ctx, nil); err != nil {
		return nil, err
	}
	r.head, r.version, r.sequence = proto.CloneOf(w.head), w.version, w.head.GetSequence()
	return w, nil
}
