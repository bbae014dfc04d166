package docket

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"persimmonworks.example/persimmonworks/wire"
)

// A job that moves takes its state along, so that the other docket starts nothing that is
// done, counts on from its failures and gives new runs higher numbers. Moves of a job are
// numbered. A docket that has given a job away keeps a marker, which says by which move it
// left and where to; a job that comes back by a later move replaces the marker. So a copy of an
// earlier move that arrives late is known to be one, and callers who follow markers of rising
// numbers come to the job.

// moves returns how often a job has moved to be where it was accepted.
func moves(a *wire.DocketAccepted) uint32 {
	if a.GetMoved() {
		return max(1, a.GetMoves()) // earlier versions did not count
	}
	return 0
}

// Move returns the number of the move by which the job left, or would leave.
func (j *Job) Move() uint32 { return moves(j.accepted) + 1 }

// ReplacedBy reports whether the job has left this docket and a is it, coming back by a later
// move.
func (j *Job) ReplacedBy(a *wire.DocketAccepted) bool { return j.moved && moves(a) > j.Move() }

// Transfer returns the job with its state, to be accepted by the docket that it moves to.
// Nothing of it may be active.
func (j *Job) Transfer() *wire.DocketAccepted {
	a := proto.CloneOf(j.accepted)
	a.Moved, a.Moves = true, j.Move()
	a.Progress = j.progress()
	a.Progress.Job = ""
	for occurrence, steps := range j.open {
		for i, s := range steps {
			for index := range s.tasks {
				if t := &s.tasks[index]; t.touched() {
					a.Tasks = append(a.Tasks, t.transfer(TaskID{"", occurrence, uint32(i), uint32(index)}))
				}
			}
		}
	}
	return a
}

// transfer returns the state of a task that is not active. Where it ran is of no use in
// another docket.
func (t *Task) transfer(id TaskID) *wire.DocketTask {
	s := t.snapshot(id, 0)
	s.Worker, s.BornMs = "", 0
	return s
}

// withoutState separates a job from the state that it brings from another docket.
func withoutState(a *wire.DocketAccepted) (job *wire.DocketAccepted, progress *wire.DocketProgress, tasks []*wire.DocketTask) {
	if a.GetProgress() == nil && len(a.GetTasks()) == 0 {
		return a, nil, nil
	}
	job = &wire.DocketAccepted{
		Job: a.GetJob(), Queue: a.GetQueue(), Spec: a.GetSpec(), Steps: a.GetSteps(), AcceptedMs: a.GetAcceptedMs(),
		FirstDueMs: a.GetFirstDueMs(), IntervalMs: a.GetIntervalMs(), Repeat: a.GetRepeat(), Moved: a.GetMoved(), Moves: a.GetMoves(),
		Organisation: a.GetOrganisation(),
	}
	return job, a.GetProgress(), a.GetTasks()
}

// restoreState gives a job that was just accepted the state that it brings.
func (d *Docket) restoreState(j *Job, progress *wire.DocketProgress, tasks []*wire.DocketTask) error {
	if progress != nil {
		if progress.GetEnd() != wire.DocketEnd_DOCKET_END_UNSPECIFIED {
			return fmt.Errorf("job %s: moved after its end", j.ID())
		}
		if err := d.restoreProgress(j, progress); err != nil {
			return err
		}
	}
	for _, t := range tasks {
		if t.GetActive() {
			return fmt.Errorf("job %s: moved with an active task", j.ID())
		}
		id := taskID(t.GetTask())
		id.Job = j.ID()
		if err := d.restoreTask(id, t); err != nil {
			return err
		}
	}
	return nil
}

// dropMoved removes the marker of a job that has come back.
func (d *Docket) dropMoved(j *Job) {
	d.bytes -= j.counted
	delete(d.jobs, j.ID())
	d.endedJobs = slices.DeleteFunc(d.endedJobs, func(id string) bool { return id == j.ID() })
}

// restoreMoved puts such a marker back.
func (d *Docket) restoreMoved(j *Job) {
	d.bytes += j.counted
	d.jobs[j.ID()] = j
	if j.moveConfirmed {
		d.endedJobs = append(d.endedJobs, j.ID())
	}
}

// moveJob marks a job of which nothing is active as moved to another docket. Once that docket
// has confirmed the move, the job counts as ended here; later confirmations say that
// the other docket still knew it then.
func (d *Docket) moveJob(m *wire.DocketMoved, sequence uint64) error {
	j, ok := d.jobs[m.GetJob()]
	if !ok {
		return fmt.Errorf("job %s: move of an unknown job", m.GetJob())
	}
	if m.GetConfirmed() {
		if !j.moved || j.moveConfirmed && m.GetAtMs() <= j.endedAt {
			return fmt.Errorf("job %s: confirmation without a pending move, or not a later one", m.GetJob())
		}
		if j.moveConfirmed {
			d.endedJobs = slices.DeleteFunc(d.endedJobs, func(id string) bool { return id == j.ID() })
		}
		j.moveConfirmed, j.changed, j.endedAt = true, sequence, m.GetAtMs()
		j.open = map[uint32][]*Step{}
		d.count(j)
		d.endedJobs = append(d.endedJobs, j.ID())
		return nil
	}
	if j.Terminal() || j.moved || j.active > 0 {
		return fmt.Errorf("job %s: cannot move in state %s with %d active tasks", m.GetJob(), j.state, j.active)
	}
	j.moved, j.movedTo, j.changed = true, int(m.GetDocket()), sequence
	d.count(j)
	return nil
}
