package advice

import (
	"testing"
	"time"
)

// Guards against a new owner with hundreds of waiting steps, and no helper but
// itself, that fills the service's queue with long requests for minutes, and
// against short requests that queue behind long ones.
func TestDeskKeepsQuestionsBack(t *testing.T) {
	const long, short = 600 * time.Millisecond, 9 * time.Millisecond
	now := time.Now()
	b := NewBalancer("e0", nil)
	sent := 0
	for range 300 {
		if b.Acquire(long, now) != nil {
			sent++
		}
	}
	if sent > 2 {
		t.Errorf("%d long requests were sent at once through one process", sent)
	}
	for _, name := range []string{"e1", "e2", "e3", "e4", "e5", "e6", "e7"} {
		b.NoteHelper(name, func() Advisor { return nil }, now)
	}
	for range 300 {
		b.Acquire(long, now)
	}
	h := b.Acquire(short, now)
	if h == nil || h.freeAt(now).Sub(now) > short {
		t.Errorf("a short request queues behind long ones at %+v", h)
	}
}
