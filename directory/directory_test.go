package directory

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"persimmonworks.example/persimmonworks/placement"
	"persimmonworks.example/persimmonworks/resource"
)

// Compares the index with a scan of all shards under random updates: Choose and Fits
// must find a shard exactly if one advertises enough capacity, and Choose must take
// it from the first data centre that has one.
func TestDirectoryAgreesWithScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var d Directory
		model := map[string]Summary{}
		rng := rand.New(rand.NewPCG(1, 1))
		amount := rapid.Int64Range(0, 20)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			s := Summary{
				Shard:      fmt.Sprint("s", rapid.IntRange(0, 12).Draw(t, "shard")),
				DataCentre: rapid.SampledFrom([]string{"near", "far"}).Draw(t, "data-centre"),
				Largest:    resource.Vector{MilliCPU: amount.Draw(t, "cpu"), MemoryMB: amount.Draw(t, "memory")},
			}
			s.LargestLong = resource.Vector{MilliCPU: s.Largest.MilliCPU / 2, MemoryMB: amount.Draw(t, "long-memory")}
			s.Free = s.Largest.Scale(2)
			d.Update(s)
			model[s.Shard] = s
			if rapid.Bool().Draw(t, "remove") {
				gone := fmt.Sprint("s", rapid.IntRange(0, 12).Draw(t, "gone"))
				d.Remove(gone)
				delete(model, gone)
			}
			demand := resource.Vector{MilliCPU: amount.Draw(t, "need-cpu"), MemoryMB: amount.Draw(t, "need-memory")}
			want, long := "", rapid.Bool().Draw(t, "long")
			for _, m := range model {
				if m.largest(long).Covers(demand) && want != "near" {
					want = m.DataCentre
				}
			}
			task := placement.Task{ID: "t", Demand: demand, Long: long, SpreadKey: rapid.SampledFrom([]string{"", "web"}).Draw(t, "spread")}
			if fits := d.Fits(task, []string{"near", "far"}); fits != (want != "") {
				t.Fatalf("Fits(%v) = %v, want a shard in %q", task, fits, want)
			}
			shard, err := d.Choose(task, []string{"near", "far"}, rng)
			if model[shard].DataCentre != want || (err == nil) != (want != "") {
				t.Fatalf("Choose returned %q (error: %v) for demand %v, want a shard in %q", shard, err, demand, want)
			}
			if err == nil {
				if m := model[shard]; !m.largest(long).Covers(demand) {
					t.Fatalf("Choose returned shard %q, which does not advertise %v", shard, demand)
				}
				d.RecordRefusal(shard, task)
				if l := d.shards[shard]; !demand.IsZero() && l.largest(long).Covers(demand) {
					t.Fatalf("shard %q refused %v and is still listed as covering it", shard, demand)
				}
				d.Update(model[shard])
			}
		}
	})
}

// Replicas with one spread key are distributed evenly over the racks, and a rack whose
// replica has ended gets the next one.
func TestSpreadOverRacks(t *testing.T) {
	var d Directory
	rng := rand.New(rand.NewPCG(1, 1))
	capacity := resource.Vector{MilliCPU: 16000, MemoryMB: 32768}
	for n := range 5 {
		d.Update(Summary{Shard: fmt.Sprint("rack-", n), DataCentre: "sofia", Largest: capacity, LargestLong: capacity, Free: capacity.Scale(8)})
	}
	task := placement.Task{Demand: resource.Vector{MilliCPU: 500}, SpreadKey: "web"}
	seen := map[string]int{}
	for range 10 {
		s, err := d.Choose(task, []string{"sofia"}, rng)
		if err != nil {
			t.Fatal(err)
		}
		seen[s]++
	}
	for n := range 5 {
		if s := fmt.Sprint("rack-", n); seen[s] != 2 {
			t.Errorf("shard %s has %d of 10 replicas, want 2", s, seen[s])
		}
	}
	d.RecordTaskEnd("rack-3", "web")
	if s, _ := d.Choose(task, []string{"sofia"}, rng); s != "rack-3" {
		t.Errorf("the replica was placed on %s, want rack-3, which has the fewest", s)
	}
}
