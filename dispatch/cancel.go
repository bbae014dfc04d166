package dispatch

import (
	"context"
	"time"

	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/job"
	"persimmonworks.example/persimmonworks/wire"
	"persimmonworks.example/persimmonworks/worker"
)

// Cancel records a caller's cancellation; it returns once that is durable. No
// task of the job is sent from now on, unless the cancellation is refused.
func (d *Desk) Cancel(ctx context.Context, id string) Outcome {
	done := make(chan Outcome, 1)
	err := d.Loop.Do(ctx, func() {
		s, j := d.lookup(id)
		switch {
		case s == nil:
			done <- Outcome{Refusal: refusal(wire.Outcome_OUTCOME_NOT_RUN, "job "+id+" is not known here", retryPause)}
			return
		case j.Open() == 0:
			done <- Outcome{Job: id}
			return
		}
		e, _ := s.book.Cancel(id, func(t *job.Task) bool {
			return t.State == job.Sent || s.unresolved[job.TaskID(id, t.Index)]
		})
		s.pending = append(s.pending, pendingEntry{entry: e, done: done})
		s.cancelling[id]++
		d.Queue.CancelGroup(id)
		d.commitDue(s, time.Now())
	})
	if err != nil {
		return Outcome{Refusal: refusal(wire.Outcome_OUTCOME_NOT_RUN, "the process is busy or stopping", retryPause)}
	}
	select {
	case o := <-done:
		return o
	case <-ctx.Done():
		return Outcome{Refusal: refusal(wire.Outcome_OUTCOME_UNKNOWN, "the platform has not answered; ask again", retryPause)}
	}
}

// decided notes that a cancellation was recorded or refused.
func (s *shard) decided(id string) {
	if s.cancelling[id]--; s.cancelling[id] <= 0 {
		delete(s.cancelling, id)
	}
}

// applyCancel takes a durable cancellation into the books.
func (d *Desk) applyCancel(s *shard, e job.Entry) {
	s.book.Apply(e)
	s.decided(e.Job)
	d.Queue.CancelGroup(e.Job)
	d.stopJob(s, e.Job)
	d.Log.Emit(event.JobCancelled, "job", e.Job)
	j, ok := s.book.Job(e.Job)
	if !ok {
		return
	}
	for _, t := range j.Tasks() {
		d.endCancelled(s, job.TaskID(j.ID, t.Index), &t)
	}
}

// endCancelled ends a task whose attempt came back, or ended, between the
// cancellation and its record. It reports whether the task is cancelled.
func (d *Desk) endCancelled(s *shard, task string, t *job.Task) bool {
	if !t.CancelAsked || t.State != job.Waiting || s.unresolved[task] {
		return false
	}
	d.endAttempt(s, worker.Ref{Task: task, Attempt: t.Attempt}, job.End{Outcome: job.Cancelled, Reason: "cancelled before it ran"}, "")
	return true
}

// cancelRefused queues the tasks of a job again whose cancellation the platform
// did not take. Those that wait for a new grant are queued when it is durable,
// those that pause after a failure when the pause ends.
func (d *Desk) cancelRefused(s *shard, id string) {
	s.decided(id)
	j, ok := s.book.Job(id)
	if !ok || s.cancelling[id] > 0 {
		return
	}
	for _, p := range s.pending {
		if p.entry.Kind == job.EntryRegrant && p.entry.Job == id {
			return
		}
	}
	now := time.Now()
	paused := make(map[string]bool, len(d.delays))
	for _, x := range d.delays {
		paused[x.item.ID] = true
	}
	for _, t := range j.Tasks() {
		task := job.TaskID(id, t.Index)
		if t.State != job.Waiting || s.unresolved[task] || paused[task] || s.ending[worker.Ref{Task: task, Attempt: t.Attempt}] {
			continue
		}
		d.Queue.Push(d.item(j, t.Index, now))
	}
}
