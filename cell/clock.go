package cell

import "time"

// fresh reports whether less than limit has passed since an earlier time.
func fresh(since, now time.Time, limit time.Duration) bool {
	return elapsed(steadyAndTimeOfDay(since, now)) < limit
}

// steadyAndTimeOfDay returns how much time has passed on both clocks.
func steadyAndTimeOfDay(since, now time.Time) (steady, timeOfDay time.Duration) {
	return now.Sub(since), now.Round(0).Sub(since.Round(0))
}

// elapsed returns how much time may have passed. The steady clock stands still while the
// host is suspended, so the longer time counts: a time of day that jumps forward only
// shortens what rests on it, one that jumps backward leaves the decision to the steady clock.
func elapsed(steady, timeOfDay time.Duration) time.Duration { return max(steady, timeOfDay) }
