package cell_test

import (
	"testing"
	"time"

	"persimmonworks.example/persimmonworks/docket"
)

// Replays a burst of long jobs during which a task of a lasting job fails, long after
// the time at which the job should have begun. The task has to run again although
// hundreds of others wait.
func TestLastingTaskRunsAgainDuringBurst(t *testing.T) {
	for _, saves := range []bool{false, true} {
		run(t, 4, func(b *harness) {
			b.fleet.Takes = func(id docket.TaskID) time.Duration {
				switch {
				case id.Job != "0000000000000001":
					return 5 * time.Second
				case id.Index == 1:
					return 12 * time.Second
				}
				return 5 * time.Minute
			}
			b.fleet.Fails = func(id docket.TaskID, _ string, number uint32) bool {
				return id.Job == "0000000000000001" && id.Index == 1 && number == 1
			}
			lasting := tasks(3, 4000)
			lasting.LongRunning, lasting.EstimateMs = true, 400
			b.submit(lasting)
			time.Sleep(time.Second)
			for range 30 {
				burst := tasks(10, 4000)
				burst.EstimateMs, burst.Checkpointing = 60000, saves
				b.submitWith(2, burst)
			}
			time.Sleep(17 * time.Second)
			if b.fleet.Running("0000000000000001") < 3 {
				t.Errorf("saves %v: the lasting task does not run 6 s after it failed", saves)
			}
		})
	}
}

// A lasting task that serves lost its worker while tasks that fill were on all others, and
// had no place for as long as those went on (LOST).
func TestServingTaskRunsAgainAmongTasksThatFill(t *testing.T) {
	run(t, 4, func(b *harness) {
		b.fleet.Takes = func(docket.TaskID) time.Duration { return 5 * time.Minute }
		serving, filling := tasks(1, 2000), tasks(3, 1000)
		serving.LongRunning, serving.TargetMs = true, 200
		filling.LongRunning, filling.Fills, filling.AntiAffinity = true, true, 1
		job := b.submit(serving)
		time.Sleep(time.Second)
		fills := b.submit(filling)
		time.Sleep(3 * time.Second)
		if n := b.fleet.Running(fills); n != 3 {
			t.Fatalf("%d tasks fill, want 3", n)
		}
		for i := range 4 {
			if b.fleet.Worker(i).Runs(job) {
				b.fleet.Worker(i).Crash()
			}
		}
		time.Sleep(13 * time.Second) // the lease, then a stop
		if b.fleet.Running(job) != 1 {
			t.Error("the task that serves does not run again")
		}
		if n := b.fleet.Running(fills); n != 2 {
			t.Errorf("%d tasks fill, want 2: no more than needed are preempted", n)
		}
	})
}

// A task that serves is new, and tasks that fill are everywhere: they are preempted at once.
func TestTasksThatFillArePreemptedAtOnce(t *testing.T) {
	run(t, 3, func(b *harness) {
		b.fleet.Takes = func(docket.TaskID) time.Duration { return 5 * time.Minute }
		serving, filling := tasks(2, 2000), tasks(3, 1000)
		serving.LongRunning, serving.TargetMs, serving.AntiAffinity = true, 200, 1
		filling.Fills, filling.AntiAffinity = true, 1
		b.submit(filling)
		time.Sleep(2 * time.Second)
		job := b.submit(serving)
		time.Sleep(1500 * time.Millisecond)
		if n := b.fleet.Running(job); n != 2 {
			t.Errorf("%d tasks serve 1.5 s after they were submitted, want 2", n)
		}
	})
}

// Three workers crashed under a batch task, of which it was not the cause. From then on it
// wanted a worker with nothing on it, and waited for good where a lasting task ran on each
// (LOST).
func TestTaskOnTrialRunsBesideLastingTasks(t *testing.T) {
	run(t, 4, func(b *harness) {
		b.fleet.KeepNames = true
		b.fleet.Takes = func(id docket.TaskID) time.Duration {
			if id.Job == "0000000000000001" {
				return time.Hour
			}
			return 8 * time.Second
		}
		const asked = 2 * 3 // the fleet asks twice for each of three starts
		asks := 0
		b.fleet.Crashes = func(id docket.TaskID) time.Duration {
			if id.Job != "0000000000000002" || asks == asked {
				return 0
			}
			asks++
			return 6 * time.Second // until it counts as settled
		}
		everywhere := lasting(tasks(4, 2000))
		everywhere.AntiAffinity = 1
		b.submit(everywhere)
		time.Sleep(time.Second)
		batch := b.submit(tasks(1, 2000))
		b.waitForState(batch, docket.Completed, 60*time.Second) // four starts, of which three wait for a worker
	})
}

// The same while short tasks start beside it all the time, of which each crash finds some that
// have just begun.
func TestDeadlyTaskAmongShortTasksIsGivenUp(t *testing.T) {
	run(t, 6, func(b *harness) {
		b.fleet.KeepNames = true
		b.fleet.Takes = func(id docket.TaskID) time.Duration {
			if id.Job <= "0000000000000002" {
				return time.Hour
			}
			return 150 * time.Millisecond
		}
		b.crashing(3*time.Second, "0000000000000002")
		everywhere := lasting(tasks(6, 2000))
		everywhere.AntiAffinity = 1
		b.submit(everywhere)
		time.Sleep(time.Second)
		deadly := b.submit(tasks(2, 2000))
		for range 600 {
			b.submit(tasks(6, 1000))
			time.Sleep(100 * time.Millisecond)
		}
		b.waitForState(deadly, docket.Failed, time.Minute)
		if n := b.fleet.Crashed(); n > 4 {
			t.Errorf("%d workers crashed, want at most 4", n)
		}
	})
}

// The same with a task that crashes its workers some time after its start: it is given up with
// the fourth crash, although it could never run alone.
func TestDeadlyTaskBesideLastingTasksIsGivenUp(t *testing.T) {
	run(t, 6, func(b *harness) {
		b.fleet.KeepNames = true
		b.fleet.Takes = func(docket.TaskID) time.Duration { return time.Hour }
		b.crashing(2*time.Second, "0000000000000002")
		everywhere := lasting(tasks(6, 2000))
		everywhere.AntiAffinity = 1
		b.submit(everywhere)
		time.Sleep(time.Second)
		deadly := b.submit(tasks(2, 2000))
		b.waitForState(deadly, docket.Failed, 2*time.Minute)
		if n := b.fleet.Crashed(); n > 4 {
			t.Errorf("%d workers crashed, want at most 4", n)
		}
	})
}
