package cell_test

import (
	"testing"
	"time"

	"persimmonworks.example/persimmonworks/docket"
	"persimmonworks.example/persimmonworks/wire"
)

// long returns tasks that fill the workers for a long time.
func long(count uint32, milliCPU int64) *wire.DocketStep {
	s := tasks(count, milliCPU)
	s.EstimateMs = 20000
	return s
}

// backgroundAndShort says how long tasks take: those of the first job fill the workers
// for long, all others are short.
func backgroundAndShort(id docket.TaskID) time.Duration {
	if id.Job == "0000000000000001" {
		return 20 * time.Second
	}
	return 700 * time.Millisecond
}

// Replays short urgent work that arrives while long tasks fill all workers.
func TestUrgentWorkPreemptsTasksThatSave(t *testing.T) {
	for _, c := range []struct {
		name      string
		change    func(*wire.DocketStep)
		preempted bool
	}{
		{"saves checkpoints", func(s *wire.DocketStep) { s.Checkpointing = true }, true},
		{"saves nothing", func(*wire.DocketStep) {}, false},
		{"gang", func(s *wire.DocketStep) { s.Checkpointing, s.Gang = true, true }, false},
		{"lasts", func(s *wire.DocketStep) { s.Checkpointing, s.LongRunning = true, true }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			run(t, 2, func(b *harness) {
				b.fleet.Takes = backgroundAndShort
				background := long(8, 4000)
				c.change(background)
				first := b.submitWith(2, background)
				time.Sleep(3 * time.Second)
				urgent := b.submitWith(0, tasks(3, 3000))
				if c.preempted {
					b.waitForState(urgent, docket.Completed, 2500*time.Millisecond)
					b.waitForState(first, docket.Completed, 60*time.Second)
				} else {
					time.Sleep(2500 * time.Millisecond)
				}
				want := 8
				if c.preempted {
					want = 8 + 3 + 3 // three tasks make room and start once more
				}
				if n := b.fleet.Starts(); n != want {
					t.Errorf("%d starts, want %d", n, want)
				}
			})
		})
	}
}

// A task that was preempted once is left alone when more urgent work arrives.
func TestTasksArePreemptedOnce(t *testing.T) {
	run(t, 1, func(b *harness) {
		b.fleet.Takes = backgroundAndShort
		background := long(1, 16000)
		background.Checkpointing = true
		b.submitWith(2, background)
		for range 4 {
			time.Sleep(3 * time.Second)
			b.submitWith(0, tasks(1, 16000))
		}
		time.Sleep(time.Second)
		if n := b.fleet.Starts(); n != 3 {
			t.Errorf("%d starts, want 3: the long task twice and one urgent task", n)
		}
	})
}

// One task that is preempted makes room for several urgent ones, whether its own cost
// pays for one of them or only for all.
func TestPreemptedTaskMakesRoomForSeveral(t *testing.T) {
	for _, background := range []*wire.DocketStep{long(2, 8000), long(1, 16000)} {
		preemptForSeveral(t, background)
	}
}

func preemptForSeveral(t *testing.T, background *wire.DocketStep) {
	run(t, 1, func(b *harness) {
		b.fleet.Takes = backgroundAndShort
		background.Checkpointing = true
		b.submitWith(2, background)
		time.Sleep(3 * time.Second)
		urgent := b.submitWith(0, tasks(5, 3000))
		b.waitForState(urgent, docket.Completed, 2500*time.Millisecond)
	})
}

// A gang in time makes its own room among tasks of a lower priority instead of waiting
// until enough of them have ended at the same time; among tasks of its own it waits.
func TestGangPreemptsLowerPriority(t *testing.T) {
	for _, c := range []struct {
		priority uint32
		starts   int
	}{{2, 16 + 8 + 16}, {1, 16}} {
		run(t, 4, func(b *harness) {
			b.fleet.Takes = backgroundAndShort
			background := long(16, 4000)
			background.Checkpointing = true
			b.submitWith(c.priority, background)
			time.Sleep(3 * time.Second)
			wide := gang(8, 8000)
			wide.EstimateMs = 3000
			job := b.submitWith(1, wide)
			if c.priority > 1 {
				b.waitForState(job, docket.Completed, 3*time.Second)
			}
			time.Sleep(2 * time.Second)
			if n := b.fleet.Starts(); n != c.starts {
				t.Errorf("priority %d: %d starts, want %d", c.priority, n, c.starts)
			}
		})
	}
}
