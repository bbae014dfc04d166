// Package directory chooses the shard that is asked to place a task.
//
// A Directory knows the shards of all processes by what their owners last
// advertised. That may be late, so the chosen shard has the last word: on a
// refusal the caller says so with Refused, and chooses again.
//
// Usage:
//
//	var d directory.Directory
//	d.Update(directory.Summary{Shard: "rack-2", DataCentre: "sofia", Largest: s.Largest(), Long: s.LargestLong(), Free: s.FreeCapacity()})
//	shard, err := d.Choose(task, []string{"sofia", "pernik"}, rng)
//	...
//	d.Refused(shard, task)
package directory

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"persimmonworks.example/persimmonworks/placement"
	"persimmonworks.example/persimmonworks/resource"
)

// Summary is what the owner of a shard last advertised. It may be late.
type Summary struct {
	Shard      string
	Rack       string
	DataCentre string
	Largest    resource.Vector // see placement.Shard.Largest
	Long       resource.Vector // see placement.Shard.LargestLong
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
// error wraps placement.ErrNoRoom.
func (d *Directory) Choose(t placement.Task, dataCentres []string, rng *rand.Rand) (string, error) {
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
	return "", fmt.Errorf("task %q needs %v, and no shard of the data centres %q advertises it: %w", t.ID, t.Demand, dataCentres, placement.ErrNoRoom)
}

// Fits reports whether a shard of the data centres advertises room.
func (d *Directory) Fits(t placement.Task, dataCentres []string) bool {
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
func (d *Directory) Refused(shard string, t placement.Task) {
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

func (d *Directory) book(l *listing, t placement.Task) {
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
