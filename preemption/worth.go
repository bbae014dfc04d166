package preemption

import "time"

const (
	// leadTime is how long before the last moment runs are stopped for a step: a pass, the
	// order to the worker and the start that follows take about as long.
	leadTime = 250 * time.Millisecond
	// resumeWait is how long a stopped task is expected to wait for room again.
	resumeWait = time.Second
)

// MayWait reports whether a step can wait for room that comes free by itself and still end
// in time if runs, which take stop to end, have to be stopped for it after all.
//
// It answers bursts of urgent steps on full workers, where tasks end all the time: most of
// the steps find room before their time is up, and what was stopped for them at once was
// lost for nothing.
func MayWait(latestStart, now time.Time, stop time.Duration) bool {
	return now.Add(stop + leadTime).Before(latestStart)
}

// Outlook is what a run may still achieve for its job.
type Outlook struct {
	Done        time.Duration // what it has done of its task
	LatestStart time.Time     // with which the job ends in time
	UselessFrom time.Time     // with which the job ends too late to be worth anything
}

// Spoils reports whether stopping the run costs its job more than the work that is lost: the
// job would end in time, or of use, and does not once the task is stopped and takes away to
// stop and resume.
//
// It answers urgent bursts on a deployment full of wide jobs, each of which a single stopped
// task makes late.
func (o Outlook) Spoils(now time.Time, away time.Duration) bool {
	goesOn := now.Add(-o.Done)
	resumed := goesOn.Add(away + resumeWait)
	passes := func(t time.Time) bool { return !goesOn.After(t) && resumed.After(t) }
	return passes(o.LatestStart) || passes(o.UselessFrom)
}
