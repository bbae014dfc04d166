package cell

import (
	"testing"
	"time"
)

// A start needs a new answer of its worker where a restart would not have been noticed.
func TestStartNeedsAnswerAfterTimeWithoutHold(t *testing.T) {
	now := time.Now()
	for _, q := range []struct {
		name     string
		open     bool          // a hold is open
		gaps     time.Duration // without a hold before that, since the latest answer
		gap      time.Duration // without a hold until now
		waited   time.Duration // since the start was decided
		heldBack bool
		needs    bool
	}{
		{"hold is open", true, 0, 0, 0, false, false},
		{"between two holds", false, 0, 100 * time.Millisecond, 0, false, false},
		{"store does not answer", false, 0, 400 * time.Millisecond, 0, false, true},
		{"hold is open after a long gap", true, 400 * time.Millisecond, 0, 0, false, true},
		{"start waited for the store", false, 0, 100 * time.Millisecond, 300 * time.Millisecond, false, true},
		{"start waited, hold was open all the while", true, 0, 0, 300 * time.Millisecond, false, false},
		{"answered once, busy loop", false, 0, 300 * time.Millisecond, 600 * time.Millisecond, true, false},
		{"answered once, loop stood still", false, 0, 2 * time.Second, 3 * time.Second, true, true},
	} {
		t.Run(q.name, func(t *testing.T) {
			w := &worker{unwatched: q.gaps}
			if !q.open {
				w.noHoldSince = now.Add(-q.gap)
			}
			x := &run{worker: w, startedAt: now.Add(-q.waited), heldBack: q.heldBack}
			if got := x.needsAnswer(now); got != q.needs {
				t.Errorf("needs an answer: %v, want %v", got, q.needs)
			}
		})
	}
}
