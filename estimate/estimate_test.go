package estimate

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A learned quantile is that of the true run times, within the width of a bin,
// whatever the order and the size of the run times.
func TestQuantile(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var e Estimator
		ran := rapid.SliceOfN(rapid.Int64Range(1, int64(30*24*time.Hour/time.Millisecond)), enough, 200).Draw(t, "milliseconds")
		for _, ms := range ran {
			e.Observe("o", "k", time.Duration(ms)*time.Millisecond, 0)
		}
		q := rapid.Float64Range(0.05, 1).Draw(t, "quantile")
		slices.Sort(ran)
		n := int(float64(len(ran)) * q)
		low, high := ran[max(0, n-1)], ran[min(len(ran)-1, n)]
		got, source := e.Estimate("o", "k", 0, q)
		ms := float64(got) / float64(time.Millisecond)
		if source != Learned || ms < 0.99*float64(low) || ms > 1.11*float64(high) {
			t.Fatalf("the quantile %v is %v ms (%s), want %v to %v", q, ms, source, low, high)
		}
	})
}

// Declarations that are off by ten times are corrected, for kinds that were
// seen and for new ones of the same organisation; and those of others stay.
func TestDeclaredTenTimesOff(t *testing.T) {
	for _, c := range []struct {
		failure  string
		factor   float64 // run time per declared time
		org      string
		kind     string
		declared time.Duration
		want     time.Duration
		source   Source
	}{
		{"too short declarations are believed", 10, "a", "seen", time.Minute, 10 * time.Minute, Learned},
		{"too long declarations are believed", 0.1, "a", "seen", time.Minute, 6 * time.Second, Learned},
		{"the organisation's habit is ignored for a new kind", 10, "a", "new", time.Hour, 10 * time.Hour, Corrected},
		{"another organisation pays for it", 10, "b", "new", time.Hour, time.Hour, Declared},
		{"a time is made up", 10, "b", "new", 0, 0, Unknown},
	} {
		rng := rand.New(rand.NewPCG(1, 1))
		var e Estimator
		for range 100 {
			noise := 0.9 + 0.2*rng.Float64()
			e.Observe("a", "seen", time.Duration(float64(time.Minute)*c.factor*noise), time.Minute)
		}
		got, source := e.Estimate(c.org, c.kind, c.declared, 0.5)
		if source != c.source || float64(got) < 0.8*float64(c.want) || float64(got) > 1.25*float64(c.want) {
			t.Errorf("%s: the estimate is %v (%s), want %v (%s)", c.failure, got, source, c.want, c.source)
		}
	}
}

// A kind that changes is learned anew, and memory stays bounded.
func TestFadesAndIsBounded(t *testing.T) {
	e := Estimator{MaxKinds: 10}
	for range 10 * fadeAt {
		e.Observe("o", "k", time.Second, 0)
	}
	for range 2 * fadeAt {
		e.Observe("o", "k", time.Hour, 0)
	}
	if got, _ := e.Estimate("o", "k", 0, 0.5); got < time.Hour {
		t.Errorf("after %d run times of an hour the median is %v", 2*fadeAt, got)
	}
	for n := range 1000 {
		e.Observe("o", fmt.Sprint("k", n), time.Duration(n)*time.Second, time.Second)
		e.Observe(fmt.Sprint("o", n), "k", time.Duration(n)*time.Second, time.Second)
	}
	if e.Kinds() > 10 || len(e.deviations.elements) > 10 || e.kinds.recent.Len() > 10 {
		t.Errorf("%d kinds and %d organisations are remembered, want 10", e.Kinds(), len(e.deviations.elements))
	}
	if got := len(e.kinds.at(key{"o999", "k"}, 10).bins); got > maxBins+1 {
		t.Errorf("a history has %d bins", got)
	}
}

// Levels never fall with the attained time, and a task whose estimate was too
// short becomes long once it has shown it.
func TestLevels(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := rapid.Int64Range(0, int64(60*24*time.Hour))
		a, b := time.Duration(d.Draw(t, "a")), time.Duration(d.Draw(t, "b"))
		if a < b && Level(a) > Level(b) || Level(a) > maxLevel {
			t.Fatalf("level %d after %v, level %d after %v", Level(a), a, Level(b), b)
		}
	})
	for _, c := range []struct {
		failure            string
		expected, attained time.Duration
		want               bool
	}{
		{"unknown work is kept off the reserve before it starts", 0, 0, false},
		{"known long work takes the reserve", time.Hour, 0, true},
		{"a task that outruns its estimate stays short", time.Second, time.Hour, true},
	} {
		if IsLong(c.expected, c.attained, time.Minute) != c.want {
			t.Errorf("%s", c.failure)
		}
	}
}
