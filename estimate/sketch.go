package estimate

import (
	"math"
	"slices"
	"time"
)

const (
	// firstBinBound is the upper bound of the first bin; shorter run times are not
	// distinguished.
	firstBinBound = time.Millisecond
	// binGrowth is the ratio of the upper to the lower bound of a bin, which bounds
	// the relative error of a quantile.
	binGrowth = 1.1
	// maxBins is the index of the last bin. Run times of 60 days have to be
	// covered; 1.1^240 ms is 99 days.
	maxBins = 240
)

// sketch is a histogram whose bin widths grow geometrically. Only bins in use
// are stored. The zero value is empty.
type sketch struct {
	bins  []bin   // in ascending order of index
	total float64 // sum of the weights
}

// bin counts the runs whose run time falls between two bounds.
type bin struct {
	index   int16
	weight  float32 // of runs that ended by themselves
	stopped float32 // of runs that were stopped after this time and would have taken longer
	live    float32 // of runs that still run, after this time
}

// binIndex returns the index of the bin for a run time.
func binIndex(d time.Duration) int16 {
	if d <= firstBinBound {
		return 0
	}
	return int16(min(maxBins, math.Ceil(math.Log(float64(d)/float64(firstBinBound))/math.Log(binGrowth))))
}

// binBound returns the upper bound of a bin.
func binBound(index int16) time.Duration {
	return time.Duration(float64(firstBinBound) * math.Pow(binGrowth, float64(index)))
}

// add records a run time.
func (s *sketch) add(d time.Duration) {
	if s.total >= maxWeight {
		s.halve(minBinWeight)
	}
	s.at(binIndex(d)).weight++
	s.total++
}

// at returns the bin with the index, which it adds if there is none. The pointer is valid
// until the next bin is added.
func (s *sketch) at(index int16) *bin {
	pos, found := slices.BinarySearchFunc(s.bins, index, func(b bin, i int16) int { return int(b.index) - int(i) })
	if !found {
		s.bins = slices.Insert(s.bins, pos, bin{index: index})
	}
	return &s.bins[pos]
}

// minBinWeight is the weight below which a bin of whole observations is dropped.
const minBinWeight = 0.25

// halve halves the weights, and drops bins that fall below the least one.
func (s *sketch) halve(least float32) {
	s.total = 0
	kept := s.bins[:0]
	for _, b := range s.bins {
		b.weight /= 2
		b.stopped /= 2
		if b.weight+b.stopped+b.live >= least {
			kept = append(kept, b)
			s.total += float64(b.weight)
		}
	}
	s.bins = kept
}

// quantile returns the upper bound of the bin that holds the quantile q.
func (s *sketch) quantile(q float64) time.Duration {
	remaining := q * s.total
	for _, b := range s.bins {
		remaining -= float64(b.weight)
		if remaining <= 0 {
			return binBound(b.index)
		}
	}
	if len(s.bins) == 0 {
		return 0
	}
	return binBound(s.bins[len(s.bins)-1].index)
}

// survival calls f with each bin in ascending order and the share of the runs that take
// longer than its upper bound, by the product-limit estimate: runs that were stopped or
// still run count among those that might have ended for as long as they were watched.
func (s *sketch) survival(f func(index int16, longer float64)) {
	watched := 0.0
	for _, b := range s.bins {
		watched += float64(b.weight + b.stopped + b.live)
	}
	longer := 1.0
	for _, b := range s.bins {
		if b.weight > 0 && watched > 0 {
			longer *= max(0, 1-float64(b.weight)/watched)
		}
		f(b.index, longer)
		watched -= float64(b.weight + b.stopped + b.live)
	}
}
