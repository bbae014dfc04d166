package advice

import (
	"testing"
	"time"
)

// A new owner with hundreds of open steps and itself as only helper: the
// questions of the first second must not fill the service's queue for minutes,
// and a short question must not wait behind long ones.
func TestDeskKeepsQuestionsBack(t *testing.T) {
	const long, short = 600 * time.Millisecond, 9 * time.Millisecond
	now := time.Now()
	d := NewDesk("e0", nil)
	put := 0
	for range 300 {
		if d.Choose(long, now) != nil {
			put++
		}
	}
	if put > 2 {
		t.Errorf("%d long questions were put at once through one process", put)
	}
	for _, name := range []string{"e1", "e2", "e3", "e4", "e5", "e6", "e7"} {
		d.Hear(name, func() Advisor { return nil }, now)
	}
	for range 300 {
		d.Choose(long, now)
	}
	h := d.Choose(short, now)
	if h == nil || h.free(now).Sub(now) > short {
		t.Errorf("a short question waits behind long ones at %+v", h)
	}
}
