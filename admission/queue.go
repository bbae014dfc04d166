package admission

import (
	"time"
)

// node is the place of a value in a list. A value takes itself out of its list
// in constant time.
type node[T any] struct {
	prev, next *node[T]
	value      T
}

// list is a first-in-first-out list. The zero value is empty.
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

// queueKey names a queue within a class. Long and short requests wait apart,
// so that a long one which may not take a slot yet holds up no short one.
type queueKey struct {
	organisation string
	long         bool
}

// queue holds the waiting requests of one organisation in one class.
type queue struct {
	class *classQueue
	items list[*item]
	cost  time.Duration // sum of the estimates
	clock float64       // virtual time in weighted seconds at which it goes next
}

func (q *queue) len() int { return q.items.length }

// classQueue holds the waiting requests of one class, by organisation.
type classQueue struct {
	queues  map[queueKey]*queue
	queued  int
	cost    time.Duration // sum of the estimates
	clock   float64       // virtual time of the request served last
	learned runTime
}

func (c *classQueue) queue(key queueKey) *queue {
	q := c.queues[key]
	if q == nil {
		q = &queue{class: c}
		c.queues[key] = q
	}
	return q
}

// push appends i. An organisation that had nothing waiting starts at the
// present virtual time and has saved up nothing.
func (c *classQueue) push(q *queue, i *item) {
	if q.len() == 0 {
		q.clock = max(q.clock, c.clock)
	}
	i.node.value = i
	q.items.push(&i.node)
	q.cost += i.cost
	c.queued++
	c.cost += i.cost
}

func (c *classQueue) remove(i *item) {
	i.queue.items.remove(&i.node)
	i.queue.cost -= i.cost
	c.queued--
	c.cost -= i.cost
}

// served moves the virtual times on by the cost of i.
func (c *classQueue) served(i *item, weight float64) {
	c.clock = max(c.clock, i.queue.clock)
	i.queue.clock += max(i.cost, time.Millisecond).Seconds() / weight
}

// head returns the oldest request of the organisation that goes next among
// those whose oldest request may go; equal ones by name, short before long.
func (c *classQueue) head(may func(*item) bool) *item {
	var best *item
	for key, q := range c.queues {
		if q.items.head == nil || !may(q.items.head.value) {
			continue
		}
		if best == nil || q.clock < best.queue.clock || q.clock == best.queue.clock && key.before(best) {
			best = q.items.head.value
		}
	}
	return best
}

// estimate returns the learned run time with its usual deviation, or what was
// declared while nothing is known.
func (c *classQueue) estimate(declared time.Duration) time.Duration {
	if c.learned.samples < minSamples {
		return max(0, declared)
	}
	return time.Duration(c.learned.mean + c.learned.deviation)
}

// latest returns the run time that nearly all requests end within, or what was
// declared while nothing is known.
func (c *classQueue) latest(declared time.Duration) time.Duration {
	return max(c.estimate(declared), time.Duration(c.learned.tail))
}

// before orders queues whose virtual time is the same as that of i.
func (k queueKey) before(i *item) bool {
	if k.organisation != i.Organisation {
		return k.organisation < i.Organisation
	}
	return !k.long && i.long
}
