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

// Outcome is the answer to a submission: a job, or a refusal.
type Outcome struct {
	Job string
	// Existing is set when the idempotency key had been used before.
	Existing bool
	// Different is set when the idempotency key belongs to a job with another
	// specification, named by Job; nothing was accepted.
	Different bool
	Refusal   *wire.Refusal
}

// existing answers a submission whose idempotency key belongs to a job.
func existing(id, digest string, spec *job.Spec) Outcome {
	if digest != spec.Digest() {
		return Outcome{Job: id, Different: true}
	}
	return Outcome{Job: id, Existing: true}
}

func refusal(o wire.Outcome, reason string, retry time.Duration) *wire.Refusal {
	return &wire.Refusal{Outcome: o, Reason: reason, RetryAfterMs: uint64(retry.Milliseconds())}
}

func answer(p pendingEntry, o Outcome) {
	if p.done != nil {
		p.done <- o
	}
	for _, done := range p.others {
		again := o
		again.Existing = o.Refusal == nil && !o.Different
		done <- again
	}
}

// join lets a submission share the outcome of an earlier one under the same
// idempotency key that is not durable yet. It reports whether there is one.
// Two of them in one commit would take one row twice, which no platform does.
func (s *shard) join(spec *job.Spec, done chan<- Outcome) bool {
	for _, list := range [][]pendingEntry{s.frozen, s.pending} {
		for i := range list {
			p := &list[i]
			if first := p.entry.Spec; first != nil && first.Key == spec.Key && first.Organisation == spec.Organisation {
				if first.Digest() != spec.Digest() {
					done <- Outcome{Job: p.entry.Job, Different: true}
					return true
				}
				p.others = append(p.others, done)
				return true
			}
		}
	}
	return false
}

// Submit accepts a job into a job shard that this process owns and returns
// once the job is durable or refused. It is called on traffic goroutines.
func (d *Desk) Submit(ctx context.Context, shardName string, spec job.Spec) Outcome {
	done := make(chan Outcome, 1)
	err := d.Loop.Do(ctx, func() { d.submit(shardName, spec, done) })
	if err != nil {
		return Outcome{Refusal: refusal(wire.Outcome_OUTCOME_NOT_RUN, "the process is busy or stopping: "+err.Error(), retryPause)}
	}
	select {
	case o := <-done:
		return o
	case <-ctx.Done():
		return Outcome{Refusal: refusal(wire.Outcome_OUTCOME_UNKNOWN, "the platform has not answered; ask again with the same idempotency key", retryPause)}
	}
}

func (d *Desk) submit(shardName string, spec job.Spec, done chan<- Outcome) {
	s, ok := d.shards[shardName]
	if !ok || s.book == nil || d.closed || !d.Valid(time.Now()) {
		done <- Outcome{Refusal: refusal(wire.Outcome_OUTCOME_NOT_RUN, "job shard "+shardName+" is changing its owner", retryPause)}
		return
	}
	if spec.Key != "" {
		if j, ok := s.book.ByKey(spec.Organisation, spec.Key); ok {
			done <- existing(j.ID, j.Spec.Digest(), &spec)
			return
		}
		if s.join(&spec, done) {
			return
		}
	}
	id := job.NewID(d.DataCentre, shardName, uuid.NewString())
	s.pending = append(s.pending, pendingEntry{entry: job.Accept(id, spec, time.Now()), done: done})
	d.commitDue(s, time.Now())
}

// commitDue starts a group commit when there is something to write.
func (d *Desk) commitDue(s *shard, now time.Time) {
	if s.committing || now.Before(s.nextCommit) || len(s.frozen)+len(s.pending) == 0 {
		return
	}
	resolving := len(s.frozen) > 0
	if !d.pace.take(d.commitRate(), resolving || s.awaited(), now) {
		return
	}
	if !resolving {
		s.frozen, s.pending = s.pending, nil
	}
	entries := make([]job.Entry, len(s.frozen))
	for i, p := range s.frozen {
		entries[i] = p.entry
	}
	s.committing = true
	d.spawn(func() {
		ctx, cancel := context.WithTimeout(d.ctx, commitTimeout)
		defer cancel()
		err := s.store.Append(ctx, entries)
		d.Loop.Post(func() { d.committed(s, entries, resolving, err) })
	})
}

// committed takes in the result of a group commit.
func (d *Desk) committed(s *shard, entries []job.Entry, resolving bool, err error) {
	if !d.current(s) {
		return
	}
	now := time.Now()
	s.committing, s.nextCommit = false, now.Add(commitInterval)
	var taken *joblog.ErrKeyTaken
	switch {
	case err == nil:
		batch := s.frozen
		s.frozen = nil
		for i, p := range batch {
			p.entry = entries[i] // with the name of the object that holds the spec
			d.apply(s, p, now)
		}
		d.compactDue(s)
	case errors.As(err, &taken):
		d.dropTaken(s, taken)
	case errors.Is(err, joblog.ErrDeposed):
		d.Log.Emit(event.ShardLost, "shard", s.name, "epoch", s.epoch, "error", err)
		d.deposed(s, errors.Is(err, provider.ErrUnknown))
	case errors.Is(err, provider.ErrUnavailable) && !resolving:
		d.unwritten(s, err)
	default:
		d.Log.Emit(event.JournalFailed, "shard", s.name, "epoch", s.epoch, "error", err)
		s.nextCommit = now.Add(retryPause)
	}
}

