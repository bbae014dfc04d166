// Package queue decides which waiting task starts next.
//
// A Queue holds the waiting tasks of every organisation. Next returns, among
// the tasks that fit somewhere now, the one that the policy prefers:
//
//   - the more urgent class goes first;
//   - within a class, the organisation whose weighted dominant share, decayed
//     over time, is lowest goes first;
//   - within an organisation, the higher priority goes first, then the older;
//   - a task that has waited for the age limit of its class is overdue, and
//     one start in AgedEvery goes to the task that has been due longest. So an
//     overdue task that fits starts after at most AgedEvery*(n+1) starts, where
//     n is the number of tasks due before it, and overdue work delays urgent
//     work by no more than one start in AgedEvery.
//
// Organisations get their weighted share as long as their tasks are small
// beside the pool. Next passes over what does not fit, so that tasks of more
// than a twentieth of the pool fall behind smaller ones; for these the caller
// asks for Overdue and keeps room, for example by placement.Shard.Earmark.
//
// Tasks are indexed by organisation, class and demand. A decision passes over
// the organisations that use more than the best one found so far, and ends once
// no demand of a class fits, so that its cost depends little on the number of
// organisations and not on the number of waiting tasks. Removal and
// the cancellation of a whole group only mark; the memory is swept later in
// small steps.
//
// A Queue is used from one goroutine and reads no clock.
//
// Usage:
//
//	q := queue.Queue{Pool: pool, HalfLife: 5 * time.Minute}
//	q.SetShares(map[string]queue.Share{"prado": {Weight: 2}, "returns": {Weight: 1}})
//	q.Push(item)
//	next, ok := q.Next(now, func(i queue.Item) bool { return shard.Fits(i.Demand) })
//	q.Started(next, now)
//	...
//	q.Ended(next, now)
package queue

import (
	"time"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/fairness"
	"persimmonworks.example/persimmonworks/line"
	"persimmonworks.example/persimmonworks/resource"
)

const (
	defaultAgedEvery = 8  // starts
	sweepStep        = 64 // identifiers forgotten by each Push or Next
	maxUnfit         = 16 // shapes that did not fit, compared with the others
)

var defaultAgeLimit = map[class.Class]time.Duration{
	class.Urgent:      5 * time.Second,
	class.Interactive: 30 * time.Second,
	class.Batch:       15 * time.Minute,
	class.Service:     15 * time.Minute,
}

// Item is a waiting task. ID must be unique among the waiting tasks.
type Item struct {
	ID           string
	Group        string // job that the task belongs to; may be empty
	Organisation string
	Class        class.Class
	Priority     int // compared only within the organisation; higher goes first
	Kind         string
	Demand       resource.Vector
	Long         bool          // long work, which may not take every place
	Estimate     time.Duration // expected run time; zero if unknown
	Enqueued     time.Time
	Deadline     time.Time // zero if none
}

// Share is the standing claim of an organisation.
type Share struct {
	Weight int             // below 1 counts as 1
	Quota  resource.Vector // upper limit of what runs at once; zero for none
}

// Queue holds waiting tasks. The zero value is an empty queue with the Fair
// policy and default limits. Exported fields are set before the first call.
type Queue struct {
	Pool      resource.Vector               // capacity that shares are fractions of
	Shares    map[string]Share              // organisations that are absent weigh 1
	HalfLife  time.Duration                 // of the memory of past usage
	AgeLimit  map[class.Class]time.Duration // wait after which a task is overdue
	AgedEvery int                           // one start in so many goes to overdue tasks first
	Policy    Policy                        // nil for Fair

	accounts  map[string]*account
	order     []*account    // accounts in the order of creation
	lanes     [classes]lane // by rank of the class
	shapes    map[shapeKey]*shape
	items     map[string]*entry
	groups    map[string]*group
	deadlines line.Line[*entry]
	ledger    fairness.Ledger
	swept     [][]*entry // entries of cancelled groups, still in items
	expired   []Item
	live      int
	sequence  uint64
	round     uint64    // number of the current call of Next
	sinceAged int       // starts since an overdue task was last preferred
	refreshed time.Time // when the usage of every account was last to be counted
	nextDue   time.Time // no waiting task is due before; zero if unknown
	unfit     []*shape
}

