// Package objective works out how long a job may take and when a refused one should come
// back. Its functions are pure: times come in and go out as durations.
//
// Usage:
//
//	limit := objective.Of(job)
//	left := objective.CriticalPath(job, func(step uint32) bool { return !done(step) })
//	retry := objective.ReturnAfter(job, rand.Float64())
package objective

import (
	"time"

	"persimmonworks.example/persimmonworks/wire"
)

const (
	estimateMargin  = 1.25
	typicalAdvice   = 30   // workers in a typical request for advice
	returnShare     = 0.12 // of its objective that a refused job may lose until it comes back
	minReturn       = time.Second
	maxReturn       = 4 * time.Second
	returnSpread    = 0.5 // width of the range over which returns are spread, as a share of their mean
	returnSpreadLow = 1 - returnSpread/2
)

// Of returns how long the job may take to be on time, its waits included, by the caller's
// estimates.
func Of(job *wire.DocketAccepted) time.Duration {
	return Given(job, CriticalPath(job, func(uint32) bool { return true }))
}

// Given returns the same if the longest chain of work of the job takes the given time.
func Given(job *wire.DocketAccepted, work time.Duration) time.Duration {
	q := job.GetQueue()
	if a := q.GetAdvice(); a != nil {
		call := time.Duration((a.GetDecisionMs() + typicalAdvice*a.GetPerWorkerMs()) * float64(time.Millisecond))
		work += time.Duration(len(job.GetSteps())) * call
	}
	return time.Duration(max(1, q.GetDilation())*float64(work)) + time.Duration(q.GetTargetMs())*time.Millisecond
}

// CriticalPath returns the longest chain of estimated work over the steps of one
// occurrence that pass the filter.
func CriticalPath(job *wire.DocketAccepted, counts func(step uint32) bool) time.Duration {
	return Chain(job, func(step uint32) time.Duration {
		if !counts(step) {
			return 0
		}
		return time.Duration(float64(job.GetSteps()[step].GetEstimateMs())*estimateMargin) * time.Millisecond
	})
}

// Chain returns the longest chain of work over the steps of one occurrence, each of which
// takes the given time.
func Chain(job *wire.DocketAccepted, takes func(step uint32) time.Duration) time.Duration {
	steps := job.GetSteps()
	ends := make([]time.Duration, len(steps))
	longest := time.Duration(0)
	for i, s := range steps {
		for _, before := range s.GetAfter() {
			ends[i] = max(ends[i], ends[before])
		}
		ends[i] += takes(uint32(i))
		longest = max(longest, ends[i])
	}
	return longest
}

// MeanReturn returns what the caller of a job that is refused loses on average until it is
// back.
func MeanReturn(job *wire.DocketAccepted) time.Duration {
	return max(minReturn, min(time.Duration(returnShare*float64(Of(job))), maxReturn))
}

// ReturnAfter returns when the caller of a job that was refused during an outage should
// come back. It answers outages of some seconds, whose end is not known: a caller has a
// few tries, so one whose job takes long spends them slowly, and one whose job is short
// comes back while an answer is still of use. Spread, from 0 to 1, keeps the callers from
// coming back all at once; the caller draws it at random.
func ReturnAfter(job *wire.DocketAccepted, spread float64) time.Duration {
	mean := MeanReturn(job)
	if mean <= minReturn {
		return minReturn // callers get whole seconds, rounded up: a second more is too long for a short job
	}
	return time.Duration((returnSpreadLow + returnSpread*spread) * float64(mean))
}
