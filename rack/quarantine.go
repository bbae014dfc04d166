package rack

import (
	"strings"
	"time"

	"persimmonworks.example/persimmonworks/quarantine"
	"persimmonworks.example/persimmonworks/worker"
)

// SetQuarantine closes a worker with the given reason, or ends its quarantine
// if reason is empty. On probation the worker runs one attempt at a time.
// Running attempts continue.
func (r *Rack) SetQuarantine(id, reason string, onProbation bool) {
	m, ok := r.members[id]
	if !ok || m.quarantineReason == reason && m.onProbation == onProbation {
		return
	}
	m.quarantineReason, m.onProbation = reason, onProbation
	r.updateAvailability(m)
}

// updateAvailability opens a worker, or closes it with the reason why it gets
// no new attempts. An unresponsive worker is left as it is. Package entry
// derives a worker's state from the reasons "leaving" and "quarantined: ...".
func (r *Rack) updateAvailability(m *member) {
	switch {
	case !m.accepted || m.missedSyncs >= maxMissedSyncs:
	case m.leaving:
		r.close(m, "leaving")
	case m.quarantineReason != "" && !(m.onProbation && m.running() == 0):
		r.close(m, m.quarantineReason)
	default:
		r.open(m)
	}
}

// running returns the number of attempts that are not final.
func (m *member) running() int {
	n := 0
	for _, a := range m.attempts {
		if !a.Final() {
			n++
		}
	}
	return n
}

// recordOutcomes passes successes and failures to the quarantine. An attempt
// that was stopped, refused or ended by its lease is no evidence about its
// worker.
func (g *Group) recordOutcomes(attempts []*Attempt, now time.Time) {
	if g.Quarantine == nil {
		return
	}
	for _, a := range attempts {
		job, _, _ := strings.Cut(a.Task, "/")
		o := quarantine.Attempt{Worker: a.Worker, Task: a.Task, Job: job, Organisation: a.Organisation}
		switch {
		case a.State != Ended:
		case a.LastReport.State == worker.Done:
			g.Quarantine.RecordSuccess(o, now)
		case a.LastReport.State == worker.Failed:
			g.Quarantine.RecordFailure(o, now)
		}
	}
}

// ApplyQuarantine applies the quarantine state of every worker. It must be called after
// QueueUpdates and periodically.
func (g *Group) ApplyQuarantine(now time.Time) {
	if g.Quarantine == nil {
		return
	}
	for _, r := range g.racks {
		for id, m := range r.members {
			g.Quarantine.AddWorker(id, m.host.DataCentre)
			if g.Quarantine.State(id) == quarantine.Trusted {
				r.SetQuarantine(id, "", false)
				continue
			}
			g.Quarantine.Allow(id, m.running(), now) // moves the worker to probation when its quarantine is over
			r.SetQuarantine(id, "quarantined: "+g.Quarantine.Reason(id), g.Quarantine.State(id) == quarantine.Probation)
		}
	}
}
