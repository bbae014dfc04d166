package agent

import (
	"crypto/rand"
	"math"
	"time"
)

// clock is a worker's monotonic clock, which may run fast or slow.
type clock struct {
	boot  string
	read  time.Time // when it was last read
	shown time.Duration
}

// startClock returns the clock of a worker that starts now.
func startClock() clock { return clock{boot: rand.Text(), read: time.Now()} }

// now reads the clock. clockError is the fraction by which it has been too
// fast since it was last read.
func (c *clock) now(clockError float64) time.Duration {
	now := time.Now()
	c.shown += time.Duration(math.Round(float64(now.Sub(c.read)) * (1 + clockError)))
	c.read = now
	return c.shown
}

// realTime returns how long the clock takes to count off a length.
func realTime(length time.Duration, clockError float64) time.Duration {
	return max(1, time.Duration(math.Round(float64(length)/(1+clockError))))
}
