package event_test

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"persimmonworks.example/persimmonworks/event"
)

// A flood of refused submissions wrote a line for each; now it writes a bounded number, and
// the next line after it says how many are missing. Other events are not bounded.
func TestFloodOfRefusalsLeavesLogBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		l := &event.Limit{Emitter: &event.Log{Writer: &out}, Events: []*event.Event{event.DocketJobRefused}}
		const flood, seconds = 5000, 10
		for range seconds {
			for i := range flood {
				l.Emit(event.DocketJobRefused, "job", i)
			}
			l.Emit(event.ProcessReady)
			time.Sleep(time.Second)
		}
		refused := strings.Count(out.String(), event.DocketJobRefused.Name)
		if refused < 1000 || refused > 2000 {
			t.Errorf("%d refusals leave %d lines, want about 1000 and 100 a second", flood*seconds, refused)
		}
		if n := strings.Count(out.String(), event.ProcessReady.Name); n != seconds {
			t.Errorf("%d lines of another event, want %d", n, seconds)
		}
		if !strings.Contains(out.String(), `"left-out":`) {
			t.Error("no line says how many were left out")
		}
	})
}
