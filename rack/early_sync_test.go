package rack

import (
	"testing"
	"time"

	"persimmonworks.example/persimmonworks/worker"
)

// countSyncs returns the number of Syncs sent in one minute to a worker on which
// a new attempt is placed at the given interval.
func countSyncs(t *testing.T, every time.Duration) (syncs int) {
	r, begin := rackWithSentAttempt(t, 0)
	a := r.Attempts()[0]
	report := worker.Report{Epoch: 1, BootID: "b1", Attempts: []worker.Attempt{{Start: a.Start, State: worker.Running}}}
	for now := begin; now.Before(begin.Add(time.Minute)); now = now.Add(20 * time.Millisecond) {
		a.placedAt = begin.Add(now.Sub(begin).Truncate(every))
		for range r.DueWorkers(time.Second, now) {
			s, _ := r.NextSync("w1", now)
			if _, err := r.HandleReport("w1", s, report, nil, now); err != nil {
				t.Fatal(err)
			}
			syncs++
		}
	}
	return syncs
}

// Short attempts cause frequent early Syncs, limited by the budget; long
// attempts cause few in addition to the regular ones.
func TestEarlySyncsAreBounded(t *testing.T) {
	const regular = 60
	cases := []struct {
		every       time.Duration
		least, most int
	}{
		{200 * time.Millisecond, 2 * regular, 3*regular + earlySyncBurst},
		{time.Hour, regular, regular + 14},
	}
	for _, c := range cases {
		if n := countSyncs(t, c.every); n < c.least || n > c.most {
			t.Errorf("attempt every %v: %d Syncs in a minute, want %d to %d", c.every, n, c.least, c.most)
		}
	}
}
