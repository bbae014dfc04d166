package estimate

import "time"

const (
	firstLevel  = time.Second // attained service up to which a task is on level 0
	levelGrowth = 4           // ratio of the bounds of successive levels
	maxLevel    = 10          // 12 days and more
)

// Level returns the level of a task that has run for the given time, 0 for
// the shortest. Of two tasks the one on the lower level goes first: this is
// least attained service with few levels, so that tasks do not take turns all
// the time.
func Level(attained time.Duration) int {
	bound := firstLevel
	for level := range maxLevel {
		if attained <= bound {
			return level
		}
		bound *= levelGrowth
	}
	return maxLevel
}

// IsLong reports whether a task counts as long work: its expected run time,
// or if that is unknown or exceeded the time that it has attained, is over the
// limit. A task that is not known to be long counts as short until it has
// shown otherwise.
func IsLong(expected, attained, limit time.Duration) bool {
	return max(expected, attained) > limit
}
