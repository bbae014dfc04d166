// Package upkeep deletes what the platform need not keep any more: old
// configurations of the chain, plans that nobody will confirm, finished jobs and old
// accounts. It also merges the many records of one period of the accounts.
//
// One process does it for all, the one for which Mine is true. Two that do it
// at once, as during a takeover, do no harm: every deletion names the version
// of its row.
//
// Usage:
//
//	u := upkeep.Upkeep{Publisher: publisher, Plans: desk, Mine: ownsFirstShard, Log: log}
//	group.Go(func() error { return u.Run(ctx) })
package upkeep

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"persimmonworks.example/persimmonworks/chain"
	"persimmonworks.example/persimmonworks/confirmation"
	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/usage"
)

const (
	every = 10 * time.Minute
	// kept is about a day of configurations at 4,800 a day; one that is gone
	// cannot be undone any more.
	kept    = 5000
	planAge = 7 * 24 * time.Hour
	// Accounts are merged once no process adds to their period any more, and
	// kept for as long as a period can be asked for.
	mergeAge = 15 * time.Minute
	usageAge = 41 * 24 * time.Hour
	// Results are kept over a long weekend.
	jobAge = 7 * 24 * time.Hour
	// An idempotency key of a request may be used anew after that.
	requestAge  = 7 * 24 * time.Hour
	expiryPages = 200 // in one call
	mergePages  = 10  // of 200 rows in one call
)

// Expirer deletes a page of what was kept before a time.
type Expirer interface {
	Expire(ctx context.Context, before time.Time) (int, error)
}

// Upkeep deletes old rows. Set the exported fields before Run.
type Upkeep struct {
	Publisher *chain.Publisher
	Plans     *confirmation.Desk
	Accounts  *usage.Archive
	// Jobs is the archive of finished jobs; nil for none.
	Jobs Expirer
	// Requests holds the intents of keyed requests; nil for none.
	Requests Expirer
	// Mine reports whether this process is the one to do it.
	Mine  func(ctx context.Context) bool
	Log   event.Emitter
	Every time.Duration // 0 is 10 min
	Kept  uint64        // configurations; 0 is 5,000

	after  string // where the next Prune of plans goes on
	merged string // where the next merge goes on
}

// Run deletes at a jittered pace until ctx ends.
func (u *Upkeep) Run(ctx context.Context) error {
	pace := u.Every
	if pace == 0 {
		pace = every
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pace/2 + rand.N(pace)):
		}
		if !u.Mine(ctx) {
			continue
		}
		done, err := u.Once(ctx)
		if err != nil && ctx.Err() == nil {
			u.Log.Emit(event.UpkeepFailed, "error", err)
		}
		if done != (Done{}) {
			u.Log.Emit(event.UpkeepDone, "configurations", done.Configurations, "plans", done.Plans,
				"merged", done.Merged, "accounts", done.Accounts, "jobs", done.Jobs, "requests", done.Requests)
		}
	}
}

// Done counts what one call of Once did.
type Done struct {
	Configurations int // deleted
	Plans          int // deleted
	Merged         int // records of accounts that were replaced
	Accounts       int // records of accounts that were deleted
	Jobs           int // batches of finished jobs that were deleted
	Requests       int // intents of requests that were deleted
}

// Once deletes and merges one batch of each kind.
func (u *Upkeep) Once(ctx context.Context) (d Done, err error) {
	number := u.Kept
	if number == 0 {
		number = kept
	}
	now := u.Plans.Time()
	var errs [6]error
	d.Configurations, errs[0] = u.Publisher.Compact(ctx, number)
	d.Plans, u.after, errs[1] = u.Plans.Prune(ctx, now.Add(-planAge), u.after)
	d.Merged, errs[2] = u.merge(ctx, now.Add(-mergeAge))
	d.Accounts, errs[3] = u.Accounts.Prune(ctx, now.Add(-usageAge))
	d.Jobs, errs[4] = expire(ctx, u.Jobs, now.Add(-jobAge))
	d.Requests, errs[5] = expire(ctx, u.Requests, now.Add(-requestAge))
	return d, errors.Join(errs[:]...)
}

func (u *Upkeep) merge(ctx context.Context, before time.Time) (merged int, err error) {
	for range mergePages {
		var n int
		u.merged, n, err = u.Accounts.Merge(ctx, u.merged, before)
		merged += n
		if err != nil || u.merged == "" {
			return merged, err
		}
	}
	return merged, nil
}

// expire deletes page after page, up to a bound; x may be nil.
func expire(ctx context.Context, x Expirer, before time.Time) (expired int, err error) {
	if x == nil {
		return 0, nil
	}
	for range expiryPages {
		n, err := x.Expire(ctx, before)
		expired += n
		if err != nil || n == 0 {
			return expired, err
		}
	}
	return expired, nil
}
