package rack

import (
	"errors"
	"time"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/placement"
	"persimmonworks.example/persimmonworks/worker"
)

// Outbox returns what is to be sent to a worker and notes it as under way. It
// reports false while another Sync is under way or the worker is not known.
func (r *Rack) Outbox(id string, now time.Time) (worker.Sync, bool) {
	m, ok := r.members[id]
	if !ok || m.busy {
		return worker.Sync{}, false
	}
	if !m.urgent && m.early(r.Lease, now) {
		m.charge(now)
	}
	m.busy, m.urgent, m.sent = true, false, now
	s := worker.Sync{Epoch: r.Epoch}
	if !m.accepted || m.misses >= missesToClose {
		return s, true // fences and asks for the inventory, renews nothing
	}
	s.Boot = m.clock.boot
	s.NotAfter = m.clock.atLeast(now) + r.Lease
	m.until = max(m.until, s.NotAfter)
	for _, a := range m.refs {
		switch {
		case a.State == Starting:
			s.Starts = append(s.Starts, a.Start)
			a.sent = true
		case a.acknowledged:
			s.Acknowledged = append(s.Acknowledged, a.Ref)
		}
		if a.stop != nil && !a.Final() {
			s.Stops = append(s.Stops, *a.stop)
		}
		if a.throttle > 0 && !a.Final() {
			s.Throttles = append(s.Throttles, worker.Throttle{Ref: a.Ref, Percent: a.throttle})
			a.throttle = 0
		}
	}
	return s, true
}

// Answer takes in the answer to the Sync that Outbox returned last. It returns
// the attempts whose state changed, and worker.ErrStaleEpoch when the rack has
// a later owner: nothing may be sent under this epoch any more.
func (r *Rack) Answer(id string, s worker.Sync, report worker.Report, err error, now time.Time) ([]*Attempt, error) {
	m, ok := r.members[id]
	if !ok {
		return nil, nil
	}
	m.busy = false
	switch {
	case errors.Is(err, worker.ErrStaleEpoch):
		return nil, err
	case err != nil:
		m.misses++
		if m.misses == missesToClose && m.accepted {
			r.close(m, "does not answer")
		}
		return r.expire(m, now), nil
	}
	m.heard, m.misses = now, 0
	// A worker that was lost and is back has nothing of what it was sent.
	reborn := m.clock.boot != "" && m.clock.boot != report.Boot
	m.read(report, now)
	first := !m.accepted || m.gone || reborn
	m.accepted, m.gone = true, false
	if report.Leaving {
		m.leaving = true
	}
	changed := r.reconcile(m, s, report, first)
	r.settle(m)
	return changed, nil
}

// expire reports the attempts of a silent worker lost once their leases have
// certainly lapsed.
func (r *Rack) expire(m *member, now time.Time) []*Attempt {
	if m.misses < missesToClose || !r.lapsed(m, now) {
		return nil
	}
	m.gone, m.accepted = true, false
	var changed []*Attempt
	for _, a := range m.refs {
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

func (r *Rack) reconcile(m *member, s worker.Sync, report worker.Report, first bool) []*Attempt {
	var changed []*Attempt
	listed := make(map[worker.Ref]bool, len(report.Attempts))
	for _, w := range report.Attempts {
		listed[w.Ref] = true
		a, known := r.attempts[w.Ref]
		if !known {
			a = r.adopt(m, w)
		}
		if r.take(a, w) {
			changed = append(changed, a)
		}
	}
	told := make(map[worker.Ref]bool, len(s.Starts))
	for _, start := range s.Starts {
		told[start.Ref] = true
	}
	for _, a := range m.refs {
		switch {
		case listed[a.Ref]:
		case a.Final():
			if a.acknowledged {
				r.forget(a)
			}
		case a.State == Running, told[a.Ref], first && a.sent:
			// The worker was told and does not have it: it does not run.
			r.finish(a, Lost, "not in the inventory of worker "+m.host.ID)
			changed = append(changed, a)
		}
	}
	return changed
}

// adopt takes an attempt of an earlier owner into the books.
func (r *Rack) adopt(m *member, w worker.Attempt) *Attempt {
	a := &Attempt{Start: w.Start, Worker: m.host.ID, State: Starting, sent: true}
	r.attempts[w.Ref], m.refs[w.Ref] = a, a
	if w.State == worker.Running {
		task := placement.Task{ID: key(w.Ref), Demand: w.Demand, Class: class.Class(w.Class)}
		_ = r.shard.Restore(task, m.host.ID) // fails only for a worker that is not in the shard
	}
	return a
}

// take makes a worker's report part of the attempt and tells whether its
// state changed.
func (r *Rack) take(a *Attempt, w worker.Attempt) bool {
	if a.Final() {
		return false
	}
	a.End = w
	switch w.State {
	case worker.Running:
		changed := a.State != Running
		a.State = Running
		return changed
	case worker.Refused:
		r.finish(a, Refused, w.Reason)
		a.State = Ended // kept until acknowledged: the worker remembers it
	default:
		r.finish(a, Ended, w.Reason)
	}
	return true
}
