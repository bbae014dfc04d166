package dispatch

import (
	"slices"
	"time"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/job"
	"persimmonworks.example/persimmonworks/placement"
	"persimmonworks.example/persimmonworks/queue"
	"persimmonworks.example/persimmonworks/rack"
	"persimmonworks.example/persimmonworks/wire"
	"persimmonworks.example/persimmonworks/worker"
)

// placeWaiting assigns waiting tasks to racks that advertise enough free capacity.
func (d *Dispatcher) placeWaiting(now time.Time) {
	here := []string{d.DataCentre}
	fits := func(item queue.Item) bool { return d.Directory.Fits(placementTask(item), here) }
	for range maxPlacementsPerTick {
		item, ok := d.Queue.Next(now, fits)
		if !ok {
			return
		}
		s, t := d.findTask(item.ID)
		if s == nil || t.State != job.Waiting || t.CancelRequested || s.pendingCancels[item.Group] > 0 {
			continue
		}
		name, err := d.Directory.Choose(placementTask(item), here, d.Rand)
		if err != nil {
			d.Queue.Push(item)
			return
		}
		d.assign(s, t, item, name, now)
	}
}

// preemptForUrgent assigns an urgent task that fits on no rack to a random rack,
// which may preempt batch work for it.
func (d *Dispatcher) preemptForUrgent(now time.Time) {
	if now.Before(d.nextPreempt) {
		return
	}
	item, ok := d.Queue.Next(now, func(item queue.Item) bool { return item.Class == class.Urgent })
	if !ok {
		return
	}
	d.nextPreempt = now.Add(preemptInterval)
	s, t := d.findTask(item.ID)
	if s == nil || t.State != job.Waiting || t.CancelRequested || s.pendingCancels[item.Group] > 0 {
		return
	}
	var racks []string
	for name, o := range d.Racks.Owners() {
		if o.Process != "" {
			racks = append(racks, name)
		}
	}
	if len(racks) == 0 {
		d.Queue.Push(item)
		return
	}
	slices.Sort(racks)
	d.assignTo(s, t, item, racks[d.Rand.IntN(len(racks))], true, now)
}

// placementTask returns the placement request for a task. The tasks of a service
// are spread over racks.
func placementTask(item queue.Item) placement.Task {
	t := placement.Task{ID: item.ID, Demand: item.Demand, Class: item.Class, Long: item.Long}
	if item.Class == class.Service {
		t.SpreadKey = item.Group
	}
	return t
}

// releaseAttempt updates the queue and the directory after an attempt has left
// its rack.
func (d *Dispatcher) releaseAttempt(sent *sentAttempt, now time.Time) {
	d.Queue.Ended(sent.item, now)
	if spread := placementTask(sent.item).SpreadKey; spread != "" {
		d.Directory.RecordTaskEnd(sent.rack, spread)
	}
}

// assign assigns a task to a rack, without preemption.
func (d *Dispatcher) assign(s *shard, t *job.Task, item queue.Item, rackName string, now time.Time) {
	d.assignTo(s, t, item, rackName, false, now)
}

// assignTo assigns a task to a rack and enqueues its placement. For a
// non-idempotent task, the intent to send it is made durable first.
func (d *Dispatcher) assignTo(s *shard, t *job.Task, item queue.Item, rackName string, preempt bool, now time.Time) {
	ref := worker.Ref{Task: item.ID, Attempt: t.Attempt}
	if err := s.state.MarkSent(item.ID, t.Attempt, rackName); err != nil {
		return
	}
	d.Queue.Started(item, now)
	if d.OnTaskPlaced != nil {
		d.OnTaskPlaced(item.Class, now.Sub(item.Enqueued))
	}
	s.sent[ref] = &sentAttempt{item: item, rack: rackName, mayPreempt: preempt}
	_, j := d.findJob(item.Group)
	if j.Spec.NonIdempotent && !t.IntentRecorded {
		e := job.Entry{Kind: job.EntryIntent, Job: j.ID, Task: t.Index, Attempt: t.Attempt}
		s.pending = append(s.pending, pendingEntry{entry: e, ref: ref})
		return
	}
	d.enqueuePlacement(s, ref, now)
}

// enqueuePlacement adds the placement of an attempt to the next message to the
// owner of its rack. If there is no owner, the task is queued again.
func (d *Dispatcher) enqueuePlacement(s *shard, ref worker.Ref, now time.Time) {
	sent, ok := s.sent[ref]
	if !ok {
		return
	}
	owner := d.Racks.Owners()[sent.rack]
	if owner.Process == "" {
		d.requeueUnsent(s, ref, now)
		return
	}
	j, t := d.grantedTask(ref)
	if j == nil || t.CancelRequested {
		d.requeueUnsent(s, ref, now)
		return
	}
	l := s.linkTo(owner.Process)
	l.placements = append(l.placements, &wire.Placement{
		Task: ref.Task, Attempt: ref.Attempt, Organisation: j.Spec.Organisation, Class: string(j.Spec.Class), Kind: j.Spec.Kind,
		Demand: rack.VectorToWire(sent.item.Demand), EstimateMs: uint64(sent.item.Estimate.Milliseconds()), Work: j.NextWork(t.Index),
		NonIdempotent: j.Spec.NonIdempotent, Shard: sent.rack, JobShard: d.qualifiedName(s),
		ShardEpoch: owner.Epoch, Avoid: t.FailedOn, Long: sent.item.Long, Preempt: sent.mayPreempt,
	})
}

