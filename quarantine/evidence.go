package quarantine

import (
	"fmt"
	"time"
)

// failsEverywhere reports whether the job has failed on several workers and succeeded
// on none. Its failures are then no evidence against a worker.
func (w *Tracker) failsEverywhere(name string) bool {
	j, ok := w.jobs[name]
	return ok && !j.succeeded && len(j.failedWorkers) > 1
}

// evaluate quarantines a trusted worker if there is enough evidence against it and the
// limit of restricted workers in its data centre permits it. It reports whether it
// did.
func (w *Tracker) evaluate(r *workerRecord, now time.Time) bool {
	if r.state != Trusted {
		return false
	}
	r.discardBefore(now.Add(-w.window()))
	if len(r.failures) <= len(r.successTimes) {
		return false
	}
	reason, strong := w.assessEvidence(r)
	if reason == "" || r.dataCentre.restricted >= w.maxRestricted(r.dataCentre, strong) {
		return false
	}
	r.dataCentre.restricted++
	w.restricted++
	w.quarantine(r, now, reason)
	return true
}

// assessEvidence returns the reason to quarantine a worker, or "" if the evidence does
// not suffice, and whether the evidence is strong.
func (w *Tracker) assessEvidence(r *workerRecord) (reason string, isStrong bool) {
	strong := make(map[string]bool)
	weak := make(map[string]bool)
	organisations := make(map[string]bool)
	for _, f := range r.failures {
		if f.strong {
			strong[f.Task] = true
		}
		if j, ok := w.jobs[f.Job]; !f.strong && ok && len(j.failedWorkers) == 1 {
			weak[f.Job] = true
			organisations[f.Organisation] = true
		}
	}
	switch {
	case len(strong) >= strongTasks:
		return fmt.Sprintf("failed %d tasks that succeeded on other workers", len(strong)), true
	case len(weak) >= weakJobs && len(organisations) >= weakOrganisations:
		return fmt.Sprintf("failed %d jobs of %d organisations that failed nowhere else", len(weak), len(organisations)), false
	default:
		return "", false
	}
}
