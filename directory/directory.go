// Package directory chooses the shard that is asked to place a task.
//
// A Directory indexes the shards of all processes by the capacity that their owners
// last advertised. This information may be out of date, so the chosen shard may
// refuse the task. The caller then reports the refusal with RecordRefusal and chooses
// again.
//
// Usage:
//
//	var d directory.Directory
//	d.Update(directory.Summary{Shard: "rack-2", DataCentre: "sofia", Largest: s.Largest(), LargestLong: s.LargestLong(), Free: s.FreeCapacity()})
//	shard, err := d.Choose(task, []string{"sofia", "pernik"}, rng)
//	...
//	d.RecordRefusal(shard, task)
package directory

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"persimmonworks.example/persimmonworks/placement"
	"persimmonworks.example/persimmonworks/resource"
)

// Summary is the capacity that the owner of a shard last advertised. It may be out
// of date.
type Summary struct {
	Shard       string
	Rack        string
	DataCentre  string
	Largest     resource.Vector // see placement.Shard.Largest
	LargestLong resource.Vector // see placement.Shard.LargestLong
	Free        resource.Vector // total over the open workers
}

// largest returns the largest advertised amounts for long or for short tasks.
func (s *Summary) largest(long bool) resource.Vector {
	if long {
		return s.LargestLong
	}
	return s.Largest
}

// Directory chooses among the shards of all processes. The zero value is an empty
// directory.
//
// Shards are indexed by data centre and by the bit length of each amount in Largest
// and in Long. A choice examines whole buckets, and single shards only in buckets
// that may but need not cover the demand, so its cost usually does not depend on
// the number of shards. For a task with a spread key it examines all shards of the
// data centre whose bucket may cover the demand.
type Directory struct {
	shards  map[string]*shardEntry
	indexes map[indexKey]*shardIndex
}

// shardEntry is a shard. It is in two buckets: one for short and one for long tasks.
type shardEntry struct {
	Summary
	short        bucketPosition
	long         bucketPosition
	spreadCounts map[string]int // tasks placed through this directory, by spread key
}

// bucketPosition locates a shard in an index.
type bucketPosition struct {
	bucket *bucket
	index  int // in bucket.shards
}

// position returns the position in the index for long or for short tasks.
func (e *shardEntry) position(long bool) *bucketPosition {
	if long {
		return &e.long
	}
	return &e.short
}

// Update stores the latest summary of a shard.
func (d *Directory) Update(s Summary) {
	if d.shards == nil {
		d.shards = make(map[string]*shardEntry)
		d.indexes = make(map[indexKey]*shardIndex)
	}
	e, ok := d.shards[s.Shard]
	if !ok {
		e = &shardEntry{spreadCounts: make(map[string]int)}
		d.shards[s.Shard] = e
	} else {
		d.removeFromIndex(e, false)
		d.removeFromIndex(e, true)
	}
	e.Summary = s
	d.addToIndex(e, false)
	d.addToIndex(e, true)
}

// Remove removes a shard.
func (d *Directory) Remove(shard string) {
	if e, ok := d.shards[shard]; ok {
		d.removeFromIndex(e, false)
		d.removeFromIndex(e, true)
		delete(d.shards, shard)
	}
}

// Len returns the number of shards.
func (d *Directory) Len() int { return len(d.shards) }

// Choose returns a shard that advertises enough capacity for the task, in the first
// of the data centres that has one. It compares two random shards and takes the one
// with more free capacity. It deducts the demand from the shard's summary until the
// owner advertises the next one, so that decisions in between do not all choose the
// same shard. The error wraps placement.ErrNoCapacity.
func (d *Directory) Choose(t placement.Task, dataCentres []string, rng *rand.Rand) (string, error) {
	for _, name := range dataCentres {
		ix, ok := d.indexes[indexKey{name, t.Long}]
		if !ok {
			continue
		}
		if e := ix.choose(t, rng); e != nil {
			d.recordPlacement(e, t)
			return e.Shard, nil
		}
	}
	return "", fmt.Errorf("task %q needs %v, but no shard in the data centres %q advertises enough capacity: %w", t.ID, t.Demand, dataCentres, placement.ErrNoCapacity)
}

