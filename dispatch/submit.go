package dispatch

import (
	"context"
	"errors"
	"time"

	"persimmonworks.example/persimmonworks/joblog"

	"github.com/google/uuid"

	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/job"
	"persimmonworks.example/persimmonworks/provider"
	"persimmonworks.example/persimmonworks/wire"
)

// Outcome is the result of a submission or a cancellation: a job or a refusal.
type Outcome struct {
	Job string
	// Existing is set if the same job had been submitted before with the same
	// idempotency key.
	Existing bool
	// KeyConflict is set if the idempotency key belongs to a job with another
	// specification. Job is that job; nothing was accepted.
	KeyConflict bool
	Refusal     *wire.Refusal
}

// existingOutcome returns the outcome of a submission whose idempotency key
// belongs to the job id, the specification of which has the given digest.
func existingOutcome(id, digest string, spec *job.Spec) Outcome {
	if digest != spec.Digest() {
		return Outcome{Job: id, KeyConflict: true}
	}
	return Outcome{Job: id, Existing: true}
}

func newRefusal(o wire.Outcome, reason string, retry time.Duration) *wire.Refusal {
	return &wire.Refusal{Outcome: o, Reason: reason, RetryAfterMs: uint64(retry.Milliseconds())}
}

// sendReply sends o to all callers that wait for p.
func sendReply(p pendingEntry, o Outcome) {
	if p.reply != nil {
		p.reply <- o
	}
	for _, reply := range p.duplicateReplies {
		duplicate := o
		duplicate.Existing = o.Refusal == nil && !o.KeyConflict
		reply <- duplicate
	}
}

// joinDuplicate lets a submission share the outcome of an earlier one with the
// same idempotency key that is not durable yet. It reports whether there is one.
// Both in one commit would write the row of the key twice, which the platform's
// table does not support.
func (s *shard) joinDuplicate(spec *job.Spec, reply chan<- Outcome) bool {
	for _, list := range [][]pendingEntry{s.inFlight, s.pending} {
		for i := range list {
			p := &list[i]
			if first := p.entry.Spec; first != nil && first.IdempotencyKey == spec.IdempotencyKey && first.Organisation == spec.Organisation {
				if first.Digest() != spec.Digest() {
					reply <- Outcome{Job: p.entry.Job, KeyConflict: true}
					return true
				}
				p.duplicateReplies = append(p.duplicateReplies, reply)
				return true
			}
		}
	}
	return false
}

// Submit submits a job to a job shard that this process owns and returns once
// the job is durable or refused. It blocks, so it must not be called on the loop.
func (d *Dispatcher) Submit(ctx context.Context, shardName string, spec job.Spec) Outcome {
	reply := make(chan Outcome, 1)
	err := d.Loop.Do(ctx, func() { d.submit(shardName, spec, reply) })
	if err != nil {
		return Outcome{Refusal: newRefusal(wire.Outcome_OUTCOME_NOT_RUN, "the process is busy or stopping: "+err.Error(), retryDelay)}
	}
	select {
	case o := <-reply:
		return o
	case <-ctx.Done():
		return Outcome{Refusal: newRefusal(wire.Outcome_OUTCOME_UNKNOWN, "the platform has not answered; ask again with the same idempotency key", retryDelay)}
	}
}

// submit answers a submission at once or adds it to the next commit. It runs on
// the loop.
func (d *Dispatcher) submit(shardName string, spec job.Spec, reply chan<- Outcome) {
	s, ok := d.shards[shardName]
	if !ok || s.state == nil || d.closed || !d.Valid(time.Now()) {
		reply <- Outcome{Refusal: newRefusal(wire.Outcome_OUTCOME_NOT_RUN, "job shard "+shardName+" is changing its owner", retryDelay)}
		return
	}
	if spec.IdempotencyKey != "" {
		if j, ok := s.state.JobByKey(spec.Organisation, spec.IdempotencyKey); ok {
			reply <- existingOutcome(j.ID, j.Spec.Digest(), &spec)
			return
		}
		if s.joinDuplicate(&spec, reply) {
			return
		}
	}
	id := job.NewID(d.DataCentre, shardName, uuid.NewString())
	s.pending = append(s.pending, pendingEntry{entry: job.AcceptEntry(id, spec, time.Now()), reply: reply})
	d.commitIfDue(s, time.Now())
}

