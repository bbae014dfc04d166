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
	closeEvery   = 5 * time.Second
	closeTimeout = 10 * time.Second // limit for the final Close, after ctx has ended
)

// numberedRecord is a record with a part number that is unique within this
// process.
type numberedRecord struct {
	part   int
	record usage.Record
}

// Run calls Close at jittered intervals until ctx ends, and a last time then.
func (k *Keeper) Run(ctx context.Context) error {
	every := k.Every
	if every == 0 {
		every = closeEvery
	}
	for {
		pause := every/2 + rand.N(every)
		select {
		case <-ctx.Done():
			last, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
			defer cancel()
			k.logResult(k.Close(last))
			return nil
		case <-time.After(pause):
			k.logResult(k.Close(ctx))
		}
	}
}

func (k *Keeper) logResult(n int, err error) {
	switch {
	case k.Log == nil:
	case err != nil && !errors.Is(err, context.Canceled):
		k.Log.Emit(event.AccountsDelayed, "error", err)
	case n > 0:
		k.Log.Emit(event.AccountsClosed, "records", n)
	}
}

// Close stores all usage that is not in the archive yet and returns the number
// of records stored. Records that could not be stored are kept for the next
// Close.
func (k *Keeper) Close(ctx context.Context) (stored int, err error) {
	k.closeMu.Lock()
	defer k.closeMu.Unlock()
	records, round := k.snapshot()
	for _, n := range records {
		if err := k.Archive.Close(ctx, n.part, n.record); err != nil {
			return stored, err
		}
		k.mu.Lock()
		k.pending = k.pending[1:]
		k.mu.Unlock()
		stored++
	}
	k.mu.Lock()
	k.storedGenerations = max(k.storedGenerations, round)
	k.mu.Unlock()
	return stored, nil
}

// snapshot turns the book into records, one for each period that it covers. It
// returns all pending records and the generation that is complete once they are
// stored. While older records are pending the book is left as it is, so that an
// outage of the archive leads to few large records rather than many small ones.
func (k *Keeper) snapshot() ([]numberedRecord, uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.pending) == 0 {
		for _, from := range k.book.Periods(Period) {
			k.lastPart++
			k.pending = append(k.pending, numberedRecord{k.lastPart, k.book.Record(from, from.Add(Period))})
		}
		k.book = usage.Book{}
		k.generation++
	}
	return append([]numberedRecord(nil), k.pending...), k.generation
}

// Live returns the usage that may not be in the archive yet.
func (k *Keeper) Live() []usage.Record {
	k.mu.Lock()
	defer k.mu.Unlock()
	var records []usage.Record
	for _, n := range k.pending {
		records = append(records, n.record)
	}
	for _, from := range k.book.Periods(Period) {
		records = append(records, k.book.Record(from, from.Add(Period)))
	}
	return records
}
