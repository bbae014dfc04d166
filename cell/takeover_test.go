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

// An owner whose takeover was answered late granted leases for ten seconds from that
// answer, while the next owner reckons them from the takeover itself (TWICE).
func TestLeasesAreBoundedFromTheSendingOfTheTakeover(t *testing.T) {
	run(t, 1, func(b *harness) {
		b.fleet.Takes = func(docket.TaskID) time.Duration { return time.Minute }
		job := b.submit(tasks(1, 1000))
		time.Sleep(time.Second)
		b.stop()
		const slow = 700 * time.Millisecond
		b.table.SetSlow(slow) // of two reads, and of the takeover
		sent := time.Now().Add(2 * slow)
		time.AfterFunc(3*slow-10*time.Millisecond, func() { // before the next commit
			b.table.SetSlow(0)
			b.table.SetAway(true)
		})
		b.takeOver()
		time.Sleep(time.Until(sent.Add(limits().MaxLeaseAfterCommit + 100*time.Millisecond)))
		if n := b.fleet.Running(job); n != 0 {
			t.Errorf("%d tasks run on past the longest lease after the takeover, want none", n)
		}
	})
}

// A start that was sent to a worker's earlier life met its next one, which listed the run to
// a new owner. That ended the run as of the earlier life, and the task ran twice at once
// (TWICE).
func TestStartOfEarlierOwnerMeetsNextLife(t *testing.T) {
	for offset := time.Duration(0); offset < 60*time.Millisecond; offset += time.Millisecond {
		t.Run(offset.String(), func(t *testing.T) {
			run(t, 2, func(b *harness) {
				b.fleet.Takes = func(docket.TaskID) time.Duration { return 3 * time.Second }
				time.Sleep(time.Second)
				for i := range 2 {
					time.AfterFunc(offset, b.fleet.Worker(i).RestartUnlisted)
				}
				job := b.submit(tasks(4, 4000))
				time.Sleep(40 * time.Millisecond)
				b.stop()
				b.takeOver()
				b.waitForState(job, docket.Completed, 20*time.Second)
			})
		})
	}
}
