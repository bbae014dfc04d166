// Package confirmation stores proposed plans and publishes confirmed ones as
// new configurations of the chain.
//
// A PlanStore stores plans in the platform's table and confirms them by digest. The
// confirmation and the new configuration are written in one Commit, so exactly
// one of several concurrent operators succeeds and the others get an error that
// names the winner. A plan is refused as stale if a part of the state that it
// depends on has changed since it was made (see package intent).
//
// Usage:
//
//	store := confirmation.PlanStore{Table: table, State: current}
//	plan, err := store.Propose(ctx, intent.Intent{Kind: intent.DrainRack, Target: "r1", By: "ivana"})
//	fmt.Print(plan.Text())
//	number, err := store.Confirm(ctx, plan.Digest(), "ivana")
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

// PlanStore stores and confirms plans. It holds no state between calls and is safe
// for concurrent use.
type PlanStore struct {
	Table provider.Table
	// State returns the current hosts, attempts and queued work. The PlanStore adds
	// the configuration, which it reads from the chain.
	State     func(ctx context.Context) (intent.State, error)
	Publisher *chain.Publisher // nil means a publisher on Table
	Now       func() time.Time // nil means time.Now
}

const planPrefix = "intent/"

// stored is the content of a plan's row. Number is 0 until the plan is
// confirmed.
type stored struct {
	Plan   intent.Plan `json:"plan"`
	By     string      `json:"confirmed-by,omitempty"`
	Number uint64      `json:"confirmed-as,omitempty"`
}

// ConfirmedError is returned by Confirm if another operator has already
// confirmed the plan.
type ConfirmedError struct {
	By     string
	Number uint64 // of the configuration that the plan was published as
}

// Error names the operator who confirmed the plan and the configuration.
func (e *ConfirmedError) Error() string {
	return fmt.Sprintf("the plan was confirmed by %s already and is configuration %d", e.By, e.Number)
}

// Propose makes a plan against the current state and stores it. It does not
// change the configuration.
func (store *PlanStore) Propose(ctx context.Context, in intent.Intent) (intent.Plan, error) {
	s, err := store.state(ctx, in)
	if err != nil {
		return intent.Plan{}, fmt.Errorf("propose %s: %w", in.Kind, err)
	}
	if in.At.IsZero() {
		in.At = store.CurrentTime()
	}
	plan, err := intent.NewPlan(s, in)
	if err != nil {
		return intent.Plan{}, err
	}
	body, err := json.Marshal(stored{Plan: plan})
	if err != nil {
		return intent.Plan{}, fmt.Errorf("encode plan: %w", err)
	}
	_, err = store.Table.Commit(ctx, provider.Create(planPrefix+plan.Digest(), body))
	if errors.Is(err, provider.ErrConflict) {
		err = nil // the same plan is already stored
	}
	if err != nil {
		return intent.Plan{}, fmt.Errorf("store plan %s: %w; propose it again", plan.Digest(), err)
	}
	return plan, nil
}

// Confirm publishes the configuration of a plan and returns its number. Calling
// it again with the same operator is safe, and is how to learn the outcome
// after provider.ErrOutcomeUnknown.
//
// Confirm returns ErrPlanNotFound if no plan has the digest, intent.ErrStale if the
// plan is stale, a *ConfirmedError if another operator has confirmed the same
// plan, and a *chain.RaceError, alone or joined with intent.ErrStale, if
// another configuration was published first.
func (store *PlanStore) Confirm(ctx context.Context, digest, by string) (uint64, error) {
	row, plan, err := store.plan(ctx, digest)
	if err != nil {
		return 0, err
	}
	if plan.Number > 0 {
		return confirmedResult(plan, by)
	}
	s, err := store.state(ctx, plan.Plan.Intent)
	if err != nil {
		return 0, fmt.Errorf("confirm plan %s: %w", digest, err)
	}
	if err := intent.CheckStale(plan.Plan, s); err != nil {
		if s.Number != plan.Plan.Number {
			err = fmt.Errorf("%w: %w", err, chain.NewRaceError(ctx, store.Table, plan.Plan.Number, s.Number))
		}
		return store.resolveFailure(ctx, digest, by, err)
	}
	after, err := intent.Apply(&s, plan.Plan.Intent)
	if err != nil {
		return 0, fmt.Errorf("confirm plan %s: %w", digest, err)
	}
	body, err := json.Marshal(stored{Plan: plan.Plan, By: by, Number: s.Number + 1})
	if err != nil {
		return 0, fmt.Errorf("encode plan %s: %w", digest, err)
	}
	number, err := store.publisher().Publish(ctx, s.Number, after, by, reason(plan.Plan.Intent),
		provider.Update(row.Key, body, row.Version))
	if err != nil {
		return store.resolveFailure(ctx, digest, by, fmt.Errorf("confirm plan %s: %w", digest, err))
	}
	return number, nil
}