// deposed answers submissions truthfully: another owner's row stands where
// theirs would have been, so they were not accepted, unless it cannot be told
// whether the last batch was written.
func (d *Desk) deposed(s *shard, unknown bool) {
	if unknown {
		for _, p := range s.frozen {
			answer(p, Outcome{Refusal: refusal(wire.Outcome_OUTCOME_UNKNOWN, "the job shard has changed its owner; ask again with the same idempotency key", retryPause)})
		}
		s.frozen = nil
	}
	for _, p := range append(s.frozen, s.pending...) {
		answer(p, Outcome{Refusal: refusal(wire.Outcome_OUTCOME_NOT_RUN, "the job shard has another owner", retryPause)})
	}
	s.frozen, s.pending = nil, nil
	d.Drop(s.name)
}

// unwritten keeps what must be written and refuses submissions, of which
// nothing was written.
func (d *Desk) unwritten(s *shard, err error) {
	d.Log.Emit(event.JournalFailed, "shard", s.name, "epoch", s.epoch, "error", err)
	var kept []pendingEntry
	var refused []string
	for _, p := range s.frozen {
		if p.done == nil {
			kept = append(kept, p)
			continue
		}
		answer(p, Outcome{Refusal: refusal(wire.Outcome_OUTCOME_NOT_RUN, "the platform does not take writes now", 5*retryPause)})
		if p.entry.Kind == job.EntryCancel {
			refused = append(refused, p.entry.Job)
		}
	}
	s.frozen, s.pending = nil, append(kept, s.pending...)
	s.nextCommit = time.Now().Add(retryPause)
	for _, id := range refused {
		d.cancelRefused(s, id)
	}
}

// dropTaken answers submissions whose idempotency key belongs to another job;
// nothing of the batch was written.
func (d *Desk) dropTaken(s *shard, taken *joblog.ErrKeyTaken) {
	var kept []pendingEntry
	for _, p := range s.frozen {
		if first, ok := taken.Jobs[p.entry.Job]; ok && p.entry.Kind == job.EntryAccept {
			answer(p, existing(first.ID, first.Digest, p.entry.Spec))
			continue
		}
		kept = append(kept, p)
	}
	s.frozen, s.pending = nil, append(kept, s.pending...)
}

// apply makes a durable entry take effect.
func (d *Desk) apply(s *shard, p pendingEntry, now time.Time) {
	e := p.entry
	switch e.Kind {
	case job.EntryAccept:
		s.book.Apply(e)
		j, _ := s.book.Job(e.Job)
		for i := range j.Tasks() {
			d.Queue.Push(d.item(j, i, now))
		}
		d.Log.Emit(event.JobAccepted, "job", e.Job, "organisation", j.Spec.Organisation, "tasks", len(j.Tasks()))
		answer(p, Outcome{Job: e.Job})
	case job.EntryCancel:
		d.applyCancel(s, e)
		answer(p, Outcome{Job: e.Job})
	case job.EntryRegrant:
		s.book.Apply(e)
		if j, ok := s.book.Job(e.Job); ok {
			for _, i := range e.Others(j) {
				d.Queue.Push(d.item(j, i, now))
			}
		}
	case job.EntryIntent:
		s.book.Apply(e)
		d.send(s, p.ref, now)
	case job.EntryForget:
		s.book.Apply(e)
	default:
		d.applyEnd(s, p, now)
	}
	if j, ok := s.book.Job(e.Job); ok && j.Open() == 0 {
		if _, noted := s.finished[j.ID]; !noted {
			s.finished[j.ID] = now
			d.Log.Emit(event.JobFinished, "job", j.ID, "done", j.Count(job.Done), "tasks", len(j.Tasks()))
		}
	}
}

// lookup returns the shard and the job, nil if the job is not here.
func (d *Desk) lookup(id string) (*shard, *job.Job) {
	_, name, err := job.SplitID(id)
	if err != nil {
		return nil, nil
	}
	s, ok := d.shards[name]
	if !ok || s.book == nil {
		return nil, nil
	}
	j, ok := s.book.Job(id)
	if !ok {
		return nil, nil
	}
	return s, j
}

// compactDue replaces a long journal by a snapshot.
func (d *Desk) compactDue(s *shard) {
	if s.store.Rows() < compactRows {
		return
	}
	image, err := s.book.Image()
	if err != nil {
		d.Log.Emit(event.JournalFailed, "shard", s.name, "error", err)
		return
	}
	number := s.store.Next()
	s.committing = true // the store is used by one goroutine at a time
	d.spawn(func() {
		ctx, cancel := context.WithTimeout(d.ctx, 4*commitTimeout)
		defer cancel()
		err := s.store.Compact(ctx, image, number)
		d.Loop.Post(func() {
			if err != nil {
				d.Log.Emit(event.JournalFailed, "shard", s.name, "epoch", s.epoch, "error", err)
			}
			s.committing = false
		})
	})
}
