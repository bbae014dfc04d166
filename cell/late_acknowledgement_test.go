package cell_test

import (
	"testing"
	"time"

	"persimmonworks.example/persimmonworks/docket"
)

// TestLateAcknowledgementMeetsNextLife: a hold that acknowledges ends of a worker's life is
// carried out by the next life under the same name, and forgets an end that nobody has read.
func TestLateAcknowledgementMeetsNextLife(t *testing.T) {
	run(t, 1, func(b *harness) {
		w := b.fleet.Worker(0)
		b.waitForState(b.submit(tasks(3, 1000)), docket.Completed, 4*time.Second)
		time.Sleep(2 * time.Second) // the ends are acknowledged
		w.DelayHolds(1, 5*time.Second)
		time.Sleep(1100 * time.Millisecond)
		w.Restart()
		time.Sleep(2 * time.Second)
		job := b.submit(tasks(1, 1000))
		time.Sleep(500 * time.Millisecond)
		w.SetCut(true)
		time.Sleep(2500 * time.Millisecond) // the task ends, and the late hold is carried out
		w.SetCut(false)
		b.waitForState(job, docket.Completed, 5*time.Second)
	})
}
