// Package line implements a priority queue with lazy deletion.
//
// An entry that no longer waits stays stored until it reaches the front, or
// until a later Push finds that most of the stored entries no longer wait and
// compacts the queue. So removing an entry sets a flag in it, and cancelling any
// number of entries sets one flag that they share. The cost of dropping them is
// amortised over Push and Head.
//
// Usage:
//
//	q := line.Queue[*task]{Less: byAge}
//	q.Push(t, waiting)
//	first := q.Head()
package line

import (
	"container/heap"
	"slices"
)

// minCompaction is the number of stored entries below which a queue is not
// compacted.
const minCompaction = 256

// Entry is an element of a Queue.
type Entry interface {
	// Waits reports whether the entry still waits. Once false, it must stay
	// false.
	Waits() bool
	// CancelToken returns the token that the entry is cancelled by, or nil.
	CancelToken() *CancelToken
}

// CancelToken cancels all entries that share it.
type CancelToken struct{ cancelled bool }

// Cancel cancels all entries that share the token.
func (t *CancelToken) Cancel() { t.cancelled = true }

// Cancelled reports whether Cancel was called. A nil token is not cancelled.
func (t *CancelToken) Cancelled() bool { return t != nil && t.cancelled }

// run is a sorted sequence of entries with the same cancel token, so that
// cancelled entries are dropped a whole run at a time.
type run[E Entry] struct {
	entries []E
	token   *CancelToken
}

// head returns the first entry that waits, and drops those before it. It
// returns false if none waits.
func (r *run[E]) head() (e E, ok bool) {
	var none E
	if r.token.Cancelled() {
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

// Queue is a priority queue of entries. A zero Queue with Less set is empty.
type Queue[E Entry] struct {
	Less func(a, b E) bool // strict order; set before the first Push

	runs     runHeap[E]
	tail     *run[E] // most recently started run, which Push may append to
	tailLast E       // last entry of tail
	stored   int     // entries kept by the last compaction and pushed since
}

// Push adds e. Live is the number of entries in the queue that still wait.
func (q *Queue[E]) Push(e E, live int) {
	if q.stored >= minCompaction && q.stored > 4*live {
		q.compact()
	}
	q.stored++
	if q.tail != nil && len(q.tail.entries) > 0 && q.tail.token == e.CancelToken() && !q.Less(e, q.tailLast) {
		q.tail.entries = append(q.tail.entries, e)
		q.tailLast = e
		return
	}
	q.startRun(e)
}

// startRun adds a run that consists of e.
func (q *Queue[E]) startRun(e E) {
	q.tail = &run[E]{entries: []E{e}, token: e.CancelToken()}
	q.tailLast = e
	q.runs.less = q.Less
	heap.Push(&q.runs, q.tail)
}

// Head returns the first entry that waits, or the zero value if none does.
func (q *Queue[E]) Head() E {
	for len(q.runs.list) > 0 {
		r := q.runs.list[0]
		before := len(r.entries)
		e, ok := r.head()
		if !ok {
			heap.Pop(&q.runs)
			if r == q.tail {
				q.tail = nil
			}
			continue
		}
		if len(r.entries) == before {
			return e
		}
		heap.Fix(&q.runs, 0)
	}
	var none E
	return none
}

// compact rebuilds the runs from the entries that still wait.
func (q *Queue[E]) compact() {
	waiting := q.Waiting()
	q.runs.list, q.tail, q.stored = nil, nil, 0
	for _, e := range waiting {
		q.stored++
		if q.tail != nil && q.tail.token == e.CancelToken() {
			q.tail.entries = append(q.tail.entries, e)
			q.tailLast = e
			continue
		}
		q.startRun(e)
	}
}

// Waiting returns all entries that still wait, in order.
func (q *Queue[E]) Waiting() []E {
	var found []E
	for _, r := range q.runs.list {
		for _, e := range r.entries {
			if e.Waits() {
				found = append(found, e)
			}
		}
	}
	slices.SortFunc(found, func(a, b E) int {
		if q.Less(a, b) {
			return -1
		}
		return 1
	})
	return found
}

// runHeap implements heap.Interface. It orders runs by their first entry.
type runHeap[E Entry] struct {
	list []*run[E]
	less func(a, b E) bool
}

var _ heap.Interface = (*runHeap[Entry])(nil)

func (r *runHeap[E]) Len() int           { return len(r.list) }
func (r *runHeap[E]) Less(i, j int) bool { return r.less(r.list[i].entries[0], r.list[j].entries[0]) }
func (r *runHeap[E]) Swap(i, j int)      { r.list[i], r.list[j] = r.list[j], r.list[i] }
func (r *runHeap[E]) Push(x any)         { r.list = append(r.list, x.(*run[E])) }

func (r *runHeap[E]) Pop() any {
	last := len(r.list) - 1
	x := r.list[last]
	r.list[last] = nil
	r.list = r.list[:last]
	return x
}
