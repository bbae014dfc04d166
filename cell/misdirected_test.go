package cell_test

import (
	"testing"
	"time"

	"persimmonworks.example/persimmonworks/cell"
	"persimmonworks.example/persimmonworks/docket"
)

// busyWorkers runs tasks that take ten seconds on two of three workers, the third of which
// is free to answer at another's address, and returns the job.
func busyWorkers(b *harness) string {
	b.Helper()
	b.fleet.Takes = func(docket.TaskID) time.Duration { return 10 * time.Second }
	job := b.submit(tasks(2, 9000))
	time.Sleep(time.Second)
	return job
}

// idleAndBusy returns the number of a worker that runs nothing, and of one that runs a task.
func idleAndBusy(b *harness) (idle, busy int) {
	b.Helper()
	for i := range b.fleet.Len() {
		if b.fleet.Worker(i).Busy() {
			busy = i
		} else {
			idle = i
		}
	}
	return idle, busy
}

// runOnce checks that the job ends where it began.
func runOnce(b *harness, job string) {
	b.Helper()
	b.waitForState(job, docket.Completed, 25*time.Second)
	if n := b.fleet.Starts(); n != 2 {
		b.Errorf("%d starts, want 2", n)
	}
}

// Another process answered at the address of a live worker for a moment, as an earlier holder
// of the address does that is about to leave. All runs of the worker were lost at once, and
// ran twice (TWICE).
func TestMomentOfAnotherProcessEndsNoRuns(t *testing.T) {
	for _, moment := range []time.Duration{5 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond} {
		t.Run(moment.String(), func(t *testing.T) {
			run(t, 3, func(b *harness) {
				job := busyWorkers(b)
				idle, busy := idleAndBusy(b)
				other, w := b.fleet.Worker(idle), b.fleet.Worker(busy)
				at, own := w.Host().Address, other.Host().Address
				for range 20 { // at some of these moments a hold is sent
					w.SetAddress("10.0.9.9:1")
					other.SetAddress(at)
					time.Sleep(moment)
					other.SetAddress(own)
					w.SetAddress(at)
					time.Sleep(317 * time.Millisecond)
				}
				runOnce(b, job)
			})
		})
	}
}

// A worker went on at another address, which its entry in the list named, and another process
// took the first address. The worker's runs were lost at once, and ran twice.
func TestWorkerThatMovesKeepsItsRuns(t *testing.T) {
	run(t, 3, func(b *harness) {
		job := busyWorkers(b)
		idle, busy := idleAndBusy(b)
		other, w := b.fleet.Worker(idle), b.fleet.Worker(busy)
		at := w.Host().Address
		w.SetAddress("10.0.9.9:1")
		w.Overwrite(nil) // the list is read again
		time.Sleep(time.Millisecond)
		other.SetAddress(at)
		runOnce(b, job)
	})
}

// The next owner knew only the first address of a worker that had gone on at another one. A
// process that answered there ended the worker's runs, which ran twice.
func TestNextOwnerKnowsWhereWorkerMoved(t *testing.T) {
	run(t, 3, func(b *harness) {
		job := busyWorkers(b)
		idle, busy := idleAndBusy(b)
		other, w := b.fleet.Worker(idle), b.fleet.Worker(busy)
		at := w.Host().Address
		w.SetAddress("10.0.9.9:1")
		w.Overwrite(nil)
		time.Sleep(2 * time.Second) // the owner has found it there
		other.SetAddress(at)
		b.fleet.List(0) // an incomplete list: workers are reached where they were
		b.stop()
		b.takeOver()
		time.Sleep(3 * time.Second)
		b.fleet.List(b.fleet.Len())
		runOnce(b, job)
	})
}

// Another process at the address of a worker that has ended proves that it has.
func TestAnotherProcessForGoodEndsRuns(t *testing.T) {
	run(t, 3, func(b *harness) {
		b.fleet.Takes = func(docket.TaskID) time.Duration { return 3 * time.Second }
		job := b.submit(tasks(2, 9000))
		time.Sleep(time.Second)
		idle, busy := idleAndBusy(b)
		other, w := b.fleet.Worker(idle), b.fleet.Worker(busy)
		at := w.Host().Address
		w.Crash()
		w.SetAddress("10.0.9.9:1")
		w.Overwrite(func(h *cell.Host) { h.Address = at }) // its entry stays for a while
		other.SetAddress(at)
		b.waitForState(job, docket.Completed, 5*time.Second) // well before the lease has expired
	})
}
