package estimate

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A learned estimate is the quantile of the observed run times, to within the
// width of a bin, for any order and magnitude of the run times.
func TestQuantile(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var e Estimator
		ran := rapid.SliceOfN(rapid.Int64Range(1, int64(30*24*time.Hour/time.Millisecond)), minSamples, 200).Draw(t, "milliseconds")
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
			t.Fatalf("quantile %v is %v ms (%s), want %v to %v", q, ms, source, low, high)
		}
	})
}

// Declared run times that are wrong by a factor of ten are corrected, for kinds
// that have been observed and for new kinds of the same organisation. Other
// organisations are not affected.
func TestDeclaredTenTimesOff(t *testing.T) {
	for _, c := range []struct {
		failure  string
		factor   float64 // ratio of run time to declared time
		org      string
		kind     string
		declared time.Duration
		want     time.Duration
		source   Source
	}{
		{"a declaration that is too short is not corrected", 10, "a", "seen", time.Minute, 10 * time.Minute, Learned},
		{"a declaration that is too long is not corrected", 0.1, "a", "seen", time.Minute, 6 * time.Second, Learned},
		{"the organisation's ratio is not applied to a new kind", 10, "a", "new", time.Hour, 10 * time.Hour, Corrected},
		{"the ratio is applied to another organisation", 10, "b", "new", time.Hour, time.Hour, Declared},
		{"an estimate is given without observation or declaration", 10, "b", "new", 0, 0, Unknown},
	} {
		rng := rand.New(rand.NewPCG(1, 1))
		var e Estimator
		for range 100 {
			noise := 0.9 + 0.2*rng.Float64()
			e.Observe("a", "seen", time.Duration(float64(time.Minute)*c.factor*noise), time.Minute)
		}
		got, source := e.Estimate(c.org, c.kind, c.declared, 0.5)
		if source != c.source || float64(got) < 0.8*float64(c.want) || float64(got) > 1.25*float64(c.want) {
			t.Errorf("%s: estimate is %v (%s), want %v (%s)", c.failure, got, source, c.want, c.source)
		}
	}
}

// The estimate follows a kind whose run times change, and the number of
// histograms and of their bins stays bounded.
func TestAdaptsAndIsBounded(t *testing.T) {
	e := Estimator{MaxKinds: 10}
	for range 10 * maxWeight {
		e.Observe("o", "k", time.Second, 0)
	}
	for range 2 * maxWeight {
		e.Observe("o", "k", time.Hour, 0)
	}
	if got, _ := e.Estimate("o", "k", 0, 0.5); got < time.Hour {
		t.Errorf("after %d observations of an hour the median is %v", 2*maxWeight, got)
	}
	for n := range 1000 {
		e.Observe("o", fmt.Sprint("k", n), time.Duration(n)*time.Second, time.Second)
		e.Observe(fmt.Sprint("o", n), "k", time.Duration(n)*time.Second, time.Second)
	}
	if e.Kinds() > 10 || len(e.ratios.elements) > 10 || e.kinds.recent.Len() > 10 {
		t.Errorf("%d kinds and %d organisations are kept, want at most 10", e.Kinds(), len(e.ratios.elements))
	}
	if got := len(e.kinds.getOrAdd(key{"o999", "k"}, 10).bins); got > maxBins+1 {
		t.Errorf("a histogram has %d bins", got)
	}
}

// The level never decreases with the attained time. A task that has run longer
// than its estimate counts as long once it exceeds the limit.
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
		{"a task of unknown run time counts as long before it starts", 0, 0, false},
		{"a task expected to run long counts as short", time.Hour, 0, true},
		{"a task that has exceeded its estimate and the limit counts as short", time.Second, time.Hour, true},
	} {
		if IsLong(c.expected, c.attained, time.Minute) != c.want {
			t.Errorf("%s", c.failure)
		}
	}
}
