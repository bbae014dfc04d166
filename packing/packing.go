// Package packing chooses the workers on which the tasks of one step start.
//
// Its functions are pure: they read no clock and have no side effects. Demands are
// exact, so a choice never exceeds the free resources that the caller states.
//
// It handles two load patterns. Small tasks beside gangs with large members: a
// small task goes to the worker that it leaves with the least free resources, so
// that other workers stay empty for large members. Wide gangs: members go to the
// workers that most of them fit on, so that a gang occupies few workers.
//
// Usage:
//
//	i, ok := packing.BestFit(bins, demand)
//	counts, ok := packing.FitAll(bins, demand, members)
package packing

import (
	"cmp"
	"slices"

	"persimmonworks.example/persimmonworks/resource"
)

// Bin describes the free resources of a worker for the tasks of a step.
type Bin struct {
	Free     resource.Vector
	Capacity resource.Vector
	MaxTasks int     // tasks of the step that may still start there; negative for no limit
	Cost     float64 // factor on the duration of the task there; 1 is usual
}

// Fits returns how many tasks with the given demand fit, at most limit.
func (b *Bin) Fits(demand resource.Vector, limit int) int {
	if b.MaxTasks >= 0 {
		limit = min(limit, b.MaxTasks)
	}
	limit = fitInDimension(b.Free.MilliCPU, demand.MilliCPU, limit)
	limit = fitInDimension(b.Free.MemoryMB, demand.MemoryMB, limit)
	limit = fitInDimension(b.Free.Accelerators, demand.Accelerators, limit)
	return max(0, limit)
}

func fitInDimension(free, demand int64, limit int) int {
	if demand <= 0 {
		return limit
	}
	return min(limit, int(free/demand))
}

// BestFit returns the bin for a single task: of those with about the lowest cost,
// the one that the task leaves with the least free resources.
func BestFit(bins []Bin, demand resource.Vector) (int, bool) {
	best, found := 0, false
	for i := range bins {
		if bins[i].Fits(demand, 1) == 0 {
			continue
		}
		if !found || preferable(&bins[i], &bins[best], demand) {
			best, found = i, true
		}
	}
	return best, found
}

// costTolerance is the difference in cost up to which two bins count as equally
// fast, so that free resources decide between them.
const costTolerance = 0.15

func preferable(b, other *Bin, demand resource.Vector) bool {
	if d := b.Cost - other.Cost; d > costTolerance || d < -costTolerance {
		return d < 0
	}
	return leftover(b, demand) < leftover(other, demand)
}

func leftover(b *Bin, demand resource.Vector) float64 {
	return b.Free.Sub(demand).DominantShare(b.Capacity)
}

// FitAll returns the number of members for each bin, or false if they do not all fit.
func FitAll(bins []Bin, demand resource.Vector, members int) ([]int, bool) {
	order := make([]int, len(bins))
	fits := make([]int, len(bins))
	for i := range bins {
		order[i] = i
		fits[i] = bins[i].Fits(demand, members)
	}
	slices.SortStableFunc(order, func(i, j int) int {
		if d := bins[i].Cost - bins[j].Cost; d > costTolerance || d < -costTolerance {
			return cmp.Compare(bins[i].Cost, bins[j].Cost)
		}
		return cmp.Or(cmp.Compare(fits[j], fits[i]), cmp.Compare(bins[i].Free.MilliCPU, bins[j].Free.MilliCPU))
	})
	counts := make([]int, len(bins))
	for _, i := range order {
		counts[i] = min(fits[i], members)
		members -= counts[i]
		if members == 0 {
			return counts, true
		}
	}
	return nil, false
}
