// Package preemption chooses which running batch work makes room for urgent
// work, and counts the work that is lost by it.
//
// Usage:
//
//	victims, ok := preemption.Victims(demand, free, running)
//	for _, v := range victims { act on v.Attempt.Task with v.Action }
package preemption

import (
	"cmp"
	"maps"
	"slices"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/resource"
)

// Attempt is a running attempt of a task, as seen by the choice of victims.
type Attempt struct {
	Task           string
	Worker         string
	Class          class.Class
	Demand         resource.Vector
	Unsaved        float64 // core seconds done since the last checkpoint or the start
	CheckpointCost float64 // core seconds to save and to resume; negative if it cannot
	Throttled      resource.Vector
	CanThrottle    bool // may go on with only Throttled reserved
}

// Action is what is done to a victim.
type Action string

// Actions, the gentlest first.
const (
	Throttle   Action = "throttle"
	Checkpoint Action = "checkpoint"
	Stop       Action = "stop"
)

// Victim is an attempt that makes room, and the work lost by it.
type Victim struct {
	Attempt Attempt
	Action  Action
	Lost    float64         // core seconds
	Frees   resource.Vector // amount that is free afterwards
}

// throttleCost is the loss of a throttled attempt for each core that it gives
// up: the core seconds of a typical urgent task.
const throttleCost = 5

// Victims chooses the batch attempts that make room for an urgent demand on
// one worker with the least work lost. Free holds what is free on each worker
// that may be used; workers that are absent are left alone. Only attempts of
// class batch are touched. The second result is false if no worker can make
// room.
func Victims(demand resource.Vector, free map[string]resource.Vector, running []Attempt) ([]Victim, bool) {
	onWorker := make(map[string][]Victim)
	for _, a := range running {
		if a.Class == class.Batch {
			onWorker[a.Worker] = append(onWorker[a.Worker], victim(a))
		}
	}
	var best []Victim
	var lowest float64
	found := false
	for _, worker := range slices.Sorted(maps.Keys(free)) {
		victims, lost, ok := cheapest(demand.Sub(free[worker]), onWorker[worker])
		if ok && (!found || lost < lowest) {
			best, lowest, found = victims, lost, true
		}
	}
	return best, found
}

// victim chooses the action that loses the least work.
func victim(a Attempt) Victim {
	v := Victim{Attempt: a, Action: Stop, Lost: a.Unsaved, Frees: a.Demand}
	if a.CheckpointCost >= 0 && a.CheckpointCost < v.Lost {
		v.Action, v.Lost = Checkpoint, a.CheckpointCost
	}
	if !a.CanThrottle {
		return v
	}
	frees := a.Demand.Sub(a.Throttled)
	lost := throttleCost * float64(frees.MilliCPU) / resource.MilliPerCore
	if !frees.Negative() && lost < v.Lost {
		v.Action, v.Lost, v.Frees = Throttle, lost, frees
	}
	return v
}

// cheapest takes victims in the order of loss for what they free of the lack,
// then spares those, the dearest first, that turn out not to be needed.
func cheapest(lack resource.Vector, victims []Victim) (chosen []Victim, lost float64, ok bool) {
	price := func(v Victim) float64 {
		useful := minimum(v.Frees, lack).DominantShare(lack)
		if useful <= 0 {
			return v.Lost * 1e9
		}
		return v.Lost / useful
	}
	slices.SortStableFunc(victims, func(a, b Victim) int { return cmp.Compare(price(a), price(b)) })
	var freed resource.Vector
	for _, v := range victims {
		if freed.Covers(lack) {
			break
		}
		chosen = append(chosen, v)
		freed = freed.Add(v.Frees)
	}
	if !freed.Covers(lack) {
		return nil, 0, false
	}
	slices.SortStableFunc(chosen, func(a, b Victim) int { return cmp.Compare(b.Lost, a.Lost) })
	needed := chosen[:0]
	for _, v := range chosen {
		if rest := freed.Sub(v.Frees); rest.Covers(lack) {
			freed = rest
			continue
		}
		needed = append(needed, v)
		lost += v.Lost
	}
	return needed, lost, true
}

func minimum(v, w resource.Vector) resource.Vector {
	return resource.Vector{
		MilliCPU:     min(v.MilliCPU, w.MilliCPU),
		MemoryMB:     min(v.MemoryMB, w.MemoryMB),
		Accelerators: min(v.Accelerators, w.Accelerators),
	}
}
