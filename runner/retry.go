package runner

import (
	"math/rand/v2"
	"time"
)

const (
	retryShare   = 10 // one retry for so many first attempts
	retryReserve = 10 // retries that may be saved up

	firstRetryDelay = 20 * time.Millisecond
	maxRetryDelay   = 2 * time.Second
)

// RetryBudget bounds retries to a tenth of the first attempts, so that
// retries never multiply an overload. The zero value allows none until first
// attempts have earned them.
type RetryBudget struct {
	earned int // in tenths of a retry
}

// First counts a first attempt.
func (b *RetryBudget) First() { b.earned = min(b.earned+1, retryShare*retryReserve) }

// Take takes one retry from the budget and reports whether there was one.
func (b *RetryBudget) Take() bool {
	if b.earned < retryShare {
		return false
	}
	b.earned -= retryShare
	return true
}

// RetryAllowed reports whether an attempt that ended with the outcome may be
// repeated at all. A non-idempotent request that may have reached a runner is
// never sent again; one of which certainly nothing was sent has not had its
// first send yet.
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

// RetryDelay returns the time to wait before the retry-th retry, counted from
// 1: anything up to an exponential step (full jitter), at most 2 s.
func RetryDelay(retry int, rng *rand.Rand) time.Duration {
	step := min(maxRetryDelay, firstRetryDelay<<min(max(retry-1, 0), 10))
	return time.Duration(rng.Int64N(int64(step)) + 1)
}
