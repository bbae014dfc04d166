// Package upkeep deletes data that the platform no longer needs to keep: old
// configurations of the chain, plans that were not confirmed in time, finished
// jobs, intents of requests, and old usage records. It also merges the usage
// records of each period into one.
//
// Only the process for which Responsible returns true does this work. If two processes
// do it at the same time, as during a takeover, no harm results, because every
// deletion specifies the version of its row.
//
// Usage:
//
//	u := upkeep.Upkeep{Publisher: publisher, Plans: plans, Responsible: ownsFirstShard, Log: log}
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
	defaultInterval = 10 * time.Minute
	// defaultKept is about one day of configurations at a rate of 4,800 a day.
	// A configuration that was deleted can no longer be undone.
	defaultKept = 5000
	planAge     = 7 * 24 * time.Hour
	// Usage records are merged after no process adds to their period any more,
	// and kept for as long as a period can be queried.
	mergeAge = 15 * time.Minute
	usageAge = 41 * 24 * time.Hour
	// Results remain available over a long weekend.
	jobAge = 7 * 24 * time.Hour
	// After this time the idempotency key of a request may be reused.
	requestAge  = 7 * 24 * time.Hour
	expiryPages = 200 // pages per call of expire
	mergePages  = 10  // pages of 200 rows per call of merge
)

// Expirer deletes one page of the entries stored before a time and returns the
// number deleted.
type Expirer interface {
	Expire(ctx context.Context, before time.Time) (int, error)
}

// Upkeep deletes old data. Set the exported fields before Run.
type Upkeep struct {
	Publisher *chain.Publisher
	Plans     *confirmation.PlanStore
	Accounts  *usage.Archive
	// Jobs is the archive of finished jobs. It may be nil.
	Jobs Expirer
	// Requests holds the intents of requests with an idempotency key. It may be
	// nil.
	Requests Expirer
	// Responsible reports whether this process is responsible for upkeep.
	Responsible        func(ctx context.Context) bool
	Log                event.Emitter
	Interval           time.Duration // mean interval between runs; 0 means 10 min
	KeepConfigurations uint64        // number of configurations to keep; 0 means 5,000

	plansCursor string // position at which the next Prune of plans continues
	mergeCursor string // position at which the next merge continues
}

// Run calls RunOnce at jittered intervals until ctx ends, whenever Responsible returns
// true.
func (u *Upkeep) Run(ctx context.Context) error {
	interval := u.Interval
	if interval == 0 {
		interval = defaultInterval
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(interval/2 + rand.N(interval)):
		}
		if !u.Responsible(ctx) {
			continue
		}
		done, err := u.RunOnce(ctx)
		if err != nil && ctx.Err() == nil {
			u.Log.Emit(event.UpkeepFailed, "error", err)
		}
		if done != (Counts{}) {
			u.Log.Emit(event.UpkeepDone, "configurations", done.Configurations, "plans", done.Plans,
				"merged", done.Merged, "accounts", done.Accounts, "jobs", done.Jobs, "requests", done.Requests)
		}
	}
}

// Counts holds the counts of one call of RunOnce.
type Counts struct {
	Configurations int // configurations deleted
	Plans          int // plans deleted
	Merged         int // usage records replaced by merged ones
	Accounts       int // usage records deleted
	Jobs           int // batches of finished jobs deleted
	Requests       int // request intents deleted
}

// RunOnce deletes a bounded number of entries of each kind and merges usage
// records. An error of one kind does not prevent the others.
func (u *Upkeep) RunOnce(ctx context.Context) (d Counts, err error) {
	number := u.KeepConfigurations
	if number == 0 {
		number = defaultKept
	}
	now := u.Plans.CurrentTime()
	var errs [6]error
	d.Configurations, errs[0] = u.Publisher.Compact(ctx, number)
	d.Plans, u.plansCursor, errs[1] = u.Plans.Prune(ctx, now.Add(-planAge), u.plansCursor)
	d.Merged, errs[2] = u.merge(ctx, now.Add(-mergeAge))
	d.Accounts, errs[3] = u.Accounts.Prune(ctx, now.Add(-usageAge))
	d.Jobs, errs[4] = expire(ctx, u.Jobs, now.Add(-jobAge))
	d.Requests, errs[5] = expire(ctx, u.Requests, now.Add(-requestAge))
	return d, errors.Join(errs[:]...)
}

// merge merges up to mergePages pages of usage records and returns the number
// of records replaced.
func (u *Upkeep) merge(ctx context.Context, before time.Time) (merged int, err error) {
	for range mergePages {
		var n int
		u.mergeCursor, n, err = u.Accounts.Merge(ctx, u.mergeCursor, before)
		merged += n
		if err != nil || u.mergeCursor == "" {
			return merged, err
		}
	}
	return merged, nil
}

// expire deletes up to expiryPages pages. x may be nil.
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
