package rack

import "time"

// An early Sync is sent between the regular ones to learn soon that an attempt
// has ended. The interval between early Syncs is a quarter of the attempt's
// age, so the end of an attempt is known after at most a quarter more of its
// run time. The interval is derived from the age and not from the estimated
// run time, because estimates are often far off. Since it grows with the age,
// an attempt costs at most about 14 early Syncs.
const (
	minSyncInterval   = 100 * time.Millisecond // between Syncs that carry no new requests
	earlySyncDivisor  = 4                      // interval = attempt age / earlySyncDivisor
	earlySyncInterval = 500 * time.Millisecond // long-term average between early Syncs
	earlySyncBurst    = 10                     // early Syncs that may be sent in a burst
	earlySyncBudget   = earlySyncBurst * earlySyncInterval
)

// DueWorkers returns the workers that should be sent a Sync now: those with new
// requests, those where an attempt may have ended, and those whose last Sync
// was sent at least interval ago.
func (r *Rack) DueWorkers(interval time.Duration, now time.Time) []string {
	var due []string
	for id, m := range r.members {
		if !m.syncInFlight && (m.syncRequested || now.Sub(m.lastSyncAt) >= interval || m.earlySyncDue(interval, now)) {
			due = append(due, id)
		}
	}
	return due
}

// earlySyncDue reports whether an early Sync should be sent to find out whether
// an attempt has ended. The budget bounds the number of messages that short
// tasks cause.
func (m *member) earlySyncDue(interval time.Duration, now time.Time) bool {
	since := now.Sub(m.lastSyncAt)
	if since < minSyncInterval || m.earlySyncsPaidUntil.Sub(now) > earlySyncBudget-earlySyncInterval || m.missedSyncs > 0 {
		return false
	}
	for _, a := range m.attempts {
		gap := now.Sub(a.placedAt) / earlySyncDivisor
		if !a.Final() && gap <= interval && since >= gap {
			return true
		}
	}
	return false
}

// chargeEarlySync takes one early Sync from the budget.
func (m *member) chargeEarlySync(now time.Time) {
	if m.earlySyncsPaidUntil.Before(now) {
		m.earlySyncsPaidUntil = now
	}
	m.earlySyncsPaidUntil = m.earlySyncsPaidUntil.Add(earlySyncInterval)
}
