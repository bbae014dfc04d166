package changelog

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"persimmonworks.example/persimmonworks/provider"
	"persimmonworks.example/persimmonworks/wire"
)

const (
	// maxRowBytes bounds the changes of one row, below the store's limit.
	maxRowBytes = 48 << 10
	// dropsPerAppend bounds the covered rows that one transaction drops.
	dropsPerAppend = 40
	retryFirst     = 10 * time.Millisecond
	retryMost      = 200 * time.Millisecond
	// A transaction may be repeated at no risk, so a lost answer is not waited for
	// much longer than answers usually take.
	patienceLeast  = 150 * time.Millisecond
	patienceMost   = 1500 * time.Millisecond
	patienceFactor = 4   // times the usual answer
	answerGain     = 0.5 // weight of a new answer
)

// Writer appends changes. It belongs to one goroutine.
type Writer struct {
	table   Table
	epoch   uint64
	head    *wire.DocketHead
	version uint64
	drop    []string // rows that a snapshot covers
	refused atomic.Bool
	usual   atomic.Int64  // nanoseconds until an answer
	cores   atomic.Uint64 // bits of the strongest host known, 0 if none was told
}

// SetStrongestCores tells how many cores the strongest host has that could own the
// docket; the head says so from the next change on. It may be called from any
// goroutine.
func (w *Writer) SetStrongestCores(cores float64) { w.cores.Store(math.Float64bits(cores)) }

// next returns a copy of the head to be changed.
func (w *Writer) next() *wire.DocketHead {
	head := proto.CloneOf(w.head)
	if cores := math.Float64frombits(w.cores.Load()); cores > 0 {
		head.Strongest = cores
	}
	return head
}

// Usual returns how long the store usually takes to answer. It may be called
// from any goroutine.
func (w *Writer) Usual() time.Duration { return time.Duration(w.usual.Load()) }

// attempt sends a transaction once and learns how long answers take.
func (w *Writer) attempt(ctx context.Context, t Transaction, patience time.Duration) (uint64, error) {
	call, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	sent := time.Now()
	version, err := w.table.Commit(call, t)
	if err == nil || errors.Is(err, provider.ErrConflict) {
		w.usual.Add(int64(answerGain * float64(time.Since(sent)-w.Usual())))
	}
	return version, err
}

// Refused reports whether the store has turned the newest transaction away; it
// is being repeated. It may be called from any goroutine.
func (w *Writer) Refused() bool { return w.refused.Load() }

// Epoch returns the fencing token of this writer. It may be called from any
// goroutine.
func (w *Writer) Epoch() uint64 { return w.epoch }

// Sequence returns the number of the newest row.
func (w *Writer) Sequence() uint64 { return w.head.GetSequence() }

// Rows returns how many rows of changes are not covered by a snapshot.
func (w *Writer) Rows() uint64 { return w.head.GetSequence() - w.head.GetBase() }

// Fits returns how many of the entries fit into one row, at least one.
func Fits(entries []*wire.DocketEntry) int {
	bytes := 0
	for i, e := range entries {
		bytes += proto.Size(e) + 8 // 8 covers tag and length
		if bytes > maxRowBytes && i > 0 {
			return i
		}
	}
	return len(entries)
}

// Append stores the entries as one row and returns when they are durable. It
// repeats the transaction until its outcome is certain; when ctx ends before
// that the error is ctx's and the outcome is open.
func (w *Writer) Append(ctx context.Context, entries []*wire.DocketEntry) error {
	next := w.next()
	next.Sequence++
	batch, err := proto.Marshal(&wire.DocketBatch{Epoch: next.GetEpoch(), Entries: entries})
	if err != nil {
		return fmt.Errorf("encode changes: %w", err)
	}
	put := []provider.Row{{Key: entryKey(next.GetSequence()), Value: batch}}
	return w.commit(ctx, next, put)
}

// Release gives the docket up, so that another process takes over at once.
func (w *Writer) Release(ctx context.Context) error {
	next := w.next()
	next.Vacant = true
	return w.commit(ctx, next, nil)
}

// Snapshot stores entries that stand for all rows so far. Those are dropped
// with later transactions.
func (w *Writer) Snapshot(ctx context.Context, entries []*wire.DocketEntry) error {
	base := w.head.GetSequence()
	parts := uint32(0)
	for len(entries) > 0 {
		n := Fits(entries)
		body, err := proto.Marshal(&wire.DocketBatch{Epoch: w.head.GetEpoch(), Entries: entries[:n]})
		if err != nil {
			return fmt.Errorf("encode snapshot: %w", err)
		}
		if err := w.commit(ctx, proto.CloneOf(w.head), []provider.Row{{Key: snapshotKey(base, parts), Value: body}}); err != nil {
			return err
		}
		entries = entries[n:]
		parts++
	}
	old := w.head
	next := proto.CloneOf(old)
	next.Base, next.SnapshotParts = base, parts
	if err := w.commit(ctx, next, nil); err != nil {
		return err
	}
	for part := range old.GetSnapshotParts() {
		w.drop = append(w.drop, snapshotKey(old.GetBase(), part))
	}
	for sequence := old.GetBase() + 1; sequence <= base; sequence++ {
		w.drop = append(w.drop, entryKey(sequence))
	}
	return nil
}

// commit replaces the head by next and puts the rows.
func (w *Writer) commit(ctx context.Context, next *wire.DocketHead, put []provider.Row) error {
	value, err := proto.Marshal(next)
	if err != nil {
		return fmt.Errorf("encode head: %w", err)
	}
	drops := w.drop[:min(len(w.drop), dropsPerAppend)]
	t := Transaction{
		Require: provider.Row{Key: headKey, Version: w.version},
		Put:     append(put, provider.Row{Key: headKey, Value: value}),
		Drop:    drops,
	}
	wait, patience := retryFirst, min(max(patienceLeast, patienceFactor*w.Usual()), patienceMost)
	for {
		version, err := w.attempt(ctx, t, patience)
		if errors.Is(err, provider.ErrUnknown) {
			patience = min(2*patience, patienceMost)
		}
		if errors.Is(err, provider.ErrConflict) {
			version, err = w.resolve(ctx, next, &t)
		}
		w.refused.Store(errors.Is(err, provider.ErrUnavailable))
		if err == nil {
			w.head, w.version = next, version
			w.drop = w.drop[len(drops):]
			return nil
		}
		if errors.Is(err, ErrDeposed) || ctx.Err() != nil {
			return err
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return fmt.Errorf("append: %w", ctx.Err())
		}
		wait = min(2*wait, retryMost)
	}
}

var errAgain = errors.New("the head had another version; repeat")

// resolve finds out why the head was not as required: an earlier copy of the
// transaction was carried out, or another writer took over.
func (w *Writer) resolve(ctx context.Context, next *wire.DocketHead, t *Transaction) (uint64, error) {
	head, version, _, err := readHead(ctx, w.table)
	if err != nil {
		return 0, err
	}
	if version != t.Require.Version && proto.Equal(head, next) && !proto.Equal(next, w.head) {
		return version, nil
	}
	if proto.Equal(head, w.head) {
		t.Require.Version = version
		return 0, errAgain
	}
	return 0, fmt.Errorf("head has epoch %d of %s: %w", head.GetEpoch(), head.GetOwner(), ErrDeposed)
}
