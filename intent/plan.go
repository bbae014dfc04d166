package intent

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"

	"persimmonworks.example/persimmonworks/pool"
	"persimmonworks.example/persimmonworks/provider"
	"persimmonworks.example/persimmonworks/resource"
)

// planner holds the intermediate results of NewPlan.
type planner struct {
	state *State
	after pool.Configuration
	plan  Plan
	hosts []Host                     // sorted by ID
	free  map[string]resource.Vector // free capacity of the workers that are not drained afterwards
}

// NewPlan returns the plan for an intent. The error wraps ErrInvalid, and also the
// findings of pool.Check if the resulting configuration would be invalid.
func NewPlan(s State, in Intent) (Plan, error) {
	after, err := Apply(&s, in)
	if err != nil {
		return Plan{}, err
	}
	p := planner{state: &s, after: after, plan: Plan{Intent: in, Number: s.Number, Steps: []Step{}, Effects: []Effect{}}}
	p.hosts = slices.Clone(s.Hosts)
	slices.SortFunc(p.hosts, func(a, b Host) int { return cmp.Compare(a.ID, b.ID) })
	p.computeFree()
	p.drainSteps()
	p.quotaSteps()
	p.effects()
	p.plan.Touched = touched(&s, in)
	return p.plan, nil
}

func drained(c *pool.Configuration, h Host) bool {
	_, isDrained := c.Drained(h.ID, h.Rack, h.DataCentre)
	return isDrained
}

func (p *planner) computeFree() {
	p.free = make(map[string]resource.Vector)
	for _, h := range p.hosts {
		if h.Kind == provider.KindWorker && !drained(&p.after, h) {
			p.free[h.ID] = h.Capacity
		}
	}
	for _, a := range p.state.Attempts {
		if f, in := p.free[a.Host]; in {
			p.free[a.Host] = f.Sub(a.Demand)
		}
	}
}

// drainSteps adds a step for each attempt on a newly drained host, and one for
// each newly drained runner.
func (p *planner) drainSteps() {
	for _, h := range p.hosts {
		if drained(&p.state.Configuration, h) || !drained(&p.after, h) {
			continue
		}
		if h.Kind == provider.KindRunner {
			p.add(Step{Action: Wait, From: h.ID, Reason: "requests in flight finish on the runner; it gets no new ones"})
		}
		for _, a := range attemptsOn(p.state, h.ID) {
			p.drainAttempt(a)
		}
	}
}

func (p *planner) drainAttempt(a Attempt) {
	step := Step{Organisation: a.Organisation, Task: a.Task, Attempt: a.Number, From: a.Host}
	if !a.Checkpointable {
		step.Action, step.Reason = Wait, "cannot be checkpointed; the host leaves once it has finished"
		p.add(step)
		return
	}
	to, found := p.bestFit(a.Demand)
	if !found {
		step.Action, step.Reason = Stop, fmt.Sprintf("checkpointed; no other worker has %v free", a.Demand)
		p.add(step)
		return
	}
	p.free[to] = p.free[to].Sub(a.Demand)
	step.Action, step.To, step.Reason = Move, to, "checkpointed and continued on a worker with room"
	p.add(step)
}

// bestFit returns the worker with the fewest free processors that can hold
// demand. Of several it returns the one with the lowest ID.
func (p *planner) bestFit(demand resource.Vector) (string, bool) {
	best, found := "", false
	for _, h := range p.hosts {
		f, usable := p.free[h.ID]
		if usable && f.Covers(demand) && (!found || f.MilliCPU < p.free[best].MilliCPU) {
			best, found = h.ID, true
		}
	}
	return best, found
}

