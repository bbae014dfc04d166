package estimate

import "time"

const (
	firstLevelBound = time.Second // upper bound of level 0
	levelGrowth     = 4           // ratio of the upper bounds of successive levels
	maxLevel        = 10          // holds run times above 262,144 s, about 3 days
)

// Level returns the level of a task that has run for the given time, 0 being
// the lowest. Of two tasks the one on the lower level goes first. This is
// least-attained-service scheduling; there are few levels, so that tasks do not
// preempt each other continually.
func Level(attained time.Duration) int {
	bound := firstLevelBound
	for level := range maxLevel {
		if attained <= bound {
			return level
		}
		bound *= levelGrowth
	}
	return maxLevel
}

// IsLong reports whether a task counts as long: its expected run time, or the
// time that it has run if that is larger, exceeds the limit. Expected is zero
// if unknown, so that an unknown task counts as short until it has run for the
// limit.
func IsLong(expected, attained, limit time.Duration) bool {
	return max(expected, attained) > limit
}
