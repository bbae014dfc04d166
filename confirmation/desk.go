// Package confirmation keeps proposed plans and brings confirmed ones into the
// chain of configurations.
//
// A Desk stores plans in the platform's table and confirms them by their
// digest. The confirmation and the new configuration are one Commit, so of
// racing operators exactly one wins; the others are told who did. A plan whose
// state has changed in what it touches is refused (package intent).
//
// Usage:
//
//	d := confirmation.Desk{Table: table, State: current}
//	plan, err := d.Propose(ctx, intent.Intent{Kind: intent.DrainRack, Target: "r1", By: "ivana"})
//	fmt.Print(plan.Text())
//	number, err := d.Confirm(ctx, plan.Digest(), "ivana")
package confirmation

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"persimmonworks.example/persimmonworks/chain"
	"persimmonworks.example/persimmonworks/intent"
	"persimmonworks.example/persimmonworks/provider"
)

// Desk stores plans and confirms them. It holds no state between calls and
// may be used from any goroutine.
type Desk struct {
	Table provider.Table
	// State returns the hosts, attempts and waiting work as they are now. The
	// Desk fills in the configuration from the chain itself.
	State     func(ctx context.Context) (intent.State, error)
	Publisher *chain.Publisher // nil is one on Table
	Now       func() time.Time // nil is time.Now
}

const planPrefix = "intent/"

// stored is the row of a plan. Number is 0 until it is confirmed.
type stored struct {
	Plan   intent.Plan `json:"plan"`
	By     string      `json:"confirmed-by,omitempty"`
	Number uint64      `json:"confirmed-as,omitempty"`
}

// ConfirmedError tells that someone else has confirmed the plan already.
type ConfirmedError struct {
	By     string
	Number uint64 // of the configuration that it became
}

// Error names who confirmed the plan.
func (e *ConfirmedError) Error() string {
	return fmt.Sprintf("the plan was confirmed by %s already and is configuration %d", e.By, e.Number)
}

// Propose makes a plan against the current state and stores it. Nothing else
// changes.
func (d *Desk) Propose(ctx context.Context, in intent.Intent) (intent.Plan, error) {
	s, err := d.state(ctx, in)
	if err != nil {
		return intent.Plan{}, fmt.Errorf("propose %s: %w", in.Kind, err)
	}
	if in.At.IsZero() {
		in.At = d.Time()
	}
	plan, err := intent.Make(s, in)
	if err != nil {
		return intent.Plan{}, err
	}
	body, err := json.Marshal(stored{Plan: plan})
	if err != nil {
		return intent.Plan{}, fmt.Errorf("encode plan: %w", err)
	}
	_, err = d.Table.Commit(ctx, provider.Create(planPrefix+plan.Digest(), body))
	if errors.Is(err, provider.ErrConflict) {
		err = nil // the same plan is there already
	}
	if err != nil {
		return intent.Plan{}, fmt.Errorf("store plan %s: %w; propose it again", plan.Digest(), err)
	}
	return plan, nil
}

// Confirm brings a plan into the chain and returns the number of the new
// configuration. It may be repeated after ErrUnknown of the platform. Errors:
// ErrUnknown of this package for a digest without a plan; intent.ErrStale; a
// *ConfirmedError; a *chain.RaceError, alone or with ErrStale, if another
// operator was first.
func (d *Desk) Confirm(ctx context.Context, digest, by string) (uint64, error) {
	row, plan, err := d.plan(ctx, digest)
	if err != nil {
		return 0, err
	}
	if plan.Number > 0 {
		return already(plan, by)
	}
	s, err := d.state(ctx, plan.Plan.Intent)
	if err != nil {
		return 0, fmt.Errorf("confirm plan %s: %w", digest, err)
	}
	if err := intent.Stale(plan.Plan, s); err != nil {
		if s.Number != plan.Plan.Number {
			err = fmt.Errorf("%w: %w", err, chain.Raced(ctx, d.Table, plan.Plan.Number, s.Number))
		}
		return d.refused(ctx, digest, by, err)
	}
	after, err := intent.Apply(&s, plan.Plan.Intent)
	if err != nil {
		return 0, fmt.Errorf("confirm plan %s: %w", digest, err)
	}
	body, err := json.Marshal(stored{Plan: plan.Plan, By: by, Number: s.Number + 1})
	if err != nil {
		return 0, fmt.Errorf("encode plan %s: %w", digest, err)
	}
	number, err := d.publisher().Publish(ctx, s.Number, after, by, why(plan.Plan.Intent),
		provider.Update(row.Key, body, row.Version))
	if err != nil {
		return d.refused(ctx, digest, by, fmt.Errorf("confirm plan %s: %w", digest, err))
	}
	return number, nil
}

// refused looks whether the very same plan was confirmed meanwhile, by this
// operator or another; if not, cause stands. An earlier Confirm whose answer
// was lost may have won the race that cause reports, so without the plan's
// row nobody can be named the loser.
func (d *Desk) refused(ctx context.Context, digest, by string, cause error) (uint64, error) {
	_, plan, err := d.plan(ctx, digest)
	if err == nil && plan.Number > 0 {
		return already(plan, by)
	}
	if err != nil && !errors.Is(cause, provider.ErrUnavailable) {
		return 0, fmt.Errorf("confirm plan %s: %w: %v, after %v; confirm it again", digest, provider.ErrUnknown, err, cause)
	}
	return 0, cause
}

