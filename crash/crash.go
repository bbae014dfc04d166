// Package crash decides which tasks may have crashed a worker, which is given up, and
// which kinds of task are kept apart from all others.
//
// When the process of a worker ends without notice, the scheduler knows what ran there,
// not what was the cause. A run that had not settled, which means that the worker had not
// reported it as running for a while, had only just begun. If there are such runs, they
// are the suspects and all others are bystanders; if there are none, all are suspects.
// The cause is a suspect
//
//   - that was the only one, but for runs of its own job, at the second crash under its
//     task, and was suspected before,
//   - or was the only one for the fourth time, although no worker ever answered its start,
//   - or was the only run on the worker at the fourth crash under its task.
//
// A run that should have been the only one, and for which there was no such worker, is taken
// for the cause as well, whatever has just begun beside it: one more try tells no more.
//
// The next run of a suspect is therefore a trial, which tells it from the other suspects:
//
//   - it starts on a worker on which all other runs have settled, and nothing starts
//     there until it has settled too;
//   - a task under which three workers have crashed runs on a worker with nothing else, or,
//     if there is none for a while, as after the crashes before.
//
// A start that was not answered may never have arrived. Its run is a suspect like
// others, but the crash does not count as one under its task.
//
// Invariants, as long as runs are placed by TrialFor:
//
//   - no task is given up before the second crash under it, or the fourth suspicion;
//   - a task that crashes each worker at its start is given up with the second crash
//     under it, if the workers answer its starts; any other task that crashes its
//     workers, with the fourth at the latest.
//
// Judge and TrialFor are pure. Counts belong to the caller, who has to keep them for the
// next owner of the tasks. Isolation is about kinds instead of tasks, works from signs
// that come seconds before a proof, and is begun anew by each owner.
//
// Usage:
//
//	for i, j := range crash.Judge(runs) {
//		if j.Verdict == crash.Cause { giveUp(runs[i].Task) }
//	}
//	if crash.TrialFor(history) == crash.Alone { ... }
//
//	var isolation crash.Isolation
//	isolation.Note(crash.Ended{Recent: recent, Shares: shares}, now)
//	if isolation.Isolated(kind) { ... }
package crash

import "slices"

const (
	aloneAfter       = 3 // crashes under a task, after which it runs alone
	minCrashesAlone  = 4 // under a task that was alone on the worker and never suspected before
	minCrashesToFail = 2 // under a task before it may be given up
	maxSuspicions    = 3 // before a task is the cause whose starts were never answered
)

// History is what is known of a task from earlier crashes.
type History struct {
	Crashes    int // of workers under the task
	Suspicions int // crashes of which it was a suspect
}

// Run is a run that was on a worker when its process ended.
type Run struct {
	History
	Job     string
	Begun   bool // the worker has certainly started the run
	Settled bool // the worker had reported the run as running for a while
	Crowded bool // its trial was to be Alone, and other jobs ran on the worker when it started
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

// Judgement is what a crash says of a run.
type Judgement struct {
	Verdict Verdict
	Counts  bool // as a crash under the task of the run
}

// Judge judges each of the runs that were on a worker whose process has ended.
func Judge(runs []Run) []Judgement {
	judgements := make([]Judgement, len(runs))
	anyFresh := slices.ContainsFunc(runs, func(r Run) bool { return !r.Settled })
	job, oneJob := "", true
	for i, r := range runs {
		judgements[i].Counts = r.Begun
		if anyFresh && r.Settled {
			continue
		}
		judgements[i].Verdict = Suspect
		oneJob = oneJob && (job == "" || job == r.Job)
		job = r.Job
	}
	for i, r := range runs {
		suspect := judgements[i].Verdict == Suspect
		if r.Crowded || suspect && isCause(r, oneJob, len(runs) == 1) {
			judgements[i].Verdict = Cause
		}
	}
	return judgements
}

// isCause reports whether a suspect is the cause. oneJob says that all suspects belong
// to its job, alone that nothing else was on the worker.
func isCause(r Run, oneJob, alone bool) bool {
	crashes := r.Crashes
	if r.Begun {
		crashes++
	}
	switch {
	case oneJob && r.Suspicions > 0 && crashes >= minCrashesToFail:
		return true
	case oneJob && r.Suspicions >= maxSuspicions:
		return true
	}
	return alone && crashes >= minCrashesAlone
}

// Trial is how a task has to be started so that the next crash tells more.
type Trial int

// Trials.
const (
	None  Trial = iota // like any other task
	Apart              // with no other run that has not settled
	Alone              // on a worker with nothing else
)

// TrialFor returns the trial for the next run of a task.
func TrialFor(h History) Trial {
	switch {
	case h.Crashes >= aloneAfter:
		return Alone
	case h.Suspicions > 0:
		return Apart
	}
	return None
}
