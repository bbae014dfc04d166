// Package gangjob measures how long a gang job waits for half of the workers.
//
// Usage:
//
//	r := gangjob.Policy{Name: "reservation", Reserve: true, Learn: true}.Run(w, seed)
//	fmt.Println(r.Bound, r.Waited)
package gangjob

import (
	"fmt"
	"math/rand/v2"
	"time"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/estimate"
	"persimmonworks.example/persimmonworks/gang"
	"persimmonworks.example/persimmonworks/measure/agenda"
	"persimmonworks.example/persimmonworks/measure/outcome"
	"persimmonworks.example/persimmonworks/measure/workload"
	"persimmonworks.example/persimmonworks/placement"
	"persimmonworks.example/persimmonworks/resource"
)

// limitQuantile is the quantile of the learned run times at which batch work
// is stopped or checkpointed while a gang job waits.
const limitQuantile = 0.95

// Policy is a policy for a gang job that takes half of the workers while batch
// work keeps coming.
type Policy struct {
	Name    string
	Reserve bool // with a reservation; else it starts when there happens to be room
	Learn   bool // limits and expected run times are learned; else as declared
}

// Result is what became of the gang job. All times are in virtual time.
type Result struct {
	Policy  string
	Seed    uint64
	Bound   time.Duration // stated when the job arrived; zero without reservation
	Waited  time.Duration // until it started, or until the end of the run
	Started bool
	Stopped int     // tasks that were ended at their limit for it
	Packing float64 // mean share of the processors in use until it started
}

// gangRun is a run.
type gangRun struct {
	p       Policy
	w       *workload.Workload
	rng     *rand.Rand
	shard   placement.Shard
	waiting []workload.Arrival
	agenda  agenda.Agenda[workload.Arrival] // ends
	ends    map[string]gang.RunningTask
	learned estimate.Estimator
	booked  *gang.Reservation
	packing float64
	samples int
	stopped int
	workers []string
}

// Run measures the policy: the gang job arrives at the end of the warm-up.
func (p Policy) Run(w *workload.Workload, seed uint64) *Result {
	g := &gangRun{p: p, w: w, rng: rand.New(rand.NewPCG(seed, 4)), ends: make(map[string]gang.RunningTask)}
	for n := range w.Workers {
		id := fmt.Sprint("w-", n)
		g.workers = append(g.workers, id)
		if err := g.shard.AddWorker(placement.Worker{ID: id, Capacity: w.Capacity()}); err != nil {
			panic(err) // the names are distinct
		}
	}
	out := &Result{Policy: p.Name, Seed: seed}
	g.agenda.Add(w.WarmUp, workload.Arrival{}) // nothing ends, but the job arrives
	arrivals := w.Arrivals(seed)
	for n := 0; n < len(arrivals); {
		if next, ok := g.agenda.First(); ok && next <= arrivals[n].At {
			at, a, _ := g.agenda.Next()
			g.end(a)
			if g.step(at, out) {
				return out
			}
			continue
		}
		a := arrivals[n]
		n++
		if a.Stream.Class() != class.Batch {
			continue
		}
		g.waiting = append(g.waiting, a)
		if g.step(a.At, out) {
			return out
		}
	}
	out.Waited, out.Packing, out.Stopped = w.Duration-w.WarmUp, g.packing, g.stopped
	return out
}

// members are whole workers.
func (g *gangRun) members() []resource.Vector {
	m := make([]resource.Vector, g.w.Workers/2)
	for n := range m {
		m[n] = g.w.Capacity()
	}
	return m
}

func (g *gangRun) end(a workload.Arrival) {
	if _, ok := g.ends[a.ID]; !ok {
		return // stopped at its limit, or nothing at all
	}
	delete(g.ends, a.ID)
	g.shard.Release(a.ID)
	g.learned.Observe(a.Stream.Organisation, a.Stream.Name, a.RunTime, a.Declared)
}

// step starts what may start, and reports whether the gang job has.
func (g *gangRun) step(at time.Duration, out *Result) bool {
	if at >= g.w.WarmUp {
		if g.p.Reserve && g.booked == nil {
			g.book(at, out)
		}
		if g.ready(at) {
			out.Started, out.Waited, out.Packing, out.Stopped = true, at-g.w.WarmUp, g.packing, g.stopped
			return true
		}
	}
	g.fill(at)
	if at >= g.w.WarmUp {
		used := g.w.Pool().Sub(g.shard.FreeCapacity()).DominantShare(g.w.Pool())
		g.samples++
		g.packing += (used - g.packing) / float64(g.samples)
	}
	return false
}

func (g *gangRun) free() []gang.FreeCapacity {
	var free []gang.FreeCapacity
	for _, id := range g.workers {
		amount, _ := g.shard.FreeOn(id)
		free = append(free, gang.FreeCapacity{Worker: id, Amount: amount})
	}
	return free
}

func (g *gangRun) book(at time.Duration, out *Result) {
	var running []gang.RunningTask
	for _, r := range g.ends {
		running = append(running, r)
	}
	r, err := gang.Reserve(g.members(), g.free(), running, outcome.Start.Add(at))
	if err != nil {
		panic(err) // all batch work has a limit
	}
	g.booked, out.Bound = r, r.Start().Sub(outcome.Start.Add(at))
	g.agenda.Add(r.Start().Sub(outcome.Start), workload.Arrival{}) // nothing ends, but the job may start
}

// ready reports whether all members fit. At the start of the reservation, what
// still runs in its room is ended.
func (g *gangRun) ready(at time.Duration) bool {
	now := outcome.Start.Add(at)
	if g.booked != nil && !now.Before(g.booked.Start()) {
		for id, r := range g.ends {
			if !g.booked.Reserved(r.Worker).IsZero() && !r.Limit.After(now) {
				g.shard.Release(id)
				delete(g.ends, id)
				g.stopped++
			}
		}
	}
	_, err := gang.Reserve(g.members(), g.free(), nil, now)
	return err == nil
}

// fill starts batch work where it fits and the reservation lets it.
func (g *gangRun) fill(at time.Duration) {
	now := outcome.Start.Add(at)
	var left []workload.Arrival
	for n, a := range g.waiting {
		if !g.shard.Fits(placement.Task{ID: a.ID, Demand: a.Stream.Demand()}) {
			left = append(left, a)
			if len(left) > 200 { // deep enough to find every demand
				left = append(left, g.waiting[n+1:]...)
				break
			}
			continue
		}
		if !g.start(a, now) {
			left = append(left, a)
		}
	}
	g.waiting = left
}

func (g *gangRun) start(a workload.Arrival, now time.Time) bool {
	expected, limit := a.Declared, max(a.Declared, a.RunTime)
	if g.p.Learn {
		expected, _ = g.learned.Estimate(a.Stream.Organisation, a.Stream.Name, a.Declared, limitQuantile)
		limit = expected
	}
	task := placement.Task{ID: a.ID, Demand: a.Stream.Demand()}
	worker, err := g.shard.Place(task, g.rng)
	if err != nil {
		return false
	}
	until := now.Add(limit)
	if g.booked != nil {
		cut, ok := g.booked.Backfill(worker, task.Demand, expected, now)
		if !ok {
			g.shard.Release(a.ID)
			return false
		}
		if !cut.IsZero() {
			until = cut
		}
	}
	g.ends[a.ID] = gang.RunningTask{Worker: worker, Demand: task.Demand, Limit: until}
	g.agenda.Add(now.Sub(outcome.Start)+a.RunTime, a)
	return true
}
