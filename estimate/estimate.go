// Package estimate learns how long tasks run.
//
// Callers declare run times that are often far off, so an Estimator keeps a
// small histogram of the run times of each organisation and kind of task. A
// kind that has been seen often enough is estimated by a quantile of its
// history. A kind that is new takes the declared time, corrected by how far
// off the declarations of its organisation have been. Memory is bounded: the
// kinds that were used longest ago are forgotten, and an old history fades as
// new run times come in.
//
// Where neither helps, Level sorts running tasks by the service that they
// have attained, so that the shortest finish first without being known.
//
// Nothing here reads a clock.
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
	enough          = 8   // run times after which a kind speaks for itself
	fadeAt          = 256 // weight at which a history is halved
)

// Source says what an estimate rests on.
type Source string

// Sources of an estimate, the best first.
const (
	Learned   Source = "learned"   // run times of the kind
	Corrected Source = "corrected" // declaration, corrected for the organisation
	Declared  Source = "declared"  // declaration as it is
	Unknown   Source = "unknown"   // no declaration; the estimate is zero
)

// Estimator learns run times. The zero value knows nothing.
type Estimator struct {
	MaxKinds int // kinds and organisations that are remembered, each

	kinds      memory
	deviations memory // of declarations, by organisation
}

// Observe takes in the run time of a task that finished. A preempted or failed
// attempt must not be observed. Declared is zero if nothing was declared.
func (e *Estimator) Observe(organisation, kind string, ran, declared time.Duration) {
	e.kinds.at(key{organisation, kind}, e.maxKinds()).add(ran)
	if declared > 0 && ran > 0 {
		// The ratio is kept as the run time of a task declared as one hour.
		deviation := float64(ran) / float64(declared) * float64(time.Hour)
		e.deviations.at(key{organisation: organisation}, e.maxKinds()).add(time.Duration(min(deviation, math.MaxInt64/2)))
	}
}

// Estimate returns the run time that a share of the tasks of a kind does not
// exceed, for a quantile of 0 to 1, and what it rests on. The error of a
// learned estimate is below 10 %, towards the longer side.
func (e *Estimator) Estimate(organisation, kind string, declared time.Duration, quantile float64) (time.Duration, Source) {
	if s := e.kinds.get(key{organisation, kind}); s != nil && s.total >= enough {
		return s.quantile(quantile), Learned
	}
	if declared <= 0 {
		return 0, Unknown
	}
	s := e.deviations.get(key{organisation: organisation})
	if s == nil || s.total < enough {
		return declared, Declared
	}
	factor := float64(s.quantile(quantile)) / float64(time.Hour)
	return time.Duration(min(float64(declared)*factor, math.MaxInt64/2)), Corrected
}

// Kinds returns the number of kinds that are remembered.
func (e *Estimator) Kinds() int { return len(e.kinds.elements) }

func (e *Estimator) maxKinds() int {
	if e.MaxKinds < 1 {
		return defaultMaxKinds
	}
	return e.MaxKinds
}

type key struct{ organisation, kind string }

// memory holds the histories that were used last.
type memory struct {
	elements map[key]*list.Element
	recent   list.List // of *history, the last used first
}

type history struct {
	key key
	sketch
}

func (m *memory) get(k key) *sketch {
	x, ok := m.elements[k]
	if !ok {
		return nil
	}
	m.recent.MoveToFront(x)
	return &x.Value.(*history).sketch
}

func (m *memory) at(k key, limit int) *sketch {
	if s := m.get(k); s != nil {
		return s
	}
	if m.elements == nil {
		m.elements = make(map[key]*list.Element)
	}
	if len(m.elements) >= limit {
		oldest := m.recent.Back()
		delete(m.elements, m.recent.Remove(oldest).(*history).key)
	}
	h := &history{key: k}
	m.elements[k] = m.recent.PushFront(h)
	return &h.sketch
}
