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
