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

// place sends waiting tasks to racks that advertise room.
func (d *Desk) place(now time.Time) {
	here := []string{d.DataCentre}
	fits := func(i queue.Item) bool { return d.Directory.Fits(wanted(i), here) }
	for range placementsInTick {
		i, ok := d.Queue.Next(now, fits)
		if !ok {
			return
		}
		s, t := d.find(i.ID)
		if s == nil || t.State != job.Waiting || t.CancelAsked || s.cancelling[i.Group] > 0 {
			continue
		}
		name, err := d.Directory.Choose(wanted(i), here, d.Rand)
		if err != nil {
			d.Queue.Push(i)
			return
		}
		d.assign(s, t, i, name, now)
	}
}

// preempt asks a rack to make room for an urgent task that fits nowhere.
func (d *Desk) preempt(now time.Time) {
	if now.Before(d.nextPreempt) {
		return
	}
	i, ok := d.Queue.Next(now, func(i queue.Item) bool { return i.Class == class.Urgent })
	if !ok {
		return
	}
	d.nextPreempt = now.Add(preemptPause)
	s, t := d.find(i.ID)
	if s == nil || t.State != job.Waiting || t.CancelAsked || s.cancelling[i.Group] > 0 {
		return
	}
	var racks []string
	for name, o := range d.Racks.Owners() {
		if o.Process != "" {
			racks = append(racks, name)
		}
	}
	if len(racks) == 0 {
		d.Queue.Push(i)
		return
	}
	slices.Sort(racks)
	d.assignTo(s, t, i, racks[d.Rand.IntN(len(racks))], true, now)
}

// wanted describes a task to the directory. The tasks of a service keep apart.
func wanted(i queue.Item) placement.Task {
	t := placement.Task{ID: i.ID, Demand: i.Demand, Class: i.Class, Long: i.Long}
	if i.Class == class.Service {
		t.Spread = i.Group
	}
	return t
}

// left notes that an attempt is not on its rack any more.
func (d *Desk) left(x *sending, now time.Time) {
	d.Queue.Ended(x.item, now)
	if spread := wanted(x.item).Spread; spread != "" {
		d.Directory.Ended(x.rack, spread)
	}
}

// assign books a task for a rack. The intent to send a non-idempotent task is
// made durable first.
func (d *Desk) assign(s *shard, t *job.Task, i queue.Item, rackName string, now time.Time) {
	d.assignTo(s, t, i, rackName, false, now)
}

func (d *Desk) assignTo(s *shard, t *job.Task, i queue.Item, rackName string, preempt bool, now time.Time) {
	ref := worker.Ref{Task: i.ID, Attempt: t.Attempt}
	if err := s.book.MarkSent(i.ID, t.Attempt, rackName); err != nil {
		return
	}
	d.Queue.Started(i, now)
	if d.Placed != nil {
		d.Placed(i.Class, now.Sub(i.Enqueued))
	}
	s.sent[ref] = &sending{item: i, rack: rackName, preempt: preempt}
	_, j := d.lookup(i.Group)
	if j.Spec.NonIdempotent && !t.Intended {
		e := job.Entry{Kind: job.EntryIntent, Job: j.ID, Task: t.Index, Attempt: t.Attempt}
		s.pending = append(s.pending, pendingEntry{entry: e, ref: ref})
		return
	}
	d.send(s, ref, now)
}

// send puts a placement into the outbox of the rack's owner.
func (d *Desk) send(s *shard, ref worker.Ref, now time.Time) {
	x, ok := s.sent[ref]
	if !ok {
		return
	}
	owner := d.Racks.Owners()[x.rack]
	if owner.Process == "" {
		d.unsend(s, ref, now)
		return
	}
	j, t := d.taskOf(ref)
	if j == nil || t.CancelAsked {
		d.unsend(s, ref, now)
		return
	}
	l := s.link(owner.Process)
	l.placements = append(l.placements, &wire.Placement{
		Task: ref.Task, Attempt: ref.Attempt, Organisation: j.Spec.Organisation, Class: string(j.Spec.Class), Kind: j.Spec.Kind,
		Demand: rack.WireOf(x.item.Demand), EstimateMs: uint64(x.item.Estimate.Milliseconds()), Work: j.Work(t.Index),
		NonIdempotent: j.Spec.NonIdempotent, Shard: x.rack, JobShard: d.qualified(s),
		ShardEpoch: owner.Epoch, Avoid: t.FailedOn, Long: x.item.Long, Preempt: x.preempt,
	})
}

