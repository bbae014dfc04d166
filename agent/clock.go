package agent

import (
	"crypto/rand"
	"math"
	"time"
)

// clock simulates a worker's monotonic clock, which may run fast or slow.
type clock struct {
	boot   string
	readAt time.Time // local time of the last reading
	value  time.Duration
}

// startClock returns a clock that starts now, with a new boot ID.
func startClock() clock { return clock{boot: rand.Text(), readAt: time.Now()} }

// now reads the clock. clockError is the fraction by which it has run too fast
// since the last reading.
func (c *clock) now(clockError float64) time.Duration {
	now := time.Now()
	c.value += time.Duration(math.Round(float64(now.Sub(c.readAt)) * (1 + clockError)))
	c.readAt = now
	return c.value
}

// realTime returns the real time in which the clock advances by length.
func realTime(length time.Duration, clockError float64) time.Duration {
	return max(1, time.Duration(math.Round(float64(length)/(1+clockError))))
}
