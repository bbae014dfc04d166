package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/job"
)

// An urgent task that finds the pool full of batch work runs soon, in the room
// of a batch task, which goes on later from its checkpoint. Work that must not
// run twice is left alone.
func TestUrgentWorkPreempts(t *testing.T) {
	for _, once := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			b := newBed(2, 2)
			b.run(3 * time.Second)
			work := `{"run-ms":60000}`
			if once {
				work = `{"run-ms":60000,"non-idempotent":true}`
			}
			batch := spec(16, work)
			batch.NonIdempotent = once
			full := b.submit(t, batch)
			b.run(10 * time.Second)
			urgent := spec(2, `{"run-ms":500}`)
			urgent.Class = class.Urgent
			id := b.submit(t, urgent)
			b.run(5 * time.Second)
			v, _, err := b.job(id)
			if err != nil || (v.States[job.Done] == 2) == once {
				t.Errorf("once %v: urgent tasks %v, %v", once, v.States, err)
			}
			b.run(2 * time.Minute)
			v, tasks, err := b.job(full)
			if err != nil || v.States[job.Done] != 16 {
				t.Errorf("once %v: batch %v, %v", once, v.States, err)
			}
			again := 0
			for _, x := range tasks {
				if x.Attempt > 1 {
					again++
					if x.RanMS > 55_000 {
						t.Errorf("task %d ran %d ms after its checkpoint", x.Index, x.RanMS)
					}
				}
			}
			if (again > 0) == once || again > 2 {
				t.Errorf("once %v: %d batch tasks had a second attempt", once, again)
			}
			for _, f := range b.close() {
				t.Error(f)
			}
		})
	}
}
