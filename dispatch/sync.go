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

// syncIfDue sends messages to all rack owners that are due for one, and drops the
// links to processes that own no rack any more.
func (d *Dispatcher) syncIfDue(s *shard, now time.Time) {
	owners := map[string]bool{}
	for name, o := range d.Racks.Owners() {
		if o.Process == "" {
			continue
		}
		owners[o.Process] = true
		if s.inventoryOwners[name] != o {
			s.inventoryOwners[name] = o
			s.linkTo(o.Process).needsInventory = true
		}
	}
	for process := range owners {
		l := s.linkTo(process)
		if l.syncing || now.Before(l.nextSync) && (len(l.placements)+len(l.stops)+len(l.acks) == 0 || l.nextSync.Sub(now) > idleSyncInterval) {
			continue
		}
		if len(s.sent)+len(s.unresolved)+len(l.placements)+len(l.acks) == 0 && s.inventoried == nil {
			continue
		}
		d.startSync(s, process, l)
	}
	for process, l := range s.links {
		if !owners[process] && !l.syncing {
			d.dropLink(s, process, l, now)
		}
	}
}

// dropLink drops the link to a process that owns no rack any more. Placements
// that were never sent are queued again. Attempts that were sent will be found in
// the inventories of the new rack owners.
func (d *Dispatcher) dropLink(s *shard, process string, l *ownerLink, now time.Time) {
	delete(s.links, process)
	for _, p := range l.placements {
		d.requeueUnsent(s, worker.Ref{Task: p.Task, Attempt: p.Attempt}, now)
	}
	for other := range s.links {
		s.links[other].needsInventory = true
	}
}

// maxSyncItems is the maximum length of each list in one message.
const maxSyncItems = 1000

// takeFront removes and returns at most maxSyncItems elements from the front of
// list.
func takeFront[T any](list *[]T) []T {
	n := min(len(*list), maxSyncItems)
	head := (*list)[:n:n]
	*list = (*list)[n:]
	return head
}

// startSync sends the queued placements, stops and acknowledgements to a rack
// owner.
func (d *Dispatcher) startSync(s *shard, process string, l *ownerLink) {
	m := &wire.TaskSync{
		JobShard: d.qualifiedName(s), JobEpoch: s.epoch, Inventory: l.needsInventory,
		Placements: takeFront(&l.placements), Stops: takeFront(&l.stops), Acknowledged: takeFront(&l.acks),
	}
	s.lastSequence++
	m.Sequence = s.lastSequence
	for _, p := range m.Placements {
		if sent, ok := s.sent[worker.Ref{Task: p.Task, Attempt: p.Attempt}]; ok {
			sent.sequence = m.Sequence
		}
	}
	l.syncing, l.needsInventory = true, false
	d.spawn(func() {
		ctx, cancel := context.WithTimeout(d.ctx, syncTimeout)
		defer cancel()
		var report *wire.TaskReport
		var refused *wire.Refusal
		err := error(relay.ErrNotSent)
		if d.Valid(time.Now()) {
			report, refused, err = d.Racks.Sync(ctx, process, m)
		}
		d.Loop.Post(func() { d.handleSyncResult(s, process, l, m, report, refused, err) })
	})
}

// handleSyncResult handles the answer to message m, or its failure.
func (d *Dispatcher) handleSyncResult(s *shard, process string, l *ownerLink, m *wire.TaskSync, report *wire.TaskReport, refused *wire.Refusal, err error) {
	if !d.isCurrent(s) {
		return
	}
	now := time.Now()
	if len(m.Placements)+len(report.GetAttempts()) > 0 {
		l.lastActivity = now
	}
	l.syncing, l.nextSync = false, now.Add(l.syncInterval(now))
	switch {
	case refused != nil || errors.Is(err, relay.ErrNotSent):
		d.handleNotSent(s, l, m, now)
	case err != nil:
		d.markUncertain(s, l, m)
	default:
		d.handleReport(s, process, m, report, now)
		if len(report.GetAttempts()) > 0 {
			d.placeAndSync(now)
		}
		return
	}
	l.nextSync, l.needsInventory = now.Add(retryDelay), true
	l.acks = append(l.acks, m.Acknowledged...)
}

// handleNotSent handles a message that was refused or did not arrive. Its
// placements are queued again, unless they are marked as uncertain; its stops are
// sent again.
func (d *Dispatcher) handleNotSent(s *shard, l *ownerLink, m *wire.TaskSync, now time.Time) {
	for _, p := range m.Placements {
		ref := worker.Ref{Task: p.Task, Attempt: p.Attempt}
		if sent, ok := s.sent[ref]; ok && !sent.uncertain {
			d.requeueUnsent(s, ref, now)
		}
	}
	l.stops = append(l.stops, m.Stops...)
}

