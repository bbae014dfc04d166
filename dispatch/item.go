package dispatch

import (
	"time"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/estimate"
	"persimmonworks.example/persimmonworks/job"
	"persimmonworks.example/persimmonworks/queue"
)

// estimateQuantile is the share of the tasks of a kind that run no longer than
// their estimate.
const estimateQuantile = 0.9

// expected returns how long a task is likely to run, 0 when unknown.
func (d *Desk) expected(j *job.Job, index int) time.Duration {
	expected, _ := d.estimates.Estimate(j.Spec.Organisation, j.Spec.Kind, j.Estimate(index), estimateQuantile)
	return expected
}

// isLong reports whether a task is kept out of the room for short work. A
// service never ends; urgent work may take any room.
func (d *Desk) isLong(j *job.Job, index int, expected time.Duration) bool {
	switch {
	case d.LongTime <= 0 || j.Spec.Class == class.Urgent:
		return false
	case j.Spec.Class == class.Service:
		return true
	default:
		return estimate.IsLong(expected, j.Tasks()[index].Ran, d.LongTime)
	}
}

// item describes a task to the queue.
func (d *Desk) item(j *job.Job, index int, now time.Time) queue.Item {
	expected := d.expected(j, index)
	return queue.Item{
		ID: job.TaskID(j.ID, index), Group: j.ID, Organisation: j.Spec.Organisation, Class: j.Spec.Class,
		Priority: j.Spec.Priority, Kind: j.Spec.Kind, Demand: j.Demand(index), Estimate: expected, Long: d.isLong(j, index, expected),
		Enqueued: now, Deadline: j.Deadline(),
	}
}

// observe learns from the run time of a task that ran from its begin to its
// end in one attempt.
func (d *Desk) observe(s *shard, e job.Entry) {
	j, ok := s.book.Job(e.Job)
	if !ok || e.State != job.Done || len(j.Tasks()[e.Task].Checkpoint) > 0 {
		return
	}
	d.estimates.Observe(j.Spec.Organisation, j.Spec.Kind, e.Ran, j.Estimate(e.Task))
}
