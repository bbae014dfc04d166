package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/job"
)

// If all workers are full of batch tasks, an urgent task preempts one of them,
// which later resumes from its checkpoint. Non-idempotent tasks are not preempted.
func TestUrgentWorkPreempts(t *testing.T) {
	for _, nonIdempotent := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			b := newTestBed(2, 2)
			b.runFor(3 * time.Second)
			work := `{"run-ms":60000}`
			if nonIdempotent {
				work = `{"run-ms":60000,"non-idempotent":true}`
			}
			batch := newSpec(16, work)
			batch.NonIdempotent = nonIdempotent
			batchID := b.mustSubmit(t, batch)
			b.runFor(10 * time.Second)
			urgent := newSpec(2, `{"run-ms":500}`)
			urgent.Class = class.Urgent
			id := b.mustSubmit(t, urgent)
			b.runFor(5 * time.Second)
			v, _, err := b.jobAndTasks(id)
			if err != nil || (v.States[job.Done] == 2) == nonIdempotent {
				t.Errorf("non-idempotent batch %v: states of the urgent job %v, error %v", nonIdempotent, v.States, err)
			}
			b.runFor(2 * time.Minute)
			v, tasks, err := b.jobAndTasks(batchID)
			if err != nil || v.States[job.Done] != 16 {
				t.Errorf("non-idempotent batch %v: states of the batch job %v, error %v", nonIdempotent, v.States, err)
			}
			retried := 0
			for _, x := range tasks {
				if x.Attempt > 1 {
					retried++
					if x.RanMS > 55_000 {
						t.Errorf("task %d ran for %d ms after it resumed from its checkpoint", x.Index, x.RanMS)
					}
				}
			}
			if (retried > 0) == nonIdempotent || retried > 2 {
				t.Errorf("non-idempotent batch %v: %d batch tasks had a second attempt", nonIdempotent, retried)
			}
			for _, f := range b.shutDown() {
				t.Error(f)
			}
		})
	}
}
