package directory

import (
	"math/bits"
	"math/rand/v2"

	"persimmonworks.example/persimmonworks/placement"
	"persimmonworks.example/persimmonworks/resource"
)

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

func (c *centre) choose(t placement.Task, rng *rand.Rand) *listing {
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

func (c *centre) atEdge(t placement.Task, need level, rng *rand.Rand) *listing {
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
func (c *centre) leastSpread(t placement.Task, rng *rand.Rand) *listing {
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
