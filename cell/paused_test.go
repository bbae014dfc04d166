package cell_test

import (
	"testing"
	"time"

	"persimmonworks.example/persimmonworks/docket"
	"persimmonworks.example/persimmonworks/event"
)

// pausingLog pauses the owner's control loop once for each accepted job, as a process is
// that the host has stopped for a while.
type pausingLog struct {
	event.Emitter
	pause time.Duration
}

func (p *pausingLog) Emit(e *event.Event, keysAndValues ...any) {
	p.Emitter.Emit(e, keysAndValues...)
	if e == event.DocketJobAccepted {
		time.Sleep(p.pause)
	}
}

// An owner that was paused while the answer to a hold waited for it gave up the runs of
// the worker by the deadline before, although the worker had taken the new one (TWICE).
func TestDeadlineOfUnansweredHoldIsWaitedFor(t *testing.T) {
	for offset := time.Duration(0); offset < time.Second; offset += 100 * time.Millisecond {
		t.Run(offset.String(), func(t *testing.T) {
			run(t, 3, func(b *harness) {
				log := &pausingLog{}
				b.stop()
				b.decorateLog = func(e event.Emitter) event.Emitter {
					log.Emitter = e
					return log
				}
				b.takeOver()
				b.fleet.Takes = func(docket.TaskID) time.Duration { return 13 * time.Second }
				job := b.submit(tasks(1, 9000))
				time.Sleep(time.Second)
				busy := 0
				for !b.fleet.Worker(busy).Busy() {
					busy++
				}
				b.fleet.Worker(busy).Drain()
				time.Sleep(8*time.Second + offset) // until the lease is that of a worker that drains
				log.pause = 2700 * time.Millisecond
				b.submit(tasks(1, 1000))
				log.pause = 0
				b.waitForState(job, docket.Completed, 20*time.Second)
			})
		})
	}
}
