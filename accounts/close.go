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
	closeTimeout = 10 * time.Second // of the last Close, after ctx has ended
)

// numbered is a record with its part, which no other record of this process
// has.
type numbered struct {
	part   int
	record usage.Record
}

// Run closes the accounts at a jittered pace until ctx ends, and once more
// then.
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
			k.report(k.Close(last))
			return nil
		case <-time.After(pause):
			k.report(k.Close(ctx))
		}
	}
}

func (k *Keeper) report(n int, err error) {
	switch {
	case k.Log == nil:
	case err != nil && !errors.Is(err, context.Canceled):
		k.Log.Emit(event.AccountsDelayed, "error", err)
	case n > 0:
		k.Log.Emit(event.AccountsClosed, "records", n)
	}
}

// Close stores what is not in the archive yet and returns the number of
// records that were stored. What could not be stored is kept for the next
// Close.
func (k *Keeper) Close(ctx context.Context) (stored int, err error) {
	k.closing.Lock()
	defer k.closing.Unlock()
	records, round := k.freeze()
	for _, n := range records {
		if err := k.Archive.Close(ctx, n.part, n.record); err != nil {
			return stored, err
		}
		k.mu.Lock()
		k.waiting = k.waiting[1:]
		k.mu.Unlock()
		stored++
	}
	k.mu.Lock()
	k.stored = max(k.stored, round)
	k.mu.Unlock()
	return stored, nil
}

// freeze makes records of the book, one for each period that it touches, and
// returns all records that wait and the number of rounds that they complete. The book stays as it is while older records
// wait, so that an outage makes few large records and not many small ones.
func (k *Keeper) freeze() ([]numbered, uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.waiting) == 0 {
		for _, from := range k.book.Periods(Period) {
			k.part++
			k.waiting = append(k.waiting, numbered{k.part, k.book.Record(from, from.Add(Period))})
		}
		k.book = usage.Book{}
		k.round++
	}
	return append([]numbered(nil), k.waiting...), k.round
}

// Live returns what the archive may not have yet.
func (k *Keeper) Live() []usage.Record {
	k.mu.Lock()
	defer k.mu.Unlock()
	var records []usage.Record
	for _, n := range k.waiting {
		records = append(records, n.record)
	}
	for _, from := range k.book.Periods(Period) {
		records = append(records, k.book.Record(from, from.Add(Period)))
	}
	return records
}
