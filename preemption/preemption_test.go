package preemption

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/resource"
)

func cores(n int64) resource.Vector {
	return resource.Vector{MilliCPU: n * resource.MilliPerCore, MemoryMB: n * 2048}
}

// Victims free enough resources on one worker, are all of class batch and all
// needed, and none loses more work than stopping it would.
func TestVictims(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		free := map[string]resource.Vector{"w0": cores(0), "w1": cores(1)}
		var running []Attempt
		for n := range rapid.IntRange(0, 12).Draw(t, "attempts") {
			running = append(running, Attempt{
				Task: fmt.Sprint(n), Worker: fmt.Sprint("w", n%3),
				Class:          rapid.SampledFrom(class.All).Draw(t, "class"),
				Demand:         cores(rapid.Int64Range(1, 4).Draw(t, "cores")),
				Unsaved:        rapid.Float64Range(0, 1000).Draw(t, "unsaved"),
				CheckpointCost: rapid.Float64Range(-1, 100).Draw(t, "checkpoint"),
				CanThrottle:    rapid.Bool().Draw(t, "throttle"),
			})
		}
		demand := cores(rapid.Int64Range(1, 6).Draw(t, "demand"))
		victims, ok := Victims(demand, free, running)
		if !ok {
			for w, f := range free {
				for _, a := range running {
					if a.Worker == w && a.Class == class.Batch {
						f = f.Add(a.Demand)
					}
				}
				if f.Covers(demand) {
					t.Fatalf("worker %s could satisfy %v, but no victims were found", w, demand)
				}
			}
			return
		}
		for skip := -1; skip < len(victims); skip++ {
			available := free["w1"]
			if len(victims) > 0 {
				available = free[victims[0].Attempt.Worker]
			}
			for n, v := range victims {
				if v.Attempt.Class != class.Batch || v.Attempt.Worker != victims[0].Attempt.Worker {
					t.Fatalf("%v is not batch, or on another worker", v)
				}
				if v.LostWork > v.Attempt.Unsaved {
					t.Fatalf("%v loses more work than stopping it", v)
				}
				if n != skip {
					available = available.Add(v.Freed)
				}
			}
			if available.Covers(demand) != (skip < 0) {
				t.Fatalf("without victim %d, %v is free for demand %v: %v", skip, available, demand, victims)
			}
		}
	})
}
