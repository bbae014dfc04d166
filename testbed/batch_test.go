package testbed

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/dispatch"
	"persimmonworks.example/persimmonworks/gateway"
	"persimmonworks.example/persimmonworks/job"
	"persimmonworks.example/persimmonworks/ledger"
	"persimmonworks.example/persimmonworks/resource"
)

// batch is a submitted job with the tasks it was submitted with.
type batch struct {
	id    string
	key   string
	tasks int
}

const (
	smallCores = 2
	batchCores = 8
	parallel   = 16 // tasks of batchCores that a data centre's workers run at once
)

func (b *bed) spec(key string, tasks int, run time.Duration, cores int64) []byte {
	s := job.Spec{
		Name: "renderings", Organisation: organisation, Class: class.Batch, Kind: "rendering", IdempotencyKey: key,
		Demand: resource.Vector{MilliCPU: cores * resource.MilliPerCore, MemoryMB: 1024}, EstimateMS: run.Milliseconds(),
	}
	for i := range tasks {
		work := fmt.Sprintf(`{"run-ms":%d,"output":"%s"}`, run.Milliseconds(), output(key, i))
		s.Tasks = append(s.Tasks, job.TaskSpec{Work: json.RawMessage(work)})
	}
	body, err := json.Marshal(s)
	if err != nil {
		b.t.Fatal(err)
	}
	return body
}

func output(key string, task int) string { return fmt.Sprintf("mould %s %d", key, task) }

// submit submits a job at a process until it is accepted.
func (b *bed) submit(p *process, key string, tasks int, run time.Duration, cores int64) *batch {
	b.t.Helper()
	x := &batch{key: key, tasks: tasks}
	body := b.spec(key, tasks, run, cores)
	b.await("submission of "+key, func(ctx context.Context) error {
		var a gateway.JobResponse
		if err := b.call(ctx, p, http.MethodPost, "/v1/jobs", body, &a); err != nil {
			return err
		}
		x.id = a.Job
		return nil
	})
	return x
}

// batches submits a job in each data centre that takes at least a time.
func (b *bed) batches(run, lasting time.Duration) []*batch {
	b.t.Helper()
	var all []*batch
	for i := range dataCentres {
		all = append(all, b.submit(b.entries[i], fmt.Sprintf("batch-%d", i), int(parallel*lasting/run), run, batchCores))
	}
	return all
}

// waitDone waits until all tasks of the jobs are done, asking all processes
// in turn.
func (b *bed) waitDone(batches ...*batch) {
	b.t.Helper()
	turn := 0
	for _, x := range batches {
		last := ""
		b.await("job "+x.id, func(ctx context.Context) error {
			turn++
			p := b.entries[turn%len(b.entries)]
			ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
			defer cancel()
			var v dispatch.JobView
			if err := b.call(ctx, p, http.MethodGet, "/v1/jobs/"+x.id, nil, &v); err != nil {
				return fmt.Errorf("%w (before: %s)", err, last)
			}
			last = fmt.Sprintf("%v, waiting for %q", v.States, v.Waiting)
			if v.Open > 0 {
				return errors.New(last)
			}
			return nil
		})
	}
}

// verifyBatches checks that every task was done once and as accepted, by the
// system's own word and by the ledger.
func (b *bed) verifyBatches(batches ...*batch) {
	b.t.Helper()
	rows, err := b.control.Ledger(context.Background())
	if err != nil {
		b.t.Fatal(err)
	}
	done, began := map[string]int{}, map[string]int{}
	for _, e := range rows {
		if e.Kind != ledger.Task || e.Outcome == ledger.Refused {
			continue
		}
		began[e.Task]++
		if e.Outcome == ledger.Done {
			done[e.Task]++
		}
	}
	for _, x := range batches {
		again := 0
		for i := range x.tasks {
			id := job.TaskID(x.id, i)
			if done[id] != 1 {
				b.t.Errorf("task %s was done %d times", id, done[id])
			}
			again += began[id] - 1
		}
		views := b.taskViews(x)
		for _, v := range views {
			if v.State != job.Done || !strings.Contains(string(v.Result), output(x.key, v.Index)) {
				b.t.Errorf("task %d of %s: %s, result %q, reason %q", v.Index, x.id, v.State, v.Result, v.Reason)
			}
		}
		if len(views) != x.tasks {
			b.t.Errorf("job %s has %d tasks, %d were accepted", x.id, len(views), x.tasks)
		}
		b.t.Logf("job %s: %d tasks, %d attempts beyond the first", x.id, x.tasks, again)
	}
}

func (b *bed) taskViews(x *batch) []dispatch.TaskView {
	var views []dispatch.TaskView
	turn := 0
	b.await("tasks of "+x.id, func(ctx context.Context) error {
		turn++
		ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
		defer cancel()
		views = nil
		return b.call(ctx, b.entries[turn%len(b.entries)], http.MethodGet, "/v1/jobs/"+x.id+"/tasks?limit=1000", nil, &views)
	})
	return views
}
