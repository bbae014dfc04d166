package cell

import (
	"testing"
	"time"
)

// The end of a lease is reckoned from the deadlines that were granted, also while the
// lists of the worker are incomplete; a fixed time from its latest answer was too short
// for a hold that was sent some time after that answer.
func TestLeaseIsReckonedFromGrantedDeadlines(t *testing.T) {
	const second = int64(1000)
	now := time.Now()
	for _, q := range []struct {
		name       string
		reconciled bool
		heard      time.Duration // since the latest answer, 0 for none
		age        time.Duration // of the epoch
		granted    int64         // past the clock of the latest answer
		expired    bool
	}{
		{"never heard, young epoch", false, 0, 10 * time.Second, 0, false},
		{"never heard, old epoch", false, 0, 11 * time.Second, 0, true},
		{"deadline goes on", true, 8 * time.Second, time.Minute, 9 * second, false},
		{"deadline has passed", true, 10 * time.Second, time.Minute, 9 * second, true},
		{"incomplete lists, late hold", false, 10600 * time.Millisecond, time.Minute, 11 * second, false},
		{"incomplete lists, deadline has passed", false, 12 * time.Second, time.Minute, 11 * second, true},
	} {
		t.Run(q.name, func(t *testing.T) {
			c := &Cell{Limits: Limits{Lease: 9 * time.Second, MaxLease: 10 * time.Second}, startedAt: now.Add(-q.age)}
			w := &worker{reconciled: q.reconciled, clockMS: 7 * second, leaseDeadlineMS: 7*second + q.granted}
			if q.heard > 0 {
				w.lastHeard = now.Add(-q.heard)
			}
			if got := c.leaseExpired(w, now); got != q.expired {
				t.Errorf("expired: %v, want %v", got, q.expired)
			}
		})
	}
}

// An owner that wakes after its host was suspended grants no lease past the time for which
// the next owner waits, though its steady clock has not moved.
func TestSuspendedOwnerGrantsNoLeasePastItsBound(t *testing.T) {
	const lease, most, steady, timeOfDay = 9 * time.Second, 10 * time.Second, 200 * time.Millisecond, 7 * time.Second
	if got, want := grantable(lease, most, elapsed(steady, timeOfDay)), most-timeOfDay; got != want {
		t.Errorf("a lease of %v is granted, want %v", got, want)
	}
}
