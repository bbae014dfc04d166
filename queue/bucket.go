package queue

import (
	"math/bits"
	"slices"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/line"
	"persimmonworks.example/persimmonworks/resource"
)

// shapeKey holds the properties of a task that decide where it fits.
type shapeKey struct {
	class  class.Class
	long   bool
	demand resource.Vector
}

func shapeOf(i Item) shapeKey { return shapeKey{i.Class, i.Long, i.Demand} }

// shape is the set of tasks with the same shapeKey. It caches the answer of fits
// for them, which is valid in one round only.
type shape struct {
	shapeKey
	round        uint64 // round that fits is valid in
	fits         bool
	exactBuckets int // number of buckets with this shape that are not coarse
}

// maxExactBuckets is the number of distinct demands of an organisation and class
// that get a bucket of their own. Any further demand goes to a coarse bucket,
// which holds all demands with the same bit lengths. In a coarse bucket a first
// task that does not fit blocks the others.
const maxExactBuckets = 64

// bucket holds the waiting tasks of one organisation and shape, or of similar
// shapes if it is coarse. It is dropped once no task waits in it.
type bucket struct {
	org      *orgState
	shape    *shape
	coarse   bool               // holds similar shapes; the field shape is that of the first task pushed
	ready    line.Queue[*entry] // by priority
	arrivals line.Queue[*entry] // by arrival
	oldest   *entry             // cached result of first; nil or removed if outdated
	live     int                // number of waiting tasks
}

func (b *bucket) push(e *entry) {
	b.ready.Push(e, b.live)
	b.arrivals.Push(e, b.live)
	b.live++
	if b.oldest != nil && byArrival(e, b.oldest) {
		b.oldest = e
	}
}

// first returns the waiting task that arrived first.
func (b *bucket) first() *entry {
	if b.oldest == nil || !b.oldest.Waits() {
		b.oldest = b.arrivals.Head()
	}
	return b.oldest
}

// orgQueue holds the waiting tasks of one organisation and rank of class. It is
// dropped once it has no bucket.
type orgQueue struct {
	org      *orgState
	buckets  []*bucket
	index    int     // in classQueue.orgQueues
	minUsage float64 // weighted usage at the last decision, a lower bound for all candidates
}

// classQueue holds the waiting tasks of one rank of class.
type classQueue struct {
	orgQueues     []*orgQueue
	exactShapes   int    // distinct shapes of buckets that are not coarse
	coarseBuckets int    // number of coarse buckets
	round         uint64 // round that unfitShapes is valid in
	unfitShapes   int    // exact shapes known not to fit
}

// noneFits reports whether it is known that no task fits in this round.
func (c *classQueue) noneFits(round uint64) bool {
	return c.coarseBuckets == 0 && c.round == round && c.unfitShapes == c.exactShapes
}

// countUnfit counts one more exact shape that does not fit in this round.
func (c *classQueue) countUnfit(round uint64) {
	if c.round != round {
		c.round, c.unfitShapes = round, 0
	}
	c.unfitShapes++
}

// unfit reports whether it is known that no task of the bucket fits in this
// round.
func (b *bucket) unfit(round uint64) bool {
	return !b.coarse && b.shape.round == round && !b.shape.fits
}

// preferred returns the waiting task of the bucket that goes first under p.
func (b *bucket) preferred(p Policy) *entry {
	if p.ByArrival() {
		return b.first()
	}
	return b.ready.Head()
}

// group is a set of tasks that can be cancelled together.
type group struct {
	counts  map[*bucket]int // number of waiting tasks by bucket
	live    int             // sum of counts
	entries []*entry        // includes some that no longer wait
	token   line.CancelToken
}

// add adds e. Once most of the entries no longer wait, it drops those.
func (g *group) add(e *entry) {
	if len(g.entries) >= sweepBatch && len(g.entries) > 4*g.live {
		g.entries = slices.DeleteFunc(g.entries, func(x *entry) bool { return x.removed })
	}
	g.counts[e.bucket]++
	g.live++
	g.entries = append(g.entries, e)
}

// remove counts a task of the bucket that no longer waits, and reports whether
// the group is empty.
func (g *group) remove(b *bucket) bool {
	g.live--
	g.counts[b]--
	if g.counts[b] == 0 {
		delete(g.counts, b)
	}
	return g.live == 0
}

