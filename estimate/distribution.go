package estimate

import (
	"math"
	"time"
)

const (
	medianQuantile = 0.5
	// estimateBlend is the weight of the caller's estimate beside the observations of a
	// queue.
	estimateBlend = 2.0
	// estimateSpread is the standard deviation of the logarithm of a run time where only
	// the caller's estimate is known: one time in three it is off by more than this.
	estimateSpread = 0.8
	// leastLonger is the share of runs below which the tail of a distribution is not known.
	leastLonger = 1e-3
)

// Distribution says how long a task takes. The zero value knows nothing.
type Distribution struct {
	longer   [maxBins + 1]float32 // share of runs that take longer than the bound of each bin
	known    bool
	slowdown float64 // of the worker; 0 stands for 1
	runs     float64 // weight of the runs that it is based on
}

// newDistribution returns what is known of a task from its estimate alone.
func newDistribution(centre time.Duration) Distribution {
	d := Distribution{known: true}
	at := math.Log(float64(centre)/float64(firstBinBound)) / math.Log(binGrowth)
	for i := range d.longer {
		d.longer[i] = float32(spreadTail(float64(i) - at))
	}
	return d
}

// spreadTail returns the share of run times that lie more than the given number of bins
// above the estimate.
func spreadTail(bins float64) float64 {
	const tableBins = 60 // beyond them next to nothing lies: four standard deviations are 34 bins
	i := math.Floor(bins)
	if i < -tableBins {
		return 1
	}
	if i >= tableBins {
		return 0
	}
	low, high := spreadTails[int(i)+tableBins], spreadTails[int(i)+tableBins+1]
	return low + (bins-i)*(high-low)
}

// spreadTails tabulates the tail of a log-normal distribution with estimateSpread, from 60
// bins below its median to 61 above.
var spreadTails = func() (t [122]float64) {
	for i := range t {
		t[i] = math.Erfc(float64(i-60)*math.Log(binGrowth)/estimateSpread/math.Sqrt2) / 2
	}
	return t
}()

// narrow blends in what a narrower level has seen. The distribution so far has the given
// weight, and says how those go on that have taken longer than all that ended.
func (d *Distribution) narrow(p *population, shift, blend float64) {
	watched := p.watched()
	if watched == 0 {
		return
	}
	share := watched / (watched + blend)
	d.runs = watched
	below, longer := 0.0, 1.0 // bound and share of the latest bin passed
	next := 0                 // the first bin of the grid that is not done
	p.survival(func(index int16, after float64) {
		bound := float64(index) + shift
		for ; next < len(d.longer) && float64(next) <= bound; next++ {
			// Within a bin run times are spread evenly.
			within := min(1, max(0, float64(next)-(bound-1)))
			d.blend(next, share, longer-within*(longer-after))
		}
		below, longer = bound, after
	})
	if next >= len(d.longer) {
		return
	}
	// Beyond the longest that was seen the wider level says how it goes on.
	from := d.tailAt(below, next)
	for ; next < len(d.longer); next++ {
		rest := 0.0
		if from > 0 {
			rest = min(1, float64(d.longer[next])/from)
		}
		d.blend(next, share, longer*rest)
	}
}

// blend replaces a share of what is known of a bin.
func (d *Distribution) blend(i int, share, longer float64) {
	d.longer[i] = float32(share*longer + (1-share)*float64(d.longer[i]))
}

// tailAt returns the share of the wider level at a bound, from the first bin that is not
// blended yet.
func (d *Distribution) tailAt(bound float64, next int) float64 {
	at := float64(d.longer[next])
	if next+1 >= len(d.longer) || bound < 0 {
		return at
	}
	step := at - float64(d.longer[next+1])
	return min(1, at+(float64(next)-bound)*step)
}

// Slowed returns the same for runs that take longer by a factor.
func (d Distribution) Slowed(factor float64) Distribution {
	d.slowdown = factor
	return d
}

// Known reports whether anything is known of the task.
func (d *Distribution) Known() bool { return d.known }

// Runs returns the weight of the runs that the distribution is based on, those of the
// narrowest kind that was seen; 0 if it is the caller's estimate.
func (d *Distribution) Runs() float64 { return d.runs }

func (d *Distribution) scale() float64 {
	if d.slowdown == 0 {
		return 1
	}
	return d.slowdown
}

// Quantile returns the time within which the task ends with probability q, 0 if nothing is
// known.
func (d *Distribution) Quantile(q float64) time.Duration { return d.until(1 - q) }

// until returns the time after which a share of the runs still goes on.
func (d *Distribution) until(share float64) time.Duration {
	if !d.Known() {
		return 0
	}
	i, end := 0, len(d.longer)-1
	for i < end && float64(d.longer[i]) > share {
		i++
	}
	at := float64(i)
	if i > 0 && d.longer[i-1] > d.longer[i] {
		here, before := float64(d.longer[i]), float64(d.longer[i-1])
		at -= min(1, max(0, (share-here)/(before-here)))
	}
	return time.Duration(math.Pow(binGrowth, at) * float64(firstBinBound) * d.scale())
}

// Longer returns the share of runs that take longer than the given time.
func (d *Distribution) Longer(than time.Duration) float64 {
	if !d.Known() || than <= 0 {
		return 1
	}
	at := math.Log(float64(than)/d.scale()/float64(firstBinBound)) / math.Log(binGrowth)
	if at <= 0 {
		return 1
	}
	i := int(at)
	if i+1 >= len(d.longer) {
		return float64(d.longer[len(d.longer)-1])
	}
	low, high := float64(d.longer[i]), float64(d.longer[i+1])
	return low + (at-float64(i))*(high-low)
}

// Rest returns the time within which a run that has gone on for a time ends with
// probability q, 0 if nothing is known. Of a run that has outlasted all that is known, it
// expects the more the longer it has run.
func (d *Distribution) Rest(ran time.Duration, q float64) time.Duration {
	if !d.Known() {
		return 0
	}
	longer := d.Longer(ran)
	if longer < leastLonger {
		return time.Duration(float64(ran) * q / (1 - q))
	}
	return max(0, d.until((1-q)*longer)-ran)
}
