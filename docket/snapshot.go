package docket

import (
	"fmt"

	"persimmonworks.example/persimmonworks/wire"
)

// Snapshot returns entries that bring an empty docket to the same state.
func (d *Docket) Snapshot() []*wire.DocketEntry {
	entries := d.quotaSnapshot()
	for _, w := range d.workers {
		entries = append(entries, &wire.DocketEntry{Kind: &wire.DocketEntry_Worker{Worker: w}})
	}
	if d.learnt != nil {
		entries = append(entries, Learn(d.learnt))
	}
	if d.speeds != nil {
		entries = append(entries, LearnSpeeds(d.speeds))
	}
	ended := make(map[string]bool, len(d.endedJobs))
	for _, id := range d.endedJobs {
		if j, ok := d.jobs[id]; ok {
			ended[id] = true
			entries = append(entries, j.snapshot()...)
		}
	}
	for id, j := range d.jobs {
		if !ended[id] {
			entries = append(entries, j.snapshot()...)
		}
	}
	return entries
}

// snapshot returns the entries for one job. Its progress precedes the tasks, because then
// restored failures cannot change the state of a job that has ended. Active tasks precede
// the others, because an occurrence of such a job is kept while one is active.
func (j *Job) snapshot() []*wire.DocketEntry {
	entries := []*wire.DocketEntry{{Kind: &wire.DocketEntry_Accepted{Accepted: j.accepted}}}
	if j.Terminal() || j.hasRun || len(j.finished) > 0 {
		entries = append(entries, &wire.DocketEntry{Kind: &wire.DocketEntry_Progress{Progress: j.progress()}})
	}
	for id, t := range j.ActiveTasks() {
		entries = append(entries, &wire.DocketEntry{Kind: &wire.DocketEntry_Task{Task: t.snapshot(id, j.endedAt)}})
	}
	for occurrence, steps := range j.open {
		for step, s := range steps {
			for index := range s.tasks {
				t := &s.tasks[index]
				if t.active || !t.touched() {
					continue
				}
				id := TaskID{j.ID(), occurrence, uint32(step), uint32(index)}
				entries = append(entries, &wire.DocketEntry{Kind: &wire.DocketEntry_Task{Task: t.snapshot(id, j.endedAt)}})
			}
		}
	}
	if j.moved {
		entries = append(entries, Move(j.ID(), j.movedTo))
	}
	if j.moveConfirmed {
		entries = append(entries, ConfirmMove(j.ID(), j.endedAt))
	}
	return entries
}

// touched reports whether the state of the task differs from that of a new one.
func (t *Task) touched() bool { return t.run > 0 || t.done || t.checkpoint != "" }

var endStates = map[State]wire.DocketEnd{
	Completed: wire.DocketEnd_DOCKET_END_COMPLETED,
	Failed:    wire.DocketEnd_DOCKET_END_FAILED,
	Cancelled: wire.DocketEnd_DOCKET_END_CANCELLED,
}

func (j *Job) progress() *wire.DocketProgress {
	p := &wire.DocketProgress{Job: j.ID(), HasRun: j.hasRun}
	if j.Terminal() {
		p.End, p.AtMs = endStates[j.state], j.endedAt
	}
	for _, r := range j.finished {
		p.Finished = append(p.Finished, &wire.DocketOccurrences{From: r.from, To: r.to})
	}
	return p
}

// restoreProgress sets what a snapshot says of a job besides the states of its tasks.
func (d *Docket) restoreProgress(j *Job, p *wire.DocketProgress) error {
	if j.state != Pending || j.moved || len(j.open) > 0 || len(j.finished) > 0 {
		return fmt.Errorf("job %s: progress of a job in state %s, which is restored already", j.ID(), j.state)
	}
	end, ended := Pending, p.GetEnd() != wire.DocketEnd_DOCKET_END_UNSPECIFIED
	for state, e := range endStates {
		if e == p.GetEnd() {
			end = state
		}
	}
	if ended && end == Pending {
		return fmt.Errorf("job %s: unknown end %v", j.ID(), p.GetEnd())
	}
	finished, err := restoreFinished(p.GetFinished(), j.Occurrences())
	if err != nil {
		return fmt.Errorf("job %s: %w", j.ID(), err)
	}
	j.finished, j.hasRun = finished, p.GetHasRun()
	for _, r := range finished {
		j.openSteps -= int(r.to-r.from) * len(j.accepted.GetSteps())
	}
	if j.hasRun || len(finished) > 0 {
		j.state = Running
	}
	if ended {
		d.endJob(j, end, p.GetAtMs())
	}
	return nil
}