// qualified returns the name of a job shard that is unique over data centres.
func (d *Desk) qualified(s *shard) string { return d.DataCentre + "/" + s.name }

func (s *shard) link(process string) *link {
	l, ok := s.links[process]
	if !ok {
		l = &link{inventory: true}
		s.links[process] = l
	}
	return l
}

func (d *Desk) taskOf(ref worker.Ref) (*job.Job, *job.Task) {
	s, t := d.find(ref.Task)
	if s == nil || t.Attempt != ref.Attempt || t.State.Final() {
		return nil, nil
	}
	id, _, _ := job.SplitTaskID(ref.Task)
	j, _ := s.book.Job(id)
	return j, t
}

// unsend takes back an attempt that certainly did not reach its rack and
// queues it again, or ends it if its job was cancelled meanwhile.
func (d *Desk) unsend(s *shard, ref worker.Ref, now time.Time) {
	x, ok := s.sent[ref]
	if !ok {
		return
	}
	delete(s.sent, ref)
	d.left(x, now)
	if err := s.book.MarkUnsent(ref.Task, ref.Attempt); err != nil {
		return
	}
	if _, t := d.taskOf(ref); t != nil && d.endCancelled(s, ref.Task, t) {
		return
	}
	d.Queue.Push(x.item)
}

// stopJob asks for the running attempts of a cancelled job to stop.
func (d *Desk) stopJob(s *shard, id string) {
	owners := d.Racks.Owners()
	for ref, x := range s.sent {
		if x.item.Group != id || x.stopping {
			continue
		}
		x.stopping = true
		if owner := owners[x.rack].Process; owner != "" {
			s.link(owner).stops = append(s.link(owner).stops, &wire.AttemptRef{Task: ref.Task, Attempt: ref.Attempt})
		}
	}
}

// endAttempt writes down how an attempt ended; it takes effect once durable.
func (d *Desk) endAttempt(s *shard, ref worker.Ref, end job.End, ackTo string) {
	if s.ending[ref] {
		return
	}
	e, ok := s.book.Ended(ref.Task, ref.Attempt, end)
	if !ok {
		if ackTo != "" {
			l := s.link(ackTo)
			l.acks = append(l.acks, &wire.AttemptRef{Task: ref.Task, Attempt: ref.Attempt})
		}
		return
	}
	s.ending[ref] = true
	s.pending = append(s.pending, pendingEntry{entry: e, ref: ref, ackTo: ackTo})
}

// applyEnd takes a durable end of an attempt into the books.
func (d *Desk) applyEnd(s *shard, p pendingEntry, now time.Time) {
	e := p.entry
	s.book.Apply(e)
	ref := worker.Ref{Task: job.TaskID(e.Job, e.Task), Attempt: e.Attempt}
	delete(s.ending, ref)
	delete(s.unresolved, ref.Task)
	if x, ok := s.sent[ref]; ok {
		delete(s.sent, ref)
		d.left(x, now)
	}
	if p.ackTo != "" {
		l := s.link(p.ackTo)
		l.acks = append(l.acks, &wire.AttemptRef{Task: ref.Task, Attempt: ref.Attempt})
	}
	d.observe(s, e)
	switch {
	case e.Kind == job.EntryRetry:
		d.retry(s, e, now)
	case e.State == job.Parked:
		d.Log.Emit(event.JobParked, "job", e.Job, "task", e.Task, "reason", e.Reason)
	case e.State == job.Unknown:
		d.Log.Emit(event.AttemptUnknown, "job", e.Job, "task", e.Task, "reason", e.Reason)
	}
}

// retry queues the next attempt, after a pause that doubles with every failure.
func (d *Desk) retry(s *shard, e job.Entry, now time.Time) {
	j, ok := s.book.Job(e.Job)
	if !ok {
		return
	}
	i := d.item(j, e.Task, now)
	t := j.Tasks()[e.Task]
	if d.endCancelled(s, i.ID, &t) {
		return
	}
	if !e.Failure {
		d.Queue.Push(i)
		return
	}
	wait := min(failurePause<<min(t.Failures-1, 10), maxFailurePause)
	wait = wait/2 + time.Duration(d.Rand.Int64N(int64(wait)))
	d.delays = append(d.delays, delayed{at: now.Add(wait), item: i})
}
