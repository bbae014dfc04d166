// Package crash decides which tasks may have crashed a worker, and which is given up.
//
// When the process of a worker ends without notice, the scheduler knows what ran there,
// not what was the cause. A run that the worker never reported had only just begun. If
// there are such runs, they are the suspects and all others are bystanders; if there are
// none, all are suspects. The cause is a suspect
//
//   - that was the only one, but for runs of its own job, and was suspected before,
//   - or had only just begun, and was suspected twice before,
//   - or was the only run on the worker at the fourth crash under its task.
//
// The next run of a suspect is therefore a trial, which tells it from the other suspects:
//
//   - it starts on a worker that has reported all its other runs, and nothing starts
//     there until the worker has reported it too;
//   - a task that was suspected twice, or under which three workers have crashed, runs
//     on a worker with nothing else.
//
// Invariants, as long as runs are placed by TrialFor:
//
//   - no task is given up before the second crash under it;
//   - a task that crashes each worker at its start is given up with the second crash
//     if it was on trial, and with the third at the latest; one that crashes its worker
//     later, with the fourth at the latest.
//
// The functions are pure. Counts belong to the caller, who has to keep them for the
// next owner of the tasks.
//
// Usage:
//
//	for i, v := range crash.Judge(runs) {
//		if v == crash.Cause { giveUp(runs[i].Task) }
//	}
//	if crash.TrialFor(history) == crash.Alone { ... }
package crash

const (
	maxSuspicions    = 2 // before the crash with which a run that had just begun is the cause
	aloneAfter       = 3 // crashes under a task, after which it runs alone
	minCrashesAlone  = 4 // under a task that was alone on the worker and never suspected before
	minCrashesToFail = 2 // under a task before it may be given up
)

// History is what is known of a task from earlier crashes.
type History struct {
	Crashes    int // of workers under the task
	Suspicions int // crashes of which it was a suspect
}

// Run is a run that was on a worker when its process ended.
type Run struct {
	History
	Job      string
	Reported bool // the worker had reported the run as running
}

// Verdict says what a run has to do with a crash.
type Verdict int

// Verdicts.
const (
	Bystander Verdict = iota // the run only shared the worker
	Suspect                  // it may have been the cause
	Cause                    // its task is to be given up
)

// String returns the name used in logs.
func (v Verdict) String() string { return [...]string{"bystander", "suspect", "cause"}[v] }

// Judge returns the verdict on each of the runs of a worker whose process has ended.
func Judge(runs []Run) []Verdict {
	verdicts := make([]Verdict, len(runs))
	oneJob := true
	job := ""
	for i := range runs {
		if !isSuspect(runs, i) {
			continue
		}
		verdicts[i] = Suspect
		oneJob = oneJob && (job == "" || job == runs[i].Job)
		job = runs[i].Job
	}
	for i, r := range runs {
		if verdicts[i] == Suspect && isCause(r, oneJob, len(runs) == 1) {
			verdicts[i] = Cause
		}
	}
	return verdicts
}

// isCause reports whether a suspect is the cause. oneJob says that all suspects belong
// to its job, alone that nothing else was on the worker.
func isCause(r Run, oneJob, alone bool) bool {
	crashes := r.Crashes + 1
	switch {
	case crashes < minCrashesToFail:
		return false
	case oneJob && r.Suspicions > 0:
		return true
	case !r.Reported && r.Suspicions >= maxSuspicions:
		return true
	}
	return alone && crashes >= minCrashesAlone
}

// isSuspect reports whether a run may have been the cause: it had only just begun, or
// no run had.
func isSuspect(runs []Run, i int) bool {
	if !runs[i].Reported {
		return true
	}
	for _, r := range runs {
		if !r.Reported {
			return false
		}
	}
	return true
}

// Trial is how a task has to be started so that the next crash tells more.
type Trial int

// Trials.
const (
	None  Trial = iota // like any other task
	Apart              // with no other run that the worker has not reported yet
	Alone              // on a worker with nothing else
)

// TrialFor returns the trial for the next run of a task.
func TrialFor(h History) Trial {
	switch {
	case h.Crashes >= aloneAfter || h.Suspicions >= maxSuspicions:
		return Alone
	case h.Suspicions > 0:
		return Apart
	}
	return None
}
