package cell

import (
	"testing"
	"time"

	"persimmonworks.example/persimmonworks/packing"
	"persimmonworks.example/persimmonworks/resource"
	"persimmonworks.example/persimmonworks/wire"
)

// Replays urgent checks that arrive while a gang waits for workers to become empty: the
// fullest worker used to get the check, also if it was kept for the gang.
func TestUrgentTasksSpareEarmarkedWorkers(t *testing.T) {
	now := time.Now()
	c, workers, steps := fullCell(2, 2, now)
	kept, other := workers[0], workers[1]
	kept.used, other.used = resource.Vector{MilliCPU: 12000}, resource.Vector{MilliCPU: 4000}
	gang, check := steps[0], steps[1]
	check.queue = &wire.DocketQueue{Name: "checks", Service: "jobs"}
	c.earmarked.kept[kept] = gang.id
	amount := resource.Vector{MilliCPU: 3000}
	choose := func() *worker {
		i, ok := packing.BestFit(c.workerBins(check, workers), amount)
		if !ok {
			return nil
		}
		return workers[i]
	}
	if w := choose(); w != other {
		t.Errorf("a check goes to a worker that is kept for a gang though another one has room")
	}
	other.used = resource.Vector{MilliCPU: 15000}
	if w := choose(); w != kept {
		t.Errorf("a check waits though a worker that is kept for a gang has room")
	}
	if usable := c.earmarked.usableBy(steps[1], workers, now.Add(time.Hour)); len(usable) != 1 {
		t.Errorf("a step that is not urgent may use %d workers, want 1", len(usable))
	}
}
