package dispatch

import (
	"context"
	"errors"
	"time"

	"persimmonworks.example/persimmonworks/directory"
	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/job"
	"persimmonworks.example/persimmonworks/rack"
	"persimmonworks.example/persimmonworks/relay"
	"persimmonworks.example/persimmonworks/wire"
	"persimmonworks.example/persimmonworks/worker"
)

// syncDue starts the messages to the owners of racks that are due.
func (d *Desk) syncDue(s *shard, now time.Time) {
	owners := map[string]bool{}
	for name, o := range d.Racks.Owners() {
		if o.Process == "" {
			continue
		}
		owners[o.Process] = true
		if s.owners[name] != o {
			s.owners[name] = o
			s.link(o.Process).inventory = true
		}
	}
	for process := range owners {
		l := s.link(process)
		if l.busy || now.Before(l.next) && (len(l.placements)+len(l.stops)+len(l.acks) == 0 || l.next.Sub(now) > pollInterval) {
			continue
		}
		if len(s.sent)+len(s.unresolved)+len(l.placements)+len(l.acks) == 0 && s.covered == nil {
			continue
		}
		d.sync(s, process, l)
	}
	for process, l := range s.links {
		if !owners[process] && !l.busy {
			d.abandon(s, process, l, now)
		}
	}
}

// abandon drops the link to a process that owns no rack any more. Placements
// that were never sent are queued again; everything else is found again in the
// inventory of the racks' new owners.
func (d *Desk) abandon(s *shard, process string, l *link, now time.Time) {
	delete(s.links, process)
	for _, p := range l.placements {
		d.unsend(s, worker.Ref{Task: p.Task, Attempt: p.Attempt}, now)
	}
	for other := range s.links {
		s.links[other].inventory = true
	}
}

// maxPerSync bounds each list of one message.
const maxPerSync = 1000

func cut[T any](list *[]T) []T {
	n := min(len(*list), maxPerSync)
	head := (*list)[:n:n]
	*list = (*list)[n:]
	return head
}

// sync sends what is due to the owner of some racks.
func (d *Desk) sync(s *shard, process string, l *link) {
	m := &wire.TaskSync{
		JobShard: d.qualified(s), JobEpoch: s.epoch, Inventory: l.inventory,
		Placements: cut(&l.placements), Stops: cut(&l.stops), Acknowledged: cut(&l.acks),
	}
	s.sequence++
	m.Sequence = s.sequence
	for _, p := range m.Placements {
		if x, ok := s.sent[worker.Ref{Task: p.Task, Attempt: p.Attempt}]; ok {
			x.sequence = m.Sequence
		}
	}
	l.busy, l.inventory = true, false
	d.spawn(func() {
		ctx, cancel := context.WithTimeout(d.ctx, syncTimeout)
		defer cancel()
		var report *wire.TaskReport
		var refused *wire.Refusal
		err := error(relay.ErrNotSent)
		if d.Valid(time.Now()) {
			report, refused, err = d.Racks.Sync(ctx, process, m)
		}
		d.Loop.Post(func() { d.synced(s, process, l, m, report, refused, err) })
	})
}

// synced takes in the answer to a message.
func (d *Desk) synced(s *shard, process string, l *link, m *wire.TaskSync, report *wire.TaskReport, refused *wire.Refusal, err error) {
	if !d.current(s) {
		return
	}
	now := time.Now()
	if len(m.Placements)+len(report.GetAttempts()) > 0 {
		l.lively = now
	}
	l.busy, l.next = false, now.Add(l.interval(now))
	switch {
	case refused != nil || errors.Is(err, relay.ErrNotSent):
		d.notSent(s, l, m, now)
	case err != nil:
		d.uncertain(s, l, m)
	default:
		d.report(s, process, m, report, now)
		if len(report.GetAttempts()) > 0 {
			d.refill(now)
		}
		return
	}
	l.next, l.inventory = now.Add(retryPause), true
	l.acks = append(l.acks, m.Acknowledged...)
}

