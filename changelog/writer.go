package changelog

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"persimmonworks.example/persimmonworks/provider"
	"persimmonworks.example/persimmonworks/wire"
)

const (
	// maxRowBytes bounds the entries in one row. It is below the store's limit for a row.
	maxRowBytes = 48 << 10
	// maxDropsPerTransaction bounds how many rows covered by a snapshot are dropped by
	// one transaction.
	maxDropsPerTransaction = 40
	initialBackoff         = 10 * time.Millisecond
	maxBackoff             = 200 * time.Millisecond
	// Repeating a transaction is safe, so an answer is missed after a small multiple of
	// the usual latency. That keeps the delay by a lost answer short.
	minCommitTimeout    = 150 * time.Millisecond
	maxCommitTimeout    = 1500 * time.Millisecond
	commitTimeoutFactor = 4   // multiple of the average latency
	latencyGain         = 0.5 // weight of the newest sample in the moving average of the latency
)

// Writer appends entries to the changelog of a docket. Except where noted, its methods
// must be called from one goroutine.
type Writer struct {
	table          Table
	epoch          uint64
	takeoverSentAt time.Time // when the transaction that made this the writer was first sent
	head           *wire.DocketHead
	version        uint64        // of the head row
	pendingDrops   []string      // keys of rows covered by a snapshot and not dropped yet
	unavailable    atomic.Bool   // whether the last attempt failed with provider.ErrUnavailable
	avgLatency     atomic.Int64  // moving average until an answer, in nanoseconds
	strongestCores atomic.Uint64 // float64 bits of the cores of the strongest known host, 0 if not set
}

// SetStrongestCores sets how many cores the strongest host has that could own the
// docket. The head records it with the next Append or Release. It may be called from
// any goroutine.
func (w *Writer) SetStrongestCores(cores float64) { w.strongestCores.Store(math.Float64bits(cores)) }

// nextHead returns a copy of the head, for the caller to change, with the cores of the
// strongest host filled in.
func (w *Writer) nextHead() *wire.DocketHead {
	head := proto.CloneOf(w.head)
	if cores := math.Float64frombits(w.strongestCores.Load()); cores > 0 {
		head.Strongest = cores
	}
	return head
}

// AverageLatency returns the moving average of the store's latency. It may be called from any
// goroutine.
func (w *Writer) AverageLatency() time.Duration { return time.Duration(w.avgLatency.Load()) }

// commitResult is the outcome of sending a transaction once.
type commitResult struct {
	version uint64
	err     error
}

// tryCommit sends a transaction once. If there is no answer for patience, it reads the
// head to find out why: a store that answers reads quickly has lost the transaction or
// its answer, and the transaction is given up so that the caller repeats it; a store
// that is slow is waited for, since a copy would only lengthen its queue.
func (w *Writer) tryCommit(ctx context.Context, next *wire.DocketHead, t Transaction, patience time.Duration) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, maxCommitTimeout)
	var group errgroup.Group
	defer func() {
		cancel()
		_ = group.Wait() // no function returns an error
	}()
	sent := time.Now()
	results := make(chan commitResult, 1)
	group.Go(func() error {
		version, err := w.table.Commit(ctx, t)
		if err == nil || errors.Is(err, provider.ErrConflict) {
			w.avgLatency.Add(int64(latencyGain * float64(time.Since(sent)-w.AverageLatency())))
		}
		results <- commitResult{version, err}
		return nil
	})
	patient := time.NewTimer(patience)
	defer patient.Stop()
	probed := make(chan commitResult, 1)
	for {
		select {
		case r := <-results:
			return r.version, r.err
		case r := <-probed:
			return r.version, r.err
		case <-patient.C:
			group.Go(func() error {
				if r, decided := w.probe(ctx, next, t); decided {
					probed <- r
				}
				return nil
			})
		}
	}
}

// probe reads the head while a transaction is not answered. It returns the outcome of
// the transaction and true if that is known, or the transaction should be repeated.
func (w *Writer) probe(ctx context.Context, next *wire.DocketHead, t Transaction) (commitResult, bool) {
	asked := time.Now()
	head, version, _, err := readHead(ctx, w.table)
	switch {
	case errors.Is(err, provider.ErrUnavailable):
		return commitResult{0, err}, true
	case err != nil:
		return commitResult{}, false // tryCommit ends with its context
	case version != t.Require.Version && proto.Equal(head, next) && !proto.Equal(next, w.head):
		return commitResult{version, nil}, true
	case time.Since(asked) < minCommitTimeout:
		return commitResult{0, provider.ErrOutcomeUnknown}, true
	}
	return commitResult{}, false
}

// StoreUnavailable reports whether the store was unavailable for the last attempt of the newest
// transaction, which is being repeated. It may be called from any goroutine.
func (w *Writer) StoreUnavailable() bool { return w.unavailable.Load() }

// Epoch returns the fencing token of this writer. It may be called from any
// goroutine.
func (w *Writer) Epoch() uint64 { return w.epoch }

