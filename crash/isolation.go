package crash

import (
	"math"
	"time"
)

const (
	hitRate  = 0.95 // share of the crashes caused by a kind that find a run of it that was just started
	missRate = 1 - hitRate
	// minShare and maxShare bound the share of workers with recent starts of a kind, so
	// that no single crash decides.
	minShare, maxShare = 0.05, 0.9

	isolateAt    = 7.0                     // log likelihood ratio at which a kind is isolated, odds of 1000 to 1
	maxEvidence  = 10.0                    // more is not kept, so that isolation ends in time
	releaseBelow = 4.0                     // log likelihood ratio at which isolation ends
	forgetBelow  = 0.01                    // log likelihood ratio below which evidence is dropped
	halfLife     = 2500 * time.Millisecond // of evidence

	// minIsolated is the share of the workers that isolated kinds may always use, and
	// maxIsolated the most while there is other work.
	minIsolated, maxIsolated = 0.25, 0.5
	// usableShare is the share of workers' processors that work can use: whole tasks leave
	// gaps.
	usableShare = 0.85
)

// Ended is a worker whose process seems to have ended without notice.
type Ended struct {
	// Recent are the kinds of which a run was started on the worker just before.
	Recent map[string]bool
	// Shares is the share of all workers with such a run, for each kind of which
	// there are any.
	Shares map[string]float64
}

// Isolation decides which kinds of task are kept apart from all others, since many of
// their tasks crash the workers that start them.
//
// It answers a flood of such tasks. Judge gives up a task after two crashes, and by then
// two workers with all that they run are lost; a hundred such tasks in some seconds take
// down a whole pool, and every other kind with it. Isolated kinds share a part of the
// workers, and what they crash is theirs.
//
// The evidence for a kind is the log likelihood ratio of two causes of the crashes: that
// its tasks crash workers at their start, and that workers crash whatever they run. A
// sound kind that runs everywhere gains little from a crash and loses much from one
// elsewhere, so that failures of hosts and racks isolate nothing. Evidence fades.
//
// The zero value is ready. The methods are not safe for concurrent use.
type Isolation struct {
	kinds map[string]*evidence
}

type evidence struct {
	ratio    float64 // log likelihood ratio at the time at, from 0 to maxEvidence
	at       time.Time
	isolated bool
}

// Note takes a crash into account, and returns the kinds that it isolates.
func (s *Isolation) Note(e Ended, now time.Time) (isolated []string) {
	if s.kinds == nil {
		s.kinds = map[string]*evidence{}
	}
	for kind := range e.Recent {
		if s.kinds[kind] == nil {
			s.kinds[kind] = &evidence{at: now}
		}
	}
	for kind, k := range s.kinds {
		share := min(maxShare, max(minShare, e.Shares[kind]))
		gain := math.Log(missRate / (1 - share))
		if e.Recent[kind] {
			gain = math.Log(hitRate / share)
		}
		k.ratio = min(maxEvidence, max(0, k.faded(now)+gain))
		k.at = now
		if !k.isolated && k.ratio >= isolateAt {
			k.isolated = true
			isolated = append(isolated, kind)
		}
	}
	return isolated
}

// Expire ends the isolation of kinds for which the evidence has faded, and returns them.
func (s *Isolation) Expire(now time.Time) (released []string) {
	for kind, k := range s.kinds {
		ratio := k.faded(now)
		if k.isolated && ratio < releaseBelow {
			k.isolated = false
			released = append(released, kind)
		}
		if ratio < forgetBelow {
			delete(s.kinds, kind)
		}
	}
	return released
}

// Isolated reports whether a kind is isolated.
func (s *Isolation) Isolated(kind string) bool {
	k := s.kinds[kind]
	return k != nil && k.isolated
}

// Any reports whether any kind is isolated.
func (s *Isolation) Any() bool {
	for _, k := range s.kinds {
		if k.isolated {
			return true
		}
	}
	return false
}

func (k *evidence) faded(now time.Time) float64 {
	return k.ratio * math.Exp2(-now.Sub(k.at).Seconds()/halfLife.Seconds())
}

// IsolatedWorkers returns how many of the workers isolated kinds may use, those that they
// have just crashed included. urgent is the share of the pool that urgent kinds among them
// used before, others the share that all other work uses or waits for. Urgent kinds get
// twice what they used, once for tasks on trial; all get what other work leaves.
func IsolatedWorkers(workers int, urgent, others float64) int {
	share := 1.0
	if others > 0 {
		share = max(minIsolated, min(maxIsolated, max(2*urgent/usableShare, 1-others/usableShare)))
	}
	return max(1, int(share*float64(workers)))
}