// quotaSteps adds a step for each organisation that already runs more than its
// changed quota allows, so that its queued work has to wait.
func (p *planner) quotaSteps() {
	for _, o := range p.after.Organisations {
		before := p.state.Configuration.Organisation(o.Name)
		if before == nil || before.Quota == o.Quota || o.Quota.IsZero() {
			continue
		}
		var running resource.Vector
		for _, a := range p.state.Attempts {
			if a.Organisation == o.Name {
				running = running.Add(a.Demand)
			}
		}
		if !o.Quota.Covers(running) {
			p.add(Step{Action: Wait, Organisation: o.Name, Reason: fmt.Sprintf("runs %v, above its new quota of %v; nothing starts until enough has finished", running, o.Quota)})
		}
	}
}

// effects computes the change of each organisation's share, and adds a step for
// each whose queued work waits longer because of it.
func (p *planner) effects() {
	before, after := p.shares(&p.state.Configuration), p.shares(&p.after)
	names := make(map[string]bool)
	for _, c := range []*pool.Configuration{&p.state.Configuration, &p.after} {
		for _, o := range c.Organisations {
			if names[o.Name] {
				continue
			}
			names[o.Name] = true
			e := Effect{Organisation: o.Name, Before: before[o.Name], After: after[o.Name]}
			e.Running, e.Waiting = p.countWork(o.Name)
			p.plan.Effects = append(p.plan.Effects, e)
		}
	}
	slices.SortFunc(p.plan.Effects, func(a, b Effect) int { return cmp.Compare(a.Organisation, b.Organisation) })
	for _, e := range p.plan.Effects {
		if e.After < e.Before && e.Waiting > 0 {
			p.add(Step{Action: Wait, Organisation: e.Organisation, Reason: fmt.Sprintf("%d queued tasks wait longer: the share falls from %.1f%% to %.1f%%", e.Waiting, e.Before*100, e.After*100)})
		}
	}
}

// shares returns each organisation's fraction of the processors of all workers:
// its weight relative to the sum of weights, multiplied by the fraction of
// processors that are not drained under c.
func (p *planner) shares(c *pool.Configuration) map[string]float64 {
	var total, usable resource.Vector
	for _, h := range p.hosts {
		if h.Kind != provider.KindWorker {
			continue
		}
		total = total.Add(h.Capacity)
		if !drained(c, h) {
			usable = usable.Add(h.Capacity)
		}
	}
	weights := 0
	for _, o := range c.Organisations {
		weights += o.Weight
	}
	shares := make(map[string]float64)
	for _, o := range c.Organisations {
		if total.MilliCPU > 0 {
			shares[o.Name] = float64(o.Weight) / float64(weights) * float64(usable.MilliCPU) / float64(total.MilliCPU)
		}
	}
	return shares
}

func (p *planner) countWork(organisation string) (running, waiting int) {
	for _, a := range p.state.Attempts {
		if a.Organisation == organisation {
			running++
		}
	}
	for _, w := range p.state.Waiting {
		if w.Organisation == organisation {
			waiting += w.Tasks
		}
	}
	return running, waiting
}

func (p *planner) add(s Step) { p.plan.Steps = append(p.plan.Steps, s) }

// attemptsOn returns the attempts on a host, sorted by task and number.
func attemptsOn(s *State, host string) []Attempt {
	var on []Attempt
	for _, a := range s.Attempts {
		if a.Host == host {
			on = append(on, a)
		}
	}
	slices.SortFunc(on, func(a, b Attempt) int { return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Number, b.Number)) })
	return on
}

// Text formats the plan as tables for display in a terminal.
func (p Plan) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "plan %s\n%s by %s on configuration %d; nothing changes until it is confirmed\n\n", p.Digest(), p.Intent, p.Intent.By, p.Number)
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "action\torganisation\ttask\tfrom\tto\treason")
	for _, s := range p.Steps {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", s.Action, s.Organisation, s.Task, s.From, s.To, s.Reason)
	}
	fmt.Fprintln(w, "\norganisation\tshare before\tshare after\trunning\twaiting")
	for _, e := range p.Effects {
		fmt.Fprintf(w, "%s\t%.1f%%\t%.1f%%\t%d\t%d\n", e.Organisation, e.Before*100, e.After*100, e.Running, e.Waiting)
	}
	_ = w.Flush() // a strings.Builder never fails
	return b.String()
}