// qualifiedName returns the name of a job shard qualified by its data centre.
func (d *Dispatcher) qualifiedName(s *shard) string { return d.DataCentre + "/" + s.name }

// linkTo returns the link to a process, which it creates if necessary.
func (s *shard) linkTo(process string) *ownerLink {
	l, ok := s.links[process]
	if !ok {
		l = &ownerLink{needsInventory: true}
		s.links[process] = l
	}
	return l
}

// grantedTask returns the job and the task of an attempt, or nil if ref is not
// the granted attempt of an open task.
func (d *Dispatcher) grantedTask(ref worker.Ref) (*job.Job, *job.Task) {
	s, t := d.findTask(ref.Task)
	if s == nil || t.Attempt != ref.Attempt || t.State.Final() {
		return nil, nil
	}
	id, _, _ := job.SplitTaskID(ref.Task)
	j, _ := s.state.Job(id)
	return j, t
}

// requeueUnsent queues an attempt again that is known not to be on its rack. If
// its job was cancelled in the meantime, it ends the task instead.
func (d *Dispatcher) requeueUnsent(s *shard, ref worker.Ref, now time.Time) {
	sent, ok := s.sent[ref]
	if !ok {
		return
	}
	delete(s.sent, ref)
	d.releaseAttempt(sent, now)
	if err := s.state.MarkUnsent(ref.Task, ref.Attempt); err != nil {
		return
	}
	if _, t := d.grantedTask(ref); t != nil && d.endIfCancelled(s, ref.Task, t) {
		return
	}
	d.Queue.Push(sent.item)
}

// stopAttempts requests the stop of all sent attempts of a cancelled job.
func (d *Dispatcher) stopAttempts(s *shard, id string) {
	owners := d.Racks.Owners()
	for ref, sent := range s.sent {
		if sent.item.Group != id || sent.stopping {
			continue
		}
		sent.stopping = true
		if owner := owners[sent.rack].Process; owner != "" {
			s.linkTo(owner).stops = append(s.linkTo(owner).stops, &wire.AttemptRef{Task: ref.Task, Attempt: ref.Attempt})
		}
	}
}

// recordEnd adds an entry for the end of an attempt to the next commit; applyEnd
// applies it once it is durable. If ackTo is not empty, the end is then
// acknowledged to that process. An end that was recorded before is acknowledged
// at once.
func (d *Dispatcher) recordEnd(s *shard, ref worker.Ref, end job.AttemptEnd, ackTo string) {
	if s.pendingEnds[ref] {
		return
	}
	e, ok := s.state.EndEntry(ref.Task, ref.Attempt, end)
	if !ok {
		if ackTo != "" {
			l := s.linkTo(ackTo)
			l.acks = append(l.acks, &wire.AttemptRef{Task: ref.Task, Attempt: ref.Attempt})
		}
		return
	}
	s.pendingEnds[ref] = true
	s.pending = append(s.pending, pendingEntry{entry: e, ref: ref, ackTo: ackTo})
}

// applyEnd applies the durable end of an attempt.
func (d *Dispatcher) applyEnd(s *shard, p pendingEntry, now time.Time) {
	e := p.entry
	s.state.Apply(e)
	ref := worker.Ref{Task: job.TaskID(e.Job, e.Task), Attempt: e.Attempt}
	delete(s.pendingEnds, ref)
	delete(s.unresolved, ref.Task)
	if sent, ok := s.sent[ref]; ok {
		delete(s.sent, ref)
		d.releaseAttempt(sent, now)
	}
	if p.ackTo != "" {
		l := s.linkTo(p.ackTo)
		l.acks = append(l.acks, &wire.AttemptRef{Task: ref.Task, Attempt: ref.Attempt})
	}
	d.recordRunTime(s, e)
	switch {
	case e.Kind == job.EntryRetry:
		d.queueRetry(s, e, now)
	case e.State == job.Parked:
		d.Log.Emit(event.JobParked, "job", e.Job, "task", e.Task, "reason", e.Reason)
	case e.State == job.Unknown:
		d.Log.Emit(event.AttemptUnknown, "job", e.Job, "task", e.Task, "reason", e.Reason)
	}
}

// queueRetry queues the next attempt of a task. After a failure it does so with
// exponential backoff and jitter.
func (d *Dispatcher) queueRetry(s *shard, e job.Entry, now time.Time) {
	j, ok := s.state.Job(e.Job)
	if !ok {
		return
	}
	item := d.queueItem(j, e.Task, now)
	t := j.Tasks()[e.Task]
	if d.endIfCancelled(s, item.ID, &t) {
		return
	}
	if !e.Failure {
		d.Queue.Push(item)
		return
	}
	wait := min(minFailureBackoff<<min(t.Failures-1, 10), maxFailureBackoff)
	wait = wait/2 + time.Duration(d.Rand.Int64N(int64(wait)))
	d.delayedTasks = append(d.delayedTasks, delayedTask{readyAt: now.Add(wait), item: item})
}