// commitIfDue starts a group commit if there are entries to write and the rate
// limit allows it. A batch whose commit failed is written again before any
// pending entry.
func (d *Dispatcher) commitIfDue(s *shard, now time.Time) {
	if s.committing || now.Before(s.nextCommit) || len(s.inFlight)+len(s.pending) == 0 {
		return
	}
	retrying := len(s.inFlight) > 0
	if !d.commitLimiter.allow(d.commitRate(), retrying || s.hasAwaitedEntry(), now) {
		return
	}
	if !retrying {
		s.inFlight, s.pending = s.pending, nil
	}
	entries := make([]job.Entry, len(s.inFlight))
	for i, p := range s.inFlight {
		entries[i] = p.entry
	}
	s.committing = true
	d.spawn(func() {
		ctx, cancel := context.WithTimeout(d.ctx, commitTimeout)
		defer cancel()
		err := s.store.Append(ctx, entries)
		d.Loop.Post(func() { d.handleCommit(s, entries, retrying, err) })
	})
}

// handleCommit handles the result of a group commit.
func (d *Dispatcher) handleCommit(s *shard, entries []job.Entry, retrying bool, err error) {
	if !d.isCurrent(s) {
		return
	}
	now := time.Now()
	s.committing, s.nextCommit = false, now.Add(commitInterval)
	var taken *joblog.ErrKeyTaken
	switch {
	case err == nil:
		batch := s.inFlight
		s.inFlight = nil
		for i, p := range batch {
			p.entry = entries[i] // Append may have set the name of the object with the spec
			d.applyDurable(s, p, now)
		}
		d.compactIfDue(s)
	case errors.As(err, &taken):
		d.answerTakenKeys(s, taken)
	case errors.Is(err, joblog.ErrDeposed):
		d.Log.Emit(event.ShardLost, "shard", s.name, "epoch", s.epoch, "error", err)
		d.handleDeposed(s, errors.Is(err, provider.ErrOutcomeUnknown))
	case errors.Is(err, provider.ErrUnavailable) && !retrying:
		d.handleNotWritten(s, err)
	default:
		d.Log.Emit(event.JournalFailed, "shard", s.name, "epoch", s.epoch, "error", err)
		s.nextCommit = now.Add(retryDelay)
	}
}

// handleDeposed answers all callers and drops the shard after another process
// took it over. The new owner's row has the number that the batch would have had,
// so nothing was accepted. If unknown is set, the batch in flight may have been
// written before that, and its callers get an unknown outcome.
func (d *Dispatcher) handleDeposed(s *shard, unknown bool) {
	if unknown {
		for _, p := range s.inFlight {
			sendReply(p, Outcome{Refusal: newRefusal(wire.Outcome_OUTCOME_UNKNOWN, "the job shard has changed its owner; ask again with the same idempotency key", retryDelay)})
		}
		s.inFlight = nil
	}
	for _, p := range append(s.inFlight, s.pending...) {
		sendReply(p, Outcome{Refusal: newRefusal(wire.Outcome_OUTCOME_NOT_RUN, "the job shard has another owner", retryDelay)})
	}
	s.inFlight, s.pending = nil, nil
	d.RemoveShard(s.name)
}

// handleNotWritten handles a batch that was certainly not written: it refuses
// submissions and cancellations and keeps all other entries for the next commit.
func (d *Dispatcher) handleNotWritten(s *shard, err error) {
	d.Log.Emit(event.JournalFailed, "shard", s.name, "epoch", s.epoch, "error", err)
	var kept []pendingEntry
	var refused []string
	for _, p := range s.inFlight {
		if p.reply == nil {
			kept = append(kept, p)
			continue
		}
		sendReply(p, Outcome{Refusal: newRefusal(wire.Outcome_OUTCOME_NOT_RUN, "the platform does not take writes now", 5*retryDelay)})
		if p.entry.Kind == job.EntryCancel {
			refused = append(refused, p.entry.Job)
		}
	}
	s.inFlight, s.pending = nil, append(kept, s.pending...)
	s.nextCommit = time.Now().Add(retryDelay)
	for _, id := range refused {
		d.requeueAfterFailedCancel(s, id)
	}
}