// restoreFinished returns the stored ranges as a set. They are ascending and do not touch.
func restoreFinished(stored []*wire.DocketOccurrences, occurrences uint32) (occurrenceSet, error) {
	var set occurrenceSet
	for _, r := range stored {
		if r.GetFrom() >= r.GetTo() || r.GetTo() > occurrences || len(set) > 0 && r.GetFrom() <= set[len(set)-1].to {
			return nil, fmt.Errorf("finished occurrences %d to %d of %d are out of order or range", r.GetFrom(), r.GetTo(), occurrences)
		}
		set = append(set, occurrenceRange{r.GetFrom(), r.GetTo()})
	}
	return set, nil
}

func (t *Task) snapshot(id TaskID, endedAt int64) *wire.DocketTask {
	return &wire.DocketTask{
		Task: id.Name(), Run: t.run, Failures: t.failures, Done: t.done, Active: t.active,
		Worker: t.worker, BornMs: t.workerStartedAt, Checkpoint: t.checkpoint, AtMs: endedAt,
		Crashes: t.crashes, Suspicions: t.suspicions, CrashedRun: t.crashedRun, GivenUp: t.givenUp,
		FailedRun: t.failedRun, BegunRun: t.begunRun, SettledRun: t.settledRun,
	}
}

// restoreTask sets the state of a task from a snapshot. Snapshots of earlier versions hold
// all tasks of jobs that have ended; they are of use only beside active ones.
func (d *Docket) restoreTask(id TaskID, r *wire.DocketTask) error {
	j, ok := d.jobs[id.Job]
	if !ok {
		return fmt.Errorf("task %v: unknown job", id)
	}
	occurrence := id.Occurrence
	if j.Terminal() && !j.IsOpen(occurrence) && occurrence < j.Occurrences() {
		if !r.GetActive() {
			return nil
		}
		j.open[occurrence] = j.newOccurrence()
	}
	j, step, t, err := d.openTask(id)
	if err != nil {
		return err
	}
	if t.run != 0 || t.done {
		return fmt.Errorf("task %v: already restored", id)
	}
	t.run, t.worker, t.workerStartedAt, t.checkpoint = r.GetRun(), r.GetWorker(), r.GetBornMs(), r.GetCheckpoint()
	t.failures, t.failedRun = r.GetFailures(), r.GetFailedRun()
	t.begunRun, t.settledRun = r.GetBegunRun(), r.GetSettledRun()
	t.crashes, t.suspicions, t.crashedRun, t.givenUp = r.GetCrashes(), r.GetSuspicions(), r.GetCrashedRun(), r.GetGivenUp()
	if j.state == Pending {
		j.state = Running
	}
	j.hasRun = j.hasRun || r.GetDone() || r.GetFailures() > 0
	if r.GetActive() {
		t.active = true
		step.active++
		j.active++
	}
	if r.GetDone() {
		t.done = true
		step.done++
		if step.Done() {
			j.openSteps--
		}
	}
	switch {
	case j.Terminal():
	case j.openSteps == 0:
		d.endJob(j, Completed, r.GetAtMs())
	case t.givenUp:
		d.endJob(j, Failed, r.GetAtMs())
	case !t.done && t.failures >= j.accepted.GetQueue().GetMaxAttempts() && !j.StepDefinition(id.Step).GetLongRunning():
		d.endJob(j, Failed, r.GetAtMs())
	}
	j.release(occurrence)
	d.count(j)
	return nil
}
