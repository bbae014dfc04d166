package cell_test

import (
	"sync/atomic"
	"testing"
	"time"

	"persimmonworks.example/persimmonworks/cell"
	"persimmonworks.example/persimmonworks/docket"
	"persimmonworks.example/persimmonworks/event"
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

// notThere are addresses at which the first worker does not listen.
var notThere = map[string]string{"nobody": "10.9.9.9:9", "another-worker": "10.0.0.1:1"}

// runsOnBehind checks that runs which take longer than a lease end where they began
// although odd is done while they run.
func runsOnBehind(t *testing.T, odd func(b *harness)) {
	t.Helper()
	run(t, 2, func(b *harness) {
		b.fleet.Takes = func(docket.TaskID) time.Duration { return 16 * time.Second }
		job := b.submit(tasks(8, 4000))
		time.Sleep(time.Second)
		odd(b)
		b.waitForState(job, docket.Completed, 18*time.Second)
		if n := b.fleet.Starts(); n != 8 {
			t.Errorf("%d starts, want 8", n)
		}
	})
}

// An entry with an address at which the worker does not listen, written over that of a
// live worker, kept its lease from being renewed, and its runs were lost.
func TestOddAddressEndsNoRuns(t *testing.T) {
	for name, address := range notThere {
		t.Run(name, func(t *testing.T) {
			runsOnBehind(t, func(b *harness) {
				b.fleet.Worker(0).Overwrite(func(h *cell.Host) { h.Address = address })
			})
		})
	}
}

// The same, found by a new owner, which has not heard from the worker yet.
func TestOddAddressAfterTakeover(t *testing.T) {
	for name, address := range notThere {
		t.Run(name, func(t *testing.T) {
			runsOnBehind(t, func(b *harness) {
				b.fleet.Worker(0).Overwrite(func(h *cell.Host) { h.Address, h.StartedMS = address, h.StartedMS+5 })
				b.stop()
				b.takeOver()
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

// A worker that has come back as another kind, under its name, got tasks that need the
// labels (ROUTE) or the capacity (LIMIT) of its earlier life, until the list was read again.
func TestWorkerRestartsAsAnotherKind(t *testing.T) {
	for name, other := range map[string]func(*cell.Host){
		"other-labels":  func(h *cell.Host) { h.Labels = []string{"b"} },
		"less-capacity": func(h *cell.Host) { h.Capacity.MilliCPU /= 4 },
	} {
		t.Run(name, func(t *testing.T) {
			run(t, 2, func(b *harness) {
				first := func(h *cell.Host) { h.Labels, h.Capacity.MilliCPU = []string{"a"}, 16000 }
				for i := range 2 {
					b.fleet.Worker(i).RestartAs(first)
					b.fleet.Worker(i).Overwrite(nil)
				}
				time.Sleep(2 * time.Second)
				b.fleet.Worker(0).RestartAs(other)
				time.Sleep(300 * time.Millisecond) // the owner has heard from it, and not read the list
				step := tasks(8, 4000)
				step.Requires = "a"
				job := b.submit(step)
				time.Sleep(time.Second)
				b.fleet.Worker(0).Overwrite(nil)
				b.waitForState(job, docket.Completed, 10*time.Second)
			})
		})
	}
}

// A start that was sent to a worker whose latest look had failed met its next life, which
// was of another kind (ROUTE).
func TestNoStartsWhileWorkerDoesNotAnswer(t *testing.T) {
	for early := time.Duration(0); early < 40*time.Millisecond; early += 2 * time.Millisecond {
		t.Run(early.String(), func(t *testing.T) {
			run(t, 2, func(b *harness) {
				for i := range 2 {
					b.fleet.Worker(i).RestartAs(func(h *cell.Host) { h.Labels = []string{"a"} })
					b.fleet.Worker(i).Overwrite(nil)
				}
				time.Sleep(2 * time.Second)
				for i := range 2 {
					b.fleet.Worker(i).Crash()
				}
				step := tasks(8, 4000)
				step.Requires = "a"
				time.Sleep(time.Second - early)
				job := b.submit(step)
				time.Sleep(early)
				b.fleet.Worker(0).RestartAs(func(h *cell.Host) { h.Labels = []string{"b"} })
				b.fleet.Worker(1).Restart()
				time.Sleep(700 * time.Millisecond)
				b.fleet.Worker(0).Overwrite(nil)
				b.waitForState(job, docket.Completed, 10*time.Second)
			})
		})
	}
}

// A start that was stored while the owner was paused was sent, without another hold, to a
// worker that had come back as another kind meanwhile (ROUTE).
func TestNoStartsAfterPauseWithoutAnotherHold(t *testing.T) {
	for offset := time.Duration(0); offset < time.Second; offset += 100 * time.Millisecond {
		t.Run(offset.String(), func(t *testing.T) {
			run(t, 1, func(b *harness) {
				var stall atomic.Int64
				w := b.fleet.Worker(0)
				b.stop()
				b.decorateLog = func(e event.Emitter) event.Emitter { return &stallingLog{e, event.TaskStarting, &stall} }
				w.RestartAs(func(h *cell.Host) { h.Labels = []string{"a"} })
				w.Overwrite(nil)
				b.takeOver()
				time.Sleep(2*time.Second + offset)
				step := tasks(1, 4000)
				step.Requires = "a"
				stall.Store(int64(3 * time.Second))
				time.AfterFunc(100*time.Millisecond, w.Crash)
				time.AfterFunc(time.Second, func() { w.RestartAs(func(h *cell.Host) { h.Labels = []string{"b"} }) })
				job := b.submit(step)
				time.Sleep(4 * time.Second)
				w.RestartAs(func(h *cell.Host) { h.Labels = []string{"a"} })
				w.Overwrite(nil)
				b.waitForState(job, docket.Completed, 10*time.Second)
			})
		})
	}
}

// A start that was not answered was sent again, without another hold, to a worker that had
// come back as another kind (ROUTE).
func TestNoSecondCopyWithoutAnotherHold(t *testing.T) {
	for offset := time.Duration(0); offset < time.Second; offset += 50 * time.Millisecond {
		t.Run(offset.String(), func(t *testing.T) {
			run(t, 1, func(b *harness) {
				w := b.fleet.Worker(0)
				w.RestartAs(func(h *cell.Host) { h.Labels = []string{"a"} })
				w.Overwrite(nil)
				time.Sleep(2*time.Second + offset)
				step := tasks(1, 4000)
				step.Requires = "a"
				w.DelayOrders(2, 8*time.Second) // the start, and the answer to a hold
				job := b.submit(step)
				time.Sleep(100 * time.Millisecond)
				w.Crash()
				time.Sleep(100 * time.Millisecond)
				w.RestartAs(func(h *cell.Host) { h.Labels = []string{"b"} })
				time.Sleep(3 * time.Second)
				w.RestartAs(func(h *cell.Host) { h.Labels = []string{"a"} })
				w.Overwrite(nil)
				b.waitForState(job, docket.Completed, 20*time.Second)
			})
		})
	}
}

// While ends cannot be stored, holds of a worker pause, and its restart as another kind is
// not noticed. When the store was back, starts were sent before the next hold (ROUTE).
func TestNoStartsBetweenHoldsWhenStoreIsBack(t *testing.T) {
	for offset := time.Duration(0); offset < 500*time.Millisecond; offset += 25 * time.Millisecond {
		t.Run(offset.String(), func(t *testing.T) {
			run(t, 1, func(b *harness) {
				w := b.fleet.Worker(0)
				w.RestartAs(func(h *cell.Host) { h.Labels = []string{"a"} })
				w.Overwrite(nil)
				time.Sleep(2 * time.Second)
				first, second := tasks(1, 4000), tasks(1, 4000, 0)
				first.Requires, second.Requires = "a", "a"
				job := b.submit(first, second)
				time.Sleep(900 * time.Millisecond)
				b.table.SetAway(true) // the first task ends now
				time.Sleep(2*time.Second + offset)
				w.Crash()
				time.Sleep(100 * time.Millisecond)
				w.RestartAs(func(h *cell.Host) { h.Labels = []string{"b"} })
				b.table.SetAway(false)
				time.Sleep(2 * time.Second)
				w.RestartAs(func(h *cell.Host) { h.Labels = []string{"a"} })
				w.Overwrite(nil)
				b.waitForState(job, docket.Completed, 20*time.Second)
			})
		})
	}
}
