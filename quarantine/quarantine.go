// Package quarantine detects faulty workers, on which tasks fail that succeed
// elsewhere, and parks tasks that fail repeatedly.
//
// A failure counts as evidence against a worker only if the task is unlikely to be the
// cause:
//
//   - a task that failed on the worker and succeeded on another one is strong
//     evidence;
//   - a job that failed on this worker, and so far on no other, is weak evidence.
//     Once it has failed on a second worker, it no longer counts as weak evidence
//     against any worker; and unless it has succeeded somewhere, its failures do
//     not end the probation of a worker either.
//
// A worker is quarantined on strong evidence from several tasks, or on weak evidence
// from several jobs of several organisations, provided that it had more failures than
// successes within the window. The share of the workers of a data centre that are
// restricted, which means in quarantine or on probation, is limited, so that faulty
// jobs cannot take all workers out of service. A single job that fails on every
// worker causes no quarantine at all. With weak evidence the limit is at most a tenth
// of the workers, so in a data centre of fewer than ten workers it quarantines none.
// Strong evidence, which requires that the task succeeded elsewhere, may use the whole
// share. When the quarantine time is over, the worker is on probation: it is given one
// task at a time, more after each success, and is trusted again after a few in a row.
//
// Where work can run on no other worker, Probe begins the probation early, at intervals that
// double with each one that fails.
//
// Memory use is bounded by the number of workers and by MaxJobs.
//
// Usage:
//
//	w := quarantine.Tracker{}
//	w.AddWorker("w-17", "sofia")
//	if w.RecordFailure(quarantine.Attempt{Worker: "w-17", Task: "t", Job: "j", Organisation: "returns"}, now) {
//		shard.Close("w-17", w.Reason("w-17"))
//	}
//	...
//	if w.Allow("w-17", running, now) { shard.Open("w-17") }
package quarantine

import (
	"strings"
	"time"
)

const (
	defaultShareLimit     = 1.0 / 3          // share of the workers of a data centre
	weakShareLimit        = 0.1              // the same, on weak evidence
	defaultWindow         = 30 * time.Minute // age at which evidence is discarded
	defaultQuarantineTime = 10 * time.Minute // first time in quarantine; doubles after each failed probation
	maxQuarantineTime     = 4 * time.Hour
	defaultMaxJobs        = 4096

	strongTasks          = 3 // distinct tasks that succeeded on another worker
	weakJobs             = 4 // distinct jobs that failed on no other worker
	weakOrganisations    = 2
	probationSuccesses   = 3                      // consecutive successes that end a probation
	tasksPerSuccess      = 2                      // by which the tasks at a time grow during a probation
	probeLeast           = 500 * time.Millisecond // in quarantine before the first early probation
	probeMost            = 4 * time.Second
	maxOutcomesPerWorker = 64   // failures, and successes, recorded for each worker
	maxTasksPerJob       = 1024 // failed tasks recorded for each job
)

const failedAgain = "; failed again on probation" // added to the reason

// State is the state of a worker.
type State string

// States of a worker.
const (
	Trusted     State = "trusted"
	Quarantined State = "quarantined"
	Probation   State = "probation"
)

// Attempt identifies an attempt that has succeeded or failed. Callers must not report
// attempts that were preempted or cancelled.
type Attempt struct {
	Worker       string
	Task         string
	Job          string
	Organisation string
}

// Tracker records the evidence against each worker and tracks the worker's state. The zero
// value has no workers and uses the default limits.
type Tracker struct {
	ShareLimit        float64       // share of the workers of a data centre that may be restricted, 0 to 1; at most a tenth on weak evidence
	Window            time.Duration // age at which evidence is discarded
	InitialQuarantine time.Duration // first time in quarantine
	MaxJobs           int           // number of jobs with failures that are recorded

	restricted  int // workers in quarantine or on probation
	workers     map[string]*workerRecord
	dataCentres map[string]*dataCentreRecord
	jobs        map[string]*jobRecord
	jobOrder    []string // names of recorded jobs, the oldest first
}

// dataCentreRecord counts the workers of a data centre, and those in quarantine or on
// probation.
type dataCentreRecord struct{ workers, restricted int }

// workerRecord is the state of a worker and the evidence against it.
type workerRecord struct {
	name             string
	dataCentre       *dataCentreRecord
	failures         []failure // the oldest first
	successTimes     []time.Time
	state            State
	since            time.Time
	failedProbations int  // since it was last trusted
	failedProbes     int  // probations that had begun early
	early            bool // the probation has begun early
	successes        int  // consecutive, on probation
	reason           string
}

