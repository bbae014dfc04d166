package cell

import (
	"context"
	"errors"
	"fmt"
	"time"

	"persimmonworks.example/persimmonworks/advice"
	"persimmonworks.example/persimmonworks/docket"
	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/wire"
)

// ErrUndecided is returned when the caller's context ended, or the docket was
// lost, before the outcome was durable.
var ErrUndecided = errors.New("the outcome is not known")

// RefusedError is the error for a job that was not accepted and will never run.
type RefusedError struct {
	Reason     string
	RetryAfter time.Duration
	Logged     bool // a line of this process's log says it
}

// Error implements error.
func (r *RefusedError) Error() string { return fmt.Sprintf("job refused: %s", r.Reason) }

// MovedError is the error for a job that has moved to another docket.
type MovedError struct {
	Docket    int
	InTransit bool         // the other docket may not have accepted the job yet
	Move      uint32       // number of that move of the job, higher for later ones
	State     docket.State // of the job when it left
}

// Error implements error.
func (m *MovedError) Error() string { return fmt.Sprintf("job is in docket %d", m.Docket) }

// ErrNoJob is returned for a job that was never accepted, or was forgotten after
// its end.
var ErrNoJob = errors.New("no such job")

// await runs ask on the control loop and waits for the outcome. ask must call done
// on the loop, now or later.
func await[T any](ctx context.Context, c *Cell, ask func(done func(T))) (T, error) {
	result := make(chan T, 1)
	var zero T
	if err := c.loop.Do(ctx, func() { ask(func(v T) { result <- v }) }); err != nil {
		return zero, fmt.Errorf("%w: %w", ErrUndecided, err)
	}
	select {
	case v := <-result:
		return v, nil
	case <-ctx.Done():
		return zero, fmt.Errorf("%w: %w", ErrUndecided, ctx.Err())
	case <-c.ctx.Done():
		return zero, fmt.Errorf("%w: the docket was given up", ErrUndecided)
	}
}

// Submit accepts a job and returns once it is durable. It is idempotent: a job that
// is already known is not accepted again. The error is a *RefusedError, or wraps
// ErrUndecided.
func (c *Cell) Submit(ctx context.Context, job *wire.DocketAccepted) error {
	answer, err := await(ctx, c, func(done func(error)) { c.submit(job, done) })
	if err != nil {
		return err
	}
	return answer
}

func (c *Cell) submit(job *wire.DocketAccepted, done func(error)) {
	id := job.GetJob()
	if len(job.GetSteps()) == 0 {
		done(&RefusedError{Reason: "the job has no steps", RetryAfter: time.Second})
		return
	}
	if c.nameTaken(job) {
		done(&RefusedError{Reason: "the job cannot be accepted", RetryAfter: time.Second})
		return
	}
	if j, ok := c.Docket.Job(id); ok && !j.ReplacedBy(job) {
		c.Log.Emit(event.DocketJobRepeated, "job", id, "state", string(j.State()))
		c.afterDurable(j.Changed(), func() { done(nil) })
		return
	}
	if reason, after := c.refusalReason(job); reason != "" {
		c.Log.Emit(event.DocketJobRefused, "job", id, "queue", job.GetQueue().GetName(), "reason", reason, "retry-after-ms", after.Milliseconds(),
			"job-bytes", docket.JobBytes(job), "docket-bytes", c.Docket.Bytes(), "limit-bytes", c.Limits.DocketBytes)
		c.Meter.Count("jobs", "refused")
		done(&RefusedError{Reason: reason, RetryAfter: after, Logged: true})
		return
	}
	if !job.GetMoved() {
		job.AcceptedMs = time.Now().UnixMilli()
	}
	if !c.append(docket.Accept(job), func() { done(nil) }) {
		delete(c.admission.forecasts, id)
		done(&RefusedError{Reason: "the job cannot be stored", RetryAfter: time.Second})
		return
	}
	j, _ := c.Docket.Job(id)
	c.Log.Emit(event.DocketJobAccepted, "job", id, "queue", job.GetQueue().GetName(), "steps", len(job.GetSteps()), "waiting-steps", len(c.readySteps),
		"forecast-ms", c.admission.forecasts[id].wait.Milliseconds())
	c.Meter.Count("jobs", "accepted")
	c.openSteps(j)
	c.sendElsewhere(j, time.Now())
}

