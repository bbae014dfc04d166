package dispatch

import (
	"time"

	"persimmonworks.example/persimmonworks/job"
)

// commitBurst is the capacity of the token bucket in commits.
const commitBurst = 10

// rateLimiter is a token bucket that limits the commits of a process, so that all
// processes together stay within the write budget of the platform, whatever the
// number of job shards and state transitions: fewer commits carry more entries
// each. The zero value is a full bucket.
type rateLimiter struct {
	tokens     float64 // commits allowed now; negative after awaited commits
	lastRefill time.Time
}

// allow reports whether a commit may start now, and takes a token if so. A commit
// that is awaited is always allowed; it may overdraw the bucket by up to
// commitBurst, which delays the commits that are not awaited.
func (l *rateLimiter) allow(rate float64, awaited bool, now time.Time) bool {
	if l.lastRefill.IsZero() {
		l.tokens = commitBurst
	} else {
		l.tokens = min(commitBurst, l.tokens+rate*now.Sub(l.lastRefill).Seconds())
	}
	l.lastRefill = now
	if l.tokens < 1 && !awaited {
		return false
	}
	l.tokens = max(l.tokens-1, -commitBurst)
	return true
}

// unlimitedRate is the rate used without a limit. It is high enough that only
// commitInterval limits the commits of a job shard.
const unlimitedRate = 1e6

// commitRate returns the current limit in commits per second.
func (d *Dispatcher) commitRate() float64 {
	if d.CommitRate == nil {
		return unlimitedRate
	}
	return d.CommitRate()
}

// hasAwaitedEntry reports whether a caller or the start of a task waits for one
// of the pending entries.
func (s *shard) hasAwaitedEntry() bool {
	for _, p := range s.pending {
		if p.reply != nil || p.urgent || p.entry.Kind == job.EntryIntent || p.entry.Kind == job.EntryRetry {
			return true
		}
	}
	return false
}
