package quarantine

import (
	"fmt"
	"time"
)

// suspect reports whether the job failed on several workers and succeeded on
// none.
func (w *Ward) suspect(name string) bool {
	j, ok := w.jobs[name]
	return ok && !j.succeeded && len(j.failedAt) > 1
}

// judge quarantines a trusted worker if the evidence suffices and the cap
// allows it.
func (w *Ward) judge(r *record, now time.Time) bool {
	if r.state != Trusted {
		return false
	}
	r.forget(now.Add(-w.window()))
	if len(r.failures) <= len(r.finished) {
		return false
	}
	reason, strong := w.evidence(r)
	if reason == "" || r.centre.held >= w.limit(r.centre, strong) {
		return false
	}
	r.centre.held++
	w.hold(r, now, reason)
	return true
}

// evidence returns the reason to quarantine a worker, or "", and whether it is
// strong.
func (w *Ward) evidence(r *record) (reason string, isStrong bool) {
	strong := make(map[string]bool)
	weak := make(map[string]bool)
	organisations := make(map[string]bool)
	for _, f := range r.failures {
		if f.strong {
			strong[f.Task] = true
		}
		if j, ok := w.jobs[f.Job]; !f.strong && ok && len(j.failedAt) == 1 {
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
