package job

import (
	"encoding/json"
	"fmt"
	"time"
)

// jobImage is a job in a snapshot.
type jobImage struct {
	ID       string      `json:"id"`
	Spec     Spec        `json:"spec"`
	Accepted time.Time   `json:"accepted"`
	Tasks    []taskImage `json:"tasks"`
}

// taskImage is a task in a snapshot. Whether a granted attempt was sent is not
// kept: a book that is rebuilt treats it as possibly sent.
type taskImage struct {
	Attempt     uint64        `json:"attempt"`
	State       State         `json:"state"`
	Worker      string        `json:"worker,omitempty"`
	Reason      string        `json:"reason,omitempty"`
	Result      []byte        `json:"result,omitempty"`
	Ran         time.Duration `json:"ran-ns,omitempty"`
	Failures    int           `json:"failures,omitempty"`
	FailedOn    []string      `json:"failed-on,omitempty"`
	CancelAsked bool          `json:"cancel-asked,omitempty"`
	Intended    bool          `json:"intended,omitempty"`
	Checkpoint  []byte        `json:"checkpoint,omitempty"`
}

// Image returns the durable part of the book.
func (b *Book) Image() ([]byte, error) {
	images := make([]jobImage, 0, len(b.jobs))
	for _, j := range b.Jobs() {
		image := jobImage{ID: j.ID, Spec: j.Spec, Accepted: j.Accepted, Tasks: make([]taskImage, len(j.tasks))}
		for i, t := range j.tasks {
			state := t.State
			if !state.Final() {
				state = Waiting
			}
			image.Tasks[i] = taskImage{t.Attempt, state, t.Worker, t.Reason, t.Result, t.Ran, t.Failures, t.FailedOn, t.CancelAsked, t.Intended, t.Checkpoint}
		}
		images = append(images, image)
	}
	body, err := json.Marshal(images)
	if err != nil {
		return nil, fmt.Errorf("snapshot of %d jobs: %w", len(images), err)
	}
	return body, nil
}

// Load fills an empty book from an image.
func (b *Book) Load(body []byte) error {
	var images []jobImage
	if err := json.Unmarshal(body, &images); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	for _, image := range images {
		if len(image.Tasks) != len(image.Spec.Tasks) {
			return fmt.Errorf("snapshot: job %s has %d tasks and %d states", image.ID, len(image.Spec.Tasks), len(image.Tasks))
		}
		b.Apply(Entry{Kind: EntryAccept, Job: image.ID, Spec: &image.Spec, Accepted: image.Accepted})
		j := b.jobs[image.ID]
		for i, t := range image.Tasks {
			j.tasks[i] = Task{
				Index: i, Attempt: t.Attempt, State: Waiting, Worker: t.Worker, Reason: t.Reason, Result: t.Result,
				Ran: t.Ran, Failures: t.Failures, FailedOn: t.FailedOn, CancelAsked: t.CancelAsked, Intended: t.Intended,
				Checkpoint: t.Checkpoint,
			}
			j.setState(&j.tasks[i], t.State)
		}
		if j.open == 0 {
			delete(b.open, j.ID)
		}
	}
	return nil
}
