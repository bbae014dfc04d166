package fairness

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"persimmonworks.example/persimmonworks/resource"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// The reports of peers decay with the half-life. A new report replaces the
// previous one of the same process.
func TestSetPeerUsage(t *testing.T) {
	tracker := UsageTracker{Pool: resource.Vector{MilliCPU: 1000}, HalfLife: time.Minute}
	tracker.SetPeerUsage("p", map[string]float64{"a": 0.5}, start)
	tracker.SetPeerUsage("p", map[string]float64{"a": 0.4}, start)
	tracker.SetPeerUsage("gone", map[string]float64{"a": 0.4}, start)
	tracker.ForgetPeer("gone")
	for after, want := range map[time.Duration]float64{0: 0.4, time.Minute: 0.2} {
		if got := tracker.Usage("a", start.Add(after)); got < want-1e-9 || got > want+1e-9 {
			t.Errorf("usage after %v is %v, want %v", after, got, want)
		}
	}
}

// Past reservations decay with the half-life, for every resource.
func TestUsageDecays(t *testing.T) {
	for name, demand := range map[string]resource.Vector{
		"processor":   {MilliCPU: 500},
		"memory":      {MemoryMB: 500},
		"accelerator": {Accelerators: 500},
	} {
		tracker := UsageTracker{Pool: resource.Vector{MilliCPU: 1000, MemoryMB: 1000, Accelerators: 1000}, HalfLife: time.Minute}
		tracker.Started("a", demand, start)
		if got := tracker.Usage("a", start.Add(time.Minute)); got != RunningWeight*0.5+(1-RunningWeight)*0.25 {
			t.Errorf("%s: usage is %v after half the pool was reserved for one half-life", name, got)
		}
		tracker.Ended("a", demand, start.Add(time.Minute))
		if got := tracker.Usage("a", start.Add(2*time.Minute)); got != (1-RunningWeight)*0.125 {
			t.Errorf("%s: usage is %v one half-life after the end", name, got)
		}
	}
}

// The usage is the decayed integral of the reservations over time, however often
// the tracker is updated. Nothing stays reserved after all tasks have ended.
func TestUsageIsDecayedIntegral(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := UsageTracker{Pool: resource.Vector{MilliCPU: 1000}, HalfLife: time.Minute}
		seconds := rapid.IntRange(0, 300)
		end := start.Add(300 * time.Second)
		reserved := make([]int64, 300) // in each second
		type change struct{ from, to, amount int }
		var changes []change
		for range rapid.IntRange(1, 10).Draw(t, "tasks") {
			a, b := seconds.Draw(t, "from"), seconds.Draw(t, "to")
			c := change{min(a, b), max(a, b), rapid.IntRange(0, 100).Draw(t, "amount")}
			changes = append(changes, c)
			for n := c.from; n < c.to; n++ {
				reserved[n] += int64(c.amount)
			}
		}
		for n := range 301 {
			now := start.Add(time.Duration(n) * time.Second)
			for _, c := range changes {
				d := resource.Vector{MilliCPU: int64(c.amount)}
				if c.from == n {
					tracker.Started("a", d, now)
				}
				if c.to == n {
					tracker.Ended("a", d, now)
				}
			}
		}
		want := 0.0
		step := math.Exp2(-1.0 / 60)
		for _, h := range reserved {
			want = want*step + float64(h)/1000*(1-step)
		}
		if got := tracker.Usage("a", end); math.Abs(got-(1-RunningWeight)*want) > 1e-9 {
			t.Fatalf("usage is %v, want %v for %s", got, (1-RunningWeight)*want, fmt.Sprint(changes))
		}
		if r := tracker.Running("a"); !r.IsZero() {
			t.Fatalf("%v is reserved after all tasks have ended", r)
		}
	})
}