func (d *Desk) notSent(s *shard, l *link, m *wire.TaskSync, now time.Time) {
	for _, p := range m.Placements {
		ref := worker.Ref{Task: p.Task, Attempt: p.Attempt}
		if x, ok := s.sent[ref]; ok && !x.uncertain {
			d.unsend(s, ref, now)
		}
	}
	l.stops = append(l.stops, m.Stops...)
}

// uncertain notes placements that may have arrived. They stay where they are
// until the rack's complete inventory tells.
func (d *Desk) uncertain(s *shard, l *link, m *wire.TaskSync) {
	for _, p := range m.Placements {
		if x, ok := s.sent[worker.Ref{Task: p.Task, Attempt: p.Attempt}]; ok {
			x.uncertain = true
		}
	}
	l.stops = append(l.stops, m.Stops...)
}

// report takes in what the owner of some racks told.
func (d *Desk) report(s *shard, process string, m *wire.TaskSync, r *wire.TaskReport, now time.Time) {
	d.advertised(r)
	listed := make(map[worker.Ref]bool, len(r.Attempts))
	for _, a := range r.Attempts {
		ref := worker.Ref{Task: a.Task, Attempt: a.Attempt}
		if !(a.State == wire.AttemptState_ATTEMPT_STATE_REFUSED && a.Worker == "") {
			listed[ref] = true
		}
		d.attempt(s, process, ref, a, now)
	}
	if !m.Inventory {
		return
	}
	again := false
	for _, e := range r.Shards {
		if !e.Complete {
			again = true
			continue
		}
		if s.covered != nil {
			s.covered[e.Shard] = true
		}
		d.missing(s, e.Shard, m.Sequence, listed)
	}
	if again {
		s.link(process).inventory = true
	}
	d.resolve(s)
}

// advertised takes in what is free on the racks of a process now.
func (d *Desk) advertised(r *wire.TaskReport) {
	for _, e := range r.Shards {
		if e.Largest == nil {
			continue
		}
		d.Directory.Update(directory.Summary{
			Shard: e.Shard, Rack: e.Shard, DataCentre: d.DataCentre,
			Largest: rack.VectorOf(e.Largest), Long: rack.VectorOf(e.LargestLong), Free: rack.VectorOf(e.Free),
		})
	}
}

// missing ends attempts that a rack's complete inventory lacks although the
// message that carried them came before the question.
func (d *Desk) missing(s *shard, rackName string, asked uint64, listed map[worker.Ref]bool) {
	for ref, x := range s.sent {
		if x.rack != rackName || x.sequence == 0 || x.sequence >= asked || listed[ref] || s.ending[ref] {
			continue
		}
		d.Log.Emit(event.AttemptLost, "task", ref.Task, "attempt", ref.Attempt, "rack", rackName)
		d.endAttempt(s, ref, job.End{Outcome: job.Unknown, MayHaveRun: true, Reason: "lost with its worker on " + rackName}, "")
	}
}

// resolve queues the tasks of earlier epochs once every rack of the data
// centre has shown its complete inventory: what is on no rack does not run.
func (d *Desk) resolve(s *shard) {
	if s.covered == nil {
		return
	}
	owners := d.Racks.Owners()
	if len(owners) == 0 && len(s.unresolved) > 0 {
		return // the list of racks is not known yet
	}
	for name := range owners {
		if !s.covered[name] {
			return
		}
	}
	s.covered = nil
	now := time.Now()
	regrant := map[string]bool{}
	for task := range s.unresolved {
		j, t := d.unresolvedTask(s, task)
		if j == nil {
			continue
		}
		ref := worker.Ref{Task: task, Attempt: t.Attempt}
		switch {
		case t.CancelAsked:
			d.endAttempt(s, ref, job.End{Outcome: job.Cancelled, Reason: "cancelled"}, "")
		case j.Spec.NonIdempotent && t.Intended:
			d.endAttempt(s, ref, job.End{Outcome: job.Unknown, MayHaveRun: true, Reason: "was being sent when the job's owner was lost"}, "")
		case j.Spec.NonIdempotent: // without an intent it was never sent
			d.Queue.Push(d.item(j, t.Index, now))
		default:
			regrant[j.ID] = true
		}
	}
	for id := range regrant {
		d.regrant(s, id)
	}
	clear(s.unresolved)
}