// failure is a failed attempt. It is strong evidence if the task has succeeded on
// another worker since.
type failure struct {
	Attempt
	at     time.Time
	strong bool
}

// jobRecord holds the failures of a job.
type jobRecord struct {
	failedWorkers map[string]bool // workers on which a task of the job failed
	succeeded     bool
	failedTasks   map[string][]*workerRecord // workers on which each task failed; deleted when it succeeds
}

// AddWorker adds a trusted worker. It has no effect if the worker is known.
func (w *Tracker) AddWorker(worker, dataCentre string) {
	if _, ok := w.workers[worker]; ok {
		return
	}
	if w.workers == nil {
		w.workers = make(map[string]*workerRecord)
		w.dataCentres = make(map[string]*dataCentreRecord)
		w.jobs = make(map[string]*jobRecord)
	}
	c, ok := w.dataCentres[dataCentre]
	if !ok {
		c = &dataCentreRecord{}
		w.dataCentres[dataCentre] = c
	}
	c.workers++
	w.workers[worker] = &workerRecord{name: worker, dataCentre: c, state: Trusted}
}

// RemoveWorker deletes the record of a worker that has left permanently.
func (w *Tracker) RemoveWorker(worker string) {
	r, ok := w.workers[worker]
	if !ok {
		return
	}
	w.markTrusted(r)
	r.dataCentre.workers--
	delete(w.workers, worker)
}

// State returns the state of a worker; an unknown worker is trusted.
func (w *Tracker) State(worker string) State {
	if r, ok := w.workers[worker]; ok {
		return r.state
	}
	return Trusted
}

// Reason returns a human-readable reason why a worker is not trusted, or "" if it is.
func (w *Tracker) Reason(worker string) string {
	if r, ok := w.workers[worker]; ok {
		return r.reason
	}
	return ""
}

// Any reports whether any worker is in quarantine or on probation.
func (w *Tracker) Any() bool { return w.restricted > 0 }

// Restricted returns the number of workers of a data centre that are in quarantine or on
// probation, and the number of all its workers.
func (w *Tracker) Restricted(dataCentre string) (held, workers int) {
	if c, ok := w.dataCentres[dataCentre]; ok {
		return c.restricted, c.workers
	}
	return 0, 0
}

// Allow reports whether a worker that runs the given number of tasks may be given
// another one. If the quarantine time of the worker is over, its probation begins.
func (w *Tracker) Allow(worker string, running int, now time.Time) bool {
	r, ok := w.workers[worker]
	if !ok || r.state == Trusted {
		return true
	}
	if r.state == Quarantined && now.Sub(r.since) >= w.quarantineTime(r) {
		r.state, r.successes, r.early = Probation, 0, false
	}
	return r.state == Probation && running < r.mostTasks()
}

// Probe begins the probation of a quarantined worker early, since work waits that can run
// nowhere else. It reports whether the worker may be given a task.
func (w *Tracker) Probe(worker string, running int, now time.Time) bool {
	if r, ok := w.workers[worker]; ok && r.state == Quarantined && now.Sub(r.since) >= r.probeInterval() {
		r.state, r.successes, r.early = Probation, 0, true
	}
	return w.Allow(worker, running, now)
}

// MostTasks returns how many tasks a worker may run at a time, -1 for no limit.
func (w *Tracker) MostTasks(worker string) int {
	r, ok := w.workers[worker]
	switch {
	case !ok || r.state == Trusted:
		return -1
	case r.state == Quarantined:
		return 0
	}
	return r.mostTasks()
}

// mostTasks returns how many tasks run at a time during a probation.
func (r *workerRecord) mostTasks() int { return 1 + tasksPerSuccess*r.successes }

// probeInterval returns the time in quarantine until the probation may begin early.
func (r *workerRecord) probeInterval() time.Duration {
	return min(probeMost, probeLeast<<min(r.failedProbes, 16))
}

// RecordFailure records a failed attempt, and reports whether its worker is quarantined as a
// result.
func (w *Tracker) RecordFailure(o Attempt, now time.Time) bool {
	r, ok := w.workers[o.Worker]
	if !ok {
		return false
	}
	j := w.jobRecord(o.Job)
	j.failedWorkers[o.Worker] = true
	if _, known := j.failedTasks[o.Task]; known || len(j.failedTasks) < maxTasksPerJob {
		j.failedTasks[o.Task] = append(j.failedTasks[o.Task], r)
	}
	if len(r.failures) == maxOutcomesPerWorker {
		r.failures = r.failures[1:]
	}
	r.failures = append(r.failures, failure{Attempt: o, at: now})
	if r.state == Probation && !w.failsEverywhere(o.Job) {
		w.quarantine(r, now, strings.TrimSuffix(r.reason, failedAgain)+failedAgain)
		return true
	}
	return w.evaluate(r, now)
}

