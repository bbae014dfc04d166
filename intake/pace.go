package intake

import "time"

const (
	lateMost  = 250 * time.Millisecond // twice the period in which hosts share their processors
	lateLeast = 125 * time.Millisecond

	gapFirst = 250 * time.Millisecond // below the time between two calls of an ordinary client
	gapLeast = 100 * time.Millisecond
	gapMost  = time.Second
)

// Pace returns the least time between two calls of a connection, 0 for none, given that of
// before and how late the process runs what it has planned. A process that runs late has more
// to do than processor time, and its leases and its workers wait with the calls. Ordinary
// clients pause for longer between two calls; those that never pause make room.
func Pace(gap, late time.Duration) time.Duration {
	switch {
	case late > lateMost:
		return min(gapMost, max(gapFirst, 2*gap))
	case late > lateLeast:
		return gap
	case gap <= gapLeast:
		return 0
	}
	return gap - gap/16
}