// markUncertain handles a message that may have arrived. Its placements stay
// assigned until a complete inventory shows whether the rack has them; its stops
// are sent again.
func (d *Dispatcher) markUncertain(s *shard, l *ownerLink, m *wire.TaskSync) {
	for _, p := range m.Placements {
		if sent, ok := s.sent[worker.Ref{Task: p.Task, Attempt: p.Attempt}]; ok {
			sent.uncertain = true
		}
	}
	l.stops = append(l.stops, m.Stops...)
}

// handleReport handles the report of a rack owner in answer to message m.
func (d *Dispatcher) handleReport(s *shard, process string, m *wire.TaskSync, r *wire.TaskReport, now time.Time) {
	d.updateDirectory(r)
	listed := make(map[worker.Ref]bool, len(r.Attempts))
	for _, a := range r.Attempts {
		ref := worker.Ref{Task: a.Task, Attempt: a.Attempt}
		if !(a.State == wire.AttemptState_ATTEMPT_STATE_REFUSED && a.Worker == "") {
			listed[ref] = true
		}
		d.handleAttempt(s, process, ref, a, now)
	}
	if !m.Inventory {
		return
	}
	incomplete := false
	for _, e := range r.Shards {
		if !e.Complete {
			incomplete = true
			continue
		}
		if s.inventoried != nil {
			s.inventoried[e.Shard] = true
		}
		d.endMissing(s, e.Shard, m.Sequence, listed)
	}
	if incomplete {
		s.linkTo(process).needsInventory = true
	}
	d.resolveTasks(s)
}

// updateDirectory updates the directory with the free capacity in a report.
func (d *Dispatcher) updateDirectory(r *wire.TaskReport) {
	for _, e := range r.Shards {
		if e.Largest == nil {
			continue
		}
		d.Directory.Update(directory.Summary{
			Shard: e.Shard, Rack: e.Shard, DataCentre: d.DataCentre,
			Largest: rack.VectorFromWire(e.Largest), LargestLong: rack.VectorFromWire(e.LargestLong), Free: rack.VectorFromWire(e.Free),
		})
	}
}

// endMissing records attempts as lost that are missing from the complete
// inventory of a rack. Attempts that were sent with or after the request for the
// inventory are left alone, since the inventory need not contain them.
func (d *Dispatcher) endMissing(s *shard, rackName string, inventorySequence uint64, listed map[worker.Ref]bool) {
	for ref, sent := range s.sent {
		if sent.rack != rackName || sent.sequence == 0 || sent.sequence >= inventorySequence || listed[ref] || s.pendingEnds[ref] {
			continue
		}
		d.Log.Emit(event.AttemptLost, "task", ref.Task, "attempt", ref.Attempt, "rack", rackName)
		d.recordEnd(s, ref, job.AttemptEnd{Outcome: job.Unknown, MayHaveRun: true, Reason: "lost with its worker on " + rackName}, "")
	}
}

// resolveTasks decides on the unresolved tasks once every rack of the data centre
// has reported a complete inventory: a task that is on no rack does not run, so
// it can end or be queued again.
func (d *Dispatcher) resolveTasks(s *shard) {
	if s.inventoried == nil {
		return
	}
	owners := d.Racks.Owners()
	if len(owners) == 0 && len(s.unresolved) > 0 {
		return // the list of racks is not known yet
	}
	for name := range owners {
		if !s.inventoried[name] {
			return
		}
	}
	s.inventoried = nil
	now := time.Now()
	regrant := map[string]bool{}
	for task := range s.unresolved {
		j, t := d.unresolvedTask(s, task)
		if j == nil {
			continue
		}
		ref := worker.Ref{Task: task, Attempt: t.Attempt}
		switch {
		case t.CancelRequested:
			d.recordEnd(s, ref, job.AttemptEnd{Outcome: job.Cancelled, Reason: "cancelled"}, "")
		case j.Spec.NonIdempotent && t.IntentRecorded:
			d.recordEnd(s, ref, job.AttemptEnd{Outcome: job.Unknown, MayHaveRun: true, Reason: "was being sent when the job's owner was lost"}, "")
		case j.Spec.NonIdempotent: // never sent, since no intent is recorded
			d.Queue.Push(d.queueItem(j, t.Index, now))
		default:
			regrant[j.ID] = true
		}
	}
	for id := range regrant {
		d.regrantTasks(s, id)
	}
	clear(s.unresolved)
}