// regrant grants the next attempt of a job's tasks that were not found. Their
// granted attempt may have run and ended with its host, unrecorded, so that
// its number must not be used again.
func (d *Desk) regrant(s *shard, id string) {
	j, _ := s.book.Job(id)
	e := job.Entry{Kind: job.EntryRegrant, Job: id}
	for _, t := range j.Tasks() {
		if !t.State.Final() && (!s.unresolved[job.TaskID(id, t.Index)] || t.CancelAsked) {
			e.Open = append(e.Open, t.Index)
		}
	}
	s.pending = append(s.pending, pendingEntry{entry: e})
}

func (d *Desk) unresolvedTask(s *shard, task string) (*job.Job, *job.Task) {
	id, index, err := job.SplitTaskID(task)
	if err != nil {
		return nil, nil
	}
	j, ok := s.book.Job(id)
	if !ok || j.Tasks()[index].State != job.Waiting {
		return nil, nil
	}
	return j, &j.Tasks()[index]
}

// attempt takes in what is known of one attempt.
func (d *Desk) attempt(s *shard, process string, ref worker.Ref, a *wire.Attempt, now time.Time) {
	d.rediscover(s, ref, a, now)
	x := s.sent[ref]
	switch a.State {
	case wire.AttemptState_ATTEMPT_STATE_STARTING:
		return
	case wire.AttemptState_ATTEMPT_STATE_RUNNING:
		if err := s.book.MarkRunning(ref.Task, ref.Attempt, a.Worker); err == nil && x != nil && !x.stopping {
			if _, t := d.taskOf(ref); t != nil && t.CancelAsked {
				x.stopping = true
				l := s.link(process)
				l.stops = append(l.stops, &wire.AttemptRef{Task: ref.Task, Attempt: ref.Attempt})
			}
		}
		return
	case wire.AttemptState_ATTEMPT_STATE_REFUSED:
		if a.Worker == "" {
			d.refused(s, ref, now)
			return
		}
	}
	if j, t := d.taskOf(ref); j != nil && d.Ended != nil && !s.ending[ref] {
		d.Ended(j, t, a)
	}
	d.endAttempt(s, ref, endOf(a), process)
}

// refused takes back a placement that its rack had no room for.
func (d *Desk) refused(s *shard, ref worker.Ref, now time.Time) {
	x, ok := s.sent[ref]
	if !ok || x.uncertain {
		return
	}
	d.Directory.Refused(x.rack, wanted(x.item))
	d.unsend(s, ref, now)
}

// rediscover notes that an attempt of an earlier epoch of the job shard is on
// a rack.
func (d *Desk) rediscover(s *shard, ref worker.Ref, a *wire.Attempt, now time.Time) {
	if !s.unresolved[ref.Task] || a.Shard == "" || a.Worker == "" {
		return
	}
	j, t := d.taskOf(ref)
	if j == nil {
		return
	}
	delete(s.unresolved, ref.Task)
	if err := s.book.MarkSent(ref.Task, ref.Attempt, a.Shard); err != nil {
		return
	}
	i := d.item(j, t.Index, now)
	d.Queue.Started(i, now)
	s.sent[ref] = &sending{item: i, rack: a.Shard, sequence: 1}
}

func endOf(a *wire.Attempt) job.End {
	end := job.End{
		Worker: a.Worker, Reason: a.Reason, Result: a.Result, Checkpoint: a.Checkpoint,
		Ran: time.Duration(a.RanMs) * time.Millisecond, MayHaveRun: true,
	}
	switch a.State {
	case wire.AttemptState_ATTEMPT_STATE_DONE:
		end.Outcome = job.Done
	case wire.AttemptState_ATTEMPT_STATE_FAILED:
		end.Outcome = job.Failed
	case wire.AttemptState_ATTEMPT_STATE_REFUSED:
		end.Outcome, end.MayHaveRun = job.Waiting, false
	case wire.AttemptState_ATTEMPT_STATE_STOPPED:
		end.Outcome = job.Waiting
	default:
		end.Outcome = job.Unknown
	}
	return end
}
