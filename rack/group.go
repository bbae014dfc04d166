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

// Group holds the racks that this process owns and serves requests from the
// owners of job shards. The zero value is an empty group.
type Group struct {
	// Quarantine quarantines workers on which tasks fail that succeed elsewhere. It
	// covers the workers of this process only. It is optional and must be set
	// before the first call.
	Quarantine *quarantine.Tracker

	racks map[string]*Rack
	// owners is keyed by the name of the job shard.
	owners map[string]*jobShardOwner
}

// jobShardOwner is the state kept for the owner of a job shard: the highest
// epoch and sequence number seen, and the updates it has not yet received or
// acknowledged.
type jobShardOwner struct {
	epoch    uint64
	sequence uint64
	updates  map[worker.Ref]*attemptUpdate
}

type attemptUpdate struct {
	rack    *Rack
	attempt *Attempt
}

// Add adds a rack to the group, replacing a rack with the same name.
func (g *Group) Add(r *Rack) {
	if g.racks == nil {
		g.racks = map[string]*Rack{}
	}
	g.Remove(r.Name)
	g.racks[r.Name] = r
}

// Remove removes a rack that this process no longer owns, and all pending
// updates about it.
func (g *Group) Remove(name string) {
	old, ok := g.racks[name]
	if !ok {
		return
	}
	delete(g.racks, name)
	for _, owner := range g.owners {
		for ref, update := range owner.updates {
			if update.rack == old {
				delete(owner.updates, ref)
			}
		}
	}
}

// Rack returns the rack with the given name.
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

func (g *Group) jobShardOwner(jobShard string) *jobShardOwner {
	owner, ok := g.owners[jobShard]
	if !ok {
		if g.owners == nil {
			g.owners = map[string]*jobShardOwner{}
		}
		owner = &jobShardOwner{updates: map[worker.Ref]*attemptUpdate{}}
		g.owners[jobShard] = owner
	}
	return owner
}

// QueueUpdates queues updates about attempts for the owners of their jobs, and
// records the outcomes as evidence about the workers.
func (g *Group) QueueUpdates(r *Rack, attempts []*Attempt, now time.Time) {
	g.recordOutcomes(attempts, now)
	for _, a := range attempts {
		g.jobShardOwner(a.JobShard).updates[a.Ref] = &attemptUpdate{rack: r, attempt: a}
	}
}

// PlacePending places the urgent attempts that are waiting for capacity. It must be
// called after QueueUpdates and periodically.
func (g *Group) PlacePending(now time.Time, rng *rand.Rand) {
	for _, r := range g.racks {
		g.QueueUpdates(r, r.placePending(now, rng), now)
	}
}

// Sync handles a request from the owner of a job shard and returns the updates
// for it. The refusal is non-nil if the sender is no longer the owner, or if a
// later message has already been processed; the request then has no effect.
func (g *Group) Sync(s *wire.TaskSync, now time.Time, rng *rand.Rand) (*wire.TaskReport, *wire.Refusal) {
	owner := g.jobShardOwner(s.JobShard)
	// Messages that place, stop or request the inventory must be processed in
	// order. All others may arrive in any order.
	sequenced := len(s.Placements)+len(s.Stops) > 0 || s.Inventory
	switch {
	case s.JobEpoch < owner.epoch:
		return nil, &wire.Refusal{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Reason: "a later owner of the job shard is known"}
	case s.JobEpoch > owner.epoch:
		owner.epoch, owner.sequence = s.JobEpoch, 0
	}
	if sequenced {
		if s.Sequence <= owner.sequence {
			return nil, &wire.Refusal{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Reason: "a later message was served first"}
		}
		owner.sequence = s.Sequence
	}
	g.acknowledge(owner, s.Acknowledged)
	report := &wire.TaskReport{}
	g.stop(s, report)
	g.place(s, report, now, rng)
	g.report(owner, s, report)
	return report, nil
}

func refFromWire(r *wire.AttemptRef) worker.Ref { return worker.Ref{Task: r.Task, Attempt: r.Attempt} }

func (g *Group) acknowledge(owner *jobShardOwner, refs []*wire.AttemptRef) {
	for _, w := range refs {
		ref := refFromWire(w)
		for _, r := range g.racks {
			r.Acknowledge(ref)
		}
		if update, ok := owner.updates[ref]; ok && update.attempt.Final() {
			delete(owner.updates, ref)
		}
	}
}

