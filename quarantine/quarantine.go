// Package quarantine keeps work away from workers that fail what succeeds
// elsewhere, and parks tasks that fail everywhere.
//
// A failure is evidence against a worker only where it cannot be the fault of
// the work:
//
//   - a task that failed on the worker and succeeded on another one is strong
//     evidence;
//   - a job that failed on this worker, and nowhere else so far, is weak
//     evidence. Once it fails on a second worker without having succeeded
//     anywhere, it is the suspect, and counts against no worker.
//
// A worker is quarantined on strong evidence from several tasks, or on weak
// evidence from several jobs of several organisations, provided that it failed
// more tasks than it finished within the window. At most a share of the
// workers of a data centre is in quarantine or on probation at once, so that
// no bad job can empty a data centre; the one bad job that fails everywhere
// quarantines nothing at all. Weak evidence reaches a tenth at most, so that it
// holds nothing in a data centre of fewer than ten workers; strong evidence, which
// only work that succeeds elsewhere can give, reaches the whole share. After a
// while the worker is on probation: it runs one task at a time, and a few
// successes bring it back.
//
// Memory is bounded by the number of workers and by MaxJobs.
//
// Usage:
//
//	w := quarantine.Ward{}
//	w.AddWorker("w-17", "sofia")
//	if w.Failed(quarantine.Outcome{Worker: "w-17", Task: "t", Job: "j", Organisation: "returns"}, now) {
//		shard.Close("w-17", w.Reason("w-17"))
//	}
//	...
//	if w.Allow("w-17", running, now) { shard.Open("w-17") }
package quarantine

import "time"

const (
	defaultShareLimit = 1.0 / 3          // of the workers of a data centre
	weakShareLimit    = 0.1              // of the same, on weak evidence
	defaultWindow     = 30 * time.Minute // age after which evidence is forgotten
	defaultPause      = 10 * time.Minute // first stay in quarantine; doubles
	maxPause          = 4 * time.Hour
	defaultMaxJobs    = 4096

	strongTasks       = 3 // distinct tasks that succeeded elsewhere
	weakJobs          = 4 // distinct jobs that failed nowhere else
	weakOrganisations = 2
	probationGoal     = 3    // successes in a row
	maxEvidence       = 64   // failures remembered for each worker
	maxTasks          = 1024 // failed tasks remembered for each job
)

// State is the state of a worker.
type State string

// States of a worker.
const (
	Trusted     State = "trusted"
	Quarantined State = "quarantined"
	Probation   State = "probation"
)

// Outcome is the end of an attempt, other than by preemption or cancellation.
type Outcome struct {
	Worker       string
	Task         string
	Job          string
	Organisation string
}

// Ward keeps the evidence on every worker. The zero value has no workers and
// default limits.
type Ward struct {
	ShareLimit float64       // of the workers of a data centre, 0 to 1; weak evidence reaches a tenth at most
	Window     time.Duration // age after which evidence is forgotten
	Pause      time.Duration // first stay in quarantine
	MaxJobs    int           // jobs with failures that are remembered

	workers map[string]*record
	centres map[string]*centre
	jobs    map[string]*job
	order   []string // jobs, the oldest first
}

type centre struct{ workers, held int }

// record is what is known about a worker.
type record struct {
	name      string
	centre    *centre
	failures  []failure // within the window, the oldest first
	finished  []time.Time
	state     State
	since     time.Time
	stays     int // in quarantine, since it was last trusted for long
	successes int // in a row, on probation
	reason    string
}

type failure struct {
	Outcome
	at     time.Time
	strong bool
}

// job is what is known about a job of which a task failed.
type job struct {
	failedAt  map[string]bool // workers
	succeeded bool
	failed    map[string][]*record // by task, the workers on which it failed
}

// AddWorker adds a trusted worker. It does nothing if the worker is known.
func (w *Ward) AddWorker(worker, dataCentre string) {
	if _, ok := w.workers[worker]; ok {
		return
	}
	if w.workers == nil {
		w.workers = make(map[string]*record)
		w.centres = make(map[string]*centre)
		w.jobs = make(map[string]*job)
	}
	c, ok := w.centres[dataCentre]
	if !ok {
		c = &centre{}
		w.centres[dataCentre] = c
	}
	c.workers++
	w.workers[worker] = &record{name: worker, centre: c, state: Trusted}
}

// RemoveWorker forgets a worker that has left for good.
func (w *Ward) RemoveWorker(worker string) {
	r, ok := w.workers[worker]
	if !ok {
		return
	}
	w.trust(r)
	r.centre.workers--
	delete(w.workers, worker)
}

// State returns the state of a worker; a worker that is not known is trusted.
func (w *Ward) State(worker string) State {
	if r, ok := w.workers[worker]; ok {
		return r.state
	}
	return Trusted
}

