package dispatch

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/job"
	"persimmonworks.example/persimmonworks/resource"
	"persimmonworks.example/persimmonworks/worker"
)

// spec returns a job of n tasks of one core.
func spec(n int, work string) job.Spec {
	s := job.Spec{Organisation: "prado", Class: class.Batch, Demand: resource.Vector{MilliCPU: 1000, MemoryMB: 100}}
	for range n {
		s.Tasks = append(s.Tasks, job.TaskSpec{Work: json.RawMessage(work)})
	}
	return s
}

// submit hands a job in and returns its identifier.
func (b *bed) submit(t *testing.T, s job.Spec) string {
	t.Helper()
	o := b.desk.Submit(t.Context(), testShard, s)
	if o.Refusal != nil {
		t.Fatalf("refused: %v", o.Refusal)
	}
	return o.Job
}

func TestBatchRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(2, 2)
		b.run(3 * time.Second)
		id := b.submit(t, spec(40, `{"run-ms":2000,"output":"x"}`))
		b.run(30 * time.Second)
		v, tasks, err := b.job(id)
		if err != nil || v.States[job.Done] != 40 {
			t.Errorf("states %v, %v", v.States, err)
		}
		for _, x := range tasks {
			if string(x.Result) != "x" || x.Attempt != 1 {
				t.Errorf("task %+v", x)
			}
		}
		for _, f := range b.close() {
			t.Error(f)
		}
	})
}

// Two submissions under one idempotency key at the same time are one job.
func TestSameKeyAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(1, 1)
		b.run(3 * time.Second)
		b.submit(t, spec(1, `{"run-ms":100}`)) // starts the pause between commits
		s := spec(1, `{"run-ms":100}`)
		s.Key = "k"
		outcomes := make(chan Outcome, 3)
		for range cap(outcomes) {
			b.group.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
				defer cancel()
				outcomes <- b.desk.Submit(ctx, testShard, s)
			})
		}
		b.run(10 * time.Second)
		jobs := map[string]int{}
		for range cap(outcomes) {
			o := <-outcomes
			if o.Refusal != nil {
				t.Errorf("refused: %v", o.Refusal)
			}
			jobs[o.Job]++
		}
		if len(jobs) != 1 {
			t.Errorf("outcomes %v, want one job", jobs)
		}
		if n := len(b.ledger.Entries()); n != 2 {
			t.Errorf("%d runs, want 2", n)
		}
		b.close()
	})
}

// A cancellation that the platform does not take leaves the job as it was, and
// one that it takes ends the job, also where tasks are on their way back into
// the queue.
func TestCancel(t *testing.T) {
	cases := []struct {
		name string
		away time.Duration // of the table, from the cancellation on
		want job.State
	}{
		{"taken", 0, job.Cancelled},
		{"refused", 5 * time.Second, job.Done},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBed(1, 1)
				b.run(3 * time.Second)
				id := b.submit(t, spec(12, `{"run-ms":3000}`))
				b.run(time.Second)
				b.table.mutex.Lock()
				b.table.away = time.Now().Add(c.away)
				b.table.mutex.Unlock()
				var o Outcome
				b.group.Go(func() { o = b.desk.Cancel(context.Background(), id) })
				b.run(time.Minute)
				v, _, err := b.job(id)
				if err != nil || v.Open > 0 || v.States[c.want] == 0 || (o.Refusal != nil) != (c.want == job.Done) {
					t.Errorf("states %v, waits for %q, refusal %v, %v", v.States, v.Waiting, o.Refusal, err)
				}
				for _, f := range b.close() {
					t.Error(f)
				}
			})
		})
	}
}

// A task that is stopped with a checkpoint goes on from there, also under the
// next owner of its job, and is not run anew.
func TestCheckpoint(t *testing.T) {
	for _, restart := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			b := newBed(1, 2)
			b.run(3 * time.Second)
			id := b.submit(t, spec(1, `{"run-ms":60000}`))
			b.run(40 * time.Second)
			ref := worker.Ref{Task: job.TaskID(id, 0), Attempt: 1}
			b.mutex.Lock()
			r, _ := b.groups["e0"].Rack("rack-0")
			if _, err := r.Stop(ref, true); err != nil {
				t.Error(err)
			}
			b.mutex.Unlock()
			b.run(5 * time.Second)
			if restart {
				b.kill()
				b.start()
			}
			b.run(30 * time.Second)
			v, tasks, err := b.job(id)
			if err != nil || v.States[job.Done] != 1 || tasks[0].Attempt != 2 || tasks[0].RanMS < 15_000 || tasks[0].RanMS > 25_000 {
				t.Errorf("restart %v: %+v, %v; attempt 2 was to run some 20 s", restart, tasks, err)
			}
			for _, f := range b.close() {
				t.Error(f)
			}
		})
	}
}
