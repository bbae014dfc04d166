package dispatch

import (
	"time"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/estimate"
	"persimmonworks.example/persimmonworks/job"
	"persimmonworks.example/persimmonworks/queue"
)

// estimateQuantile is the quantile of the run times of a kind that serves as the
// estimate for its tasks.
const estimateQuantile = 0.9

// expectedRunTime returns the estimated run time of a task, or 0 if unknown.
func (d *Dispatcher) expectedRunTime(j *job.Job, index int) time.Duration {
	expected, _ := d.estimates.Estimate(j.Spec.Organisation, j.Spec.Kind, j.DeclaredRunTime(index), estimateQuantile)
	return expected
}

// isLong reports whether a task may not use the capacity reserved for short
// tasks. A service is always long, since it never ends; urgent tasks may use any
// capacity.
func (d *Dispatcher) isLong(j *job.Job, index int, expected time.Duration) bool {
	switch {
	case d.LongTaskThreshold <= 0 || j.Spec.Class == class.Urgent:
		return false
	case j.Spec.Class == class.Service:
		return true
	default:
		return estimate.IsLong(expected, j.Tasks()[index].RunTime, d.LongTaskThreshold)
	}
}

// queueItem returns the queue entry of a task.
func (d *Dispatcher) queueItem(j *job.Job, index int, now time.Time) queue.Item {
	expected := d.expectedRunTime(j, index)
	return queue.Item{
		ID: job.TaskID(j.ID, index), Group: j.ID, Organisation: j.Spec.Organisation, Class: j.Spec.Class,
		Priority: j.Spec.Priority, Kind: j.Spec.Kind, Demand: j.Demand(index), Estimate: expected, Long: d.isLong(j, index, expected),
		Enqueued: now, Deadline: j.Deadline(),
	}
}

// recordRunTime updates the estimates with the run time of a completed task.
// Tasks that resumed from a checkpoint are skipped, because their last attempt
// did only a part of the work.
func (d *Dispatcher) recordRunTime(s *shard, e job.Entry) {
	j, ok := s.state.Job(e.Job)
	if !ok || e.State != job.Done || len(j.Tasks()[e.Task].Checkpoint) > 0 {
		return
	}
	d.estimates.Observe(j.Spec.Organisation, j.Spec.Kind, e.RunTime, j.DeclaredRunTime(e.Task))
}
