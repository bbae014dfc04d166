package rack

import (
	"strings"
	"time"

	"persimmonworks.example/persimmonworks/quarantine"
	"persimmonworks.example/persimmonworks/worker"
)

// Hold keeps work away from a worker for a reason, or lets it back with "". On
// trial it gets one attempt at a time. What runs there goes on.
func (r *Rack) Hold(id, reason string, trial bool) {
	m, ok := r.members[id]
	if !ok || m.held == reason && m.trial == trial {
		return
	}
	m.held, m.trial = reason, trial
	r.settle(m)
}

// settle opens a worker, or closes it with the reason why it gets nothing new.
// One that does not answer stays as it is.
func (r *Rack) settle(m *member) {
	switch {
	case !m.accepted || m.misses >= missesToClose:
	case m.leaving:
		r.close(m, "leaving")
	case m.held != "" && !(m.trial && m.running() == 0):
		r.close(m, m.held)
	default:
		r.open(m)
	}
}

// running returns the number of attempts that are not final.
func (m *member) running() int {
	n := 0
	for _, a := range m.refs {
		if !a.Final() {
			n++
		}
	}
	return n
}

// judge tells the ward how attempts ended. Ends by a stop, a lease or a refusal
// say nothing about the worker.
func (g *Group) judge(attempts []*Attempt, now time.Time) {
	if g.Ward == nil {
		return
	}
	for _, a := range attempts {
		job, _, _ := strings.Cut(a.Task, "/")
		o := quarantine.Outcome{Worker: a.Worker, Task: a.Task, Job: job, Organisation: a.Organisation}
		switch {
		case a.State != Ended:
		case a.End.State == worker.Done:
			g.Ward.Succeeded(o, now)
		case a.End.State == worker.Failed:
			g.Ward.Failed(o, now)
		}
	}
}

// Guard makes the ward's opinion of every worker take effect. It is called
// after Changed, and from time to time.
func (g *Group) Guard(now time.Time) {
	if g.Ward == nil {
		return
	}
	for _, r := range g.racks {
		for id, m := range r.members {
			g.Ward.AddWorker(id, m.host.DataCentre)
			if g.Ward.State(id) == quarantine.Trusted {
				r.Hold(id, "", false)
				continue
			}
			g.Ward.Allow(id, m.running(), now) // begins the trial when it is time
			r.Hold(id, "quarantined: "+g.Ward.Reason(id), g.Ward.State(id) == quarantine.Probation)
		}
	}
}
