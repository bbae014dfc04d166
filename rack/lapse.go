package rack

import (
	"time"

	"persimmonworks.example/persimmonworks/worker"
)

// reading is what is known of a worker's clock: it showed at least clock when
// this process's clock showed at, since the report was made before it arrived.
type reading struct {
	boot  string
	clock time.Duration
	at    time.Time
}

// atLeast returns a time that the worker's clock has certainly reached by now.
func (c reading) atLeast(now time.Time) time.Duration {
	passed := float64(now.Sub(c.at))
	return c.clock + time.Duration(passed*(1-worker.MaxClockDrift))
}

// read takes in the clock of a report that arrived now. Of two readings of one
// boot it keeps the one that tells more, as a report may have been under way
// for long.
func (m *member) read(report worker.Report, now time.Time) {
	fresh := reading{boot: report.Boot, clock: report.Clock, at: now}
	if report.Boot != m.clock.boot {
		m.clock, m.until = fresh, 0
	} else if fresh.clock > m.clock.atLeast(now) {
		m.clock = fresh
	}
	// Leases of an earlier owner may last longer than what this one has sent.
	m.until = max(m.until, report.Until)
}

// lapsed reports whether no lease on the worker can be in force any more, and
// nothing that it was sent can have an effect.
//
// A NotAfter is at most the lease above what the worker's clock showed when
// the message was sent. So all that an earlier owner sent before waitOutFrom
// is void once a slow clock has counted off one lease.
func (r *Rack) lapsed(m *member, now time.Time) bool {
	if m.clock.boot != "" {
		return m.clock.atLeast(now) > m.until
	}
	if r.waitOutFrom.IsZero() {
		return false
	}
	longest := time.Duration(float64(r.Lease) / (1 - worker.MaxClockDrift))
	return now.After(r.waitOutFrom.Add(r.Transit + longest))
}
