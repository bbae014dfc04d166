package objective

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"persimmonworks.example/persimmonworks/wire"
)

// comeBack simulates callers that arrive evenly during an outage and come back up to
// four times, after whole seconds as the protocol has it. It returns the share of them
// that is accepted in the end, and the most that arrive in one half second after it.
func comeBack(outage time.Duration, after func() time.Duration) (accepted float64, crowd int) {
	const callers, retries, window = 400, 4, 500 * time.Millisecond
	returns := map[int]int{}
	count := 0
	for i := range callers {
		at := time.Duration(i) * outage / callers
		for range retries {
			at += time.Duration(math.Ceil(after().Seconds())) * time.Second
			if at >= outage {
				count++
				returns[int((at-outage)/window)]++
				break
			}
		}
	}
	for _, n := range returns {
		crowd = max(crowd, n)
	}
	return float64(count) / callers, crowd
}

// Replays outages of the store in which long and short jobs are refused.
func TestCallersOfLongJobsOutlastAnOutage(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	job := func(estimate time.Duration) *wire.DocketAccepted {
		return &wire.DocketAccepted{
			Steps: []*wire.DocketStep{{Count: 1, EstimateMs: uint32(estimate.Milliseconds())}},
			Queue: &wire.DocketQueue{Dilation: 2, TargetMs: 500},
		}
	}
	oneSecond := func() time.Duration { return time.Second }
	for _, outage := range []time.Duration{4 * time.Second, 7 * time.Second, 10 * time.Second} {
		before, crowdBefore := comeBack(outage, oneSecond)
		long := job(10 * time.Second)
		after, crowd := comeBack(outage, func() time.Duration { return ReturnAfter(long, rng.Float64()) })
		t.Logf("outage of %v: accepted %.2f before, %.2f now; at once %d before, %d now", outage, before, after, crowdBefore, crowd)
		if after < 0.99 {
			t.Errorf("outage of %v: %.2f of the callers of long jobs are accepted, want all", outage, after)
		}
		if crowd > crowdBefore {
			t.Errorf("outage of %v: %d callers come back at once, %d with a fixed second", outage, crowd, crowdBefore)
		}
	}
	short := job(700 * time.Millisecond)
	for range 100 {
		if d := ReturnAfter(short, rng.Float64()); d > time.Second {
			t.Errorf("the caller of a short job is sent away for %v", d)
		}
	}
}
