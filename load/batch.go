package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/dispatch"
	"persimmonworks.example/persimmonworks/gateway"
	"persimmonworks.example/persimmonworks/job"
	"persimmonworks.example/persimmonworks/resource"
)

const (
	pollInterval    = 50 * time.Millisecond // between looks at a batch
	maxBatchAnswer  = 64 << 20              // bytes
	tasksInOneLook  = 1000
	defaultBatchEnd = 10 * time.Minute
)

// Batch submits one job of many tasks and follows it to its end. Exported
// fields are set before Run.
type Batch struct {
	// Address is the base URL of an entry process, a loopback address.
	Address string
	Token   string
	Name    string // of the organisation
	Class   class.Class
	Tasks   int
	Demand  resource.Vector // of one task
	Run     time.Duration   // of one task
	Key     string          // idempotency key, "" for none
	// Length ends the run, 0 means 10 minutes.
	Length time.Duration
}

var batchClient = &http.Client{Transport: &http.Transport{}, CheckRedirect: stay}

// BatchReport tells when a batch was accepted, when the first of its
// tasks was seen to start, and when it ended, all after the submission.
// Later times are as exact as the interval between looks, 50 ms.
type BatchReport struct {
	Job                        string
	Accepted, FirstStart, Done time.Duration
	States                     map[job.State]int
}

// String returns one line.
func (r *BatchReport) String() string {
	return fmt.Sprintf("batch %s accepted after %v, first start after %v, ended after %v: %v\n",
		r.Job, r.Accepted.Round(time.Millisecond), r.FirstStart.Round(time.Millisecond), r.Done.Round(time.Millisecond), r.States)
}

// spec returns the job; each task asks the stand-in worker for its run time.
func (b *Batch) spec() job.Spec {
	s := job.Spec{
		Name: "load", Organisation: b.Name, Class: orDefault(b.Class, class.Batch), Kind: "load", IdempotencyKey: b.Key,
		Demand:     orDefault(b.Demand, resource.Vector{MilliCPU: resource.MilliPerCore, MemoryMB: 512}),
		EstimateMS: b.Run.Milliseconds(),
	}
	work := json.RawMessage(fmt.Sprintf(`{"run-ms":%d}`, b.Run.Milliseconds()))
	for range b.Tasks {
		s.Tasks = append(s.Tasks, job.TaskSpec{Work: work})
	}
	return s
}

// Submit submits the batch and waits for its end. An error tells that it was
// refused, or did not end in time.
func (b *Batch) Submit(ctx context.Context) (*BatchReport, error) {
	if err := checkAddress(b.Address); err != nil {
		return nil, err
	}
	if b.Tasks < 1 || b.Tasks > MaxTasks {
		return nil, fmt.Errorf("load: %d tasks are not from 1 to %d", b.Tasks, MaxTasks)
	}
	ctx, cancel := context.WithTimeout(ctx, min(orDefault(b.Length, defaultBatchEnd), MaxLength))
	defer cancel()
	body, err := json.Marshal(b.spec())
	if err != nil {
		return nil, fmt.Errorf("load: %w", err)
	}
	begin := time.Now()
	var accepted gateway.JobResponse
	if err := b.call(ctx, http.MethodPost, "/v1/jobs", body, &accepted); err != nil {
		return nil, fmt.Errorf("load: submit a batch of %d tasks: %w", b.Tasks, err)
	}
	r := &BatchReport{Job: accepted.Job, Accepted: time.Since(begin)}
	return r, b.follow(ctx, r, begin)
}

// follow looks at the job until it has ended.
func (b *Batch) follow(ctx context.Context, r *BatchReport, begin time.Time) error {
	for {
		if r.FirstStart == 0 {
			started, err := b.started(ctx, r.Job)
			if err != nil {
				return err
			}
			if started {
				r.FirstStart = time.Since(begin)
			}
		}
		var v dispatch.JobView
		if err := b.call(ctx, http.MethodGet, "/v1/jobs/"+r.Job, nil, &v); err != nil {
			return fmt.Errorf("load: batch %s: %w", r.Job, err)
		}
		if r.States = v.States; v.Open == 0 {
			r.Done = time.Since(begin)
			return nil
		}
		if !sleepUntil(ctx, time.Now().Add(pollInterval)) {
			return fmt.Errorf("load: batch %s has not ended: %v: %w", r.Job, r.States, ctx.Err())
		}
	}
}

// started reports whether any task of the job's first thousand runs or ran.
func (b *Batch) started(ctx context.Context, id string) (bool, error) {
	var tasks []dispatch.TaskView
	path := fmt.Sprintf("/v1/jobs/%s/tasks?limit=%d", id, tasksInOneLook)
	if err := b.call(ctx, http.MethodGet, path, nil, &tasks); err != nil {
		return false, fmt.Errorf("load: tasks of batch %s: %w", id, err)
	}
	for _, t := range tasks {
		if t.Running || t.State == job.Done {
			return true, nil
		}
	}
	return false, nil
}

func (b *Batch) call(ctx context.Context, method, path string, body []byte, into any) error {
	q, err := http.NewRequestWithContext(ctx, method, b.Address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	q.Header.Set("Authorization", "Bearer "+b.Token)
	q.Header.Set("Content-Type", "application/json")
	answer, err := batchClient.Do(q)
	if err != nil {
		return fmt.Errorf("no answer, the outcome is unknown: %w", err)
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxBatchAnswer))
	if err != nil {
		return fmt.Errorf("the answer broke off: %w", err)
	}
	if answer.StatusCode >= http.StatusMultipleChoices {
		var p gateway.Problem
		if json.Unmarshal(text, &p) == nil && p.Outcome != "" {
			return errors.New(p.Outcome + ": " + p.Reason)
		}
		return fmt.Errorf("status %d: %s", answer.StatusCode, text)
	}
	return json.Unmarshal(text, into)
}
