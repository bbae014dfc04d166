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

// newSpec returns a batch job of n tasks that need one core each.
func newSpec(n int, work string) job.Spec {
	s := job.Spec{Organisation: "prado", Class: class.Batch, Demand: resource.Vector{MilliCPU: 1000, MemoryMB: 100}}
	for range n {
		s.Tasks = append(s.Tasks, job.TaskSpec{Work: json.RawMessage(work)})
	}
	return s
}

// mustSubmit submits a job and returns its identifier.
func (b *testBed) mustSubmit(t *testing.T, s job.Spec) string {
	t.Helper()
	o := b.dispatcher.Submit(t.Context(), testShard, s)
	if o.Refusal != nil {
		t.Fatalf("refused: %v", o.Refusal)
	}
	return o.Job
}

func TestBatchRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBed(2, 2)
		b.runFor(3 * time.Second)
		id := b.mustSubmit(t, newSpec(40, `{"run-ms":2000,"output":"x"}`))
		b.runFor(30 * time.Second)
		v, tasks, err := b.jobAndTasks(id)
		if err != nil || v.States[job.Done] != 40 {
			t.Errorf("states %v, %v", v.States, err)
		}
		for _, x := range tasks {
			if string(x.Result) != "x" || x.Attempt != 1 {
				t.Errorf("task %+v", x)
			}
		}
		for _, f := range b.shutDown() {
			t.Error(f)
		}
	})
}

// Concurrent submissions with the same idempotency key result in a single job.
func TestSameKeyAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBed(1, 1)
		b.runFor(3 * time.Second)
		b.mustSubmit(t, newSpec(1, `{"run-ms":100}`)) // delays the next commit, so that the submissions below overlap
		s := newSpec(1, `{"run-ms":100}`)
		s.IdempotencyKey = "k"
		outcomes := make(chan Outcome, 3)
		for range cap(outcomes) {
			b.group.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
				defer cancel()
				outcomes <- b.dispatcher.Submit(ctx, testShard, s)
			})
		}
		b.runFor(10 * time.Second)
		jobs := map[string]int{}
		for range cap(outcomes) {
			o := <-outcomes
			if o.Refusal != nil {
				t.Errorf("refused: %v", o.Refusal)
			}
			jobs[o.Job]++
		}
		if len(jobs) != 1 {
			t.Errorf("outcomes by job %v, want one job", jobs)
		}
		if n := len(b.ledger.Entries()); n != 2 {
			t.Errorf("%d runs, want 2", n)
		}
		b.shutDown()
	})
}

// A cancellation that is committed ends the job, including tasks that are about
// to be queued again. A cancellation whose commit fails leaves the job unchanged.
func TestCancel(t *testing.T) {
	cases := []struct {
		name        string
		unavailable time.Duration // how long the table is unavailable from the cancellation on
		want        job.State
	}{
		{"taken", 0, job.Cancelled},
		{"refused", 5 * time.Second, job.Done},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestBed(1, 1)
				b.runFor(3 * time.Second)
				id := b.mustSubmit(t, newSpec(12, `{"run-ms":3000}`))
				b.runFor(time.Second)
				b.table.mutex.Lock()
				b.table.unavailableUntil = time.Now().Add(c.unavailable)
				b.table.mutex.Unlock()
				var o Outcome
				b.group.Go(func() { o = b.dispatcher.Cancel(context.Background(), id) })
				b.runFor(time.Minute)
				v, _, err := b.jobAndTasks(id)
				if err != nil || v.Open > 0 || v.States[c.want] == 0 || (o.Refusal != nil) != (c.want == job.Done) {
					t.Errorf("states %v, waits for %q, refusal %v, error %v", v.States, v.Waiting, o.Refusal, err)
				}
				for _, f := range b.shutDown() {
					t.Error(f)
				}
			})
		})
	}
}

// A task that was stopped with a checkpoint resumes from it instead of starting
// again, even if the job shard gets a new owner in between.
func TestCheckpoint(t *testing.T) {
	for _, restart := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			b := newTestBed(1, 2)
			b.runFor(3 * time.Second)
			id := b.mustSubmit(t, newSpec(1, `{"run-ms":60000}`))
			b.runFor(40 * time.Second)
			ref := worker.Ref{Task: job.TaskID(id, 0), Attempt: 1}
			b.mutex.Lock()
			r, _ := b.groups["e0"].Rack("rack-0")
			if _, err := r.Stop(ref, true); err != nil {
				t.Error(err)
			}
			b.mutex.Unlock()
			b.runFor(5 * time.Second)
			if restart {
				b.killDispatcher()
				b.startDispatcher()
			}
			b.runFor(30 * time.Second)
			v, tasks, err := b.jobAndTasks(id)
			if err != nil || v.States[job.Done] != 1 || tasks[0].Attempt != 2 || tasks[0].RanMS < 15_000 || tasks[0].RanMS > 25_000 {
				t.Errorf("restart %v: tasks %+v, error %v; want attempt 2 to run for about 20 s", restart, tasks, err)
			}
			for _, f := range b.shutDown() {
				t.Error(f)
			}
		})
	}
}
