// Package estimate predicts the run times of tasks.
//
// Declared run times are often far off, so an Estimator keeps a small histogram
// of observed run times for each organisation and kind of task. A kind with
// enough observations is estimated by a quantile of its histogram. A new kind
// takes the declared run time, scaled by the ratio of observed to declared run
// times of its organisation. Memory is bounded: the least recently used kinds
// are evicted, and old observations lose weight as new ones come in.
//
// Where there is neither an observation nor a declaration, Level ranks running
// tasks by attained service, so that short tasks finish first although their
// run times are not known.
//
// The package reads no clock.
//
// Usage:
//
//	var e estimate.Estimator
//	e.Observe("prado", "pigment-check", ran, declared)
//	d, source := e.Estimate("prado", "pigment-check", declared, 0.9)
package estimate

import (
	"container/list"
	"math"
	"time"
)

const (
	defaultMaxKinds = 4096
	minSamples      = 8   // observations from which a histogram is used
	maxWeight       = 256 // total weight of a histogram at which all weights are halved
)

// Source tells what an estimate is based on.
type Source string

// Sources of an estimate, from the most to the least reliable.
const (
	Learned   Source = "learned"   // observed run times of the kind
	Corrected Source = "corrected" // declared run time, scaled by the organisation's ratio
	Declared  Source = "declared"  // declared run time, unchanged
	Unknown   Source = "unknown"   // nothing was declared; the estimate is zero
)

// Estimator estimates run times from those observed. The zero value is ready
// to use.
type Estimator struct {
	MaxKinds int // limit of the kinds and, separately, of the organisations kept; below 1 means 4096

	kinds  lruCache
	ratios lruCache // ratios of observed to declared run times, by organisation
}

// Observe records the run time of a finished task. Preempted and failed
// attempts must not be recorded. Declared is zero if nothing was declared.
func (e *Estimator) Observe(organisation, kind string, ran, declared time.Duration) {
	e.kinds.getOrAdd(key{organisation, kind}, e.maxKinds()).add(ran)
	if declared > 0 && ran > 0 {
		// The ratio is stored as the run time of a task declared to run one hour.
		ratio := float64(ran) / float64(declared) * float64(time.Hour)
		e.ratios.getOrAdd(key{organisation: organisation}, e.maxKinds()).add(time.Duration(min(ratio, math.MaxInt64/2)))
	}
}

// Estimate returns the given quantile, 0 to 1, of the run time of a kind of
// task, and the source of the estimate. A learned estimate exceeds the observed
// quantile by less than 10 %.
func (e *Estimator) Estimate(organisation, kind string, declared time.Duration, quantile float64) (time.Duration, Source) {
	if s := e.kinds.get(key{organisation, kind}); s != nil && s.total >= minSamples {
		return s.quantile(quantile), Learned
	}
	if declared <= 0 {
		return 0, Unknown
	}
	s := e.ratios.get(key{organisation: organisation})
	if s == nil || s.total < minSamples {
		return declared, Declared
	}
	factor := float64(s.quantile(quantile)) / float64(time.Hour)
	return time.Duration(min(float64(declared)*factor, math.MaxInt64/2)), Corrected
}

// Kinds returns the number of kinds with a histogram.
func (e *Estimator) Kinds() int { return len(e.kinds.elements) }

func (e *Estimator) maxKinds() int {
	if e.MaxKinds < 1 {
		return defaultMaxKinds
	}
	return e.MaxKinds
}

type key struct{ organisation, kind string }

// lruCache holds histograms, of which it evicts the least recently used.
type lruCache struct {
	elements map[key]*list.Element
	recent   list.List // of *cacheEntry, most recently used first
}

// cacheEntry is an entry of the cache.
type cacheEntry struct {
	key key
	sketch
}

func (c *lruCache) get(k key) *sketch {
	element, ok := c.elements[k]
	if !ok {
		return nil
	}
	c.recent.MoveToFront(element)
	return &element.Value.(*cacheEntry).sketch
}

// getOrAdd returns the histogram of k. If there is none it adds an empty one, and
// evicts the least recently used if the cache is at its limit.
func (c *lruCache) getOrAdd(k key, limit int) *sketch {
	if s := c.get(k); s != nil {
		return s
	}
	if c.elements == nil {
		c.elements = make(map[key]*list.Element)
	}
	if len(c.elements) >= limit {
		oldest := c.recent.Back()
		delete(c.elements, c.recent.Remove(oldest).(*cacheEntry).key)
	}
	entry := &cacheEntry{key: k}
	c.elements[k] = c.recent.PushFront(entry)
	return &entry.sketch
}
