package rack

import (
	"time"

	"persimmonworks.example/persimmonworks/worker"
)

// clockReading is a lower bound on a worker's clock: at the local time at, the
// worker's clock showed clock or later, because the report was created before
// it arrived.
type clockReading struct {
	boot  string
	clock time.Duration
	at    time.Time
}

// lowerBound returns a time that the worker's clock has certainly reached by
// now, assuming that it runs slow by worker.MaxClockDrift.
func (c clockReading) lowerBound(now time.Time) time.Duration {
	passed := float64(now.Sub(c.at))
	return c.clock + time.Duration(passed*(1-worker.MaxClockDrift))
}

// observeClock updates the clock reading from a report that arrived now. Of two
// readings from the same boot it keeps the one with the higher lower bound, as
// a report may have been delayed for a long time.
func (m *member) observeClock(report worker.Report, now time.Time) {
	latest := clockReading{boot: report.BootID, clock: report.Clock, at: now}
	if report.BootID != m.clock.boot {
		m.clock, m.leaseEnd = latest, 0
	} else if latest.clock > m.clock.lowerBound(now) {
		m.clock = latest
	}
	// Leases granted by an earlier owner may last longer than those granted here.
	m.leaseEnd = max(m.leaseEnd, report.LeaseEnd)
}

// certainlyExpired reports whether every lease on the worker has expired and no
// message sent to it can still take effect.
//
// The NotAfter of a message is at most one lease after the time that the
// worker's clock showed when the message was sent. Therefore everything that
// an earlier owner sent before previousOwnerEnd has expired once the slowest
// permitted clock has advanced by one lease.
func (r *Rack) certainlyExpired(m *member, now time.Time) bool {
	if m.clock.boot != "" {
		return m.clock.lowerBound(now) > m.leaseEnd
	}
	if r.previousOwnerEnd.IsZero() {
		return false
	}
	longestLease := time.Duration(float64(r.Lease) / (1 - worker.MaxClockDrift))
	return now.After(r.previousOwnerEnd.Add(r.MaxTransit + longestLease))
}
