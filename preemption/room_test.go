package preemption_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/preemption"
	"persimmonworks.example/persimmonworks/resource"
)

// Whatever runs, the victims free room for the tasks that are said to have it, no victim
// is chosen twice, and the loss stays within the gain.
func TestMakeRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		free, before := map[string]resource.Vector{}, map[string]resource.Vector{}
		var running []preemption.Attempt
		for w := range rapid.IntRange(1, 6).Draw(t, "workers") {
			worker := fmt.Sprintf("w%d", w)
			before[worker] = resource.Vector{MilliCPU: rapid.Int64Range(0, 3000).Draw(t, "free"), MemoryMB: 64000}
			free[worker] = before[worker]
			for range rapid.IntRange(0, 4).Draw(t, "attempts") {
				running = append(running, preemption.Attempt{
					Task: fmt.Sprintf("t%d", len(running)), Worker: worker, Class: class.Batch, Unsaved: 100,
					Demand:         resource.Vector{MilliCPU: rapid.Int64Range(1000, 8000).Draw(t, "demand"), MemoryMB: 1000},
					CheckpointCost: rapid.Float64Range(0.1, 5).Draw(t, "cost"),
				})
			}
		}
		n := preemption.Need{
			Demand: resource.Vector{MilliCPU: rapid.Int64Range(500, 9000).Draw(t, "needed"), MemoryMB: 500},
			Tasks:  rapid.IntRange(1, 12).Draw(t, "tasks"), Gain: rapid.Float64Range(0, 8).Draw(t, "gain"), MaxVictims: 20,
		}
		victims, left := preemption.MakeRoom(n, free, running)
		seen, lost := map[string]bool{}, 0.0
		for _, v := range victims {
			if seen[v.Attempt.Task] {
				t.Fatalf("%s is chosen twice", v.Attempt.Task)
			}
			seen[v.Attempt.Task] = true
			lost += v.LostWork
			before[v.Attempt.Worker] = before[v.Attempt.Worker].Add(v.Freed)
		}
		fit := 0
		for _, v := range before {
			for ; v.Covers(n.Demand); v = v.Sub(n.Demand) {
				fit++
			}
		}
		if placed := n.Tasks - left; fit < placed || lost > n.Gain*float64(max(placed, fit))+1e-9 {
			t.Fatalf("%d of %d tasks have room, %d fit; lost %.1f for %.1f each", placed, n.Tasks, fit, lost, n.Gain)
		}
	})
}
