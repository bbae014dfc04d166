package forecast

import (
	"maps"
	"math"
	"time"
)

// Reason is why a job is refused.
type Reason string

// Reasons of a Decision.
const (
	Accepted    Reason = ""
	TooLate     Reason = "it would start too late to be of use"
	BeyondShare Reason = "more waits than can start soon, and its organisation has sent more than its share"
	NotYet      Reason = "its caller was asked to come back later"
)

const (
	// shareWindow is the time over which the rate of an organisation is measured. Arrivals are
	// bursty, so a single second says little.
	shareWindow = 4 * time.Second
	minReturn   = time.Second // Retry-After has whole seconds
	// early is how much before its time a caller may be back, and remembered is for how long after
	// it a caller is recognised.
	early      = 500 * time.Millisecond
	remembered = 5 * time.Second
	// maxPending bounds the memory for callers that were asked to come back.
	maxPending    = 10_000
	sweepInterval = 250 * time.Millisecond // between two looks for callers that did not come
)

// Request is a job at submission.
type Request struct {
	Job          string
	Organisation string
	// Rate is how many jobs a second the organisation is owed here, 0 if that is not measured.
	Rate float64
	// Wait is how long the job would wait at least, see Wait.
	Wait time.Duration
	// Drain is how long the workers need for the job alone, see Pool.Drain.
	Drain time.Duration
	// Slack is the longest wait with which the job ends in time, Patience that with which it is
	// of use, and Tolerable that which costs the caller no more than coming back.
	Slack, Patience, Tolerable time.Duration
}

// Decision is what becomes of a job at submission.
type Decision struct {
	Reason     Reason        // Accepted, or why not
	RetryAfter time.Duration // if it is refused
}

// Admission decides which jobs are accepted and when refused callers come back. The zero value is
// ready to use. It is not safe for concurrent use.
type Admission struct {
	shares  map[string]*share
	pending map[string]pendingRetry // by job
	last    time.Time               // for which the last caller in line was asked
	drawn   int                     // of the sequence that spreads callers
	swept   time.Time               // when pending was last looked through
}

// share is what an organisation used of its rate.
type share struct {
	used time.Time // when the jobs that were accepted are used up
	last time.Time // for which a caller was asked last
}

// pendingRetry is that of a caller that was refused.
type pendingRetry struct {
	back   time.Time
	inTime time.Time // until when its job can still end in time, reckoned from its first call
}

// Decide decides about a job. It must be told of every job, also of those that are accepted.
func (m *Admission) Decide(q Request, now time.Time) Decision {
	if m.pending == nil {
		m.shares, m.pending = map[string]*share{}, map[string]pendingRetry{}
	}
	m.sweep(now)
	a, returns := m.pending[q.Job]
	if returns && now.Before(a.back.Add(-early)) && q.Wait > q.Tolerable {
		return Decision{NotYet, max(minReturn, a.back.Sub(now))}
	}
	if !returns {
		a.inTime = now.Add(q.Slack)
	}
	var x Decision
	switch {
	case q.Wait > q.Patience:
		x = m.refuseTooLate(q, a.inTime, now)
	case q.Rate > 0:
		x = m.measure(q, a.inTime, now)
	}
	delete(m.pending, q.Job)
	if x.Reason != Accepted && len(m.pending) < maxPending {
		m.pending[q.Job] = pendingRetry{now.Add(x.RetryAfter), a.inTime}
	}
	return x
}

// measure accepts a job if its organisation is within its rate, or if it would hardly wait.
// Room that nobody else wants leaves no debt. A job that is late already gets only such room,
// since one that can end in time gains more by its organisation's rate.
func (m *Admission) measure(q Request, inTime, now time.Time) Decision {
	s := m.shares[q.Organisation]
	if s == nil {
		s = &share{}
		m.shares[q.Organisation] = s
	}
	if s.used.Before(now) {
		s.used = now
	}
	interval := time.Duration(float64(time.Second) / q.Rate)
	window := max(shareWindow, interval)
	within := !s.used.After(now.Add(window - interval))
	if q.Wait > q.Tolerable && (!within || now.After(inTime)) {
		return m.refuseBeyondShare(q, s, interval, inTime, now)
	}
	s.used = s.used.Add(interval)
	if most := now.Add(window); s.used.After(most) && !within {
		s.used = most
	}
	return Decision{}
}

// refuseBeyondShare asks the caller to come back after the one before it of its organisation, at
// the organisation's rate.
func (m *Admission) refuseBeyondShare(q Request, s *share, interval time.Duration, inTime, now time.Time) Decision {
	at := later(s.last.Add(interval), now.Add(minReturn))
	if after, ok := m.retryInOrder(q, at, inTime, now); ok {
		s.last = now.Add(after)
		return Decision{BeyondShare, after}
	}
	return Decision{BeyondShare, m.lateRetry(q)}
}

// refuseTooLate asks the caller to come back when the work ahead is done.
func (m *Admission) refuseTooLate(q Request, inTime, now time.Time) Decision {
	room := now.Add(max(minReturn, q.Wait-q.Tolerable))
	if after, ok := m.retryInOrder(q, room, inTime, now); ok {
		return Decision{TooLate, after}
	}
	return Decision{TooLate, m.lateRetry(q)}
}

// retryInOrder returns when the caller comes back if callers come one after the other, as fast as the
// workers can do their jobs, and not before a time. It reports false if its job cannot end in
// time then.
func (m *Admission) retryInOrder(q Request, soonest, inTime, now time.Time) (time.Duration, bool) {
	at := later(m.last.Add(q.Drain), soonest)
	if at.After(inTime) {
		return 0, false
	}
	m.last = at
	return at.Sub(now), true
}

// lateRetry spreads callers over twice the time in which their jobs are of use. Those that come
// late get only room that is left, so there is no hurry.
func (m *Admission) lateRetry(q Request) time.Duration {
	return max(minReturn, q.Wait) + m.spread(2*q.Patience)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// spread returns a part of a time, evenly spread over the calls.
func (m *Admission) spread(t time.Duration) time.Duration {
	m.drawn++
	_, part := math.Modf(float64(m.drawn) / math.Phi)
	return time.Duration(part * float64(t))
}

// sweep forgets callers that did not come back.
func (m *Admission) sweep(now time.Time) {
	if now.Sub(m.swept) < sweepInterval {
		return
	}
	m.swept = now
	maps.DeleteFunc(m.pending, func(_ string, a pendingRetry) bool { return now.After(a.back.Add(remembered)) })
}

// Pending returns how many callers were asked to come back and are not back yet.
func (m *Admission) Pending() int { return len(m.pending) }
