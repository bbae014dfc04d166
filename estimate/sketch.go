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

type bin struct {
	index  int16
	weight float32
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
		s.halve()
	}
	index := binIndex(d)
	pos, found := slices.BinarySearchFunc(s.bins, index, func(b bin, i int16) int { return int(b.index) - int(i) })
	if !found {
		s.bins = slices.Insert(s.bins, pos, bin{index: index})
	}
	s.bins[pos].weight++
	s.total++
}

// halve halves the weights, and drops bins that fall below 0.25.
func (s *sketch) halve() {
	s.total = 0
	kept := s.bins[:0]
	for _, b := range s.bins {
		b.weight /= 2
		if b.weight >= 0.25 {
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
