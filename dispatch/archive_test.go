package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"persimmonworks.example/persimmonworks/job"
)

// A finished job is removed from memory after the retention. Its tasks, results
// and idempotency key can still be read from the archive.
func TestFinishedJobIsArchived(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBed(1, 1)
		b.runFor(3 * time.Second)
		s := newSpec(3, `{"run-ms":100,"output":"x"}`)
		s.IdempotencyKey = "k"
		id := b.mustSubmit(t, s)
		b.runFor(10 * time.Second)
		if err := b.dispatcher.Loop.Do(t.Context(), func() { b.dispatcher.Retention = time.Minute }); err != nil {
			t.Fatal(err)
		}
		b.runFor(2 * time.Minute)
		var inMemory bool
		if err := b.dispatcher.Loop.Do(t.Context(), func() { _, j := b.dispatcher.findJob(id); inMemory = j != nil }); err != nil || inMemory {
			t.Fatalf("job is in memory after the retention: %v, error %v", inMemory, err)
		}
		v, ok, err := b.dispatcher.Job(t.Context(), id)
		if err != nil || !ok || v.States[job.Done] != 3 {
			t.Errorf("archived job: %+v, found %v, error %v", v, ok, err)
		}
		tasks, ok, err := b.dispatcher.Tasks(t.Context(), id, 1, 5)
		if err != nil || !ok || len(tasks) != 2 || string(tasks[0].Result) != "x" || tasks[0].Index != 1 {
			t.Errorf("archived tasks: %+v, found %v, error %v", tasks, ok, err)
		}
		if o := b.dispatcher.Submit(t.Context(), testShard, s); !o.Existing || o.Job != id {
			t.Errorf("submission with the same key after the retention: %+v", o)
		}
		if _, ok, err := b.dispatcher.Job(t.Context(), "dc1."+testShard+".none"); ok || err != nil {
			t.Errorf("job that was never submitted: found %v, error %v", ok, err)
		}
		b.shutDown()
	})
}
