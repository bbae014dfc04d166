package duration

import (
	"testing"
	"time"
)

// Estimates that are off by one factor for all tasks of a queue make no worker look slow.
func TestSlowdownIsRelativeToTheQueue(t *testing.T) {
	const estimate, samples = 1000, 200
	var m Model
	for range samples {
		m.Observe("usual-1", "q", estimate, 3*time.Second)
		m.Observe("usual-2", "q", estimate, 3*time.Second)
		m.Observe("usual-3", "q", estimate, 3*time.Second)
		m.Observe("slow", "q", estimate, 6*time.Second)
	}
	for worker, want := range map[string][2]float64{"usual-1": {0.7, 1.1}, "slow": {1.4, 2.2}, "unknown": {1, 1}} {
		if got := m.Slowdown(worker); got < want[0] || got > want[1] {
			t.Errorf("%s: slowdown %.2f, want %.1f to %.1f", worker, got, want[0], want[1])
		}
	}
	if got := m.Expected("q", estimate); got < 3*time.Second || got > 5*time.Second {
		t.Errorf("a task of %d ms is expected to take %v, want 3 s to 5 s", estimate, got)
	}
	if got := m.Expected("other", estimate); got != time.Second {
		t.Errorf("a task of an unknown queue is expected to take %v, want its estimate", got)
	}
}

// One run that takes absurdly long does not mark its worker as slow.
func TestOutlierCountsLittle(t *testing.T) {
	var m Model
	m.Observe("w", "q", 1000, time.Second)
	m.Observe("w", "q", 1000, time.Hour)
	if got := m.Slowdown("w"); got > 1.1 {
		t.Errorf("slowdown %.2f after one outlier, want at most 1.1", got)
	}
}
