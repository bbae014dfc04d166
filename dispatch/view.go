package dispatch

import (
	"context"
	"time"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/job"
)

// JobView describes a job to its caller.
type JobView struct {
	ID           string            `json:"id"`
	Name         string            `json:"name,omitempty"`
	Organisation string            `json:"organisation"`
	Class        class.Class       `json:"class"`
	Accepted     time.Time         `json:"accepted"`
	Tasks        int               `json:"tasks"`
	Open         int               `json:"open"`
	States       map[job.State]int `json:"states"`
	// Waiting is the reason why the first waiting task has not started.
	Waiting string `json:"waiting,omitempty"`
}

// TaskView describes a task to its caller.
type TaskView struct {
	Index   int       `json:"index"`
	State   job.State `json:"state"`
	Attempt uint64    `json:"attempt"`
	Running bool      `json:"running,omitempty"`
	Worker  string    `json:"worker,omitempty"`
	RanMS   int64     `json:"ran-ms,omitempty"`
	Reason  string    `json:"reason,omitempty"`
	Result  []byte    `json:"result,omitempty"`
	// Position, Behind and Needs explain why a waiting task has not started.
	Position int      `json:"position,omitempty"`
	Behind   []string `json:"behind,omitempty"`
	Needs    string   `json:"needs,omitempty"`
}

var allStates = []job.State{job.Waiting, job.Sent, job.Done, job.Failed, job.Unknown, job.Cancelled, job.Expired, job.Parked}

// Job returns a job and whether it was found, in memory or in the archive.
func (d *Dispatcher) Job(ctx context.Context, id string) (v JobView, ok bool, err error) {
	err = d.Loop.Do(ctx, func() {
		s, j := d.findJob(id)
		if s != nil {
			v, ok = d.jobView(s, j), true
		}
	})
	if err != nil || ok {
		return v, ok, err
	}
	e, ok, err := d.loadArchived(ctx, id)
	return e.Job, ok, err
}

func (d *Dispatcher) jobView(s *shard, j *job.Job) JobView {
	v := JobView{
		ID: j.ID, Name: j.Spec.Name, Organisation: j.Spec.Organisation, Class: j.Spec.Class, Accepted: j.Accepted,
		Tasks: len(j.Tasks()), Open: j.OpenTasks(), States: map[job.State]int{},
	}
	for _, state := range allStates {
		if n := j.CountInState(state); n > 0 {
			v.States[state] = n
		}
	}
	if v.States[job.Waiting] > 0 {
		v.Waiting = d.waitingReason(s, j)
	}
	return v
}

// waitingReason returns the reason why the first waiting task of j has not
// started.
func (d *Dispatcher) waitingReason(s *shard, j *job.Job) string {
	for _, t := range j.Tasks() {
		if t.State == job.Waiting {
			v := d.taskView(s, j, &t)
			return v.Needs
		}
	}
	return ""
}

func (d *Dispatcher) taskView(s *shard, j *job.Job, t *job.Task) TaskView {
	v := TaskView{
		Index: t.Index, State: t.State, Attempt: t.Attempt, Running: t.Running, Worker: t.Worker,
		RanMS: t.RunTime.Milliseconds(), Reason: t.Reason, Result: t.Result,
	}
	if t.State != job.Waiting {
		return v
	}
	task := job.TaskID(j.ID, t.Index)
	if s.unresolved[task] {
		v.Needs = "the job has a new owner, which waits for the inventories of all racks before it starts the task again"
		return v
	}
	if explanation, ok := d.Queue.Explain(task, time.Now()); ok {
		v.Position, v.Behind, v.Needs = explanation.Position, explanation.OrganisationsAhead, explanation.Reason
		return v
	}
	v.Needs = "the task pauses after a failure: " + t.Reason
	if t.Reason == "" {
		v.Needs = "the job has a new owner, which makes the grant of the next attempt durable"
	}
	return v
}

// Tasks returns at most limit tasks of a job, starting at the index from, and
// whether the job was found, in memory or in the archive.
func (d *Dispatcher) Tasks(ctx context.Context, id string, from, limit int) (views []TaskView, ok bool, err error) {
	err = d.Loop.Do(ctx, func() {
		s, j := d.findJob(id)
		if s == nil {
			return
		}
		ok = true
		all := j.Tasks()
		for i := max(from, 0); i < len(all) && len(views) < limit; i++ {
			views = append(views, d.taskView(s, j, &all[i]))
		}
	})
	if err != nil || ok {
		return views, ok, err
	}
	e, ok, err := d.loadArchived(ctx, id)
	from = min(max(from, 0), len(e.Tasks))
	return e.Tasks[from:min(from+limit, len(e.Tasks))], ok, err
}

// List returns the jobs of an organisation in the job shards of this process,
// without archived ones.
func (d *Dispatcher) List(ctx context.Context, organisation string) (views []JobView, err error) {
	err = d.Loop.Do(ctx, func() {
		for _, s := range d.shards {
			if s.state == nil {
				continue
			}
			for _, j := range s.state.Jobs() {
				if j.Spec.Organisation == organisation {
					views = append(views, d.jobView(s, j))
				}
			}
		}
	})
	return views, err
}

// Shards returns the job shards that this process owns and whether the journal of
// each has been read. It must be called on the loop.
func (d *Dispatcher) Shards() map[string]bool {
	all := make(map[string]bool, len(d.shards))
	for name, s := range d.shards {
		all[name] = s.state != nil
	}
	return all
}
