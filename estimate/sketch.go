package estimate

import (
	"math"
	"slices"
	"time"
)

const (
	// unit is the shortest run time that is told from shorter ones.
	unit = time.Millisecond
	// growth is the ratio of the bounds of a bin, and so the error of a
	// quantile.
	growth = 1.1
	// maxBins covers run times up to 60 days.
	maxBins = 240
)

// sketch is a histogram with geometric bins, of which only the used ones are
// stored. The zero value is empty.
type sketch struct {
	bins  []bin // by index
	total float64
}

type bin struct {
	index  int16
	weight float32
}

func binOf(d time.Duration) int16 {
	if d <= unit {
		return 0
	}
	return int16(min(maxBins, math.Ceil(math.Log(float64(d)/float64(unit))/math.Log(growth))))
}

// bound returns the longest run time of a bin.
func bound(index int16) time.Duration {
	return time.Duration(float64(unit) * math.Pow(growth, float64(index)))
}

func (s *sketch) add(d time.Duration) {
	if s.total >= fadeAt {
		s.fade()
	}
	index := binOf(d)
	n, found := slices.BinarySearchFunc(s.bins, index, func(b bin, i int16) int { return int(b.index) - int(i) })
	if !found {
		s.bins = slices.Insert(s.bins, n, bin{index: index})
	}
	s.bins[n].weight++
	s.total++
}

// fade halves the weight of the past.
func (s *sketch) fade() {
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

// quantile returns the bound below which the share of the weight lies.
func (s *sketch) quantile(q float64) time.Duration {
	rest := q * s.total
	for _, b := range s.bins {
		rest -= float64(b.weight)
		if rest <= 0 {
			return bound(b.index)
		}
	}
	if len(s.bins) == 0 {
		return 0
	}
	return bound(s.bins[len(s.bins)-1].index)
}
