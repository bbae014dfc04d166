package dispatch

import (
	"context"
	"time"

	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/job"
	"persimmonworks.example/persimmonworks/wire"
	"persimmonworks.example/persimmonworks/worker"
)

// Cancel cancels a job and returns once the cancellation is durable or refused.
// Unless it is refused, no task of the job is sent after the call began.
func (d *Dispatcher) Cancel(ctx context.Context, id string) Outcome {
	reply := make(chan Outcome, 1)
	err := d.Loop.Do(ctx, func() {
		s, j := d.findJob(id)
		switch {
		case s == nil:
			reply <- Outcome{Refusal: newRefusal(wire.Outcome_OUTCOME_NOT_RUN, "job "+id+" is not known here", retryDelay)}
			return
		case j.OpenTasks() == 0:
			reply <- Outcome{Job: id}
			return
		}
		e, _ := s.state.CancelEntry(id, func(t *job.Task) bool {
			return t.State == job.Sent || s.unresolved[job.TaskID(id, t.Index)]
		})
		s.pending = append(s.pending, pendingEntry{entry: e, reply: reply})
		s.pendingCancels[id]++
		d.Queue.CancelGroup(id)
		d.commitIfDue(s, time.Now())
	})
	if err != nil {
		return Outcome{Refusal: newRefusal(wire.Outcome_OUTCOME_NOT_RUN, "the process is busy or stopping", retryDelay)}
	}
	select {
	case o := <-reply:
		return o
	case <-ctx.Done():
		return Outcome{Refusal: newRefusal(wire.Outcome_OUTCOME_UNKNOWN, "the platform has not answered; ask again", retryDelay)}
	}
}

// cancelDecided removes a cancellation that was committed or refused from the
// pending ones.
func (s *shard) cancelDecided(id string) {
	if s.pendingCancels[id]--; s.pendingCancels[id] <= 0 {
		delete(s.pendingCancels, id)
	}
}

// applyCancel applies a durable cancellation: it ends the tasks that wait and
// stops the attempts that may be running.
func (d *Dispatcher) applyCancel(s *shard, e job.Entry) {
	s.state.Apply(e)
	s.cancelDecided(e.Job)
	d.Queue.CancelGroup(e.Job)
	d.stopAttempts(s, e.Job)
	d.Log.Emit(event.JobCancelled, "job", e.Job)
	j, ok := s.state.Job(e.Job)
	if !ok {
		return
	}
	for _, t := range j.Tasks() {
		d.endIfCancelled(s, job.TaskID(j.ID, t.Index), &t)
	}
}

// endIfCancelled ends a task of a cancelled job that has gone back to waiting
// because its attempt was refused or ended while the cancellation was being
// committed. It reports whether it did so.
func (d *Dispatcher) endIfCancelled(s *shard, task string, t *job.Task) bool {
	if !t.CancelRequested || t.State != job.Waiting || s.unresolved[task] {
		return false
	}
	d.recordEnd(s, worker.Ref{Task: task, Attempt: t.Attempt}, job.AttemptEnd{Outcome: job.Cancelled, Reason: "cancelled before it ran"}, "")
	return true
}

// requeueAfterFailedCancel queues the waiting tasks of a job again after the
// commit of its cancellation failed. It skips tasks that are queued elsewhere:
// when the grant of their next attempt is durable, or when their backoff ends.
func (d *Dispatcher) requeueAfterFailedCancel(s *shard, id string) {
	s.cancelDecided(id)
	j, ok := s.state.Job(id)
	if !ok || s.pendingCancels[id] > 0 {
		return
	}
	for _, p := range s.pending {
		if p.entry.Kind == job.EntryRegrant && p.entry.Job == id {
			return
		}
	}
	now := time.Now()
	delayed := make(map[string]bool, len(d.delayedTasks))
	for _, t := range d.delayedTasks {
		delayed[t.item.ID] = true
	}
	for _, t := range j.Tasks() {
		task := job.TaskID(id, t.Index)
		if t.State != job.Waiting || s.unresolved[task] || delayed[task] || s.pendingEnds[worker.Ref{Task: task, Attempt: t.Attempt}] {
			continue
		}
		d.Queue.Push(d.queueItem(j, t.Index, now))
	}
}
