package rack

import (
	"errors"
	"math/rand/v2"
	"strings"
	"time"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/placement"
	"persimmonworks.example/persimmonworks/quarantine"
	"persimmonworks.example/persimmonworks/resource"
	"persimmonworks.example/persimmonworks/wire"
	"persimmonworks.example/persimmonworks/worker"
)

// Group holds the racks that this process owns and answers the owners of job
// shards. The zero value holds none.
type Group struct {
	// Ward, when set before the first call, keeps work away from workers that
	// fail what succeeds elsewhere. It sees the workers of this process only.
	Ward *quarantine.Ward

	racks map[string]*Rack
	// jobs maps the name of a job shard to what its owner is yet to be told.
	jobs map[string]*correspondent
}

// correspondent is the owner of a job shard, as this process knows it.
type correspondent struct {
	epoch    uint64
	sequence uint64
	news     map[worker.Ref]*placed
}

type placed struct {
	rack    *Rack
	attempt *Attempt
}

// Add takes a rack into the group, in place of one with the same name.
func (g *Group) Add(r *Rack) {
	if g.racks == nil {
		g.racks = map[string]*Rack{}
	}
	g.Remove(r.Name)
	g.racks[r.Name] = r
}

// Remove drops a rack that has a later owner.
func (g *Group) Remove(name string) {
	old, ok := g.racks[name]
	if !ok {
		return
	}
	delete(g.racks, name)
	for _, c := range g.jobs {
		for ref, p := range c.news {
			if p.rack == old {
				delete(c.news, ref)
			}
		}
	}
}

// Rack returns the rack of that name.
func (g *Group) Rack(name string) (*Rack, bool) {
	r, ok := g.racks[name]
	return r, ok
}

// All calls yield with every rack, in no particular order.
func (g *Group) All(yield func(*Rack) bool) {
	for _, r := range g.racks {
		if !yield(r) {
			return
		}
	}
}

// Len returns the number of racks.
func (g *Group) Len() int { return len(g.racks) }

func (g *Group) correspondent(jobShard string) *correspondent {
	c, ok := g.jobs[jobShard]
	if !ok {
		if g.jobs == nil {
			g.jobs = map[string]*correspondent{}
		}
		c = &correspondent{news: map[worker.Ref]*placed{}}
		g.jobs[jobShard] = c
	}
	return c
}

// Changed notes attempts whose owners are to be told, and what they say of
// their workers.
func (g *Group) Changed(r *Rack, attempts []*Attempt, now time.Time) {
	g.judge(attempts, now)
	for _, a := range attempts {
		g.correspondent(a.JobShard).news[a.Ref] = &placed{rack: r, attempt: a}
	}
}

// Seat gives attempts that wait for room a worker; it is called after Changed,
// and from time to time.
func (g *Group) Seat(now time.Time, rng *rand.Rand) {
	for _, r := range g.racks {
		g.Changed(r, r.seat(now, rng), now)
	}
}

// Sync carries out what the owner of a job shard asks and reports what it is
// to know. The refusal is not nil when the message is from an owner that was
// deposed, or overtaken by a later message; nothing was done then.
func (g *Group) Sync(s *wire.TaskSync, now time.Time, rng *rand.Rand) (*wire.TaskReport, *wire.Refusal) {
	c := g.correspondent(s.JobShard)
	ordered := len(s.Placements)+len(s.Stops) > 0 || s.Inventory
	switch {
	case s.JobEpoch < c.epoch:
		return nil, &wire.Refusal{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Reason: "a later owner of the job shard is known"}
	case s.JobEpoch > c.epoch:
		c.epoch, c.sequence = s.JobEpoch, 0
	}
	if ordered {
		if s.Sequence <= c.sequence {
			return nil, &wire.Refusal{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Reason: "a later message was served first"}
		}
		c.sequence = s.Sequence
	}
	g.acknowledge(c, s.Acknowledged)
	report := &wire.TaskReport{}
	g.stop(s, report)
	g.place(s, report, now, rng)
	g.report(c, s, report)
	return report, nil
}

func refOf(r *wire.AttemptRef) worker.Ref { return worker.Ref{Task: r.Task, Attempt: r.Attempt} }

func (g *Group) acknowledge(c *correspondent, refs []*wire.AttemptRef) {
	for _, w := range refs {
		ref := refOf(w)
		for _, r := range g.racks {
			r.Acknowledge(ref)
		}
		if p, ok := c.news[ref]; ok && p.attempt.Final() {
			delete(c.news, ref)
		}
	}
}

func (g *Group) stop(s *wire.TaskSync, report *wire.TaskReport) {
	for _, w := range s.Stops {
		for _, r := range g.racks {
			a, err := r.Stop(refOf(w), w.Checkpoint)
			if err == nil && a.Final() {
				report.Attempts = append(report.Attempts, describe(r, a))
			}
		}
	}
}

