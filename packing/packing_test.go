package packing_test

import (
	"testing"

	"pgregory.net/rapid"

	"persimmonworks.example/persimmonworks/packing"
	"persimmonworks.example/persimmonworks/resource"
)

func vector(cpu, memory int64) resource.Vector {
	return resource.Vector{MilliCPU: cpu, MemoryMB: memory}
}

func drawBins(t *rapid.T) []packing.Bin {
	bins := make([]packing.Bin, rapid.IntRange(0, 12).Draw(t, "rooms"))
	for i := range bins {
		bins[i] = packing.Bin{
			Free:     vector(rapid.Int64Range(-2000, 16000).Draw(t, "cpu"), rapid.Int64Range(0, 32768).Draw(t, "memory")),
			Capacity: vector(16000, 32768), MaxTasks: rapid.IntRange(-1, 4).Draw(t, "most"), Cost: rapid.Float64Range(0.5, 4).Draw(t, "cost"),
		}
	}
	return bins
}

func TestNeverOverRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bins := drawBins(t)
		demand := vector(rapid.Int64Range(0, 8000).Draw(t, "demand"), rapid.Int64Range(0, 9000).Draw(t, "memory demand"))
		members := rapid.IntRange(1, 20).Draw(t, "members")
		total := 0
		for i := range bins {
			total += bins[i].Fits(demand, members)
		}
		counts, ok := packing.FitAll(bins, demand, members)
		if ok != (total >= members) {
			t.Fatalf("FitAll returned %v with room for %d of %d members", ok, total, members)
		}
		placed := 0
		for i, n := range counts {
			placed += n
			if n > bins[i].Fits(demand, members) {
				t.Fatalf("%d members in bin %d, which fits %d", n, i, bins[i].Fits(demand, members))
			}
		}
		if ok && placed != members {
			t.Fatalf("placed %d of %d", placed, members)
		}
		if i, found := packing.BestFit(bins, demand); found != (total > 0) || found && bins[i].Fits(demand, 1) == 0 {
			t.Fatalf("BestFit returned bin %d, %v with room for %d members", i, found, total)
		}
	})
}

// Small tasks go to nearly full workers, so that the next gang with large members
// finds empty ones. The baseline places small tasks round robin.
func TestSmallTasksArePackedTightly(t *testing.T) {
	membersThatFit := func(choose func([]packing.Bin, resource.Vector) int) int {
		bins := make([]packing.Bin, 8)
		for i := range bins {
			bins[i] = packing.Bin{Free: vector(16000, 32768), Capacity: vector(16000, 32768), MaxTasks: -1, Cost: 1}
		}
		small := vector(1000, 1800)
		for range 30 {
			i := choose(bins, small)
			bins[i].Free = bins[i].Free.Sub(small)
		}
		members := 0
		for i := range bins {
			members += bins[i].Fits(vector(4500, 6400), 100)
		}
		return members
	}
	packed := membersThatFit(func(bins []packing.Bin, d resource.Vector) int { i, _ := packing.BestFit(bins, d); return i })
	next := 0
	spread := membersThatFit(func(bins []packing.Bin, _ resource.Vector) int { next++; return next % len(bins) })
	if packed < spread+2 {
		t.Errorf("room for %d members beside 30 small tasks, %d when they are spread", packed, spread)
	}
}