// Fits reports whether a shard in the data centres advertises enough capacity for
// the task.
func (d *Directory) Fits(t placement.Task, dataCentres []string) bool {
	need := sizeClassOf(t.Demand)
	for _, name := range dataCentres {
		ix, ok := d.indexes[indexKey{name, t.Long}]
		if !ok {
			continue
		}
		for _, b := range ix.buckets {
			if b.size.alwaysCovers(need) || b.size.mayCover(need) && ix.firstCovering(b, t.Demand, 0) != nil {
				return true
			}
		}
	}
	return false
}

// RecordRefusal records that a shard refused the task for lack of capacity. Until the owner
// advertises the next summary, the shard's largest amounts for long or for short
// tasks are reduced so that they no longer cover the demand.
func (d *Directory) RecordRefusal(shard string, t placement.Task) {
	e, ok := d.shards[shard]
	if !ok {
		return
	}
	s := e.Summary
	if t.Long {
		s.LargestLong = reduceBelow(s.LargestLong, t.Demand)
	} else {
		s.Largest = reduceBelow(s.Largest, t.Demand)
	}
	d.Update(s)
}

// RecordTaskEnd records that a task with the spread key no longer runs on the shard.
func (d *Directory) RecordTaskEnd(shard, spread string) {
	e, ok := d.shards[shard]
	if !ok || e.spreadCounts[spread] == 0 {
		return
	}
	e.spreadCounts[spread]--
	if e.spreadCounts[spread] == 0 {
		delete(e.spreadCounts, spread)
	}
}

// recordPlacement deducts the demand from the free capacity in the shard's summary,
// limits the largest amounts to what is left, and counts the task's spread key.
func (d *Directory) recordPlacement(e *shardEntry, t placement.Task) {
	if t.SpreadKey != "" {
		e.spreadCounts[t.SpreadKey]++
	}
	s := e.Summary
	s.Free = s.Free.Sub(t.Demand).Max(resource.Vector{})
	s.Largest = minimum(s.Largest, s.Free)
	s.LargestLong = minimum(s.LargestLong, s.Free)
	d.Update(s)
}

// addToIndex adds a shard to its bucket, which is created if necessary.
func (d *Directory) addToIndex(e *shardEntry, long bool) {
	k := indexKey{e.DataCentre, long}
	ix, ok := d.indexes[k]
	if !ok {
		ix = &shardIndex{long: long, bySize: make(map[sizeClass]*bucket)}
		d.indexes[k] = ix
	}
	key := sizeClassOf(e.largest(long))
	b, ok := ix.bySize[key]
	if !ok {
		b = &bucket{size: key}
		ix.bySize[key] = b
		ix.buckets = append(ix.buckets, b)
	}
	*e.position(long) = bucketPosition{b, len(b.shards)}
	b.shards = append(b.shards, e)
}

// removeFromIndex removes a shard from its bucket, by moving the last shard of the
// bucket to its position, and removes the bucket if it is empty.
func (d *Directory) removeFromIndex(e *shardEntry, long bool) {
	p := e.position(long)
	b := p.bucket
	last := len(b.shards) - 1
	b.shards[p.index] = b.shards[last]
	b.shards[p.index].position(long).index = p.index
	b.shards[last] = nil
	b.shards = b.shards[:last]
	if last == 0 {
		ix := d.indexes[indexKey{e.DataCentre, long}]
		delete(ix.bySize, b.size)
		ix.buckets = slices.DeleteFunc(ix.buckets, func(y *bucket) bool { return y == b })
	}
}

// minimum returns the smaller amount of each resource.
func minimum(v, w resource.Vector) resource.Vector {
	return resource.Vector{
		MilliCPU:     min(v.MilliCPU, w.MilliCPU),
		MemoryMB:     min(v.MemoryMB, w.MemoryMB),
		Accelerators: min(v.Accelerators, w.Accelerators),
	}
}

// reduceBelow returns v reduced so that it no longer covers the demand: the amount of
// the first resource that the demand contains is cut to below the demand.
func reduceBelow(v, demand resource.Vector) resource.Vector {
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