// SetShares replaces the shares of all organisations.
func (q *Queue) SetShares(s map[string]Share) {
	q.Shares = s
	for _, a := range q.order {
		a.share = s[a.name]
	}
}

// SetPool replaces the capacity that dominant shares are fractions of.
func (q *Queue) SetPool(pool resource.Vector) {
	q.Pool = pool
	q.allChanged()
}

// Len returns the number of waiting tasks.
func (q *Queue) Len() int { return q.live }

// Waiting returns the number of waiting tasks of a class of an organisation.
func (q *Queue) Waiting(organisation string, c class.Class) int {
	a, ok := q.accounts[organisation]
	if !ok || a.claims[rank(c)] == nil {
		return 0
	}
	n := 0
	for _, b := range a.claims[rank(c)].buckets {
		if b.shape.class == c {
			n += b.live
		}
	}
	return n
}

// Push adds a waiting task. A task that already waits under the same ID is
// replaced.
func (q *Queue) Push(i Item) {
	q.sweep()
	q.Remove(i.ID)
	q.sequence++
	e := &entry{item: i, sequence: q.sequence, bucket: q.bucket(i), group: q.group(i.Group)}
	if q.items == nil {
		q.items = make(map[string]*entry)
		q.deadlines.Less = byDeadline
	}
	q.items[i.ID] = e
	e.bucket.push(e)
	if due := q.due(&i); due.Before(q.nextDue) {
		q.nextDue = due
	}
	if e.group != nil {
		e.group.add(e)
	}
	if !i.Deadline.IsZero() {
		q.deadlines.Push(e, q.live)
	}
	q.live++
}

// Remove takes a task out of the queue, and reports whether it waited.
func (q *Queue) Remove(id string) bool {
	e, ok := q.items[id]
	if !ok || !e.Waits() {
		return false
	}
	q.take(e)
	return true
}

// CancelGroup takes all tasks of a group out of the queue and returns their
// number. Its cost grows with the distinct demands of the group only.
func (q *Queue) CancelGroup(name string) int {
	g, ok := q.groups[name]
	if !ok {
		return 0
	}
	delete(q.groups, name)
	g.cohort.Cancel()
	n := 0
	for b, count := range g.counts {
		b.live -= count
		n += count
		q.dropEmpty(b)
	}
	q.live -= n
	q.swept = append(q.swept, g.entries)
	return n
}

// Expired drops the tasks whose deadline is at or before now, and returns
// all tasks dropped since the last call.
func (q *Queue) Expired(now time.Time) []Item {
	q.expire(now)
	dropped := q.expired
	q.expired = nil
	return dropped
}

func (q *Queue) take(e *entry) {
	e.taken = true
	q.live--
	e.bucket.live--
	delete(q.items, e.item.ID)
	if e.group != nil && e.group.remove(e.bucket) {
		delete(q.groups, e.item.Group)
	}
	q.dropEmpty(e.bucket)
}

func (q *Queue) expire(now time.Time) {
	for {
		e := q.deadlines.Head()
		if e == nil || e.item.Deadline.After(now) {
			return
		}
		q.take(e)
		q.expired = append(q.expired, e.item)
	}
}

func (q *Queue) sweep() {
	for n := 0; n < sweepStep && len(q.swept) > 0; {
		last := len(q.swept) - 1
		entries := q.swept[last]
		k := min(len(entries), sweepStep-n)
		for _, e := range entries[:k] {
			if q.items[e.item.ID] == e {
				delete(q.items, e.item.ID)
			}
		}
		n += k
		q.swept[last] = entries[k:]
		if len(entries) == k {
			q.swept = q.swept[:last]
			n++
		}
	}
}