func already(plan stored, by string) (uint64, error) {
	if plan.By == by {
		return plan.Number, nil
	}
	return 0, &ConfirmedError{By: plan.By, Number: plan.Number}
}

// Undo proposes to take back what a configuration changed.
func (d *Desk) Undo(ctx context.Context, number uint64, by string) (intent.Plan, error) {
	return d.Propose(ctx, intent.Intent{Kind: intent.Undo, Number: number, By: by})
}

// History returns at most limit of the newest configurations, the newest
// first, with who confirmed them and why.
func (d *Desk) History(ctx context.Context, limit int) ([]*chain.Entry, error) {
	return chain.History(ctx, d.Table, limit)
}

// pruneBatch is the most plans that one call of Prune reads, to spare the
// platform's write rate.
const pruneBatch = 100

// Prune deletes plans that were proposed before a time, confirmed or not, and
// returns how many. It starts after the digest after, empty for all, and
// returns the digest to go on with, empty at the end. A deleted plan can only
// be proposed again.
func (d *Desk) Prune(ctx context.Context, before time.Time, after string) (deleted int, next string, err error) {
	rows, err := d.Table.Range(ctx, planPrefix, planPrefix+after, pruneBatch)
	if err != nil {
		return 0, after, fmt.Errorf("list plans after %q: %w", after, err)
	}
	for _, row := range rows {
		var s stored
		if err := json.Unmarshal(row.Value, &s); err != nil {
			return deleted, next, fmt.Errorf("decode row %q: %w", row.Key, err)
		}
		if s.Plan.Intent.At.Before(before) {
			if _, err := d.Table.Commit(ctx, provider.Remove(row.Key, row.Version)); err != nil {
				return deleted, next, fmt.Errorf("delete row %q: %w", row.Key, err)
			}
			deleted++
		}
		next = row.Key[len(planPrefix):]
	}
	if len(rows) < pruneBatch {
		next = ""
	}
	return deleted, next, nil
}

// ErrUnknown is returned for a digest without a plan.
var ErrUnknown = errors.New("no such plan")

// Kept is a plan as it is kept. Number is 0 until it is confirmed.
type Kept struct {
	Plan   intent.Plan
	By     string // who confirmed it
	Number uint64 // of the configuration that it became
}

// Plan returns the plan with a digest. The error wraps ErrUnknown if there is
// none.
func (d *Desk) Plan(ctx context.Context, digest string) (Kept, error) {
	_, s, err := d.plan(ctx, digest)
	return Kept(s), err
}

func (d *Desk) plan(ctx context.Context, digest string) (provider.Row, stored, error) {
	var s stored
	row, err := d.Table.Get(ctx, planPrefix+digest)
	if errors.Is(err, provider.ErrNotFound) {
		return row, s, fmt.Errorf("%w: %q; propose the intent again", ErrUnknown, digest)
	}
	if err != nil {
		return row, s, fmt.Errorf("read plan %s: %w", digest, err)
	}
	if err := json.Unmarshal(row.Value, &s); err != nil {
		return row, s, fmt.Errorf("decode plan %s: %w", digest, err)
	}
	return row, s, nil
}

// state reads the newest configuration from the table, not from a Follower,
// which may be behind.
func (d *Desk) state(ctx context.Context, in intent.Intent) (intent.State, error) {
	s, err := d.State(ctx)
	if err != nil {
		return s, fmt.Errorf("read the state of the pool: %w", err)
	}
	newest, err := chain.Newest(ctx, d.Table)
	if err != nil {
		return s, err
	}
	s.Number, s.Configuration = newest.Number, newest.Configuration
	if in.Kind != intent.Undo {
		return s, nil
	}
	after, err := chain.Find(ctx, d.Table, in.Number)
	if errors.Is(err, provider.ErrNotFound) {
		return s, fmt.Errorf("configuration %d was never published or is not kept any more; see the history: %w", in.Number, provider.ErrNotFound)
	}
	if err != nil {
		return s, err
	}
	before := &chain.Entry{}
	if in.Number > 1 {
		if before, err = chain.Find(ctx, d.Table, in.Number-1); err != nil {
			return s, err
		}
	}
	s.Undone = &intent.Undone{Before: before.Configuration, After: after.Configuration}
	return s, nil
}

func (d *Desk) publisher() *chain.Publisher {
	if d.Publisher != nil {
		return d.Publisher
	}
	return &chain.Publisher{Table: d.Table, Now: d.Now}
}

// Time returns the time by the desk's clock.
func (d *Desk) Time() time.Time {
	if d.Now == nil {
		return time.Now().UTC()
	}
	return d.Now()
}

func why(in intent.Intent) string {
	if in.Why == "" {
		return in.String()
	}
	return fmt.Sprintf("%v: %s", in, in.Why)
}
