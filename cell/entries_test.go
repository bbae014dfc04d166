package cell_test

import (
	"testing"
	"time"

	"persimmonworks.example/persimmonworks/cell"
	"persimmonworks.example/persimmonworks/docket"
)

// An entry with a later time of start, written over that of a live worker, ended the
// runs there as lost, and all of them ran twice.
func TestOddStartTimeEndsNoRuns(t *testing.T) {
	for _, c := range []struct {
		name string
		cut  bool // nor does the worker answer meanwhile
	}{{"answers", false}, {"silent", true}} {
		t.Run(c.name, func(t *testing.T) {
			run(t, 2, func(b *harness) {
				b.fleet.Takes = func(docket.TaskID) time.Duration { return 5 * time.Second }
				job := b.submit(tasks(8, 4000))
				time.Sleep(time.Second)
				for i := range 2 {
					b.fleet.Worker(i).SetCut(c.cut)
					b.fleet.Worker(i).Overwrite(func(h *cell.Host) { h.StartedMS += 3_600_000 })
				}
				time.Sleep(2 * time.Second)
				for i := range 2 {
					b.fleet.Worker(i).SetCut(false)
					b.fleet.Worker(i).Overwrite(nil)
				}
				b.waitForState(job, docket.Completed, 10*time.Second)
				if n := b.fleet.Starts(); n != 8 {
					t.Errorf("%d starts, want 8", n)
				}
			})
		})
	}
}

// A worker that comes back at another address is found there.
func TestWorkerRestartsElsewhere(t *testing.T) {
	run(t, 2, func(b *harness) {
		b.fleet.Takes = func(docket.TaskID) time.Duration { return 3 * time.Second }
		job := b.submit(tasks(6, 4000))
		time.Sleep(500 * time.Millisecond)
		b.fleet.Worker(0).SetAddress("10.0.1.0:1")
		b.fleet.Worker(0).Restart()
		b.waitForState(job, docket.Completed, 8*time.Second)
	})
}
