package placement

import (
	"fmt"
	"math/bits"
	"math/rand/v2"
	"slices"

	"persimmonworks.example/persimmonworks/resource"
)

// Summary is what the owner of a shard last advertised. It may be late.
type Summary struct {
	Shard      string
	Rack       string
	DataCentre string
	Largest    resource.Vector // see Shard.Largest
	Long       resource.Vector // see Shard.LargestLong
	Free       resource.Vector // sum over open workers
}

// largest returns the largest advertised amounts for long or for short tasks.
func (s *Summary) largest(long bool) resource.Vector {
	if long {
		return s.Long
	}
	return s.Largest
}

// Directory chooses among the shards of all processes. The zero value is
// empty.
//
// Shards are indexed by data centre and by the power of two of each amount
// in Largest. A choice looks at the cells that cover the demand, and only
// within the cells at its edge at single shards, so that its cost does not
// grow with the number of shards, but for tasks with a spread key, which look
// at all shards of the data centre.
type Directory struct {
	shards  map[string]*listing
	centres map[centreKey]*centre
}

// listing is a shard. It stands in two cells: for short tasks and for long.
type listing struct {
	Summary
	short  position
	long   position
	spread map[string]int // tasks placed there through this directory
}

type position struct {
	cell  *cell
	index int // in cell.listings
}

func (l *listing) position(long bool) *position {
	if long {
		return &l.long
	}
	return &l.short
}

// centreKey names the index of the shards of a data centre for long or for
// short tasks.
type centreKey struct {
	dataCentre string
	long       bool
}

type centre struct {
	long  bool
	cells []*cell
	byKey map[level]*cell
}

type cell struct {
	level    level
	listings []*listing
}

// level is the bit length of each amount: an amount a of level n satisfies
// 2^(n-1) <= a < 2^n.
type level struct{ cpu, memory, accelerators int }

func levelOf(v resource.Vector) level {
	return level{bitLength(v.MilliCPU), bitLength(v.MemoryMB), bitLength(v.Accelerators)}
}

func bitLength(n int64) int { return bits.Len64(uint64(max(0, n))) }

// certain reports whether every amount of level l covers v.
func (l level) certain(v level) bool {
	return above(l.cpu, v.cpu) && above(l.memory, v.memory) && above(l.accelerators, v.accelerators)
}

// possible reports whether some amount of level l may cover v.
func (l level) possible(v level) bool {
	return l.cpu >= v.cpu && l.memory >= v.memory && l.accelerators >= v.accelerators
}

func above(have, need int) bool { return need == 0 || have > need }

// Update takes in the newest summary of a shard.
func (d *Directory) Update(s Summary) {
	if d.shards == nil {
		d.shards = make(map[string]*listing)
		d.centres = make(map[centreKey]*centre)
	}
	l, ok := d.shards[s.Shard]
	if !ok {
		l = &listing{spread: make(map[string]int)}
		d.shards[s.Shard] = l
	} else {
		d.unlink(l, false)
		d.unlink(l, true)
	}
	l.Summary = s
	d.link(l, false)
	d.link(l, true)
}

// Remove forgets a shard.
func (d *Directory) Remove(shard string) {
	if l, ok := d.shards[shard]; ok {
		d.unlink(l, false)
		d.unlink(l, true)
		delete(d.shards, shard)
	}
}

// Len returns the number of shards.
func (d *Directory) Len() int { return len(d.shards) }

// Choose returns a shard that advertises room for the task, in the first of
// the data centres that has one. Of two random shards it takes the one with
// the larger free share, and books the demand on it until its next summary,
// so that decisions between two summaries do not all meet in one place. The
// error wraps ErrNoRoom.
func (d *Directory) Choose(t Task, dataCentres []string, rng *rand.Rand) (string, error) {
	for _, name := range dataCentres {
		c, ok := d.centres[centreKey{name, t.Long}]
		if !ok {
			continue
		}
		if l := c.choose(t, rng); l != nil {
			d.book(l, t)
			return l.Shard, nil
		}
	}
	return "", fmt.Errorf("task %q needs %v, and no shard of the data centres %q advertises it: %w", t.ID, t.Demand, dataCentres, ErrNoRoom)
}

// Fits reports whether a shard of the data centres advertises room.
func (d *Directory) Fits(t Task, dataCentres []string) bool {
	need := levelOf(t.Demand)
	for _, name := range dataCentres {
		c, ok := d.centres[centreKey{name, t.Long}]
		if !ok {
			continue
		}
		for _, x := range c.cells {
			if x.level.certain(need) || x.level.possible(need) && c.covering(x, t.Demand, 0) != nil {
				return true
			}
		}
	}
	return false
}

// Refused says that a shard had no room after all: what it advertises for
// long or for short tasks is cut, until its next summary, to less than the
// demand.
func (d *Directory) Refused(shard string, t Task) {
	l, ok := d.shards[shard]
	if !ok {
		return
	}
	s := l.Summary
	if t.Long {
		s.Long = below(s.Long, t.Demand)
	} else {
		s.Largest = below(s.Largest, t.Demand)
	}
	d.Update(s)
}

