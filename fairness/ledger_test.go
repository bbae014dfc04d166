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

// Late summaries of peers count until they fade, and are replaced, not added.
func TestPeerUsage(t *testing.T) {
	l := Ledger{Pool: resource.Vector{MilliCPU: 1000}, HalfLife: time.Minute}
	l.PeerUsage("p", map[string]float64{"a": 0.5}, start)
	l.PeerUsage("p", map[string]float64{"a": 0.4}, start)
	l.PeerUsage("gone", map[string]float64{"a": 0.4}, start)
	l.ForgetPeer("gone")
	for after, want := range map[time.Duration]float64{0: 0.4, time.Minute: 0.2} {
		if got := l.Usage("a", start.Add(after)); got < want-1e-9 || got > want+1e-9 {
			t.Errorf("after %v the usage is %v, want %v", after, got, want)
		}
	}
}

// What an organisation held fades with the half-life, in every resource.
func TestUsageFades(t *testing.T) {
	for failure, demand := range map[string]resource.Vector{
		"processor":   {MilliCPU: 500},
		"memory":      {MemoryMB: 500},
		"accelerator": {Accelerators: 500},
	} {
		l := Ledger{Pool: resource.Vector{MilliCPU: 1000, MemoryMB: 1000, Accelerators: 1000}, HalfLife: time.Minute}
		l.Started("a", demand, start)
		if got := l.Usage("a", start.Add(time.Minute)); got != RunningWeight*0.5+(1-RunningWeight)*0.25 {
			t.Errorf("%s: after a half-life of holding half the pool the usage is %v", failure, got)
		}
		l.Ended("a", demand, start.Add(time.Minute))
		if got := l.Usage("a", start.Add(2*time.Minute)); got != (1-RunningWeight)*0.125 {
			t.Errorf("%s: a half-life after the end the usage is %v", failure, got)
		}
	}
}

// The usage depends on what was held when, and not on how often the books
// were touched; and what has ended leaves nothing reserved.
func TestUsageIsTheDecayedIntegral(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Ledger{Pool: resource.Vector{MilliCPU: 1000}, HalfLife: time.Minute}
		seconds := rapid.IntRange(0, 300)
		end := start.Add(300 * time.Second)
		held := make([]int64, 300) // in each second
		type change struct{ from, to, amount int }
		var changes []change
		for range rapid.IntRange(1, 10).Draw(t, "tasks") {
			a, b := seconds.Draw(t, "from"), seconds.Draw(t, "to")
			c := change{min(a, b), max(a, b), rapid.IntRange(0, 100).Draw(t, "amount")}
			changes = append(changes, c)
			for n := c.from; n < c.to; n++ {
				held[n] += int64(c.amount)
			}
		}
		for n := range 301 {
			now := start.Add(time.Duration(n) * time.Second)
			for _, c := range changes {
				d := resource.Vector{MilliCPU: int64(c.amount)}
				if c.from == n {
					l.Started("a", d, now)
				}
				if c.to == n {
					l.Ended("a", d, now)
				}
			}
		}
		want := 0.0
		step := math.Exp2(-1.0 / 60)
		for _, h := range held {
			want = want*step + float64(h)/1000*(1-step)
		}
		if got := l.Usage("a", end); math.Abs(got-(1-RunningWeight)*want) > 1e-9 {
			t.Fatalf("the usage is %v, want %v for %s", got, (1-RunningWeight)*want, fmt.Sprint(changes))
		}
		if r := l.Running("a"); !r.IsZero() {
			t.Fatalf("%v is reserved after all has ended", r)
		}
	})
}
