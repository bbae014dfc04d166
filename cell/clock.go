package cell

import "time"

// fresh reports whether less than limit has passed since an earlier time. The steady
// clock stands still while the host is suspended, so the time of day has to agree.
func fresh(since, now time.Time, limit time.Duration) bool {
	return within(now.Sub(since), now.Round(0).Sub(since.Round(0)), limit)
}

// within reports whether the time that passed on both clocks is below the limit. A time
// of day that jumps forward only costs a check too many, one that jumps backward
// leaves the decision to the steady clock.
func within(steady, timeOfDay, limit time.Duration) bool {
	return steady < limit && timeOfDay < limit
}
