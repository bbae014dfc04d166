// Package packing chooses the workers on which tasks of one step start.
//
// It is a pure decision: it reads no clock and changes nothing. Demands are
// exact, so a choice never exceeds the room that the caller states.
//
// It answers two load patterns. Small tasks beside gangs of large ones: small
// tasks go where the least room is left, which keeps whole rooms for large
// members. Wide gangs: members go where most of them fit, so that a gang takes
// few workers.
//
// Usage:
//
//	i, ok := packing.One(rooms, demand)
//	counts, ok := packing.All(rooms, demand, members)
package packing

import (
	"cmp"
	"slices"

	"persimmonworks.example/persimmonworks/resource"
)

// Room is what a worker has left for a step.
type Room struct {
	Free     resource.Vector
	Capacity resource.Vector
	Most     int     // tasks of the step that may still start there, below 0 for any number
	Cost     float64 // how much slower the task runs there; 1 is usual
}

// Holds returns how many tasks of one demand fit, at most limit.
func (r *Room) Holds(demand resource.Vector, limit int) int {
	if r.Most >= 0 {
		limit = min(limit, r.Most)
	}
	limit = perDimension(r.Free.MilliCPU, demand.MilliCPU, limit)
	limit = perDimension(r.Free.MemoryMB, demand.MemoryMB, limit)
	limit = perDimension(r.Free.Accelerators, demand.Accelerators, limit)
	return max(0, limit)
}

func perDimension(free, demand int64, limit int) int {
	if demand <= 0 {
		return limit
	}
	return min(limit, int(free/demand))
}

// One returns the room for a single task: among the cheapest the one in which
// the least is left.
func One(rooms []Room, demand resource.Vector) (int, bool) {
	best, found := 0, false
	for i := range rooms {
		if rooms[i].Holds(demand, 1) == 0 {
			continue
		}
		if !found || better(&rooms[i], &rooms[best], demand) {
			best, found = i, true
		}
	}
	return best, found
}

// costStep is the difference of cost below which packing decides.
const costStep = 0.15

func better(r, s *Room, demand resource.Vector) bool {
	if d := r.Cost - s.Cost; d > costStep || d < -costStep {
		return d < 0
	}
	return left(r, demand) < left(s, demand)
}

func left(r *Room, demand resource.Vector) float64 {
	return r.Free.Sub(demand).DominantShare(r.Capacity)
}

// All returns how many of the members each room gets, or false if not all fit.
func All(rooms []Room, demand resource.Vector, members int) ([]int, bool) {
	order := make([]int, len(rooms))
	holds := make([]int, len(rooms))
	for i := range rooms {
		order[i] = i
		holds[i] = rooms[i].Holds(demand, members)
	}
	slices.SortStableFunc(order, func(i, j int) int {
		if d := rooms[i].Cost - rooms[j].Cost; d > costStep || d < -costStep {
			return cmp.Compare(rooms[i].Cost, rooms[j].Cost)
		}
		return cmp.Or(cmp.Compare(holds[j], holds[i]), cmp.Compare(rooms[i].Free.MilliCPU, rooms[j].Free.MilliCPU))
	})
	counts := make([]int, len(rooms))
	for _, i := range order {
		counts[i] = min(holds[i], members)
		members -= counts[i]
		if members == 0 {
			return counts, true
		}
	}
	return nil, false
}
