package runner

import (
	"math/rand/v2"
	"time"
)

const (
	attemptsPerRetry = 10 // first attempts that earn one retry
	maxSavedRetries  = 10 // limit of unused retries in the budget

	firstRetryDelay = 20 * time.Millisecond
	maxRetryDelay   = 2 * time.Second
)

// RetryBudget limits retries to a tenth of the first attempts, so that retries
// cannot multiply an overload. The zero value allows no retry until enough first
// attempts have been counted.
type RetryBudget struct {
	credit int // in units of 1/attemptsPerRetry of a retry
}

// AddAttempt counts a first attempt, which adds a tenth of a retry to the budget.
func (b *RetryBudget) AddAttempt() { b.credit = min(b.credit+1, attemptsPerRetry*maxSavedRetries) }

// TakeRetry removes one retry from the budget and reports whether one was available.
func (b *RetryBudget) TakeRetry() bool {
	if b.credit < attemptsPerRetry {
		return false
	}
	b.credit -= attemptsPerRetry
	return true
}

// RetryAllowed reports whether a request whose attempt ended with the outcome may
// be sent again. A non-idempotent request that may have reached a runner must not
// be; after NotRun it may, because nothing was sent.
func RetryAllowed(nonIdempotent bool, outcome Outcome) bool {
	switch outcome {
	case NotRun:
		return true
	case Unknown, Failed:
		return !nonIdempotent
	default:
		return false
	}
}

// RetryDelay returns the delay before the given retry, counted from 1. It is
// random up to a step that doubles with each retry (full jitter), at most 2 s.
func RetryDelay(retry int, rng *rand.Rand) time.Duration {
	step := min(maxRetryDelay, firstRetryDelay<<min(max(retry-1, 0), 10))
	return time.Duration(rng.Int64N(int64(step)) + 1)
}
