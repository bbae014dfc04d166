package rack

import "time"

// Pace of the messages to a worker that are sent, beside the regular ones, to
// learn soon that an attempt has ended. The end of an attempt that ran for a
// while is known after at most a quarter more of that time. Estimates are not
// asked: they are often far off, and the pause that grows with the age costs
// some 14 messages an attempt at most.
const (
	shortestGap    = 100 * time.Millisecond // between messages without news for the worker
	gapShare       = 4                      // of the time since an attempt was placed
	earlyPeriod    = 500 * time.Millisecond // between early messages in the long run
	earlyBurst     = 10                     // early messages at once
	earlyAllowance = earlyBurst * earlyPeriod
)

// Due returns the workers that are to be sent a Sync now: those with news,
// those where an attempt may have ended, and those not heard for the regular
// interval.
func (r *Rack) Due(interval time.Duration, now time.Time) []string {
	var due []string
	for id, m := range r.members {
		if !m.busy && (m.urgent || now.Sub(m.sent) >= interval || m.early(interval, now)) {
			due = append(due, id)
		}
	}
	return due
}

// early reports whether it is worth a message before the regular one to ask
// whether an attempt has ended. The budget bounds what short tasks cost.
func (m *member) early(interval time.Duration, now time.Time) bool {
	since := now.Sub(m.sent)
	if since < shortestGap || m.spent.Sub(now) > earlyAllowance-earlyPeriod || m.misses > 0 {
		return false
	}
	for _, a := range m.refs {
		gap := now.Sub(a.placed) / gapShare
		if !a.Final() && gap <= interval && since >= gap {
			return true
		}
	}
	return false
}

// charge takes an early message from the budget.
func (m *member) charge(now time.Time) {
	if m.spent.Before(now) {
		m.spent = now
	}
	m.spent = m.spent.Add(earlyPeriod)
}
