package rack

import (
	"errors"
	"time"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/placement"
	"persimmonworks.example/persimmonworks/worker"
)

// NextSync returns the next Sync for a worker and marks it as in flight. It
// returns false if another Sync is in flight or the worker is unknown.
func (r *Rack) NextSync(id string, now time.Time) (worker.Sync, bool) {
	m, ok := r.members[id]
	if !ok || m.syncInFlight {
		return worker.Sync{}, false
	}
	if !m.syncRequested && m.earlySyncDue(r.Lease, now) {
		m.chargeEarlySync(now)
	}
	m.syncInFlight, m.syncRequested, m.lastSyncAt = true, false, now
	s := worker.Sync{Epoch: r.Epoch}
	if !m.accepted || m.missedSyncs >= maxMissedSyncs {
		return s, true // only fences and requests the inventory; renews no lease
	}
	s.BootID = m.clock.boot
	s.NotAfter = m.clock.lowerBound(now) + r.Lease
	m.leaseEnd = max(m.leaseEnd, s.NotAfter)
	for _, a := range m.attempts {
		switch {
		case a.State == Starting:
			s.Starts = append(s.Starts, a.Start)
			a.sent = true
		case a.acknowledged:
			s.Acknowledged = append(s.Acknowledged, a.Ref)
		}
		if a.stopRequest != nil && !a.Final() {
			s.Stops = append(s.Stops, *a.stopRequest)
		}
		if a.throttlePercent > 0 && !a.Final() {
			s.Throttles = append(s.Throttles, worker.Throttle{Ref: a.Ref, Percent: a.throttlePercent})
			a.throttlePercent = 0
		}
	}
	return s, true
}

// HandleReport processes the response to s, the last Sync returned by NextSync. It
// returns the attempts whose state changed. The error wraps
// worker.ErrStaleEpoch if the rack has a newer owner; no further message may
// then be sent under this epoch.
func (r *Rack) HandleReport(id string, s worker.Sync, report worker.Report, err error, now time.Time) ([]*Attempt, error) {
	m, ok := r.members[id]
	if !ok {
		return nil, nil
	}
	m.syncInFlight = false
	switch {
	case errors.Is(err, worker.ErrStaleEpoch):
		return nil, err
	case err != nil:
		m.missedSyncs++
		if m.missedSyncs == maxMissedSyncs && m.accepted {
			r.close(m, "does not answer")
		}
		return r.expire(m, now), nil
	}
	m.lastReportAt, m.missedSyncs = now, 0
	// A worker with a new boot has lost everything it was sent.
	rebooted := m.clock.boot != "" && m.clock.boot != report.BootID
	m.observeClock(report, now)
	firstReport := !m.accepted || m.leasesExpired || rebooted
	m.accepted, m.leasesExpired = true, false
	if report.Leaving {
		m.leaving = true
	}
	if rebooted {
		suspectCrash(m, now)
	}
	changed := r.reconcile(m, s, report, firstReport)
	r.updateAvailability(m)
	return changed, nil
}

// expire ends the attempts of an unreachable worker once their leases have
// certainly expired, and returns them.
func (r *Rack) expire(m *member, now time.Time) []*Attempt {
	if m.missedSyncs < maxMissedSyncs || !r.certainlyExpired(m, now) {
		return nil
	}
	m.leasesExpired, m.accepted = true, false
	var changed []*Attempt
	for _, a := range m.attempts {
		if a.Final() {
			continue
		}
		if a.sent {
			r.finish(a, Lost, "worker "+m.host.ID+" does not answer and its lease has lapsed")
		} else {
			r.finish(a, Refused, "worker "+m.host.ID+" does not answer and was not told")
		}
		changed = append(changed, a)
	}
	return changed
}

// reconcile updates the attempts of a worker from its inventory. It adopts
// attempts that are not known yet, and marks as lost those that were sent but
// are not listed. It returns the attempts whose state changed.
func (r *Rack) reconcile(m *member, s worker.Sync, report worker.Report, firstReport bool) []*Attempt {
	var changed []*Attempt
	listed := make(map[worker.Ref]bool, len(report.Attempts))
	for _, w := range report.Attempts {
		listed[w.Ref] = true
		a, known := r.attempts[w.Ref]
		if !known {
			a = r.adopt(m, w)
		}
		if r.applyReport(a, w) {
			changed = append(changed, a)
		}
	}
	sentStarts := make(map[worker.Ref]bool, len(s.Starts))
	for _, start := range s.Starts {
		sentStarts[start.Ref] = true
	}
	for _, a := range m.attempts {
		switch {
		case listed[a.Ref]:
		case a.Final():
			if a.acknowledged {
				r.remove(a)
			}
		case a.State == Running, sentStarts[a.Ref], firstReport && a.sent:
			// The worker received the Start but does not list the attempt, so
			// it is not running.
			r.finish(a, Lost, "not in the inventory of worker "+m.host.ID)
			changed = append(changed, a)
		}
	}
	return changed
}

// adopt adds an attempt that an earlier owner started.
func (r *Rack) adopt(m *member, w worker.Attempt) *Attempt {
	a := &Attempt{Start: w.Start, Worker: m.host.ID, State: Starting, sent: true}
	r.attempts[w.Ref], m.attempts[w.Ref] = a, a
	if w.State == worker.Running {
		task := placement.Task{ID: attemptKey(w.Ref), Demand: w.Demand, Class: class.Class(w.Class)}
		_ = r.shard.Restore(task, m.host.ID) // fails only if the worker is not in the shard
	}
	return a
}

// applyReport updates an attempt from its entry in a worker's inventory, and
// reports whether its state changed.
func (r *Rack) applyReport(a *Attempt, w worker.Attempt) bool {
	if a.Final() {
		return false
	}
	a.LastReport = w
	switch w.State {
	case worker.Running:
		changed := a.State != Running
		a.State = Running
		return changed
	case worker.Refused:
		r.finish(a, Refused, w.Reason)
		a.State = Ended // the worker keeps the entry until it is acknowledged
	default:
		r.finish(a, Ended, w.Reason)
	}
	return true
}
