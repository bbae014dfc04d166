package cell

import (
	"testing"
	"time"

	"persimmonworks.example/persimmonworks/docket"
	"persimmonworks.example/persimmonworks/wire"
)

// An owner that wakes after seconds does not take its last commit for recent, though its
// steady clock has not moved; jumps of the time of day do no harm.
func TestFreshnessAfterPauseAndJump(t *testing.T) {
	const limit = time.Second
	for _, c := range []struct {
		name              string
		steady, timeOfDay time.Duration
		fresh             bool
	}{
		{"usual", 300 * time.Millisecond, 300 * time.Millisecond, true},
		{"suspended", 300 * time.Millisecond, 8 * time.Second, false},
		{"old", 2 * time.Second, 2 * time.Second, false},
		{"jump backward", 300 * time.Millisecond, -5 * time.Second, true},
		{"old, jump backward", 2 * time.Second, -5 * time.Second, false},
	} {
		if got := elapsed(c.steady, c.timeOfDay) < limit; got != c.fresh {
			t.Errorf("%s: fresh is %v", c.name, got)
		}
	}
}

// The second step of a job is not taken for late because the time of day jumped since
// the first.
func TestJumpDoesNotAgeJobs(t *testing.T) {
	now := time.Now()
	d := docket.New()
	job := &wire.DocketAccepted{
		Job: "a", AcceptedMs: now.UnixMilli(), Steps: []*wire.DocketStep{{Count: 1}},
		Queue: &wire.DocketQueue{Name: "q", Dilation: 1, TargetMs: 1000},
	}
	if err := d.Apply(docket.Accept(job), 1); err != nil {
		t.Fatal(err)
	}
	j, _ := d.Job("a")
	c := &Cell{startTimes: map[string]time.Time{}}
	first := c.startTime(j, now)
	later := now.Add(200 * time.Millisecond)
	const jump = 6 * time.Second
	job.AcceptedMs -= jump.Milliseconds() // as if the time of day were later by that much
	if got := c.startTime(j, later); !got.Equal(first) {
		t.Errorf("start moved by %v", got.Sub(first))
	}
}
