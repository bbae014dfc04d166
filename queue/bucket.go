package queue

import (
	"math/bits"
	"slices"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/line"
	"persimmonworks.example/persimmonworks/resource"
)

type shapeKey struct {
	class  class.Class
	long   bool
	demand resource.Vector
}

func shapeOf(i Item) shapeKey { return shapeKey{i.Class, i.Long, i.Demand} }

// shape is what fits may depend on, with its answer in the current call of
// Next.
type shape struct {
	shapeKey
	round uint64
	fits  bool
	users int // buckets of that shape, but for coarse ones
}

// maxExactBuckets is the number of distinct demands of an organisation and
// class that are kept apart. Further demands share a bucket with those of the
// same power of two, where the first task holds up the others.
const maxExactBuckets = 64

// bucket holds the waiting tasks of one organisation and shape. It exists
// only while it holds a waiting task.
type bucket struct {
	account  *account
	shape    *shape
	coarse   bool              // shape is only that of the first task pushed
	ready    line.Line[*entry] // by priority
	arrivals line.Line[*entry] // by arrival
	oldest   *entry            // as far as known; see first
	live     int
}

func (b *bucket) push(e *entry) {
	b.ready.Push(e, b.live)
	b.arrivals.Push(e, b.live)
	b.live++
	if b.oldest != nil && byArrival(e, b.oldest) {
		b.oldest = e
	}
}

// first returns the task that arrived first.
func (b *bucket) first() *entry {
	if b.oldest == nil || !b.oldest.Waits() {
		b.oldest = b.arrivals.Head()
	}
	return b.oldest
}

// claim is the waiting tasks of one organisation and rank. It exists only
// while it has a bucket.
type claim struct {
	account *account
	buckets []*bucket
	index   int     // in its lane
	least   float64 // weighted usage of the account at the last decision; no candidate of the claim is below
}

// lane is the waiting tasks of one rank.
type lane struct {
	claims []*claim
	shapes int    // distinct shapes among the exact buckets
	coarse int    // coarse buckets
	round  uint64 // call of Next that unfit belongs to
	unfit  int    // distinct shapes that are known not to fit
}

// full reports whether nothing in the lane fits in this round.
func (l *lane) full(round uint64) bool {
	return l.coarse == 0 && l.round == round && l.unfit == l.shapes
}

func (l *lane) countUnfit(round uint64) {
	if l.round != round {
		l.round, l.unfit = round, 0
	}
	l.unfit++
}

// unfit reports whether the demand is known not to fit in this round.
func (b *bucket) unfit(round uint64) bool {
	return !b.coarse && b.shape.round == round && !b.shape.fits
}

func (b *bucket) preferred(p Policy) *entry {
	if p.ByArrival() {
		return b.first()
	}
	return b.ready.Head()
}

// group is a set of tasks that can be cancelled together.
type group struct {
	counts  map[*bucket]int // waiting tasks
	live    int             // sum of counts
	entries []*entry        // also some that no longer wait
	cohort  line.Cohort
}

func (g *group) add(e *entry) {
	if len(g.entries) >= sweepStep && len(g.entries) > 4*g.live {
		g.entries = slices.DeleteFunc(g.entries, func(x *entry) bool { return x.taken })
	}
	g.counts[e.bucket]++
	g.live++
	g.entries = append(g.entries, e)
}

// remove takes one task of the bucket out, and reports whether none is left.
func (g *group) remove(b *bucket) bool {
	g.live--
	g.counts[b]--
	if g.counts[b] == 0 {
		delete(g.counts, b)
	}
	return g.live == 0
}

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

func (q *Queue) bucket(i Item) *bucket {
	a := q.account(i.Organisation)
	c := q.claim(a, rank(i.Class))
	exact := 0
	for _, b := range c.buckets {
		if b.shape.class != i.Class || b.shape.long != i.Long {
			continue
		}
		if b.shape.demand == i.Demand && !b.coarse || b.coarse && b.coarseCovers(i.Demand) {
			return b
		}
		if !b.coarse {
			exact++
		}
	}
	b := &bucket{
		account:  a,
		shape:    q.shape(i),
		coarse:   exact >= maxExactBuckets,
		ready:    line.Line[*entry]{Less: byPriority},
		arrivals: line.Line[*entry]{Less: byArrival},
	}
	c.buckets = append(c.buckets, b)
	l := &q.lanes[rank(i.Class)]
	if b.coarse {
		l.coarse++
		return b
	}
	b.shape.users++
	if b.shape.users == 1 {
		l.shapes++
	}
	return b
}

func (q *Queue) claim(a *account, rank int) *claim {
	if c := a.claims[rank]; c != nil {
		return c
	}
	l := &q.lanes[rank]
	c := &claim{account: a, index: len(l.claims)}
	l.claims = append(l.claims, c)
	a.claims[rank] = c
	return c
}

// coarseCovers reports whether the demand has the powers of two of the
// bucket.
func (b *bucket) coarseCovers(v resource.Vector) bool {
	w := b.shape.demand
	return samePower(v.MilliCPU, w.MilliCPU) && samePower(v.MemoryMB, w.MemoryMB) && samePower(v.Accelerators, w.Accelerators)
}

func samePower(m, n int64) bool { return bits.Len64(uint64(m)) == bits.Len64(uint64(n)) }

// shape returns the shape of an item; it is kept while a bucket that is not
// coarse has it.
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

func (q *Queue) dropEmpty(b *bucket) {
	if b.live > 0 {
		return
	}
	r := rank(b.shape.class)
	l, c := &q.lanes[r], b.account.claims[r]
	c.buckets = slices.DeleteFunc(c.buckets, func(x *bucket) bool { return x == b })
	if len(c.buckets) == 0 {
		l.drop(c)
		b.account.claims[r] = nil
	}
	if b.coarse {
		l.coarse--
	} else {
		b.shape.users--
		if b.shape.users == 0 {
			l.shapes--
		}
	}
	if b.shape.users == 0 {
		delete(q.shapes, b.shape.shapeKey)
	}
}

func (l *lane) drop(c *claim) {
	last := len(l.claims) - 1
	l.claims[c.index] = l.claims[last]
	l.claims[c.index].index = c.index
	l.claims[last] = nil
	l.claims = l.claims[:last]
}