// Reason returns in plain words why a worker is not trusted, or "".
func (w *Ward) Reason(worker string) string {
	if r, ok := w.workers[worker]; ok {
		return r.reason
	}
	return ""
}

// Held returns how many workers of a data centre are in quarantine or on
// probation, and how many there are.
func (w *Ward) Held(dataCentre string) (held, workers int) {
	if c, ok := w.centres[dataCentre]; ok {
		return c.held, c.workers
	}
	return 0, 0
}

// Allow reports whether a worker may be given a task while it runs the given
// number of tasks. It begins the probation of a worker whose stay is over.
func (w *Ward) Allow(worker string, running int, now time.Time) bool {
	r, ok := w.workers[worker]
	if !ok || r.state == Trusted {
		return true
	}
	if r.state == Quarantined && now.Sub(r.since) >= w.stay(r) {
		r.state, r.successes = Probation, 0
	}
	return r.state == Probation && running == 0
}

// Failed takes in a failed attempt, and reports whether its worker has been
// quarantined for it.
func (w *Ward) Failed(o Outcome, now time.Time) bool {
	r, ok := w.workers[o.Worker]
	if !ok {
		return false
	}
	j := w.job(o.Job)
	j.failedAt[o.Worker] = true
	if _, known := j.failed[o.Task]; known || len(j.failed) < maxTasks {
		j.failed[o.Task] = append(j.failed[o.Task], r)
	}
	if len(r.failures) == maxEvidence {
		r.failures = r.failures[1:]
	}
	r.failures = append(r.failures, failure{Outcome: o, at: now})
	if r.state == Probation && !w.suspect(o.Job) {
		w.hold(r, now, r.reason+"; failed again on probation")
		return true
	}
	return w.judge(r, now)
}

// Succeeded takes in a finished attempt. It returns the workers that are
// quarantined for having failed the same task before.
func (w *Ward) Succeeded(o Outcome, now time.Time) []string {
	r, ok := w.workers[o.Worker]
	if ok {
		w.finished(r, now)
	}
	j, ok := w.jobs[o.Job]
	if !ok {
		return nil
	}
	j.succeeded = true
	var held []string
	for _, other := range j.failed[o.Task] {
		if other == r || w.workers[other.name] != other {
			continue
		}
		other.confirm(o.Task)
		if w.judge(other, now) {
			held = append(held, other.name)
		}
	}
	delete(j.failed, o.Task)
	return held
}

func (w *Ward) finished(r *record, now time.Time) {
	if len(r.finished) == maxEvidence {
		r.finished = r.finished[1:]
	}
	r.finished = append(r.finished, now)
	if r.state != Probation {
		return
	}
	r.successes++
	if r.successes >= probationGoal {
		w.trust(r)
	}
}

func (r *record) confirm(task string) {
	for n := range r.failures {
		if r.failures[n].Task == task {
			r.failures[n].strong = true
		}
	}
}

func (w *Ward) hold(r *record, now time.Time, reason string) {
	if r.state == Probation {
		r.stays++
	}
	r.state, r.since, r.reason, r.successes = Quarantined, now, reason, 0
	r.failures, r.finished = nil, nil
}

func (w *Ward) trust(r *record) {
	if r.state != Trusted {
		r.centre.held--
	}
	r.state, r.reason, r.stays = Trusted, "", 0
	r.failures, r.finished = nil, nil
}

func (w *Ward) stay(r *record) time.Duration {
	d := w.Pause
	if d <= 0 {
		d = defaultPause
	}
	for range min(r.stays, 16) {
		d = min(2*d, maxPause)
	}
	return d
}

// limit returns how many workers of a data centre may be held before strong or
// weak evidence holds no more.
func (w *Ward) limit(c *centre, strong bool) int {
	share := w.ShareLimit
	if share <= 0 {
		share = defaultShareLimit
	}
	if !strong {
		share = min(share, weakShareLimit)
	}
	return int(share * float64(c.workers))
}

func (w *Ward) window() time.Duration {
	if w.Window <= 0 {
		return defaultWindow
	}
	return w.Window
}

// job returns the memory of a job, and forgets the oldest beyond MaxJobs.
func (w *Ward) job(name string) *job {
	if j, ok := w.jobs[name]; ok {
		return j
	}
	limit := w.MaxJobs
	if limit <= 0 {
		limit = defaultMaxJobs
	}
	if len(w.order) >= limit {
		delete(w.jobs, w.order[0])
		w.order = w.order[1:]
	}
	j := &job{failedAt: make(map[string]bool), failed: make(map[string][]*record)}
	w.jobs[name] = j
	w.order = append(w.order, name)
	return j
}

func (r *record) forget(before time.Time) {
	for len(r.failures) > 0 && r.failures[0].at.Before(before) {
		r.failures = r.failures[1:]
	}
	for len(r.finished) > 0 && r.finished[0].Before(before) {
		r.finished = r.finished[1:]
	}
}
