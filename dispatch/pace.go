package dispatch

import (
	"time"

	"persimmonworks.example/persimmonworks/job"
)

// commitBurst is the number of commits that may go at once after a quiet time.
const commitBurst = 10

// commitPace bounds the commits of a process, so that those of all processes
// together stay within the platform's budget however many job shards and
// transitions there are: with less room each commit carries more. The zero
// value is full.
type commitPace struct {
	room  float64 // commits that may go now
	since time.Time
}

// take reports whether a commit may go now. One that is awaited always goes;
// what it takes beyond the room is missing for the others.
func (c *commitPace) take(rate float64, awaited bool, now time.Time) bool {
	if c.since.IsZero() {
		c.room = commitBurst
	} else {
		c.room = min(commitBurst, c.room+rate*now.Sub(c.since).Seconds())
	}
	c.since = now
	if c.room < 1 && !awaited {
		return false
	}
	c.room = max(c.room-1, -commitBurst)
	return true
}

// unboundedRate is the rate without a bound: each job shard commits as soon as
// its interval has passed.
const unboundedRate = 1e6

func (d *Desk) commitRate() float64 {
	if d.CommitRate == nil {
		return unboundedRate
	}
	return d.CommitRate()
}

// awaited reports whether a caller waits for one of the pending entries, or the
// start of a task.
func (s *shard) awaited() bool {
	for _, p := range s.pending {
		if p.done != nil || p.urgent || p.entry.Kind == job.EntryIntent || p.entry.Kind == job.EntryRetry {
			return true
		}
	}
	return false
}