// answerTakenKeys answers the submissions whose idempotency keys belong to other
// jobs. Nothing of the batch was written; its other entries go into the next
// commit.
func (d *Dispatcher) answerTakenKeys(s *shard, taken *joblog.ErrKeyTaken) {
	var kept []pendingEntry
	for _, p := range s.inFlight {
		if first, ok := taken.Jobs[p.entry.Job]; ok && p.entry.Kind == job.EntryAccept {
			sendReply(p, existingOutcome(first.ID, first.Digest, p.entry.Spec))
			continue
		}
		kept = append(kept, p)
	}
	s.inFlight, s.pending = nil, append(kept, s.pending...)
}

// applyDurable applies an entry that has become durable and answers its callers.
func (d *Dispatcher) applyDurable(s *shard, p pendingEntry, now time.Time) {
	e := p.entry
	switch e.Kind {
	case job.EntryAccept:
		s.state.Apply(e)
		j, _ := s.state.Job(e.Job)
		for i := range j.Tasks() {
			d.Queue.Push(d.queueItem(j, i, now))
		}
		d.Log.Emit(event.JobAccepted, "job", e.Job, "organisation", j.Spec.Organisation, "tasks", len(j.Tasks()))
		sendReply(p, Outcome{Job: e.Job})
	case job.EntryCancel:
		d.applyCancel(s, e)
		sendReply(p, Outcome{Job: e.Job})
	case job.EntryRegrant:
		s.state.Apply(e)
		if j, ok := s.state.Job(e.Job); ok {
			for _, i := range e.RegrantedTasks(j) {
				d.Queue.Push(d.queueItem(j, i, now))
			}
		}
	case job.EntryIntent:
		s.state.Apply(e)
		d.enqueuePlacement(s, p.ref, now)
	case job.EntryForget:
		s.state.Apply(e)
	default:
		d.applyEnd(s, p, now)
	}
	if j, ok := s.state.Job(e.Job); ok && j.OpenTasks() == 0 {
		if _, noted := s.finishedAt[j.ID]; !noted {
			s.finishedAt[j.ID] = now
			d.Log.Emit(event.JobFinished, "job", j.ID, "done", j.CountInState(job.Done), "tasks", len(j.Tasks()))
		}
	}
}

// findJob returns the job with the given identifier and its shard, or nil if the
// job is unknown.
func (d *Dispatcher) findJob(id string) (*shard, *job.Job) {
	_, name, err := job.SplitID(id)
	if err != nil {
		return nil, nil
	}
	s, ok := d.shards[name]
	if !ok || s.state == nil {
		return nil, nil
	}
	j, ok := s.state.Job(id)
	if !ok {
		return nil, nil
	}
	return s, j
}

// compactIfDue replaces the journal by a snapshot if it has grown too long.
func (d *Dispatcher) compactIfDue(s *shard) {
	if s.store.JournalRows() < compactionThreshold {
		return
	}
	snapshot, err := s.state.Snapshot()
	if err != nil {
		d.Log.Emit(event.JournalFailed, "shard", s.name, "error", err)
		return
	}
	number := s.store.NextRow()
	s.committing = true // prevents commits, since the store is not safe for concurrent use
	d.spawn(func() {
		ctx, cancel := context.WithTimeout(d.ctx, 4*commitTimeout)
		defer cancel()
		err := s.store.Compact(ctx, snapshot, number)
		d.Loop.Post(func() {
			if err != nil {
				d.Log.Emit(event.JournalFailed, "shard", s.name, "epoch", s.epoch, "error", err)
			}
			s.committing = false
		})
	})
}
