package admission

import (
	"time"
)

// node is an element of a list. It can be removed in constant time.
type node[T any] struct {
	prev, next *node[T]
	value      T
}

// list is a doubly linked list. The zero value is empty.
type list[T any] struct {
	head, tail *node[T]
	length     int
}

func (l *list[T]) push(n *node[T]) {
	n.prev, n.next = l.tail, nil
	if l.tail != nil {
		l.tail.next = n
	} else {
		l.head = n
	}
	l.tail = n
	l.length++
}

func (l *list[T]) remove(n *node[T]) {
	if n.prev != nil {
		n.prev.next = n.next
	} else {
		l.head = n.next
	}
	if n.next != nil {
		n.next.prev = n.prev
	} else {
		l.tail = n.prev
	}
	n.prev, n.next = nil, nil
	l.length--
}

// queueKey identifies a queue within a class. Long and short requests have
// separate queues, so that a long request that may not take a slot yet does not
// block short ones behind it.
type queueKey struct {
	organisation string
	long         bool
}

// orgQueue holds the waiting requests of one organisation in one class, either
// the short or the long ones.
type orgQueue struct {
	class    *classQueue
	items    list[*item]
	cost     time.Duration // sum of the estimated run times
	startTag float64       // start tag of the next request, in weighted seconds of virtual time
}

func (q *orgQueue) len() int { return q.items.length }

// classQueue holds the waiting requests of one class, by organisation.
type classQueue struct {
	queues      map[queueKey]*orgQueue
	queued      int
	cost        time.Duration // sum of the estimated run times
	virtualTime float64       // largest start tag of the requests admitted
	runTimes    runTimeStats
}

// orgQueue returns the queue with the key, which it creates if needed.
func (c *classQueue) orgQueue(key queueKey) *orgQueue {
	q := c.queues[key]
	if q == nil {
		q = &orgQueue{class: c}
		c.queues[key] = q
	}
	return q
}

// push appends i to q. An empty queue starts at the current virtual time, so
// that an organisation gains no credit while it is idle.
func (c *classQueue) push(q *orgQueue, i *item) {
	if q.len() == 0 {
		q.startTag = max(q.startTag, c.virtualTime)
	}
	i.node.value = i
	q.items.push(&i.node)
	q.cost += i.cost
	c.queued++
	c.cost += i.cost
}

// remove removes a waiting request.
func (c *classQueue) remove(i *item) {
	i.queue.items.remove(&i.node)
	i.queue.cost -= i.cost
	c.queued--
	c.cost -= i.cost
}

// charge advances the virtual times for the admission of i. The cost counts as
// at least 1 ms.
func (c *classQueue) charge(i *item, weight float64) {
	c.virtualTime = max(c.virtualTime, i.queue.startTag)
	i.queue.startTag += max(i.cost, time.Millisecond).Seconds() / weight
}

// head returns the oldest request of the queue with the lowest start tag, among
// the queues whose oldest request is eligible. Ties are broken by the name of
// the organisation, then short before long.
func (c *classQueue) head(eligible func(*item) bool) *item {
	var best *item
	for key, q := range c.queues {
		if q.items.head == nil || !eligible(q.items.head.value) {
			continue
		}
		if best == nil || q.startTag < best.queue.startTag || q.startTag == best.queue.startTag && key.before(best) {
			best = q.items.head.value
		}
	}
	return best
}

// estimate returns the mean plus the mean absolute deviation of the observed run
// times, or the declared run time if there are fewer than minSamples
// observations.
func (c *classQueue) estimate(declared time.Duration) time.Duration {
	if c.runTimes.samples < minSamples {
		return max(0, declared)
	}
	return time.Duration(c.runTimes.mean + c.runTimes.deviation)
}

// tailEstimate returns the larger of estimate and the 99th percentile of the
// observed run times, which is zero without observations.
func (c *classQueue) tailEstimate(declared time.Duration) time.Duration {
	return max(c.estimate(declared), time.Duration(c.runTimes.tail))
}

// before breaks the tie between this queue and that of i.
func (k queueKey) before(i *item) bool {
	if k.organisation != i.Organisation {
		return k.organisation < i.Organisation
	}
	return !k.long && i.long
}