// State returns the durable state of a job, or an error that wraps ErrNoJob, also for a job
// that the organisation may not see.
func (c *Cell) State(ctx context.Context, id, organisation string) (docket.State, error) {
	type answer struct {
		state docket.State
		err   error
	}
	a, err := await(ctx, c, func(done func(answer)) {
		j, ok := c.visibleJob(id, organisation)
		if !ok {
			c.confirmOwnership(func() { done(answer{"", fmt.Errorf("job %s: %w", id, ErrNoJob)}) })
			return
		}
		state, elsewhere := j.State(), movedError(j)
		c.afterDurable(j.Changed(), func() { c.confirmRecentOwnership(func() { done(answer{state, elsewhere}) }) })
	})
	if err != nil {
		return "", err
	}
	return a.state, a.err
}

// movedError returns a *MovedError for a job that is in another docket, nil otherwise.
func movedError(j *docket.Job) error {
	to, confirmed, moved := j.Moved()
	if !moved {
		return nil
	}
	return &MovedError{Docket: to, InTransit: !confirmed, Move: j.Move(), State: j.State()}
}

// Cancel cancels a job and returns once that is durable. The error wraps ErrNoJob also for a
// job that the organisation may not see.
func (c *Cell) Cancel(ctx context.Context, id, organisation string) error {
	answer, err := await(ctx, c, func(done func(error)) {
		j, ok := c.visibleJob(id, organisation)
		if !ok {
			c.confirmOwnership(func() { done(fmt.Errorf("job %s: %w", id, ErrNoJob)) })
			return
		}
		if elsewhere := movedError(j); elsewhere != nil || j.Terminal() {
			c.afterDurable(j.Changed(), func() { done(elsewhere) })
			return
		}
		c.Log.Emit(event.DocketJobCancelled, "job", id, "state", string(j.State()))
		c.append(docket.Cancel(id, time.Now().UnixMilli()), func() { done(nil) })
		c.withdrawJob(j)
	})
	if err != nil {
		return err
	}
	return answer
}

// Waiting returns the number of jobs of a queue that have not begun.
func (c *Cell) Waiting(ctx context.Context, queue string) (uint32, error) {
	return await(ctx, c, func(done func(uint32)) {
		c.confirmRecentOwnership(func() { done(c.countWaitingJobs(queue)) })
	})
}

// countWaitingJobs counts the jobs of a queue of which no task is known to have
// begun, except for jobs whose start time has not come.
func (c *Cell) countWaitingJobs(queue string) uint32 {
	begun := map[string]bool{}
	for _, x := range c.runs {
		if x.startConfirmed {
			begun[x.task.Job] = true
		}
	}
	count := uint32(0)
	c.Docket.ForEachOpen(func(j *docket.Job) {
		if !j.HasDueTimes() && j.Accepted().GetQueue().GetName() == queue && !j.HasRun() && !begun[j.ID()] {
			count++
		}
	})
	return count
}

// NoteHelper records that another process is alive and can send advice requests.
func (c *Cell) NoteHelper(ctx context.Context, name string, advisor func() advice.Advisor) error {
	return c.loop.Do(ctx, func() { c.Advice.NoteHelper(name, advisor, time.Now()) })
}

// refusalReason returns why new jobs are refused at present, or "" if they are
// accepted.
func (c *Cell) refusalReason(job *wire.DocketAccepted) (reason string, retryAfter time.Duration) {
	const (
		maxReadySteps = 4000 // bounds memory
		storeRetry    = time.Second
		// The evidence for isolation fades within some seconds.
		isolationRetry = 2 * time.Second
		memoryRetry    = 2 * time.Second
	)
	if c.storeStalled(time.Now()) {
		return "the store does not answer", storeRetry
	}
	if c.apartOverloaded(job) {
		return "tasks of the queue crash workers, and more of its jobs wait than can run in time", isolationRetry
	}
	switch exceeds, always := c.exceedsMemory(job); {
	case always:
		return "its tasks take more memory than any owner has for jobs", memoryRetry
	case exceeds:
		return "the jobs that wait take all the memory that there is for them", memoryRetry
	}
	if reason := c.exceedsQuota(job); reason != "" {
		return reason, quotaRefuseTime
	}
	if len(c.readySteps) > maxReadySteps {
		return "too many steps wait", time.Second
	}
	return c.rejectByForecast(job, time.Now())
}
