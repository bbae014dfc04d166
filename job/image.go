package job

import (
	"encoding/json"
	"fmt"
	"time"
)

// jobSnapshot is the stored form of a job in a snapshot.
type jobSnapshot struct {
	ID       string         `json:"id"`
	Spec     Spec           `json:"spec"`
	Accepted time.Time      `json:"accepted"`
	Tasks    []taskSnapshot `json:"tasks"`
}

// taskSnapshot is the stored form of a task in a snapshot. It does not record
// whether the granted attempt was sent: after a rebuild, every granted attempt is
// treated as possibly sent.
type taskSnapshot struct {
	Attempt         uint64        `json:"attempt"`
	State           State         `json:"state"`
	Worker          string        `json:"worker,omitempty"`
	Reason          string        `json:"reason,omitempty"`
	Result          []byte        `json:"result,omitempty"`
	RunTime         time.Duration `json:"ran-ns,omitempty"`
	Failures        int           `json:"failures,omitempty"`
	FailedOn        []string      `json:"failed-on,omitempty"`
	CancelRequested bool          `json:"cancel-asked,omitempty"`
	IntentRecorded  bool          `json:"intended,omitempty"`
	Checkpoint      []byte        `json:"checkpoint,omitempty"`
	CrashEvidence   int           `json:"crash-evidence,omitempty"`
}

// Snapshot returns a snapshot of the durable state of b, encoded as JSON.
func (b *ShardState) Snapshot() ([]byte, error) {
	jobs := make([]jobSnapshot, 0, len(b.jobs))
	for _, j := range b.Jobs() {
		snapshot := jobSnapshot{ID: j.ID, Spec: j.Spec, Accepted: j.Accepted, Tasks: make([]taskSnapshot, len(j.tasks))}
		for i, t := range j.tasks {
			state := t.State
			if !state.Final() {
				state = Waiting
			}
			snapshot.Tasks[i] = taskSnapshot{t.Attempt, state, t.Worker, t.Reason, t.Result, t.RunTime, t.Failures, t.FailedOn, t.CancelRequested, t.IntentRecorded, t.Checkpoint, t.CrashEvidence}
		}
		jobs = append(jobs, snapshot)
	}
	body, err := json.Marshal(jobs)
	if err != nil {
		return nil, fmt.Errorf("encode snapshot of %d jobs: %w", len(jobs), err)
	}
	return body, nil
}

// Restore restores a snapshot made by Snapshot. b must be empty.
func (b *ShardState) Restore(body []byte) error {
	var jobs []jobSnapshot
	if err := json.Unmarshal(body, &jobs); err != nil {
		return fmt.Errorf("decode snapshot: %w", err)
	}
	for _, snapshot := range jobs {
		if len(snapshot.Tasks) != len(snapshot.Spec.Tasks) {
			return fmt.Errorf("decode snapshot: the specification of job %s has %d tasks, its state has %d", snapshot.ID, len(snapshot.Spec.Tasks), len(snapshot.Tasks))
		}
		b.Apply(Entry{Kind: EntryAccept, Job: snapshot.ID, Spec: &snapshot.Spec, Accepted: snapshot.Accepted})
		j := b.jobs[snapshot.ID]
		for i, t := range snapshot.Tasks {
			j.tasks[i] = Task{
				Index: i, Attempt: t.Attempt, State: Waiting, Worker: t.Worker, Reason: t.Reason, Result: t.Result,
				RunTime: t.RunTime, Failures: t.Failures, FailedOn: t.FailedOn, CancelRequested: t.CancelRequested, IntentRecorded: t.IntentRecorded,
				Checkpoint: t.Checkpoint, CrashEvidence: t.CrashEvidence,
			}
			j.setState(&j.tasks[i], t.State)
		}
		if j.openTasks == 0 {
			delete(b.openJobs, j.ID)
		}
	}
	return nil
}
