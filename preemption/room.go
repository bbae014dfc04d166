package preemption

import (
	"slices"

	"persimmonworks.example/persimmonworks/packing"
	"persimmonworks.example/persimmonworks/resource"
)

// Need is the room that the tasks of one step need.
type Need struct {
	Demand     resource.Vector // of each task
	Tasks      int
	Gain       float64 // core seconds that may be lost for each task that gets room
	MaxVictims int
}

// MakeRoom chooses running batch attempts whose end makes room for as many tasks as
// possible, where the loss is worth the gain, and returns them with the number of tasks
// for which there is no room. free holds the free resources of each worker that may be
// used, and is changed.
//
// It answers bursts of short urgent tasks, and wide gangs, on workers full of long tasks.
func MakeRoom(n Need, free map[string]resource.Vector, running []Attempt) (victims []Victim, left int) {
	running = slices.Clone(running)
	for left = n.Tasks; left > 0 && len(victims) < n.MaxVictims; left-- {
		if takeRoom(free, n.Demand) {
			continue // beside a task that a victim has made room for
		}
		next, room, ok := n.worthwhile(free, preferred(running), left)
		if !ok {
			next, room, ok = n.worthwhile(free, running, left)
		}
		if !ok {
			break
		}
		free[next[0].Attempt.Worker] = room.Sub(n.Demand)
		victims = append(victims, next...)
		running = slices.DeleteFunc(running, func(a Attempt) bool {
			return slices.ContainsFunc(next, func(v Victim) bool { return v.Attempt.Task == a.Task })
		})
	}
	return victims, left
}

// worthwhile returns the attempts whose end makes room for a task, and what is free on their
// worker then. It returns false if there are none, or if the loss is not worth the gain.
func (n *Need) worthwhile(free map[string]resource.Vector, running []Attempt, left int) ([]Victim, resource.Vector, bool) {
	victims, ok := Victims(n.Demand, free, running)
	if !ok {
		return nil, resource.Vector{}, false
	}
	room := packing.Bin{Free: free[victims[0].Attempt.Worker], MaxTasks: -1}
	for _, v := range victims {
		room.Free = room.Free.Add(v.Freed)
	}
	return victims, room.Free, lostWork(victims) <= n.Gain*float64(room.Fits(n.Demand, left))
}

// preferred returns the attempts that are to be chosen first.
func preferred(running []Attempt) []Attempt {
	var first []Attempt
	for _, a := range running {
		if a.Preferred {
			first = append(first, a)
		}
	}
	return first
}

// takeRoom subtracts a demand from the free resources of a worker that covers it. It
// returns false if none does.
func takeRoom(free map[string]resource.Vector, demand resource.Vector) bool {
	for worker, v := range free {
		if v.Covers(demand) {
			free[worker] = v.Sub(demand)
			return true
		}
	}
	return false
}

func lostWork(victims []Victim) float64 {
	sum := 0.0
	for _, v := range victims {
		sum += v.LostWork
	}
	return sum
}
