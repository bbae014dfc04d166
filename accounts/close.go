package accounts

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/usage"
)

const (
	defaultFlushInterval = 5 * time.Second
	flushTimeout         = 10 * time.Second // limit for the final Flush, after ctx has ended
)

// numberedRecord is a record with a part number that is unique within this
// process.
type numberedRecord struct {
	part   int
	record usage.Record
}

// Run calls Flush at jittered intervals until ctx ends, and a last time then.
func (rec *Recorder) Run(ctx context.Context) error {
	interval := rec.FlushInterval
	if interval == 0 {
		interval = defaultFlushInterval
	}
	for {
		pause := interval/2 + rand.N(interval)
		select {
		case <-ctx.Done():
			last, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
			defer cancel()
			rec.logResult(rec.Flush(last))
			return nil
		case <-time.After(pause):
			rec.logResult(rec.Flush(ctx))
		}
	}
}

func (rec *Recorder) logResult(n int, err error) {
	switch {
	case rec.Log == nil:
	case err != nil && !errors.Is(err, context.Canceled):
		rec.Log.Emit(event.AccountsDelayed, "error", err)
	case n > 0:
		rec.Log.Emit(event.AccountsClosed, "records", n)
	}
}

// Flush stores all usage that is not in the archive yet and returns the number
// of records stored. Records that could not be stored are kept for the next
// Flush.
func (rec *Recorder) Flush(ctx context.Context) (stored int, err error) {
	rec.flushMu.Lock()
	defer rec.flushMu.Unlock()
	records, round := rec.snapshot()
	for _, n := range records {
		if err := rec.Archive.StorePart(ctx, n.part, n.record); err != nil {
			return stored, err
		}
		rec.mu.Lock()
		rec.pending = rec.pending[1:]
		rec.mu.Unlock()
		stored++
	}
	rec.mu.Lock()
	rec.storedGenerations = max(rec.storedGenerations, round)
	rec.mu.Unlock()
	return stored, nil
}

// snapshot turns the book into records, one for each period that it covers. It
// returns all pending records and the generation that is complete once they are
// stored. While older records are pending the book is left as it is, so that an
// outage of the archive leads to few large records rather than many small ones.
func (rec *Recorder) snapshot() ([]numberedRecord, uint64) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if len(rec.pending) == 0 {
		for _, from := range rec.book.Periods(Period) {
			rec.lastPart++
			rec.pending = append(rec.pending, numberedRecord{rec.lastPart, rec.book.Record(from, from.Add(Period))})
		}
		rec.book = usage.Book{}
		rec.generation++
	}
	return append([]numberedRecord(nil), rec.pending...), rec.generation
}

// Unstored returns the usage that may not be in the archive yet.
func (rec *Recorder) Unstored() []usage.Record {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	var records []usage.Record
	for _, n := range rec.pending {
		records = append(records, n.record)
	}
	for _, from := range rec.book.Periods(Period) {
		records = append(records, rec.book.Record(from, from.Add(Period)))
	}
	return records
}
