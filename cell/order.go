package cell

import (
	"time"

	"persimmonworks.example/persimmonworks/turn"
)

const (
	// maxGangDeferral bounds how long smaller tasks may be placed before a late gang.
	maxGangDeferral = 15 * time.Second
	// maxInterruption bounds how long urgent work is placed before a task of a lasting
	// step that has to run again.
	maxInterruption = 1500 * time.Millisecond
)

// compareSteps defines the order of placement without regard to organisations, see
// turn.Compare.
func compareSteps(a, b *readyStep, now time.Time) int {
	x, y := a.inLine(now), b.inLine(now)
	return turn.Compare(&x, &y)
}

// lateAfter returns the time after which the job cannot end in time.
func (s *readyStep) lateAfter() time.Time {
	if s.shape.GetGang() {
		return s.latestStart.Add(gangLeadTime)
	}
	return s.latestStart
}

// placementRank is the rank of a step in the order of placement.
func placementRank(s *readyStep, now time.Time) turn.Rank {
	late := now.After(s.lateAfter())
	switch {
	case s.shape.GetLongRunning():
		return lastingRank(s, now)
	case s.shape.GetGang() && now.Sub(s.readyAt) > maxGangDeferral:
		return turn.InTime
	case now.After(s.worthlessAfter):
		return turn.Worthless
	case s.queue.GetPriority() == 0 && late:
		return turn.UrgentLate
	case s.queue.GetPriority() == 0:
		return turn.Urgent
	case late:
		return turn.Late
	}
	return turn.InTime
}

// lastingRank is the rank of a step whose tasks run until the job is cancelled. Such a
// step is never too late; one that misses a task that ran before waits behind nothing
// but urgent work, and behind that only for a while.
func lastingRank(s *readyStep, now time.Time) turn.Rank {
	switch {
	case s.interruptedAt.IsZero():
		return turn.InTime
	case now.Sub(s.interruptedAt) > maxInterruption:
		return turn.Urgent
	}
	return turn.UrgentLate
}

// urgent reports whether a step of the rank may use workers that are kept for gangs.
func urgent(rank turn.Rank) bool { return rank <= turn.UrgentLate }
