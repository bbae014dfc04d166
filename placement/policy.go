// Package placement chooses the worker on which a task starts.
//
// A Shard tracks the exact free capacity of the workers of one rack. Only the
// process that holds the rack's lease may call Place, so the sum of the placed
// demands never exceeds a worker's capacity. Package directory chooses among
// the shards of all processes.
//
// The package reads no clock, and the source of random numbers is passed as an
// argument. Its types are not safe for concurrent use.
//
// Usage:
//
//	shard := placement.Shard{Reserve: 0.125}
//	err := shard.AddWorker(placement.Worker{ID: "w-17", Rack: "r-2", Capacity: capacity})
//	worker, err := shard.Place(task, rng)
//	...
//	shard.Release(task.ID)
package placement

import (
	"math/rand/v2"

	"persimmonworks.example/persimmonworks/resource"
)

// Weights of the terms of a score. The largest free fraction has weight 1.
const (
	imbalanceWeight = 0.5 // difference between the largest and the smallest free fraction
	spreadWeight    = 100 // each task on the worker with the same spread key
)

// Candidate is a worker that has enough free capacity for the task.
type Candidate struct {
	Free       resource.Vector // before the placement
	Capacity   resource.Vector
	SameSpread int // tasks with the same spread key already on the worker
}

// Policy scores candidates. The candidate with the lowest score is chosen; ties
// go to the worker that was added first.
type Policy interface {
	Score(c Candidate, t Task, rng *rand.Rand) float64
}

var (
	_ Policy = BestFit{}
	_ Policy = FirstFit{}
	_ Policy = Random{}
)

// BestFit prefers the worker whose largest free fraction after the placement is
// smallest, so that whole workers stay free for large tasks. It penalises leaving
// one resource free while another is used up, and places tasks with the same
// spread key on different workers where possible.
type BestFit struct{}

// Score implements Policy.
func (BestFit) Score(c Candidate, t Task, _ *rand.Rand) float64 {
	largest, smallest := freeFractions(c.Free.Sub(t.Demand), c.Capacity)
	score := largest + imbalanceWeight*(largest-smallest)
	if t.SpreadKey != "" {
		score += spreadWeight * float64(c.SameSpread)
	}
	return score
}

// FirstFit chooses the first worker with enough free capacity. It serves as a
// baseline for measurements.
type FirstFit struct{}

// Score implements Policy.
func (FirstFit) Score(Candidate, Task, *rand.Rand) float64 { return 0 }

// Random chooses a random worker with enough free capacity. It serves as a
// baseline for measurements.
type Random struct{}

// Score implements Policy.
func (Random) Score(_ Candidate, _ Task, rng *rand.Rand) float64 { return rng.Float64() }

// freeFractions returns the largest and the smallest free fraction among the
// resources that the worker has.
func freeFractions(free, capacity resource.Vector) (largest, smallest float64) {
	smallest = 1
	for _, r := range [...][2]int64{
		{free.MilliCPU, capacity.MilliCPU},
		{free.MemoryMB, capacity.MemoryMB},
		{free.Accelerators, capacity.Accelerators},
	} {
		if r[1] <= 0 {
			continue
		}
		f := float64(r[0]) / float64(r[1])
		largest, smallest = max(largest, f), min(smallest, f)
	}
	return largest, smallest
}