// RecordSuccess records a successful attempt. It returns the workers that are quarantined as
// a result, because the same task had failed on them.
func (w *Tracker) RecordSuccess(o Attempt, now time.Time) []string {
	r, ok := w.workers[o.Worker]
	if ok {
		w.recordSuccess(r, now)
	}
	j, ok := w.jobs[o.Job]
	if !ok {
		return nil
	}
	j.succeeded = true
	var quarantined []string
	for _, other := range j.failedTasks[o.Task] {
		if other == r || w.workers[other.name] != other {
			continue
		}
		other.markStrong(o.Task)
		if w.evaluate(other, now) {
			quarantined = append(quarantined, other.name)
		}
	}
	delete(j.failedTasks, o.Task)
	return quarantined
}

// recordSuccess counts a success of the worker, and ends its probation after enough of
// them.
func (w *Tracker) recordSuccess(r *workerRecord, now time.Time) {
	if len(r.successTimes) == maxOutcomesPerWorker {
		r.successTimes = r.successTimes[1:]
	}
	r.successTimes = append(r.successTimes, now)
	if r.state != Probation {
		return
	}
	r.successes++
	if r.successes >= probationSuccesses {
		w.markTrusted(r)
	}
}

// markStrong makes the failures of the task strong evidence against the worker.
func (r *workerRecord) markStrong(task string) {
	for n := range r.failures {
		if r.failures[n].Task == task {
			r.failures[n].strong = true
		}
	}
}

// quarantine puts a worker into quarantine and discards the evidence against it.
func (w *Tracker) quarantine(r *workerRecord, now time.Time, reason string) {
	switch {
	case r.state == Probation && r.early:
		r.failedProbes++
	case r.state == Probation:
		r.failedProbations++
	}
	r.state, r.since, r.reason, r.successes = Quarantined, now, reason, 0
	r.failures, r.successTimes = nil, nil
}

// markTrusted ends the quarantine or probation of a worker and discards the evidence
// against it.
func (w *Tracker) markTrusted(r *workerRecord) {
	if r.state != Trusted {
		r.dataCentre.restricted--
		w.restricted--
	}
	r.state, r.reason, r.failedProbations, r.failedProbes = Trusted, "", 0, 0
	r.failures, r.successTimes = nil, nil
}

// quarantineTime returns how long the worker stays in quarantine: the initial time,
// doubled for each failed probation.
func (w *Tracker) quarantineTime(r *workerRecord) time.Duration {
	d := w.InitialQuarantine
	if d <= 0 {
		d = defaultQuarantineTime
	}
	for range min(r.failedProbations, 16) {
		d = min(2*d, maxQuarantineTime)
	}
	return d
}

// maxRestricted returns the number of workers of a data centre that may be in quarantine
// or on probation. At this number, strong or weak evidence quarantines no further ones.
func (w *Tracker) maxRestricted(c *dataCentreRecord, strong bool) int {
	share := w.ShareLimit
	if share <= 0 {
		share = defaultShareLimit
	}
	if !strong {
		share = min(share, weakShareLimit)
	}
	return int(share * float64(c.workers))
}

// window returns the age at which evidence is discarded.
func (w *Tracker) window() time.Duration {
	if w.Window <= 0 {
		return defaultWindow
	}
	return w.Window
}

// jobRecord returns the record of a job, and creates it if necessary. It deletes the
// oldest record if there are MaxJobs already.
func (w *Tracker) jobRecord(name string) *jobRecord {
	if j, ok := w.jobs[name]; ok {
		return j
	}
	limit := w.MaxJobs
	if limit <= 0 {
		limit = defaultMaxJobs
	}
	if len(w.jobOrder) >= limit {
		delete(w.jobs, w.jobOrder[0])
		w.jobOrder = w.jobOrder[1:]
	}
	j := &jobRecord{failedWorkers: make(map[string]bool), failedTasks: make(map[string][]*workerRecord)}
	w.jobs[name] = j
	w.jobOrder = append(w.jobOrder, name)
	return j
}

// discardBefore deletes the failures and successes before a time.
func (r *workerRecord) discardBefore(before time.Time) {
	for len(r.failures) > 0 && r.failures[0].at.Before(before) {
		r.failures = r.failures[1:]
	}
	for len(r.successTimes) > 0 && r.successTimes[0].Before(before) {
		r.successTimes = r.successTimes[1:]
	}
}
