package directory

import (
	"math/bits"
	"math/rand/v2"

	"persimmonworks.example/persimmonworks/placement"
	"persimmonworks.example/persimmonworks/resource"
)

// indexKey identifies an index: that of a data centre for long or for short tasks.
type indexKey struct {
	dataCentre string
	long       bool
}

// shardIndex groups the shards of one data centre by the size class of their
// largest free amounts for long or for short tasks.
type shardIndex struct {
	long    bool
	buckets []*bucket
	bySize  map[sizeClass]*bucket
}

// bucket holds the shards of one size class. Empty buckets are removed.
type bucket struct {
	size   sizeClass
	shards []*shardEntry
}

// sizeClass holds the bit length of each amount. An amount a of bit length n > 0
// satisfies 2^(n-1) <= a < 2^n.
type sizeClass struct{ cpu, memory, accelerators int }

func sizeClassOf(v resource.Vector) sizeClass {
	return sizeClass{bitLength(v.MilliCPU), bitLength(v.MemoryMB), bitLength(v.Accelerators)}
}

func bitLength(n int64) int { return bits.Len64(uint64(max(0, n))) }

// alwaysCovers reports whether every vector of class c covers every vector of class v.
func (c sizeClass) alwaysCovers(v sizeClass) bool {
	return exceeds(c.cpu, v.cpu) && exceeds(c.memory, v.memory) && exceeds(c.accelerators, v.accelerators)
}

// mayCover reports whether some vector of class c covers some vector of class v.
func (c sizeClass) mayCover(v sizeClass) bool {
	return c.cpu >= v.cpu && c.memory >= v.memory && c.accelerators >= v.accelerators
}

// exceeds reports whether an amount of bit length have is certain to cover one of
// bit length need.
func exceeds(have, need int) bool { return need == 0 || have > need }

// choose returns a shard that covers the demand, or nil. For a task without a
// spread key it takes two random shards from the buckets that certainly cover the
// demand and returns the one with more free capacity; this is the "power of two
// choices".
func (ix *shardIndex) choose(t placement.Task, rng *rand.Rand) *shardEntry {
	if t.SpreadKey != "" {
		return ix.chooseLeastSpread(t, rng)
	}
	need := sizeClassOf(t.Demand)
	total := 0
	for _, b := range ix.buckets {
		if b.size.alwaysCovers(need) {
			total += len(b.shards)
		}
	}
	if total == 0 {
		return ix.chooseBorderline(t, need, rng)
	}
	a, b := ix.nthCovering(need, rng.IntN(total)), ix.nthCovering(need, rng.IntN(total))
	if b.hasMoreFree(a) {
		return b
	}
	return a
}

// nthCovering returns the nth shard of the buckets that certainly cover the need.
func (ix *shardIndex) nthCovering(need sizeClass, n int) *shardEntry {
	for _, b := range ix.buckets {
		if !b.size.alwaysCovers(need) {
			continue
		}
		if n < len(b.shards) {
			return b.shards[n]
		}
		n -= len(b.shards)
	}
	return nil
}

// chooseBorderline chooses among the buckets that may cover the demand, where each
// shard has to be examined. Of the first covering shard of each bucket, counted
// from a random offset, it returns the one with the most free capacity.
func (ix *shardIndex) chooseBorderline(t placement.Task, need sizeClass, rng *rand.Rand) *shardEntry {
	var best *shardEntry
	for _, b := range ix.buckets {
		if !b.size.mayCover(need) {
			continue
		}
		e := ix.firstCovering(b, t.Demand, rng.IntN(len(b.shards)))
		if e != nil && (best == nil || e.hasMoreFree(best)) {
			best = e
		}
	}
	return best
}

// chooseLeastSpread returns the shard with the fewest tasks of the task's spread key
// among those that cover the demand.
func (ix *shardIndex) chooseLeastSpread(t placement.Task, rng *rand.Rand) *shardEntry {
	var best *shardEntry
	for _, b := range ix.buckets {
		if !b.size.mayCover(sizeClassOf(t.Demand)) {
			continue
		}
		offset := rng.IntN(len(b.shards))
		for n := range b.shards {
			e := b.shards[(n+offset)%len(b.shards)]
			if e.largest(ix.long).Covers(t.Demand) && (best == nil || e.spreadCounts[t.SpreadKey] < best.spreadCounts[t.SpreadKey]) {
				best = e
			}
		}
	}
	return best
}

// firstCovering returns the first shard of a bucket that covers the demand, starting
// at the offset and wrapping around.
func (ix *shardIndex) firstCovering(b *bucket, demand resource.Vector, offset int) *shardEntry {
	for n := range b.shards {
		if e := b.shards[(n+offset)%len(b.shards)]; e.largest(ix.long).Covers(demand) {
			return e
		}
	}
	return nil
}

// hasMoreFree compares the sums of free thousandths of a core and free megabytes.
func (e *shardEntry) hasMoreFree(other *shardEntry) bool {
	return e.Free.MilliCPU+e.Free.MemoryMB > other.Free.MilliCPU+other.Free.MemoryMB
}