func (g *Group) place(s *wire.TaskSync, report *wire.TaskReport, now time.Time, rng *rand.Rand) {
	for _, p := range s.Placements {
		refuse := func(reason string) {
			report.Attempts = append(report.Attempts, &wire.Attempt{
				Task: p.Task, Attempt: p.Attempt, State: wire.AttemptState_ATTEMPT_STATE_REFUSED, Reason: reason, Shard: p.Shard,
			})
		}
		r, ok := g.racks[p.Shard]
		if !ok {
			refuse("rack shard " + p.Shard + " is not owned here")
			continue
		}
		if p.ShardEpoch != r.Epoch {
			refuse("rack shard " + p.Shard + " has had another owner meanwhile")
			continue
		}
		choose := r.Place
		if p.Preempt {
			choose = r.PlaceUrgent
		}
		_, err := choose(startOf(p), Wish{Spread: spreadOf(p), Long: p.Long, Avoid: p.Avoid}, now, rng)
		switch {
		case errors.Is(err, placement.ErrTooLarge):
			refuse("larger than any worker of " + p.Shard)
		case err != nil:
			refuse("no room on " + p.Shard)
		}
	}
}

func spreadOf(p *wire.Placement) string {
	if class.Class(p.Class) != class.Service {
		return ""
	}
	job, _, _ := strings.Cut(p.Task, "/")
	return job
}

func startOf(p *wire.Placement) worker.Start {
	return worker.Start{
		Ref: worker.Ref{Task: p.Task, Attempt: p.Attempt}, JobShard: p.JobShard, Organisation: p.Organisation,
		Class: p.Class, Kind: p.Kind, Demand: VectorOf(p.Demand), Work: p.Work,
		NonIdempotent: p.NonIdempotent,
	}
}

// VectorOf converts an amount of the inner protocol.
func VectorOf(v *wire.Vector) resource.Vector {
	return resource.Vector{MilliCPU: v.GetMilliCpu(), MemoryMB: v.GetMemoryMb(), Accelerators: v.GetAccelerators()}
}

// WireOf converts an amount to the inner protocol.
func WireOf(v resource.Vector) *wire.Vector {
	return &wire.Vector{MilliCpu: v.MilliCPU, MemoryMb: v.MemoryMB, Accelerators: v.Accelerators}
}

func (g *Group) report(c *correspondent, s *wire.TaskSync, report *wire.TaskReport) {
	if s.Inventory {
		g.inventory(s.JobShard, report)
	} else {
		for ref, p := range c.news {
			report.Attempts = append(report.Attempts, describe(p.rack, p.attempt))
			if !p.attempt.Final() {
				delete(c.news, ref)
			}
		}
	}
	var free resource.Vector
	for _, r := range g.racks {
		free = free.Add(r.Free())
		report.Shards = append(report.Shards, &wire.ShardEpoch{
			Shard: r.Name, Epoch: r.Epoch, Complete: r.Complete(),
			Free: WireOf(r.Free()), Largest: WireOf(r.Largest()), LargestLong: WireOf(r.LargestLong()),
		})
	}
	report.Free = WireOf(free)
}

func (g *Group) inventory(jobShard string, report *wire.TaskReport) {
	for _, r := range g.racks {
		for _, a := range r.attempts {
			if a.JobShard == jobShard {
				report.Attempts = append(report.Attempts, describe(r, a))
			}
		}
	}
}

func describe(r *Rack, a *Attempt) *wire.Attempt {
	w := &wire.Attempt{
		Task: a.Task, Attempt: a.Ref.Attempt, Worker: a.Worker, Reason: a.Reason, Organisation: a.Organisation,
		Class: a.Class, Demand: WireOf(a.Demand), Shard: r.Name, RanMs: uint64(a.End.Ran.Milliseconds()), Used: WireOf(a.End.Used),
	}
	switch a.State {
	case Starting:
		w.State = wire.AttemptState_ATTEMPT_STATE_STARTING
	case Running:
		w.State = wire.AttemptState_ATTEMPT_STATE_RUNNING
	case Lost:
		w.State = wire.AttemptState_ATTEMPT_STATE_LOST
	case Refused:
		w.State = wire.AttemptState_ATTEMPT_STATE_REFUSED
	case Ended:
		w.State, w.Result, w.Checkpoint = endState(a.End.State), a.End.Result, a.End.Checkpoint
	}
	return w
}

func endState(s worker.State) wire.AttemptState {
	switch s {
	case worker.Done:
		return wire.AttemptState_ATTEMPT_STATE_DONE
	case worker.Failed:
		return wire.AttemptState_ATTEMPT_STATE_FAILED
	case worker.Refused:
		return wire.AttemptState_ATTEMPT_STATE_REFUSED
	default:
		return wire.AttemptState_ATTEMPT_STATE_STOPPED
	}
}
