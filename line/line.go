// Package line is a priority queue whose entries leave lazily.
//
// An entry that no longer waits stays where it is until it comes to the
// front, or until a later Push finds that most of the line is such entries.
// So taking an entry out is a mark, and cancelling a cohort of any size is one
// mark. The cost of both is paid, amortised, by Push and Head.
//
// Usage:
//
//	l := line.Line[*task]{Less: byAge}
//	l.Push(t, waiting)
//	first := l.Head()
package line

import (
	"container/heap"
	"slices"
)

// minCompaction is the number of entries below which a line is not compacted.
const minCompaction = 256

// Entry is what stands in a line.
type Entry interface {
	// Waits reports whether the entry still waits; once false, always false.
	Waits() bool
	// Cohort returns what the entry is cancelled with, or nil.
	Cohort() *Cohort
}

// Cohort is a set of entries that are cancelled together.
type Cohort struct{ cancelled bool }

// Cancel ends the waiting of all entries of the cohort.
func (c *Cohort) Cancel() { c.cancelled = true }

// Cancelled reports whether Cancel was called; it is false for nil.
func (c *Cohort) Cancelled() bool { return c != nil && c.cancelled }

// run is a stretch of entries of one cohort in order, so that the entries of
// a cancelled cohort leave a line together.
type run[E Entry] struct {
	entries []E
	cohort  *Cohort
}

// first drops the entries that no longer wait from the front.
func (r *run[E]) first() (e E, ok bool) {
	var none E
	if r.cohort.Cancelled() {
		return none, false
	}
	for len(r.entries) > 0 {
		if e := r.entries[0]; e.Waits() {
			return e, true
		}
		r.entries[0] = none
		r.entries = r.entries[1:]
	}
	return none, false
}

// Line is a priority queue of entries. The zero value with Less set is empty.
type Line[E Entry] struct {
	Less func(a, b E) bool // strict order; set before the first Push

	runs   runs[E]
	tail   *run[E] // the last run that was begun
	last   E       // the last entry of tail
	stored int     // entries that came in since the last compaction
}

// Push adds e; live is the number of entries of the line that still wait.
func (l *Line[E]) Push(e E, live int) {
	if l.stored >= minCompaction && l.stored > 4*live {
		l.compact()
	}
	l.stored++
	if l.tail != nil && len(l.tail.entries) > 0 && l.tail.cohort == e.Cohort() && !l.Less(e, l.last) {
		l.tail.entries = append(l.tail.entries, e)
		l.last = e
		return
	}
	l.begin(e)
}

func (l *Line[E]) begin(e E) {
	l.tail = &run[E]{entries: []E{e}, cohort: e.Cohort()}
	l.last = e
	l.runs.less = l.Less
	heap.Push(&l.runs, l.tail)
}

// Head returns the first entry that waits, or the zero value if none does.
func (l *Line[E]) Head() E {
	for len(l.runs.list) > 0 {
		r := l.runs.list[0]
		before := len(r.entries)
		e, ok := r.first()
		if !ok {
			heap.Pop(&l.runs)
			if r == l.tail {
				l.tail = nil
			}
			continue
		}
		if len(r.entries) == before {
			return e
		}
		heap.Fix(&l.runs, 0)
	}
	var none E
	return none
}

func (l *Line[E]) compact() {
	waiting := l.Waiting()
	l.runs.list, l.tail, l.stored = nil, nil, 0
	for _, e := range waiting {
		l.stored++
		if l.tail != nil && l.tail.cohort == e.Cohort() {
			l.tail.entries = append(l.tail.entries, e)
			l.last = e
			continue
		}
		l.begin(e)
	}
}

// Waiting returns all entries that wait, in order.
func (l *Line[E]) Waiting() []E {
	var found []E
	for _, r := range l.runs.list {
		for _, e := range r.entries {
			if e.Waits() {
				found = append(found, e)
			}
		}
	}
	slices.SortFunc(found, func(a, b E) int {
		if l.Less(a, b) {
			return -1
		}
		return 1
	})
	return found
}

// runs implements heap.Interface; the order is that of the first entries.
type runs[E Entry] struct {
	list []*run[E]
	less func(a, b E) bool
}

var _ heap.Interface = (*runs[Entry])(nil)

func (r *runs[E]) Len() int           { return len(r.list) }
func (r *runs[E]) Less(i, j int) bool { return r.less(r.list[i].entries[0], r.list[j].entries[0]) }
func (r *runs[E]) Swap(i, j int)      { r.list[i], r.list[j] = r.list[j], r.list[i] }
func (r *runs[E]) Push(x any)         { r.list = append(r.list, x.(*run[E])) }

func (r *runs[E]) Pop() any {
	last := len(r.list) - 1
	x := r.list[last]
	r.list[last] = nil
	r.list = r.list[:last]
	return x
}
