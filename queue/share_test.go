package queue

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/resource"
)

// simulationStep is the simulated time between two steps.
const simulationStep = 4 * time.Second

// sim simulates a pool of capacity in which each task runs for its estimate.
type sim struct {
	free resource.Vector
	ends map[int64][]alloc // running tasks by the number of the step that they end in
}

// alloc is the capacity that a running task holds.
type alloc struct {
	organisation string
	demand       resource.Vector
}

func newSim(pool resource.Vector) *sim { return &sim{free: pool, ends: make(map[int64][]alloc)} }

func (c *sim) step(q *Queue, number int64) {
	now := start.Add(time.Duration(number) * simulationStep)
	for _, h := range c.ends[number] {
		q.Ended(Item{Organisation: h.organisation, Demand: h.demand}, now)
		c.free = c.free.Add(h.demand)
	}
	delete(c.ends, number)
	for !c.free.IsZero() {
		i, ok := q.Next(now, func(i Item) bool { return c.free.Covers(i.Demand) })
		if !ok {
			return
		}
		q.Started(i, now)
		c.free = c.free.Sub(i.Demand)
		end := number + int64((i.Estimate+simulationStep-1)/simulationStep)
		c.ends[end] = append(c.ends[end], alloc{i.Organisation, i.Demand})
	}
}

// Over time each backlogged organisation gets its weighted share of the used
// capacity, to within 5 %, for any demands and run times of its tasks.
func TestFairShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(1, 4), 2, 4).Draw(t, "weights")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		q := Queue{Pool: cores(150), Shares: map[string]Share{}, HalfLife: 2 * time.Minute}
		total := 0
		names := make([]string, len(weights))
		for n, w := range weights {
			names[n] = fmt.Sprint("o", n)
			q.Shares[names[n]] = Share{Weight: w}
			total += w
		}
		c := newSim(q.Pool)
		used := make([]float64, len(weights))
		sum, id := 0.0, 0
		for step := range int64(80 * time.Minute / simulationStep) {
			now := start.Add(time.Duration(step) * simulationStep)
			for n, name := range names {
				for k := q.Waiting(name, class.Batch); k < 60; k++ {
					id++
					q.Push(Item{
						ID: strconv.Itoa(id), Organisation: name, Class: class.Batch, Demand: cores(1 + int64(n)%3), Enqueued: now,
						Estimate: time.Duration((n+1)*(10+rng.IntN(20))) * time.Second,
					})
				}
			}
			c.step(&q, step)
			if now.Sub(start) < 20*time.Minute {
				continue
			}
			for n := range weights {
				u := float64(q.Running(names[n]).MilliCPU)
				used[n] += u
				sum += u
			}
		}
		for n, w := range weights {
			got, want := used[n]/sum, float64(w)/float64(total)
			if got < 0.95*want || got > 1.05*want {
				t.Errorf("organisation %d used %.4f of the capacity used, want %.4f (weights %v)", n, got, want, weights)
			}
		}
	})
}
