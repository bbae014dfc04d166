package cell

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxGangDeferral bounds how long smaller tasks may be placed before a late gang.
	maxGangDeferral = 15 * time.Second
	// maxInterruption bounds how long urgent work is placed before a task of a lasting
	// step that has to run again.
	maxInterruption = 1500 * time.Millisecond
)

// compareSteps defines the order of placement: by rank, then by latest start.
//
// It answers bursts, in which more work arrives than the workers can do in time. In
// the order of latest starts alone the step that is about to miss its time always goes
// first, so all of them miss it by a little. Steps that are late already therefore
// wait behind those of the same urgency that can still end in time.
func compareSteps(a, b *readyStep, now time.Time) int {
	return cmp.Or(
		cmp.Compare(placementRank(a, now), placementRank(b, now)),
		a.latestStart.Compare(b.latestStart),
		a.id.Compare(b.id),
	)
}

// sortSteps sorts steps in the order of placement.
func sortSteps(steps []*readyStep, now time.Time) {
	slices.SortFunc(steps, func(a, b *readyStep) int { return compareSteps(a, b, now) })
}

// lateAfter returns the time after which the job cannot end in time.
func (s *readyStep) lateAfter() time.Time {
	if s.shape.GetGang() {
		return s.latestStart.Add(gangLeadTime)
	}
	return s.latestStart
}

// Ranks of steps in the order of placement. Steps of jobs that can only end too late to
// be worth anything come last.
const (
	rankUrgent = iota
	rankUrgentLate
	rankInTime
	rankLate
	rankWorthless
)

func placementRank(s *readyStep, now time.Time) int {
	late := now.After(s.lateAfter())
	switch {
	case s.shape.GetLongRunning():
		return lastingRank(s, now)
	case s.shape.GetGang() && now.Sub(s.readyAt) > maxGangDeferral:
		return rankInTime
	case now.After(s.worthlessAfter):
		return rankWorthless
	case s.queue.GetPriority() == 0 && late:
		return rankUrgentLate
	case s.queue.GetPriority() == 0:
		return rankUrgent
	case late:
		return rankLate
	}
	return rankInTime
}

// lastingRank is the rank of a step whose tasks run until the job is cancelled. Such a
// step is never too late; one that misses a task that ran before waits behind nothing
// but urgent work, and behind that only for a while.
func lastingRank(s *readyStep, now time.Time) int {
	switch {
	case s.interruptedAt.IsZero():
		return rankInTime
	case now.Sub(s.interruptedAt) > maxInterruption:
		return rankUrgent
	}
	return rankUrgentLate
}

// urgent reports whether a step of the rank may use workers that are kept for gangs.
func urgent(rank int) bool { return rank <= rankUrgentLate }
