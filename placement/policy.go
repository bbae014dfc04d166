// Package placement chooses the worker on which a task starts.
//
// A Shard holds the exact free capacity of the workers of one rack. Only the
// process that owns the rack's lease may call Place, so the sum of accepted
// demands never exceeds a worker's capacity. Package directory chooses among
// the shards of all processes.
//
// Everything is used from one goroutine, reads no clock, and takes its random
// numbers as an argument.
//
// Usage:
//
//	shard := placement.Shard{Reserve: 0.125}
//	err := shard.AddWorker(placement.Worker{ID: "w-17", Rack: "r-2", Capacity: capacity})
//	worker, err := shard.Place(task, rng)
//	...
//	shard.Free(task.ID)
package placement

import (
	"math/rand/v2"

	"persimmonworks.example/persimmonworks/resource"
)

// Weights of the parts of a score. A full share of a worker weighs 1.
const (
	imbalanceWeight = 0.5 // left-over of one resource without the other
	spreadWeight    = 100 // another task of the same spread key
)

// Candidate is a worker that has room for the task.
type Candidate struct {
	Free     resource.Vector // before the placement
	Capacity resource.Vector
	Same     int // tasks of the same spread key that run there
}

// Policy scores a candidate; the lowest score wins, and of equal scores the
// first.
type Policy interface {
	Score(c Candidate, t Task, rng *rand.Rand) float64
}

var (
	_ Policy = BestFit{}
	_ Policy = FirstFit{}
	_ Policy = Random{}
)

// BestFit fills the worker that is left with the least of its dominant
// resource, so that whole workers stay free for large tasks, and avoids
// leaving one resource free without the others. Tasks of one spread key go
// to different workers as far as there are any.
type BestFit struct{}

// Score implements Policy.
func (BestFit) Score(c Candidate, t Task, _ *rand.Rand) float64 {
	most, least := leftOver(c.Free.Sub(t.Demand), c.Capacity)
	score := most + imbalanceWeight*(most-least)
	if t.Spread != "" {
		score += spreadWeight * float64(c.Same)
	}
	return score
}

// FirstFit takes the first worker with room. It is a baseline.
type FirstFit struct{}

// Score implements Policy.
func (FirstFit) Score(Candidate, Task, *rand.Rand) float64 { return 0 }

// Random takes any worker with room. It is a baseline.
type Random struct{}

// Score implements Policy.
func (Random) Score(_ Candidate, _ Task, rng *rand.Rand) float64 { return rng.Float64() }

// leftOver returns the largest and the smallest free fraction among the
// resources that the worker has.
func leftOver(free, capacity resource.Vector) (most, least float64) {
	least = 1
	for _, r := range [...][2]int64{
		{free.MilliCPU, capacity.MilliCPU},
		{free.MemoryMB, capacity.MemoryMB},
		{free.Accelerators, capacity.Accelerators},
	} {
		if r[1] <= 0 {
			continue
		}
		f := float64(r[0]) / float64(r[1])
		most, least = max(most, f), min(least, f)
	}
	return most, least
}
