// Package preemption chooses the running batch attempts to preempt for an urgent
// task, and counts the work that is lost.
//
// Usage:
//
//	victims, ok := preemption.Victims(demand, free, running)
//	victims, left := preemption.MakeRoom(preemption.Need{Demand: d, Tasks: n, Gain: g}, free, running)
//	for _, v := range victims { act on v.Attempt.Task with v.Action }
package preemption

import (
	"cmp"
	"maps"
	"slices"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/resource"
)

// Attempt is a running attempt of a task, with the costs of preempting it.
type Attempt struct {
	Task           string
	Worker         string
	Class          class.Class
	Demand         resource.Vector
	Unsaved        float64 // core seconds done since the last checkpoint, or since the start without one
	CheckpointCost float64 // core seconds to save and resume; negative if the task cannot checkpoint
	Spoilt         float64 // core seconds whose result is late, or of no use, if the attempt does not go on
	Throttled      resource.Vector
	CanThrottle    bool // the attempt can continue with only Throttled reserved
	Preferred      bool // MakeRoom chooses others only where these do not suffice
}

// Action is what preemption does to a victim.
type Action string

// Actions, from the least to the most disruptive.
const (
	Throttle   Action = "throttle"
	Checkpoint Action = "checkpoint"
	Stop       Action = "stop"
)

// Victim is an attempt to preempt.
type Victim struct {
	Attempt  Attempt
	Action   Action
	LostWork float64         // core seconds
	Freed    resource.Vector // resources that preempting the attempt frees
}

// throttleCostPerCore is the loss in core seconds that is charged for each core that
// a throttled attempt gives up. It equals the work of a typical urgent task.
const throttleCostPerCore = 5

// Victims chooses the batch attempts to preempt for an urgent demand on one worker,
// so that the least work is lost. free holds the free resources of each worker that
// may be used; other workers are not considered. Attempts of other classes than
// batch are never chosen. It returns false if no worker can satisfy the demand.
func Victims(demand resource.Vector, free map[string]resource.Vector, running []Attempt) ([]Victim, bool) {
	onWorker := make(map[string][]Victim)
	for _, a := range running {
		if a.Class == class.Batch {
			onWorker[a.Worker] = append(onWorker[a.Worker], newVictim(a))
		}
	}
	var best []Victim
	var lowestLoss float64
	found := false
	for _, worker := range slices.Sorted(maps.Keys(free)) {
		victims, loss, ok := selectVictims(demand.Sub(free[worker]), onWorker[worker])
		if ok && (!found || loss < lowestLoss) {
			best, lowestLoss, found = victims, loss, true
		}
	}
	return best, found
}

// newVictim chooses the action that loses the least work.
func newVictim(a Attempt) Victim {
	v := Victim{Attempt: a, Action: Stop, LostWork: a.Unsaved, Freed: a.Demand}
	if a.CheckpointCost >= 0 && a.CheckpointCost < v.LostWork {
		v.Action, v.LostWork = Checkpoint, a.CheckpointCost
	}
	v.LostWork += a.Spoilt
	if !a.CanThrottle {
		return v
	}
	freed := a.Demand.Sub(a.Throttled)
	lost := throttleCostPerCore * float64(freed.MilliCPU) / resource.MilliPerCore
	if !freed.Negative() && lost < v.LostWork {
		v.Action, v.LostWork, v.Freed = Throttle, lost, freed
	}
	return v
}

// selectVictims picks victims until they cover the shortfall, in the order of work
// lost per share of the shortfall. It then drops those that turn out not to be
// needed, those that lose the most work first.
func selectVictims(shortfall resource.Vector, victims []Victim) (chosen []Victim, lost float64, ok bool) {
	costPerShare := func(v Victim) float64 {
		useful := componentMin(v.Freed, shortfall).DominantShare(shortfall)
		if useful <= 0 {
			return v.LostWork * 1e9
		}
		return v.LostWork / useful
	}
	slices.SortStableFunc(victims, func(a, b Victim) int { return cmp.Compare(costPerShare(a), costPerShare(b)) })
	var freed resource.Vector
	for _, v := range victims {
		if freed.Covers(shortfall) {
			break
		}
		chosen = append(chosen, v)
		freed = freed.Add(v.Freed)
	}
	if !freed.Covers(shortfall) {
		return nil, 0, false
	}
	slices.SortStableFunc(chosen, func(a, b Victim) int { return cmp.Compare(b.LostWork, a.LostWork) })
	needed := chosen[:0]
	for _, v := range chosen {
		if rest := freed.Sub(v.Freed); rest.Covers(shortfall) {
			freed = rest
			continue
		}
		needed = append(needed, v)
		lost += v.LostWork
	}
	return needed, lost, true
}

func componentMin(v, w resource.Vector) resource.Vector {
	return resource.Vector{
		MilliCPU:     min(v.MilliCPU, w.MilliCPU),
		MemoryMB:     min(v.MemoryMB, w.MemoryMB),
		Accelerators: min(v.Accelerators, w.Accelerators),
	}
}
