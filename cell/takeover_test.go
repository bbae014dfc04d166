package cell_test

import (
	"testing"
	"time"

	"persimmonworks.example/persimmonworks/docket"
)

// A new owner gave up the runs of a worker that was cut off right after its first answer,
// 2.2 s later, although the lease that the earlier owner had granted went on (TWICE).
func TestLeaseOfEarlierOwnerIsWaitedFor(t *testing.T) {
	for offset := time.Duration(0); offset < 60*time.Millisecond; offset += 3 * time.Millisecond {
		t.Run(offset.String(), func(t *testing.T) {
			run(t, 3, func(b *harness) {
				b.fleet.Takes = func(docket.TaskID) time.Duration { return 12 * time.Second }
				job := b.submit(tasks(6, 8000)) // two on each worker
				time.Sleep(2 * time.Second)
				b.stop()
				time.AfterFunc(offset, func() { b.fleet.Worker(1).SetRefusing(true) })
				b.takeOver()
				time.Sleep(6 * time.Second)
				b.fleet.Worker(1).SetRefusing(false)
				b.waitForState(job, docket.Completed, 10*time.Second)
				if n := b.fleet.Starts(); n != 6 {
					t.Errorf("%d starts, want 6", n)
				}
			})
		})
	}
}