func (g *Group) stop(s *wire.TaskSync, report *wire.TaskReport) {
	for _, w := range s.Stops {
		for _, r := range g.racks {
			a, err := r.Stop(refFromWire(w), w.Checkpoint)
			if err == nil && a.Final() {
				report.Attempts = append(report.Attempts, attemptToWire(r, a))
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
		placeFunc := r.Place
		if p.Preempt {
			placeFunc = r.PlaceUrgent
		}
		_, err := placeFunc(startFromWire(p), Preferences{Spread: spreadKey(p), Long: p.Long, Avoid: p.Avoid}, now, rng)
		switch {
		case errors.Is(err, placement.ErrTooLarge):
			refuse("larger than any worker of " + p.Shard)
		case err != nil:
			refuse("no room on " + p.Shard)
		}
	}
}

// spreadKey returns the key that spreads the tasks of a service job over
// workers, or "" for other classes.
func spreadKey(p *wire.Placement) string {
	if class.Class(p.Class) != class.Service {
		return ""
	}
	job, _, _ := strings.Cut(p.Task, "/")
	return job
}

func startFromWire(p *wire.Placement) worker.Start {
	return worker.Start{
		Ref: worker.Ref{Task: p.Task, Attempt: p.Attempt}, JobShard: p.JobShard, Organisation: p.Organisation,
		Class: p.Class, Kind: p.Kind, Demand: VectorFromWire(p.Demand), Work: p.Work,
		NonIdempotent: p.NonIdempotent,
	}
}

// VectorFromWire converts a resource vector from its wire format.
func VectorFromWire(v *wire.Vector) resource.Vector {
	return resource.Vector{MilliCPU: v.GetMilliCpu(), MemoryMB: v.GetMemoryMb(), Accelerators: v.GetAccelerators()}
}

// VectorToWire converts a resource vector to its wire format.
func VectorToWire(v resource.Vector) *wire.Vector {
	return &wire.Vector{MilliCpu: v.MilliCPU, MemoryMb: v.MemoryMB, Accelerators: v.Accelerators}
}

// report adds the queued updates, or the whole inventory if it was requested.
// An update of a final attempt is repeated until it is acknowledged.
func (g *Group) report(owner *jobShardOwner, s *wire.TaskSync, report *wire.TaskReport) {
	if s.Inventory {
		g.inventory(s.JobShard, report)
	} else {
		for ref, update := range owner.updates {
			report.Attempts = append(report.Attempts, attemptToWire(update.rack, update.attempt))
			if !update.attempt.Final() {
				delete(owner.updates, ref)
			}
		}
	}
	var free resource.Vector
	for _, r := range g.racks {
		free = free.Add(r.Free())
		report.Shards = append(report.Shards, &wire.ShardEpoch{
			Shard: r.Name, Epoch: r.Epoch, Complete: r.InventoryComplete(),
			Free: VectorToWire(r.Free()), Largest: VectorToWire(r.Largest()), LargestLong: VectorToWire(r.LargestLong()),
		})
	}
	report.Free = VectorToWire(free)
}

func (g *Group) inventory(jobShard string, report *wire.TaskReport) {
	for _, r := range g.racks {
		for _, a := range r.attempts {
			if a.JobShard == jobShard {
				report.Attempts = append(report.Attempts, attemptToWire(r, a))
			}
		}
	}
}

func attemptToWire(r *Rack, a *Attempt) *wire.Attempt {
	w := &wire.Attempt{
		Task: a.Task, Attempt: a.Ref.Attempt, Worker: a.Worker, Reason: a.Reason, Organisation: a.Organisation,
		Class: a.Class, Demand: VectorToWire(a.Demand), Shard: r.Name, RanMs: uint64(a.LastReport.Ran.Milliseconds()), Used: VectorToWire(a.LastReport.Used),
	}
	switch a.Suspicion {
	case Suspected:
		w.CrashSuspicion = wire.CrashSuspicion_CRASH_SUSPICION_AMONG_OTHERS
	case SoleSuspect:
		w.CrashSuspicion = wire.CrashSuspicion_CRASH_SUSPICION_ALONE
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
		w.State, w.Result, w.Checkpoint = endStateToWire(a.LastReport.State), a.LastReport.Result, a.LastReport.Checkpoint
	}
	return w
}

func endStateToWire(s worker.State) wire.AttemptState {
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
