package queue

import (
	"container/heap"
	"slices"
)

// minCompaction is the number of entries below which a line is not compacted.
const minCompaction = 256

// entry is a waiting task. It stands in up to three lines, and leaves them
// lazily once it no longer waits.
type entry struct {
	item     Item
	sequence uint64
	bucket   *bucket
	group    *group
	taken    bool
}

func (e *entry) waits() bool { return !e.taken && (e.group == nil || !e.group.cancelled) }

// run is a stretch of entries of one group in order, so that the entries of
// a cancelled group leave a line together.
type run struct {
	entries []*entry
	group   *group
}

// first drops the entries that no longer wait from the front.
func (r *run) first() *entry {
	if r.group != nil && r.group.cancelled {
		return nil
	}
	for len(r.entries) > 0 {
		if e := r.entries[0]; e.waits() {
			return e
		}
		r.entries[0] = nil
		r.entries = r.entries[1:]
	}
	return nil
}

// line is a priority queue of entries in the order of less. The zero value
// with less set is empty.
type line struct {
	less   func(a, b *entry) bool
	runs   runs
	tail   *run   // the last run that was begun
	last   *entry // the last entry of tail
	stored int    // entries that came in since the last compaction
}

// push adds e; live is the number of entries of the line that still wait.
func (l *line) push(e *entry, live int) {
	if l.stored >= minCompaction && l.stored > 4*live {
		l.compact()
	}
	l.stored++
	if l.tail != nil && len(l.tail.entries) > 0 && l.tail.group == e.group && !l.less(e, l.last) {
		l.tail.entries = append(l.tail.entries, e)
		l.last = e
		return
	}
	l.begin(e)
}

func (l *line) begin(e *entry) {
	l.tail = &run{entries: []*entry{e}, group: e.group}
	l.last = e
	l.runs.less = l.less
	heap.Push(&l.runs, l.tail)
}

// head returns the first entry that waits, or nil.
func (l *line) head() *entry {
	for len(l.runs.list) > 0 {
		r := l.runs.list[0]
		before := len(r.entries)
		e := r.first()
		if e == nil {
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
	return nil
}

func (l *line) compact() {
	waiting := l.waiting()
	l.runs.list, l.tail, l.stored = nil, nil, 0
	for _, e := range waiting {
		l.stored++
		if l.tail != nil && l.tail.group == e.group {
			l.tail.entries = append(l.tail.entries, e)
			l.last = e
			continue
		}
		l.begin(e)
	}
}

// waiting returns all entries that wait, in order.
func (l *line) waiting() []*entry {
	var found []*entry
	for _, r := range l.runs.list {
		for _, e := range r.entries {
			if e != nil && e.waits() {
				found = append(found, e)
			}
		}
	}
	slices.SortFunc(found, func(a, b *entry) int {
		if l.less(a, b) {
			return -1
		}
		return 1
	})
	return found
}

// runs implements heap.Interface; the order is that of the first entries.
type runs struct {
	list []*run
	less func(a, b *entry) bool
}

var _ heap.Interface = (*runs)(nil)

func (r *runs) Len() int           { return len(r.list) }
func (r *runs) Less(i, j int) bool { return r.less(r.list[i].entries[0], r.list[j].entries[0]) }
func (r *runs) Swap(i, j int)      { r.list[i], r.list[j] = r.list[j], r.list[i] }
func (r *runs) Push(x any)         { r.list = append(r.list, x.(*run)) }

func (r *runs) Pop() any {
	last := len(r.list) - 1
	x := r.list[last]
	r.list[last] = nil
	r.list = r.list[:last]
	return x
}

func byArrival(a, b *entry) bool {
	if !a.item.Enqueued.Equal(b.item.Enqueued) {
		return a.item.Enqueued.Before(b.item.Enqueued)
	}
	return a.sequence < b.sequence
}

func byPriority(a, b *entry) bool {
	if a.item.Priority != b.item.Priority {
		return a.item.Priority > b.item.Priority
	}
	return byArrival(a, b)
}

func byDeadline(a, b *entry) bool {
	if !a.item.Deadline.Equal(b.item.Deadline) {
		return a.item.Deadline.Before(b.item.Deadline)
	}
	return a.sequence < b.sequence
}
