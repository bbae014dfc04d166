package cell_test

import (
	"testing"
	"time"

	"persimmonworks.example/persimmonworks/cell"
	"persimmonworks.example/persimmonworks/docket"
)

// While ends could not be stored, nothing was open between two holds of a worker, which
// could come back as another kind unseen. A start that was stored as soon as the store was
// back met it there (ROUTE).
func TestStartAfterStoreIsBackMeetsNoOtherKind(t *testing.T) {
	for early := 20 * time.Millisecond; early < 600*time.Millisecond; early += 20 * time.Millisecond {
		t.Run(early.String(), func(t *testing.T) {
			run(t, 2, func(b *harness) {
				b.fleet.Takes = func(docket.TaskID) time.Duration { return time.Second }
				for i := range 2 {
					b.fleet.Worker(i).RestartAs(func(h *cell.Host) { h.Labels = []string{"a"} })
					b.fleet.Worker(i).Overwrite(nil)
				}
				time.Sleep(2 * time.Second)
				first, second := tasks(2, 9000), tasks(4, 7000, 0)
				first.Requires, second.Requires = "a", "a"
				job := b.submit(first, second)
				time.Sleep(990 * time.Millisecond)
				b.table.SetAway(true)
				time.Sleep(1500*time.Millisecond - early)
				b.fleet.Worker(0).RestartAs(func(h *cell.Host) { h.Labels = []string{"b"} })
				time.Sleep(early)
				b.table.SetAway(false)
				time.Sleep(2 * time.Second)
				b.fleet.Worker(0).Overwrite(nil)
				b.waitForState(job, docket.Completed, 20*time.Second)
			})
		})
	}
}
