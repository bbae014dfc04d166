package rack

import (
	"time"

	"persimmonworks.example/persimmonworks/crash"
)

// settleTime is how long an attempt has to run before it counts as settled, see package
// crash.
const settleTime = 300 * time.Millisecond

// suspectCrash marks the attempts that may have ended the process of a worker that has
// booted again without having been announced to leave.
func suspectCrash(m *member, now time.Time) {
	if m.leaving {
		return
	}
	var sent []*Attempt
	var runs []crash.Run
	for _, a := range m.attempts {
		if a.Final() || !a.sent {
			continue
		}
		sent = append(sent, a)
		runs = append(runs, crash.Run{
			Job: a.Task, Begun: true, Settled: a.State == Running && now.Sub(a.placedAt) >= settleTime,
			// As if suspected before: the sole suspect is then told from others.
			History: crash.History{Crashes: 1, Suspicions: 1},
		})
	}
	for i, j := range crash.Judge(runs) {
		switch j.Verdict {
		case crash.Suspect:
			sent[i].Suspicion = Suspected
		case crash.Cause:
			sent[i].Suspicion = SoleSuspect
		}
	}
}
