// Package queue decides which waiting task starts next.
//
// A Queue holds the waiting tasks of every organisation. Next returns, among
// the tasks that fit somewhere now, the one that the policy prefers. The default
// policy is Fair:
//
//   - The more urgent class goes first.
//   - Within a class, the organisation with the lowest weighted usage goes first.
//     Usage is the dominant share of the pool, decayed over time.
//   - Within an organisation, the higher priority goes first, then the older task.
//   - A task that has waited for the age limit of its class is overdue. One start
//     in OverdueInterval goes to the longest overdue task. So an overdue task that
//     fits starts after at most OverdueInterval*(n+1) starts, where n is the number
//     of tasks due before it, and overdue tasks take no more than one start in
//     OverdueInterval from urgent ones.
//
// Organisations get their weighted share as long as their tasks are small
// compared with a worker. Next skips tasks that do not fit, so that larger tasks
// fall behind smaller ones. To prevent this, the caller reserves capacity for the
// task that Preferred returns, by placement.Shard.Earmark. Overdue returns the
// longest overdue task.
//
// Tasks are indexed by organisation, class and demand. A decision skips
// organisations with a higher usage than the best candidate so far, and leaves a
// class once none of its demands fits. So its cost depends little on the number of
// organisations and not on the number of waiting tasks. Removing a task and
// cancelling a group only set flags; the memory is released later in small steps.
//
// A Queue is not safe for concurrent use, and reads no clock.
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
	defaultOverdueInterval = 8  // see Queue.OverdueInterval
	sweepBatch             = 64 // entries of cancelled groups released by each Push or Next
	maxUnfitShapes         = 16 // shapes kept in each round to compare others with
)

// defaultAgeLimit holds the wait after which a task is overdue, by class.
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
	Long         bool          // whether it counts as long-running, which may limit where it fits
	Estimate     time.Duration // expected run time; zero if unknown
	Enqueued     time.Time
	Deadline     time.Time // zero if none
}

// Share holds the weight and the quota of an organisation.
type Share struct {
	Weight int             // below 1 counts as 1
	Quota  resource.Vector // limit of the sum of the demands of running tasks; zero for none
}

// Queue holds waiting tasks. The zero value is an empty queue with the Fair
// policy and default limits. The exported fields must be set before the first
// call.
type Queue struct {
	Pool            resource.Vector               // capacity that shares are fractions of
	Shares          map[string]Share              // by organisation; the default is weight 1 and no quota
	HalfLife        time.Duration                 // of past usage; 0 means 5 minutes
	AgeLimit        map[class.Class]time.Duration // wait after which a task is overdue; classes that are absent have the default
	OverdueInterval int                           // one start in so many prefers overdue tasks; below 1 means 8
	Policy          Policy                        // nil means Fair

	orgs               map[string]*orgState
	orgList            []*orgState          // in order of creation
	classQueues        [numRanks]classQueue // by rank of the class
	shapes             map[shapeKey]*shape
	items              map[string]*entry
	groups             map[string]*group
	deadlines          line.Queue[*entry]
	tracker            fairness.UsageTracker
	unswept            [][]*entry // entries of cancelled groups that are still in items
	expired            []Item
	live               int
	sequence           uint64
	round              uint64    // number of the current call of Next, Overdue or Preferred
	startsSinceOverdue int       // starts since the last one that was selected as overdue
	usageRefreshed     time.Time // when refreshUsage last invalidated all cached usages
	nextDue            time.Time // no waiting task is due before this time; zero if unknown
	unfitShapes        []*shape  // shapes that do not fit in the current round, at most maxUnfitShapes
}

// SetShares replaces the shares of all organisations.
func (q *Queue) SetShares(s map[string]Share) {
	q.Shares = s
	for _, o := range q.orgList {
		o.share = s[o.name]
	}
}

// SetPool replaces the capacity that dominant shares are fractions of.
func (q *Queue) SetPool(pool resource.Vector) {
	q.Pool = pool
	q.invalidateAllUsage()
}

// Len returns the number of waiting tasks.
func (q *Queue) Len() int { return q.live }

// Waiting returns the number of waiting tasks of an organisation and class.
func (q *Queue) Waiting(organisation string, c class.Class) int {
	o, ok := q.orgs[organisation]
	if !ok || o.orgQueues[rank(c)] == nil {
		return 0
	}
	n := 0
	for _, b := range o.orgQueues[rank(c)].buckets {
		if b.shape.class == c {
			n += b.live
		}
	}
	return n
}

// Push adds a waiting task. It replaces a waiting task with the same ID.
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

// Remove removes a task, and reports whether it waited.
func (q *Queue) Remove(id string) bool {
	e, ok := q.items[id]
	if !ok || !e.Waits() {
		return false
	}
	q.removeEntry(e)
	return true
}

// CancelGroup removes all waiting tasks of a group and returns their number. Its
// cost depends only on the number of distinct demands in the group.
func (q *Queue) CancelGroup(name string) int {
	g, ok := q.groups[name]
	if !ok {
		return 0
	}
	delete(q.groups, name)
	g.token.Cancel()
	n := 0
	for b, count := range g.counts {
		b.live -= count
		n += count
		q.dropIfEmpty(b)
	}
	q.live -= n
	q.unswept = append(q.unswept, g.entries)
	return n
}

// Expired drops the tasks whose deadline is at or before now, and returns all
// tasks dropped since its last call.
func (q *Queue) Expired(now time.Time) []Item {
	q.expire(now)
	dropped := q.expired
	q.expired = nil
	return dropped
}

// removeEntry removes a waiting entry.
func (q *Queue) removeEntry(e *entry) {
	e.removed = true
	q.live--
	e.bucket.live--
	delete(q.items, e.item.ID)
	if e.group != nil && e.group.remove(e.bucket) {
		delete(q.groups, e.item.Group)
	}
	q.dropIfEmpty(e.bucket)
}

// expire drops the tasks whose deadline is at or before now.
func (q *Queue) expire(now time.Time) {
	for {
		e := q.deadlines.Head()
		if e == nil || e.item.Deadline.After(now) {
			return
		}
		q.removeEntry(e)
		q.expired = append(q.expired, e.item)
	}
}

// sweep removes up to sweepBatch entries of cancelled groups from items.
func (q *Queue) sweep() {
	for n := 0; n < sweepBatch && len(q.unswept) > 0; {
		last := len(q.unswept) - 1
		entries := q.unswept[last]
		k := min(len(entries), sweepBatch-n)
		for _, e := range entries[:k] {
			if q.items[e.item.ID] == e {
				delete(q.items, e.item.ID)
			}
		}
		n += k
		q.unswept[last] = entries[k:]
		if len(entries) == k {
			q.unswept = q.unswept[:last]
			n++
		}
	}
}
