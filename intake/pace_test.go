package intake

import (
	"testing"
	"time"
)

func TestPace(t *testing.T) {
	for _, c := range []struct{ gap, late, want time.Duration }{
		{0, 90 * time.Millisecond, 0},
		{0, 300 * time.Millisecond, 250 * time.Millisecond},
		{250 * time.Millisecond, time.Second, 500 * time.Millisecond},
		{800 * time.Millisecond, 2 * time.Second, time.Second},
		{400 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond},
		{400 * time.Millisecond, 0, 375 * time.Millisecond},
		{100 * time.Millisecond, 0, 0},
	} {
		if got := Pace(c.gap, c.late); got != c.want {
			t.Errorf("gap %v, %v late: %v, want %v", c.gap, c.late, got, c.want)
		}
	}
}

// paced replays connections that never pause on a process with so much processor time: what
// cannot be done in a second is done later, and all that the process plans waits with it.
func paced(connections int, perCall time.Duration, share float64, pace bool) (late []time.Duration) {
	const offered = 50 * time.Millisecond // between two calls of a connection that is not held back
	var gap, backlog time.Duration
	for range 60 {
		calls := float64(connections) / max(offered, gap).Seconds()
		backlog += time.Duration(calls * float64(perCall) / share)
		backlog = max(0, backlog-time.Second)
		// Connections wait for their answers, so that no more than a call of each is behind.
		backlog = min(backlog, time.Duration(float64(connections)*float64(perCall)/share*4))
		late = append(late, backlog)
		if pace {
			gap = Pace(gap, backlog)
		}
	}
	return late
}

// 700 connections on the weakest host: under the rule of before the process is late for as
// long as they go on, now for some seconds at a time.
func TestPaceLeavesTimeForTheRest(t *testing.T) {
	const share = 0.144
	perCall := 100 * time.Microsecond
	count := func(late []time.Duration) (n int) {
		for _, l := range late {
			if l > lateMost {
				n++
			}
		}
		return n
	}
	before, after := count(paced(700, perCall, share, false)), count(paced(700, perCall, share, true))
	t.Logf("late in %d of 60 s before, in %d now", before, after)
	if before < 59 || after > 15 {
		t.Errorf("late in %d of 60 s before and in %d now, want all, and a quarter at most", before, after)
	}
	if n := count(paced(100, 10*time.Microsecond, share, true)); n > 0 {
		t.Errorf("an ordinary load is late in %d of 60 s", n)
	}
}