// Ended says that a task with a spread key no longer runs on a shard.
func (d *Directory) Ended(shard, spread string) {
	l, ok := d.shards[shard]
	if !ok || l.spread[spread] == 0 {
		return
	}
	l.spread[spread]--
	if l.spread[spread] == 0 {
		delete(l.spread, spread)
	}
}

func (d *Directory) book(l *listing, t Task) {
	if t.Spread != "" {
		l.spread[t.Spread]++
	}
	s := l.Summary
	s.Free = s.Free.Sub(t.Demand).Max(resource.Vector{})
	s.Largest = minimum(s.Largest, s.Free)
	s.Long = minimum(s.Long, s.Free)
	d.Update(s)
}

func (d *Directory) link(l *listing, long bool) {
	k := centreKey{l.DataCentre, long}
	c, ok := d.centres[k]
	if !ok {
		c = &centre{long: long, byKey: make(map[level]*cell)}
		d.centres[k] = c
	}
	key := levelOf(l.largest(long))
	x, ok := c.byKey[key]
	if !ok {
		x = &cell{level: key}
		c.byKey[key] = x
		c.cells = append(c.cells, x)
	}
	*l.position(long) = position{x, len(x.listings)}
	x.listings = append(x.listings, l)
}

func (d *Directory) unlink(l *listing, long bool) {
	p := l.position(long)
	x := p.cell
	last := len(x.listings) - 1
	x.listings[p.index] = x.listings[last]
	x.listings[p.index].position(long).index = p.index
	x.listings[last] = nil
	x.listings = x.listings[:last]
	if last == 0 {
		c := d.centres[centreKey{l.DataCentre, long}]
		delete(c.byKey, x.level)
		c.cells = slices.DeleteFunc(c.cells, func(y *cell) bool { return y == x })
	}
}

func (c *centre) choose(t Task, rng *rand.Rand) *listing {
	if t.Spread != "" {
		return c.leastSpread(t, rng)
	}
	need := levelOf(t.Demand)
	certain := 0
	for _, x := range c.cells {
		if x.level.certain(need) {
			certain += len(x.listings)
		}
	}
	if certain == 0 {
		return c.atEdge(t, need, rng)
	}
	a, b := c.nth(need, rng.IntN(certain)), c.nth(need, rng.IntN(certain))
	if b.moreFree(a) {
		return b
	}
	return a
}

// nth returns the nth shard of the cells that certainly cover the need.
func (c *centre) nth(need level, n int) *listing {
	for _, x := range c.cells {
		if !x.level.certain(need) {
			continue
		}
		if n < len(x.listings) {
			return x.listings[n]
		}
		n -= len(x.listings)
	}
	return nil
}

func (c *centre) atEdge(t Task, need level, rng *rand.Rand) *listing {
	var best *listing
	for _, x := range c.cells {
		if !x.level.possible(need) {
			continue
		}
		l := c.covering(x, t.Demand, rng.IntN(len(x.listings)))
		if l != nil && (best == nil || l.moreFree(best)) {
			best = l
		}
	}
	return best
}

// leastSpread returns the shard with the fewest tasks of the spread key.
func (c *centre) leastSpread(t Task, rng *rand.Rand) *listing {
	var best *listing
	for _, x := range c.cells {
		if !x.level.possible(levelOf(t.Demand)) {
			continue
		}
		offset := rng.IntN(len(x.listings))
		for n := range x.listings {
			l := x.listings[(n+offset)%len(x.listings)]
			if l.largest(c.long).Covers(t.Demand) && (best == nil || l.spread[t.Spread] < best.spread[t.Spread]) {
				best = l
			}
		}
	}
	return best
}

// covering returns the first shard of a cell, from the offset on, that covers
// the demand.
func (c *centre) covering(x *cell, demand resource.Vector, offset int) *listing {
	for n := range x.listings {
		if l := x.listings[(n+offset)%len(x.listings)]; l.largest(c.long).Covers(demand) {
			return l
		}
	}
	return nil
}

func (l *listing) moreFree(m *listing) bool {
	return l.Free.MilliCPU+l.Free.MemoryMB > m.Free.MilliCPU+m.Free.MemoryMB
}

func minimum(v, w resource.Vector) resource.Vector {
	return resource.Vector{
		MilliCPU:     min(v.MilliCPU, w.MilliCPU),
		MemoryMB:     min(v.MemoryMB, w.MemoryMB),
		Accelerators: min(v.Accelerators, w.Accelerators),
	}
}

// below returns v with the demand's first positive amount cut, so that it no
// longer covers the demand.
func below(v, demand resource.Vector) resource.Vector {
	switch {
	case demand.MilliCPU > 0:
		v.MilliCPU = min(v.MilliCPU, demand.MilliCPU-1)
	case demand.MemoryMB > 0:
		v.MemoryMB = min(v.MemoryMB, demand.MemoryMB-1)
	case demand.Accelerators > 0:
		v.Accelerators = min(v.Accelerators, demand.Accelerators-1)
	}
	return v
}
