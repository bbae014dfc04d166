package docket

import (
	"fmt"

	"persimmonworks.example/persimmonworks/wire"
)

// Snapshot returns entries that bring an empty docket to the same state.
func (d *Docket) Snapshot() []*wire.DocketEntry {
	var entries []*wire.DocketEntry
	for _, w := range d.workers {
		entries = append(entries, &wire.DocketEntry{Kind: &wire.DocketEntry_Worker{Worker: w}})
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

// snapshot returns the entries for one job. The cancellation precedes the tasks, because
// then restored failures cannot change the state of the cancelled job to failed.
func (j *Job) snapshot() []*wire.DocketEntry {
	entries := []*wire.DocketEntry{{Kind: &wire.DocketEntry_Accepted{Accepted: j.accepted}}}
	if j.state == Cancelled {
		entries = append(entries, &wire.DocketEntry{Kind: &wire.DocketEntry_Cancelled{
			Cancelled: &wire.DocketCancelled{Job: j.ID(), AtMs: j.endedAt},
		}})
	}
	if j.moved {
		entries = append(entries, Move(j.ID(), j.movedTo))
	}
	if j.moveConfirmed {
		entries = append(entries, ConfirmMove(j.ID(), j.endedAt))
	}
	for occurrence, steps := range j.occurrences {
		for step, s := range steps {
			for index := range s.tasks {
				t := &s.tasks[index]
				if t.run == 0 && !t.done && t.checkpoint == "" {
					continue
				}
				id := TaskID{j.ID(), occurrence, uint32(step), uint32(index)}
				entries = append(entries, &wire.DocketEntry{Kind: &wire.DocketEntry_Task{Task: t.snapshot(id, j.endedAt)}})
			}
		}
	}
	return entries
}

func (t *Task) snapshot(id TaskID, endedAt int64) *wire.DocketTask {
	return &wire.DocketTask{
		Task: id.Name(), Run: t.run, Failures: t.failures, Done: t.done, Active: t.active,
		Worker: t.worker, BornMs: t.workerStartedAt, Checkpoint: t.checkpoint, AtMs: endedAt,
		Crashes: t.crashes, Suspicions: t.suspicions, CrashedRun: t.crashedRun, GivenUp: t.givenUp,
		FailedRun: t.failedRun, BegunRun: t.begunRun, SettledRun: t.settledRun,
	}
}

// restoreTask sets the state of a task from a snapshot.
func (d *Docket) restoreTask(r *wire.DocketTask) error {
	j, step, t, err := d.lookupTask(r.GetTask())
	if err != nil {
		return err
	}
	if t.run != 0 || t.done {
		return fmt.Errorf("task %v: already restored", taskID(r.GetTask()))
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
	case !t.done && t.failures >= j.accepted.GetQueue().GetMaxAttempts() && !j.StepDefinition(r.GetTask().GetStep()).GetLongRunning():
		d.endJob(j, Failed, r.GetAtMs())
	}
	return nil
}
