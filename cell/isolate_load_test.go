package cell

import (
	"testing"
	"time"

	"persimmonworks.example/persimmonworks/crash"
)

// isolate makes the cell find that tasks of a queue crash workers.
func (c *Cell) isolate(queue string, now time.Time) {
	for !c.isolation.Isolated(queue) {
		c.isolation.Note(crash.Ended{Recent: map[string]bool{queue: true}, Shares: map[string]float64{queue: 0.1}}, now)
	}
}

// The jobs of an isolated kind moved to another docket, which lost its workers to them
// before it isolated the kind as well.
func TestIsolatedJobsAreNoLoadToMove(t *testing.T) {
	now := time.Now()
	c, workers, steps := fullCell(4, 8, now)
	for _, w := range workers {
		w.inFleet, w.reconciled, w.lastHeard = true, true, now
		c.quarantine.AddWorker(w.host.ID, "dc")
	}
	for _, s := range steps {
		s.shape.Gang = false
		c.readySteps[s.id] = s
	}
	_, before := c.capacityAndDemand(now)
	c.isolate("q", now)
	_, after := c.capacityAndDemand(now)
	used := 0.0
	for _, w := range workers {
		used += float64(w.used.MilliCPU)
	}
	if before <= used || after != used {
		t.Errorf("load %v before, %v while the kind is isolated, want more than %v and just that", before, after, used)
	}
}
