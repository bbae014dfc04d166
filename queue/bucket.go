package queue

import (
	"slices"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/resource"
)

type shapeKey struct {
	class  class.Class
	demand resource.Vector
}

// shape is a distinct demand of a class, with the answer of fits in the
// current call of Next.
type shape struct {
	class  class.Class
	demand resource.Vector
	round  uint64
	fits   bool
	users  int // buckets of that shape
}

// bucket holds the waiting tasks of one organisation and shape. It exists
// only while it holds a waiting task.
type bucket struct {
	account  *account
	shape    *shape
	ready    line // by priority
	arrivals line // by arrival
	live     int
}

func (b *bucket) push(e *entry) {
	b.ready.push(e, b.live)
	b.arrivals.push(e, b.live)
	b.live++
}

func (b *bucket) preferred(p Policy) *entry {
	if p.ByArrival() {
		return b.arrivals.head()
	}
	return b.ready.head()
}

// group is a set of tasks that can be cancelled together.
type group struct {
	counts    map[*bucket]int // waiting tasks
	entries   []*entry
	cancelled bool
}

func (g *group) add(e *entry) {
	g.counts[e.bucket]++
	g.entries = append(g.entries, e)
}

// remove takes one task of the bucket out, and reports whether none is left.
func (g *group) remove(b *bucket) bool {
	g.counts[b]--
	if g.counts[b] == 0 {
		delete(g.counts, b)
	}
	return len(g.counts) == 0
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
	for _, b := range a.buckets {
		if b.shape.class == i.Class && b.shape.demand == i.Demand {
			return b
		}
	}
	b := &bucket{account: a, shape: q.shape(i), ready: line{less: byPriority}, arrivals: line{less: byArrival}}
	a.buckets = append(a.buckets, b)
	return b
}

func (q *Queue) shape(i Item) *shape {
	key := shapeKey{i.Class, i.Demand}
	s, ok := q.shapes[key]
	if !ok {
		if q.shapes == nil {
			q.shapes = make(map[shapeKey]*shape)
		}
		s = &shape{class: i.Class, demand: i.Demand}
		q.shapes[key] = s
	}
	s.users++
	return s
}

func (q *Queue) dropEmpty(b *bucket) {
	if b.live > 0 {
		return
	}
	b.account.buckets = slices.DeleteFunc(b.account.buckets, func(x *bucket) bool { return x == b })
	b.shape.users--
	if b.shape.users == 0 {
		delete(q.shapes, shapeKey{b.shape.class, b.shape.demand})
	}
}
