package estimate

import (
	"container/list"
	"math"
	"time"
)

// population holds the run times of the tasks that one level of a Model does not tell apart:
// those of one step as they are, all others over what the line of their queue expects.
type population struct {
	sketch
	censored float64 // weight of the stopped runs
	census   uint32  // in which the live runs were counted
	halving  float64 // weight at which the next halving is due
}

// ratioUnit is the time that stands for a ratio of 1.
const ratioUnit = time.Hour

// shift returns how many bins later than the histogram's own a run time lies in a level.
func (p *population) shift(centre time.Duration, level int) float64 {
	if level == stepLevel {
		return 0
	}
	return math.Log(float64(centre)/float64(ratioUnit)) / math.Log(binGrowth)
}

// binOf returns the bin of a run time in a level.
func (p *population) binOf(d, centre time.Duration, level int) int16 {
	if level == stepLevel || centre <= 0 {
		return binIndex(d)
	}
	ratio := float64(d) / float64(centre) * float64(ratioUnit)
	return binIndex(time.Duration(min(ratio, math.MaxInt64/2)))
}

func (p *population) observe(index int16, weight float32, ended bool) {
	if p.halving == 0 {
		p.halving = firstHalving
	}
	if p.total+p.censored >= p.halving {
		p.halve(minWeight)
		p.censored /= 2
		p.halving = min(2*p.halving, maxWeight)
	}
	b := p.at(index)
	if ended {
		b.weight += weight
		p.total += float64(weight)
		return
	}
	b.stopped += weight
	p.censored += float64(weight)
}

// running counts a run that still runs, in a census.
func (p *population) running(index int16, weight float32, census uint32) {
	if p.census != census {
		p.census = census
		for i := range p.bins {
			p.bins[i].live = 0
		}
	}
	p.at(index).live += weight
}

// watched returns the weight of all runs, ended or not.
func (p *population) watched() float64 {
	sum := 0.0
	for _, b := range p.bins {
		sum += float64(b.weight + b.stopped + b.live)
	}
	return sum
}

// levelCache holds the populations of one level, of which it drops the least recently
// used.
type levelCache struct {
	elements map[levelKey]*list.Element
	recent   list.List // of *levelEntry, most recently used first
}

type levelEntry struct {
	key levelKey
	population
}

// maxPopulations bounds each level.
var maxPopulations = [numLevels]int{maxQueues, maxTeams, maxKinds, maxSteps}

// find returns the population of a task, nil if there is none.
func (c *levelCache) find(t *Task, level int) *population {
	k, ok := t.key(level)
	if !ok {
		return nil
	}
	e, ok := c.elements[k]
	if !ok {
		return nil
	}
	c.recent.MoveToFront(e)
	return &e.Value.(*levelEntry).population
}

// of returns the population of a task, which it adds if there is none, or nil if the level
// says nothing of its own about the task.
func (c *levelCache) of(t *Task, level int) *population {
	if p := c.find(t, level); p != nil {
		return p
	}
	k, ok := t.key(level)
	if !ok {
		return nil
	}
	return &c.add(k, maxPopulations[level]).population
}

func (c *levelCache) add(k levelKey, limit int) *levelEntry {
	if c.elements == nil {
		c.elements = map[levelKey]*list.Element{}
	}
	if len(c.elements) >= limit {
		oldest := c.recent.Back()
		delete(c.elements, c.recent.Remove(oldest).(*levelEntry).key)
	}
	e := &levelEntry{key: k}
	c.elements[k] = c.recent.PushFront(e)
	return e
}
