package chain

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"persimmonworks.example/persimmonworks/pause"
	"persimmonworks.example/persimmonworks/pool"
	"persimmonworks.example/persimmonworks/provider"
)

const (
	headKey     = "chain-head"
	entryPrefix = "chain/"

	publishAttempts   = 5
	publishRetryDelay = 200 * time.Millisecond // between attempts after a lost response

	// MinRetained is the minimum number of entries that Compact keeps. A publisher
	// resolves a lost response by reading back its entry, so entries must
	// outlive any call in progress.
	MinRetained = 100
)

// ErrRaced is wrapped by every RaceError. Test for it with errors.Is.
var ErrRaced = errors.New("another configuration was first")

// RaceError is returned to a publisher whose base is no longer the newest
// configuration. It names the publisher that succeeded.
type RaceError struct {
	Base   uint64 // number on which the failed publication was based
	Number uint64 // highest number in the chain
	By     string // publisher of Base + 1
	Why    string
}

// Error names the publisher that succeeded and the newest number.
func (e *RaceError) Error() string {
	return fmt.Sprintf("configuration %d is no longer the newest: %s was first with %q, the newest is %d; make the plan again",
		e.Base, e.By, e.Why, e.Number)
}

// Unwrap returns ErrRaced.
func (e *RaceError) Unwrap() error { return ErrRaced }

// Publisher adds configurations to the chain. It holds no state between calls
// and is safe for concurrent use.
type Publisher struct {
	Table      provider.Table
	Now        func() time.Time // nil means time.Now
	Nonce      func() string    // nil generates random UUIDs
	RetryDelay time.Duration    // between attempts after a lost response; 0 means 200 ms
}

// head is the value of the row chain-head.
type head struct {
	Number uint64 `json:"number"`
	Nonce  string `json:"nonce"`
}

func entryKey(number uint64) string { return fmt.Sprintf("%s%020d", entryPrefix, number) }

// Publish adds c as number base + 1 and returns that number. The additional
// ops are part of the same Commit, which may be sent more than once: they must
// make it fail if they have been applied already.
//
// Publish returns a finding.List for an invalid configuration, a *RaceError if
// base is no longer the newest, ErrConflict if the precondition of one of ops
// failed, ErrUnavailable if nothing was written, and ErrOutcomeUnknown if neither
// success nor failure could be established. After ErrOutcomeUnknown the caller checks
// the chain with Find.
func (p *Publisher) Publish(ctx context.Context, base uint64, c Configuration, by, why string, ops ...provider.Op) (uint64, error) {
	if err := pool.Check(&c).Err(); err != nil {
		return 0, fmt.Errorf("publish on configuration %d: %w", base, err)
	}
	row, at, err := readHead(ctx, p.Table)
	if err != nil {
		return 0, fmt.Errorf("publish on configuration %d: %w", base, asUnavailable(err))
	}
	if at.Number != base {
		return 0, NewRaceError(ctx, p.Table, base, at.Number)
	}
	entry := Entry{Number: base + 1, Nonce: p.nonce(), By: by, Why: why, At: p.now(), Configuration: c}
	all, err := publishOps(row, entry, ops)
	if err != nil {
		return 0, fmt.Errorf("publish configuration %d: %w", entry.Number, err)
	}
	return p.commit(ctx, entry, all)
}

func publishOps(row provider.Row, entry Entry, ops []provider.Op) ([]provider.Op, error) {
	body, err := json.Marshal(entry)
	if err != nil {
		return nil, fmt.Errorf("encode entry: %w", err)
	}
	top, err := json.Marshal(head{Number: entry.Number, Nonce: entry.Nonce})
	if err != nil {
		return nil, fmt.Errorf("encode head: %w", err)
	}
	all := []provider.Op{provider.Create(entryKey(entry.Number), body), provider.Update(headKey, top, row.Version)}
	return append(all, ops...), nil
}