// TakeoverSentAt returns when the transaction that made this the writer was first sent. It
// took effect no earlier. It may be called from any goroutine.
func (w *Writer) TakeoverSentAt() time.Time { return w.takeoverSentAt }

// Sequence returns the number of the newest row.
func (w *Writer) Sequence() uint64 { return w.head.GetSequence() }

// Rows returns the number of rows that no snapshot covers.
func (w *Writer) Rows() uint64 { return w.head.GetSequence() - w.head.GetBase() }

// CountFitting returns how many of the entries, from the first on, fit into one row. It is at
// least 1 unless there are no entries.
func CountFitting(entries []*wire.DocketEntry) int {
	bytes := 0
	for i, e := range entries {
		bytes += proto.Size(e) + 8 // 8 bytes for the field's tag and length
		if bytes > maxRowBytes && i > 0 {
			return i
		}
	}
	return len(entries)
}

// Append stores the entries as one row and returns when they are durable. It repeats
// the transaction until its outcome is known. If ctx ends before that, it returns the
// error of ctx and the entries may or may not be stored.
func (w *Writer) Append(ctx context.Context, entries []*wire.DocketEntry) error {
	next := w.nextHead()
	next.Sequence++
	batch, err := proto.Marshal(&wire.DocketBatch{Epoch: next.GetEpoch(), Entries: entries})
	if err != nil {
		return fmt.Errorf("encode changes: %w", err)
	}
	put := []provider.Row{{Key: rowKey(next.GetSequence()), Value: batch}}
	return w.commit(ctx, next, put)
}

// Release marks the docket as vacant, so that another process takes over at once.
func (w *Writer) Release(ctx context.Context) error {
	next := w.nextHead()
	next.Vacant = true
	return w.commit(ctx, next, nil)
}

// Snapshot stores entries that replace all rows so far. The replaced rows are dropped by
// later transactions.
func (w *Writer) Snapshot(ctx context.Context, entries []*wire.DocketEntry) error {
	base := w.head.GetSequence()
	parts := uint32(0)
	for len(entries) > 0 {
		n := CountFitting(entries)
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
	previous := w.head
	next := proto.CloneOf(previous)
	next.Base, next.SnapshotParts = base, parts
	if err := w.commit(ctx, next, nil); err != nil {
		return err
	}
	for part := range previous.GetSnapshotParts() {
		w.pendingDrops = append(w.pendingDrops, snapshotKey(previous.GetBase(), part))
	}
	for sequence := previous.GetBase() + 1; sequence <= base; sequence++ {
		w.pendingDrops = append(w.pendingDrops, rowKey(sequence))
	}
	return nil
}

// commit writes the rows and replaces the head by next in one transaction, and repeats
// it until its outcome is known.
func (w *Writer) commit(ctx context.Context, next *wire.DocketHead, put []provider.Row) error {
	value, err := proto.Marshal(next)
	if err != nil {
		return fmt.Errorf("encode head: %w", err)
	}
	drops := w.pendingDrops[:min(len(w.pendingDrops), maxDropsPerTransaction)]
	t := Transaction{
		Require: provider.Row{Key: headKey, Version: w.version},
		Put:     append(put, provider.Row{Key: headKey, Value: value}),
		Drop:    drops,
	}
	backoff, timeout := initialBackoff, min(max(minCommitTimeout, commitTimeoutFactor*w.AverageLatency()), maxCommitTimeout)
	for {
		version, err := w.tryCommit(ctx, next, t, timeout)
		if errors.Is(err, provider.ErrOutcomeUnknown) {
			timeout = min(2*timeout, maxCommitTimeout)
		}
		if errors.Is(err, provider.ErrConflict) {
			version, err = w.resolveConflict(ctx, next, &t)
		}
		w.unavailable.Store(errors.Is(err, provider.ErrUnavailable))
		if err == nil {
			w.head, w.version = next, version
			w.pendingDrops = w.pendingDrops[len(drops):]
			return nil
		}
		if errors.Is(err, ErrDeposed) || ctx.Err() != nil {
			return err
		}
		select {
		case <-time.After(backoff):
		case <-ctx.Done():
			return fmt.Errorf("commit: %w", ctx.Err())
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// errHeadVersionChanged means that the head has a new version but still the content that
// this writer last wrote. The transaction is then repeated with the new version.
var errHeadVersionChanged = errors.New("the head has a new version")

// resolveConflict finds out why the head did not have the required version. If an
// earlier attempt of the transaction took effect, it returns the version that this gave
// to the head. If another writer has taken over, the error wraps ErrDeposed.
func (w *Writer) resolveConflict(ctx context.Context, next *wire.DocketHead, t *Transaction) (uint64, error) {
	head, version, _, err := readHead(ctx, w.table)
	if err != nil {
		return 0, err
	}
	if version != t.Require.Version && proto.Equal(head, next) && !proto.Equal(next, w.head) {
		return version, nil
	}
	if proto.Equal(head, w.head) {
		t.Require.Version = version
		return 0, errHeadVersionChanged
	}
	return 0, fmt.Errorf("head has epoch %d of owner %s: %w", head.GetEpoch(), head.GetOwner(), ErrDeposed)
}