// regrantTasks grants the next attempt of those tasks of a job that were found on
// no rack. Their granted attempt may have run and been lost along with its host
// before its end was recorded, so its number must not be used again.
func (d *Dispatcher) regrantTasks(s *shard, id string) {
	j, _ := s.state.Job(id)
	e := job.Entry{Kind: job.EntryRegrant, Job: id}
	for _, t := range j.Tasks() {
		if !t.State.Final() && (!s.unresolved[job.TaskID(id, t.Index)] || t.CancelRequested) {
			e.MayBeRunning = append(e.MayBeRunning, t.Index)
		}
	}
	s.pending = append(s.pending, pendingEntry{entry: e})
}

// unresolvedTask returns the job and the task with the given identifier, or nil
// if the task is not waiting any more.
func (d *Dispatcher) unresolvedTask(s *shard, task string) (*job.Job, *job.Task) {
	id, index, err := job.SplitTaskID(task)
	if err != nil {
		return nil, nil
	}
	j, ok := s.state.Job(id)
	if !ok || j.Tasks()[index].State != job.Waiting {
		return nil, nil
	}
	return j, &j.Tasks()[index]
}

// handleAttempt handles the reported state of one attempt.
func (d *Dispatcher) handleAttempt(s *shard, process string, ref worker.Ref, a *wire.Attempt, now time.Time) {
	d.adoptAttempt(s, ref, a, now)
	sent := s.sent[ref]
	switch a.State {
	case wire.AttemptState_ATTEMPT_STATE_STARTING:
		return
	case wire.AttemptState_ATTEMPT_STATE_RUNNING:
		if err := s.state.MarkRunning(ref.Task, ref.Attempt, a.Worker); err == nil && sent != nil && !sent.stopping {
			if _, t := d.grantedTask(ref); t != nil && t.CancelRequested {
				sent.stopping = true
				l := s.linkTo(process)
				l.stops = append(l.stops, &wire.AttemptRef{Task: ref.Task, Attempt: ref.Attempt})
			}
		}
		return
	case wire.AttemptState_ATTEMPT_STATE_REFUSED:
		if a.Worker == "" {
			d.handleRefused(s, ref, now)
			return
		}
	}
	if j, t := d.grantedTask(ref); j != nil && d.OnAttemptEnded != nil && !s.pendingEnds[ref] {
		d.OnAttemptEnded(j, t, a)
	}
	d.recordEnd(s, ref, endFromWire(a), process)
}

// handleRefused handles a placement that the rack refused for lack of capacity:
// the task is queued again.
func (d *Dispatcher) handleRefused(s *shard, ref worker.Ref, now time.Time) {
	sent, ok := s.sent[ref]
	if !ok || sent.uncertain {
		return
	}
	d.Directory.RecordRefusal(sent.rack, placementTask(sent.item))
	d.requeueUnsent(s, ref, now)
}

// adoptAttempt marks an attempt as sent that an earlier owner of the job shard
// had sent and that a rack reports now.
func (d *Dispatcher) adoptAttempt(s *shard, ref worker.Ref, a *wire.Attempt, now time.Time) {
	if !s.unresolved[ref.Task] || a.Shard == "" || a.Worker == "" {
		return
	}
	j, t := d.grantedTask(ref)
	if j == nil {
		return
	}
	delete(s.unresolved, ref.Task)
	if err := s.state.MarkSent(ref.Task, ref.Attempt, a.Shard); err != nil {
		return
	}
	item := d.queueItem(j, t.Index, now)
	d.Queue.Started(item, now)
	s.sent[ref] = &sentAttempt{item: item, rack: a.Shard, sequence: 1}
}

// endFromWire converts the reported end of an attempt.
func endFromWire(a *wire.Attempt) job.AttemptEnd {
	end := job.AttemptEnd{
		Worker: a.Worker, Reason: a.Reason, Result: a.Result, Checkpoint: a.Checkpoint,
		RunTime: time.Duration(a.RanMs) * time.Millisecond, MayHaveRun: true,
	}
	switch a.CrashSuspicion {
	case wire.CrashSuspicion_CRASH_SUSPICION_AMONG_OTHERS:
		end.CrashEvidence = job.EvidenceAmongOthers
	case wire.CrashSuspicion_CRASH_SUSPICION_ALONE:
		end.CrashEvidence = job.EvidenceAlone
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