// commit sends the ops until a response or a read-back establishes the outcome.
// Once a send may have taken effect, a failure of a later one does not prove
// that the entry was not published.
func (p *Publisher) commit(ctx context.Context, entry Entry, ops []provider.Op) (uint64, error) {
	sent := false
	var err error
	for attempt := range publishAttempts {
		if attempt > 0 && !p.wait(ctx) {
			break
		}
		_, err = p.Table.Commit(ctx, ops...)
		if err == nil {
			return entry.Number, nil
		}
		if errors.Is(err, provider.ErrUnavailable) && !sent {
			return 0, fmt.Errorf("publish configuration %d: %w", entry.Number, err)
		}
		conflict := errors.Is(err, provider.ErrConflict)
		sent = sent || !(conflict || errors.Is(err, provider.ErrUnavailable))
		decided, number, failure := p.resolve(ctx, entry, conflict)
		if decided {
			return number, failure
		}
	}
	return 0, fmt.Errorf("publish configuration %d: %w after %v; read the chain before the next intent",
		entry.Number, provider.ErrOutcomeUnknown, err)
}

// resolve reads back whether entry was published. decided is false while the
// platform does not respond or the Commit may still be applied.
func (p *Publisher) resolve(ctx context.Context, entry Entry, conflict bool) (decided bool, number uint64, failure error) {
	_, at, err := readHead(ctx, p.Table)
	if err != nil {
		return false, 0, nil
	}
	if at.Number < entry.Number {
		if !conflict {
			return false, 0, nil
		}
		return true, 0, fmt.Errorf("publish configuration %d: another row of the commit changed: %w", entry.Number, provider.ErrConflict)
	}
	published, err := readEntry(ctx, p.Table, entry.Number)
	if err != nil {
		return false, 0, nil
	}
	if published.Nonce == entry.Nonce {
		return true, entry.Number, nil
	}
	return true, 0, &RaceError{Base: entry.Number - 1, Number: at.Number, By: published.By, Why: published.Why}
}

// NewRaceError returns the error for a publication based on base when the newest
// number is newest. If the entry after base cannot be read, the error names
// neither its publisher nor its reason.
func NewRaceError(ctx context.Context, r provider.Reader, base, newest uint64) *RaceError {
	e := &RaceError{Base: base, Number: newest, By: "someone", Why: "unknown"}
	if winner, err := readEntry(ctx, r, base+1); err == nil {
		e.By, e.Why = winner.By, winner.Why
	}
	return e
}

// Compact deletes the oldest entries beyond the newest retained, of which it keeps
// at least MinRetained. One call deletes at most 50. It returns how many were
// deleted.
func (p *Publisher) Compact(ctx context.Context, retained uint64) (int, error) {
	retained = max(retained, MinRetained)
	_, at, err := readHead(ctx, p.Table)
	if err != nil {
		return 0, fmt.Errorf("compact the chain: %w", err)
	}
	if at.Number <= retained {
		return 0, nil
	}
	rows, err := p.Table.Range(ctx, entryPrefix, "", compactBatch)
	if err != nil {
		return 0, fmt.Errorf("compact the chain: %w", err)
	}
	deleted := 0
	for _, row := range rows {
		if row.Key > entryKey(at.Number-retained) {
			break
		}
		if _, err := p.Table.Commit(ctx, provider.Remove(row.Key, row.Version)); err != nil {
			return deleted, fmt.Errorf("compact row %q: %w", row.Key, err)
		}
		deleted++
	}
	return deleted, nil
}

// compactBatch limits the deletions of one call of Compact, since the platform
// limits the rate of writes.
const compactBatch = 50

func (p *Publisher) now() time.Time {
	if p.Now == nil {
		return time.Now().UTC()
	}
	return p.Now()
}

func (p *Publisher) nonce() string {
	if p.Nonce == nil {
		return uuid.NewString()
	}
	return p.Nonce()
}

func (p *Publisher) wait(ctx context.Context) bool {
	delay := p.RetryDelay
	if delay == 0 {
		delay = publishRetryDelay
	}
	return pause.For(ctx, delay)
}

// asUnavailable converts the failure of a read before the first Commit into
// ErrUnavailable, which tells the caller that nothing was written.
func asUnavailable(err error) error {
	if errors.Is(err, provider.ErrUnavailable) {
		return err
	}
	return fmt.Errorf("%w: %v", provider.ErrUnavailable, err)
}
