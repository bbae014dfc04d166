package cell_test

import (
	"testing"
	"time"

	"persimmonworks.example/persimmonworks/docket"
)

// A worker whose capacity shrinks while it runs gets nothing until there is room again
// beside what it still runs, and is used in full when it has grown again.
func TestCapacityShrinksAndGrows(t *testing.T) {
	run(t, 1, func(b *harness) {
		b.fleet.Takes = func(docket.TaskID) time.Duration { return 8 * time.Second }
		first := b.submit(tasks(3, 4000))
		time.Sleep(time.Second)
		b.fleet.Worker(0).SetCapacity(9000, 32768)
		second := b.submit(tasks(2, 4000))
		time.Sleep(6 * time.Second)
		if n := b.fleet.Running(second); n != 0 {
			t.Errorf("%d tasks run beside 12 cores of other work on 9 cores", n)
		}
		b.waitForState(first, docket.Completed, 4*time.Second)
		third := b.submit(tasks(2, 4000))
		b.fleet.Worker(0).SetCapacity(16000, 32768)
		time.Sleep(time.Second)
		if n := b.fleet.Running(second) + b.fleet.Running(third); n != 4 {
			t.Errorf("%d of 4 tasks run on a worker that has grown again", n)
		}
	})
}

// A start that waited for a store that was away was sent to a worker that had shrunk meanwhile.
func TestStartWaitsForStoreWhileWorkerShrinks(t *testing.T) {
	for _, members := range []uint32{1, 3} {
		run(t, 3, func(b *harness) {
			b.fleet.Takes = func(docket.TaskID) time.Duration { return time.Second }
			second := tasks(members, 12000, 0)
			second.Gang = members > 1
			job := b.submit(tasks(1, 1000), second)
			time.Sleep(900 * time.Millisecond)
			b.table.SetAway(true) // the first step ends now
			time.Sleep(300 * time.Millisecond)
			for i := range 3 {
				b.fleet.Worker(i).SetCapacity(8000, 32768)
			}
			time.Sleep(5 * time.Second)
			b.table.SetAway(false)
			time.Sleep(3 * time.Second)
			for i := range 3 {
				b.fleet.Worker(i).SetCapacity(16000, 32768)
			}
			b.waitForState(job, docket.Completed, 30*time.Second)
		})
	}
}