// resolveFailure returns the result of a confirmation that failed with cause. If
// the same plan has been confirmed in the meantime, by any operator, it
// reports that instead of cause. The winner of the race that cause reports may
// be an earlier Confirm of this plan whose response was lost, so the outcome is
// unknown if the plan's row cannot be read.
func (store *PlanStore) resolveFailure(ctx context.Context, digest, by string, cause error) (uint64, error) {
	_, plan, err := store.plan(ctx, digest)
	if err == nil && plan.Number > 0 {
		return confirmedResult(plan, by)
	}
	if err != nil && !errors.Is(cause, provider.ErrUnavailable) {
		return 0, fmt.Errorf("confirm plan %s: %w: %v, after %v; confirm it again", digest, provider.ErrOutcomeUnknown, err, cause)
	}
	return 0, cause
}

func confirmedResult(plan stored, by string) (uint64, error) {
	if plan.By == by {
		return plan.Number, nil
	}
	return 0, &ConfirmedError{By: plan.By, Number: plan.Number}
}

// Undo proposes to revert the changes that a configuration made.
func (store *PlanStore) Undo(ctx context.Context, number uint64, by string) (intent.Plan, error) {
	return store.Propose(ctx, intent.Intent{Kind: intent.Undo, Number: number, By: by})
}

// History returns up to limit of the newest configurations, newest first. Each
// entry names the operator who confirmed it and the reason.
func (store *PlanStore) History(ctx context.Context, limit int) ([]*chain.Entry, error) {
	return chain.History(ctx, store.Table, limit)
}

// pruneBatch limits the plans that one call of Prune reads and so deletes, since
// the platform limits the rate of writes.
const pruneBatch = 100

// Prune deletes plans that were proposed before the given time, whether or not
// they were confirmed, and returns how many. It reads one batch of plans whose
// digests follow after; an empty after starts with the first. next is the value
// of after for the next call, empty once all plans have been read. A deleted
// plan cannot be confirmed; its intent has to be proposed again.
func (store *PlanStore) Prune(ctx context.Context, before time.Time, after string) (deleted int, next string, err error) {
	rows, err := store.Table.Range(ctx, planPrefix, planPrefix+after, pruneBatch)
	if err != nil {
		return 0, after, fmt.Errorf("list plans after %q: %w", after, err)
	}
	for _, row := range rows {
		var s stored
		if err := json.Unmarshal(row.Value, &s); err != nil {
			return deleted, next, fmt.Errorf("decode row %q: %w", row.Key, err)
		}
		if s.Plan.Intent.At.Before(before) {
			if _, err := store.Table.Commit(ctx, provider.Remove(row.Key, row.Version)); err != nil {
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

// ErrPlanNotFound is returned if no stored plan has the given digest.
var ErrPlanNotFound = errors.New("no such plan")

// StoredPlan is a stored plan. Number is 0 until it is confirmed.
type StoredPlan struct {
	Plan   intent.Plan
	By     string // operator who confirmed it
	Number uint64 // of the configuration that it was published as
}

// Plan returns the plan with the given digest. The error wraps ErrPlanNotFound if
// there is none.
func (store *PlanStore) Plan(ctx context.Context, digest string) (StoredPlan, error) {
	_, s, err := store.plan(ctx, digest)
	return StoredPlan(s), err
}

func (store *PlanStore) plan(ctx context.Context, digest string) (provider.Row, stored, error) {
	var s stored
	row, err := store.Table.Get(ctx, planPrefix+digest)
	if errors.Is(err, provider.ErrNotFound) {
		return row, s, fmt.Errorf("%w: %q; propose the intent again", ErrPlanNotFound, digest)
	}
	if err != nil {
		return row, s, fmt.Errorf("read plan %s: %w", digest, err)
	}
	if err := json.Unmarshal(row.Value, &s); err != nil {
		return row, s, fmt.Errorf("decode plan %s: %w", digest, err)
	}
	return row, s, nil
}

// state returns the current state with the newest configuration. It reads that
// from the table because a chain.Follower may be behind.
func (store *PlanStore) state(ctx context.Context, in intent.Intent) (intent.State, error) {
	s, err := store.State(ctx)
	if err != nil {
		return s, fmt.Errorf("read the state of the pool: %w", err)
	}
	newest, err := chain.Newest(ctx, store.Table)
	if err != nil {
		return s, err
	}
	s.Number, s.Configuration = newest.Number, newest.Configuration
	if in.Kind != intent.Undo {
		return s, nil
	}
	after, err := chain.Find(ctx, store.Table, in.Number)
	if errors.Is(err, provider.ErrNotFound) {
		return s, fmt.Errorf("configuration %d was never published or is not kept any more; see the history: %w", in.Number, provider.ErrNotFound)
	}
	if err != nil {
		return s, err
	}
	before := &chain.Entry{}
	if in.Number > 1 {
		if before, err = chain.Find(ctx, store.Table, in.Number-1); err != nil {
			return s, err
		}
	}
	s.Undone = &intent.UndoneChange{Before: before.Configuration, After: after.Configuration}
	return s, nil
}

func (store *PlanStore) publisher() *chain.Publisher {
	if store.Publisher != nil {
		return store.Publisher
	}
	return &chain.Publisher{Table: store.Table, Now: store.Now}
}

// CurrentTime returns the current time of the PlanStore's clock.
func (store *PlanStore) CurrentTime() time.Time {
	if store.Now == nil {
		return time.Now().UTC()
	}
	return store.Now()
}

func reason(in intent.Intent) string {
	if in.Why == "" {
		return in.String()
	}
	return fmt.Sprintf("%v: %s", in, in.Why)
}
