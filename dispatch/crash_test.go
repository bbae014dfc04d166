package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"persimmonworks.example/persimmonworks/job"
)

// A task that crashes each worker on which it runs was tried again without a limit.
func TestTaskThatCrashesWorkersIsParked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBed(1, 4)
		b.runFor(3 * time.Second)
		id := b.mustSubmit(t, newSpec(1, `{"run-ms":60000}`))
		innocent := b.submitSeries(t, 20, `{"run-ms":500}`)
		crashes, crashed := 0, uint64(0)
		for range 600 {
			b.runFor(100 * time.Millisecond)
			_, tasks, err := b.jobAndTasks(id)
			if err != nil || !tasks[0].Running || tasks[0].Attempt == crashed {
				continue
			}
			crashed = tasks[0].Attempt
			crashes++
			b.agents[tasks[0].Worker].Crash()
			if crashes == 1 {
				b.killDispatcher() // the next owner knows of the first crash
				b.startDispatcher()
			}
		}
		const most = 3
		if v, tasks, err := b.jobAndTasks(id); err != nil || v.States[job.Parked] != 1 || crashes > most {
			t.Errorf("%d workers crashed, want at most %d; states %v, task %+v, error %v", crashes, most, v.States, tasks[0], err)
		}
		for _, id := range innocent {
			if v, _, err := b.jobAndTasks(id); err != nil || v.States[job.Done] != 1 {
				t.Errorf("job %s beside it: states %v, error %v", id, v.States, err)
			}
		}
		for _, f := range b.shutDown() {
			t.Error(f)
		}
	})
}
