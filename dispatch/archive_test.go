package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"persimmonworks.example/persimmonworks/job"
)

// A job that ended longer ago than the retention has left the book, and its
// results and its key can be had all the same.
func TestFinishedJobIsArchived(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(1, 1)
		b.run(3 * time.Second)
		s := spec(3, `{"run-ms":100,"output":"x"}`)
		s.Key = "k"
		id := b.submit(t, s)
		b.run(10 * time.Second)
		if err := b.desk.Loop.Do(t.Context(), func() { b.desk.Retention = time.Minute }); err != nil {
			t.Fatal(err)
		}
		b.run(2 * time.Minute)
		var held bool
		if err := b.desk.Loop.Do(t.Context(), func() { _, j := b.desk.lookup(id); held = j != nil }); err != nil || held {
			t.Fatalf("in the book after its retention: %v, %v", held, err)
		}
		v, ok, err := b.desk.View(t.Context(), id)
		if err != nil || !ok || v.States[job.Done] != 3 {
			t.Errorf("archived job: %+v, %v, %v", v, ok, err)
		}
		tasks, ok, err := b.desk.Tasks(t.Context(), id, 1, 5)
		if err != nil || !ok || len(tasks) != 2 || string(tasks[0].Result) != "x" || tasks[0].Index != 1 {
			t.Errorf("archived tasks: %+v, %v, %v", tasks, ok, err)
		}
		if o := b.desk.Submit(t.Context(), testShard, s); !o.Existing || o.Job != id {
			t.Errorf("same key after the retention: %+v", o)
		}
		if _, ok, err := b.desk.View(t.Context(), "dc1."+testShard+".none"); ok || err != nil {
			t.Errorf("a job that never was: %v, %v", ok, err)
		}
		b.close()
	})
}
