package cell_test

import (
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"persimmonworks.example/persimmonworks/cell"
	"persimmonworks.example/persimmonworks/docket"
	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/wire"
)

// slowLog makes the owner's control loop take a while for each repeated submission.
type slowLog struct {
	event.Emitter
	takes *atomic.Int64 // nanoseconds
}

// Emit implements event.Emitter.
func (l *slowLog) Emit(e *event.Event, keysAndValues ...any) {
	l.Emitter.Emit(e, keysAndValues...)
	if e == event.DocketJobRepeated {
		time.Sleep(time.Duration(l.takes.Load()))
	}
}

// A control loop that came to each answer of a worker 30 ms late held a start back for ever
// that had waited for the store: every answer was too old by then.
func TestStartOfBusyOwnerIsNotHeldBackForEver(t *testing.T) {
	run(t, 1, func(b *harness) {
		var takes atomic.Int64
		b.stop()
		b.decorateLog = func(e event.Emitter) event.Emitter { return &slowLog{e, &takes} }
		b.takeOver()
		b.fleet.Takes = func(docket.TaskID) time.Duration { return 50 * time.Millisecond }
		known := &wire.DocketAccepted{
			Job: "00000000000000ff", Steps: []*wire.DocketStep{tasks(1, 1000)},
			Queue: &wire.DocketQueue{Name: "q", Service: "jobs", MaxAttempts: 3},
		}
		b.fleet.Accept(known)
		if err := b.cell.Submit(b.Context(), proto.CloneOf(known)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		takes.Store(int64(30 * time.Millisecond))
		var group errgroup.Group
		var over atomic.Bool
		for range 3 {
			group.Go(func() error {
				for !over.Load() {
					if err := b.cell.Submit(b.Context(), proto.CloneOf(known)); err != nil {
						return err
					}
				}
				return nil
			})
		}
		b.table.SetSlow(400 * time.Millisecond)
		job := b.submit(tasks(1, 1000))
		time.Sleep(2 * time.Second)
		b.table.SetSlow(0)
		b.waitForState(job, docket.Completed, 20*time.Second)
		over.Store(true)
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
}

// The answer to a hold that came just after a start was sent let the second copy go, though
// the next hold had failed since: the worker was back as another kind (ROUTE).
func TestNoSecondCopyAfterFailedHold(t *testing.T) {
	for offset := 900 * time.Millisecond; offset < time.Second; offset += 10 * time.Millisecond {
		t.Run(offset.String(), func(t *testing.T) {
			run(t, 1, func(b *harness) {
				w := b.fleet.Worker(0)
				w.RestartAs(func(h *cell.Host) { h.Labels = []string{"a"} })
				w.Overwrite(nil)
				time.Sleep(2*time.Second + offset)
				step := tasks(1, 4000)
				step.Requires = "a"
				w.DelayOrders(1, 8*time.Second) // the start
				begun := time.Now()
				job := b.submit(step)
				time.Sleep(time.Until(begun.Add(100 * time.Millisecond)))
				w.Crash()
				time.Sleep(time.Until(begun.Add(450 * time.Millisecond)))
				w.RestartAs(func(h *cell.Host) { h.Labels = []string{"b"} })
				time.Sleep(3 * time.Second)
				w.RestartAs(func(h *cell.Host) { h.Labels = []string{"a"} })
				w.Overwrite(nil)
				b.waitForState(job, docket.Completed, 20*time.Second)
			})
		})
	}
}