// group returns the named group, which it creates if needed. It returns nil for
// the empty name.
func (q *Queue) group(name string) *group {
	if name == "" {
		return nil
	}
	if g, ok := q.groups[name]; ok {
		return g
	}
	if q.groups == nil {
		q.groups = make(map[string]*group)
	}
	g := &group{counts: make(map[*bucket]int)}
	q.groups[name] = g
	return g
}

// bucket returns the bucket for an item, which it creates if needed.
func (q *Queue) bucket(i Item) *bucket {
	o := q.orgState(i.Organisation)
	oq := q.orgQueue(o, rank(i.Class))
	exact := 0
	for _, b := range oq.buckets {
		if b.shape.class != i.Class || b.shape.long != i.Long {
			continue
		}
		if b.shape.demand == i.Demand && !b.coarse || b.coarse && b.coarseMatches(i.Demand) {
			return b
		}
		if !b.coarse {
			exact++
		}
	}
	b := &bucket{
		org:      o,
		shape:    q.shape(i),
		coarse:   exact >= maxExactBuckets,
		ready:    line.Queue[*entry]{Less: byPriority},
		arrivals: line.Queue[*entry]{Less: byArrival},
	}
	oq.buckets = append(oq.buckets, b)
	cq := &q.classQueues[rank(i.Class)]
	if b.coarse {
		cq.coarseBuckets++
		return b
	}
	b.shape.exactBuckets++
	if b.shape.exactBuckets == 1 {
		cq.exactShapes++
	}
	return b
}

// orgQueue returns the queue of an organisation and rank, which it creates if
// needed.
func (q *Queue) orgQueue(o *orgState, rank int) *orgQueue {
	if oq := o.orgQueues[rank]; oq != nil {
		return oq
	}
	cq := &q.classQueues[rank]
	oq := &orgQueue{org: o, index: len(cq.orgQueues)}
	cq.orgQueues = append(cq.orgQueues, oq)
	o.orgQueues[rank] = oq
	return oq
}

// coarseMatches reports whether the demand has the same bit lengths as that of
// the bucket, in every resource.
func (b *bucket) coarseMatches(v resource.Vector) bool {
	w := b.shape.demand
	return sameBitLength(v.MilliCPU, w.MilliCPU) && sameBitLength(v.MemoryMB, w.MemoryMB) && sameBitLength(v.Accelerators, w.Accelerators)
}

func sameBitLength(m, n int64) bool { return bits.Len64(uint64(m)) == bits.Len64(uint64(n)) }

// shape returns the shape of an item, which it creates if needed. It is dropped
// once no exact bucket has it.
func (q *Queue) shape(i Item) *shape {
	key := shapeOf(i)
	if s, ok := q.shapes[key]; ok {
		return s
	}
	if q.shapes == nil {
		q.shapes = make(map[shapeKey]*shape)
	}
	s := &shape{shapeKey: key}
	q.shapes[key] = s
	return s
}

// dropIfEmpty drops the bucket if no task waits in it, and what then is empty.
func (q *Queue) dropIfEmpty(b *bucket) {
	if b.live > 0 {
		return
	}
	r := rank(b.shape.class)
	cq, oq := &q.classQueues[r], b.org.orgQueues[r]
	oq.buckets = slices.DeleteFunc(oq.buckets, func(x *bucket) bool { return x == b })
	if len(oq.buckets) == 0 {
		cq.remove(oq)
		b.org.orgQueues[r] = nil
	}
	if b.coarse {
		cq.coarseBuckets--
	} else {
		b.shape.exactBuckets--
		if b.shape.exactBuckets == 0 {
			cq.exactShapes--
		}
	}
	if b.shape.exactBuckets == 0 {
		delete(q.shapes, b.shape.shapeKey)
	}
}

// remove removes oq, in constant time.
func (c *classQueue) remove(oq *orgQueue) {
	last := len(c.orgQueues) - 1
	c.orgQueues[oq.index] = c.orgQueues[last]
	c.orgQueues[oq.index].index = oq.index
	c.orgQueues[last] = nil
	c.orgQueues = c.orgQueues[:last]
}
