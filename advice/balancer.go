// Package advice balances requests to the advisory service, which knows the workers
// that may run a step, over helper processes that forward them.
//
// The service handles one request at a time from each process. A Balancer
// therefore estimates when each helper will be free, rejects requests that would
// queue for long, keeps short requests from queueing behind long ones, and learns
// the share of the workers that the steps of a queue may use.
//
// Usage:
//
//	b := advice.NewBalancer("e1", own)
//	b.NoteHelper("e2", func() advice.Advisor { return remote }, time.Now())
//	if h := b.Acquire(duration, time.Now()); h != nil {
//		permits, err := h.Advisor.Advise(ctx, step, workers)
//		b.Release(h, err, time.Now())
//	}
package advice

import (
	"math"
	"slices"
	"strings"
	"time"

	"persimmonworks.example/persimmonworks/wire"
)

const (
	longRequest          = 200 * time.Millisecond // requests from this duration on leave some helpers to shorter ones
	mediumRequest        = 30 * time.Millisecond  // the same, with a larger share, if usual requests are much shorter
	mediumRequestHelpers = 0.75
	mediumFactor         = 3 // a medium request takes at least this many times as long as the shortest ones
	// Shorter requests get the helpers for this many times their usual load to themselves.
	shortLoadFactor     = 2.0
	maxShortHelpers     = 0.4                    // of all helpers
	loadWindow          = 2 * time.Second        // over which the load of short requests is averaged
	shortestRiseRate    = 0.001                  // by which the duration of the shortest requests is forgotten, each request
	maxWait             = 200 * time.Millisecond // a request that would wait longer is rejected for now
	maxLongRequestWait  = 600 * time.Millisecond // the same for long requests
	maxInFlight         = 24                     // the service rejects requests while more than 32 wait
	helperTimeout       = 3 * time.Second        // a helper that has not been heard from for this long gets no requests
	failureBackoff      = 2 * time.Second        // after a failed request
	initialAllowedShare = 0.4                    // until the share of a queue is learned
	allowedShareGain    = 0.05                   // weight of a new answer
	minAllowedShare     = 0.1
)

// Helper is a process that sends requests to the advisory service, which handles
// one request at a time from each process.
type Helper struct {
	Name    string
	Advisor Advisor

	lastHeard  time.Time
	busyUntil  time.Time // estimated completion of all its requests
	avoidUntil time.Time // it gets no requests before
	inFlight   int
}

// Balancer distributes requests over helpers. It is not safe for concurrent use.
type Balancer struct {
	helpers       []*Helper
	liveBuf       []*Helper          // buffer of earliestHelper
	allowedShares map[string]float64 // share of the workers asked about that are allowed, by queue
	shortWork     time.Duration      // of the requests below longRequest, decaying over loadWindow
	shortWorkAt   time.Time          // when shortWork was last updated
	shortest      time.Duration      // duration of the shortest usual requests
}

// NewBalancer returns a balancer whose first helper is the process itself.
func NewBalancer(name string, own Advisor) *Balancer {
	const always = 1000 * time.Hour
	return &Balancer{helpers: []*Helper{{Name: name, Advisor: own, lastHeard: time.Now().Add(always)}}, allowedShares: map[string]float64{}}
}

// NoteHelper records that a helper is alive.
func (b *Balancer) NoteHelper(name string, advisor func() Advisor, now time.Time) {
	for _, h := range b.helpers {
		if h.Name == name {
			if h.lastHeard.Before(now) {
				h.lastHeard = now
			}
			return
		}
	}
	b.helpers = append(b.helpers, &Helper{Name: name, Advisor: advisor(), lastHeard: now})
	slices.SortFunc(b.helpers, func(a, b *Helper) int { return strings.Compare(a.Name, b.Name) })
}

// Acquire returns the helper that can send a request soonest and charges the
// request to it. It returns nil if that would not be soon: requests then wait in
// the scheduler, in the order of their steps, rather than at the service. Long
// requests use only the first helpers and short ones prefer the last, so that a
// short request seldom queues behind a long one.
func (b *Balancer) Acquire(duration time.Duration, now time.Time) *Helper {
	best := b.earliestHelper(duration, now)
	if best == nil {
		return nil
	}
	best.busyUntil = best.freeAt(now).Add(duration)
	best.inFlight++
	b.recordDuration(duration, now)
	return best
}

// recordDuration updates the load of short requests and the shortest duration.
func (b *Balancer) recordDuration(duration time.Duration, now time.Time) {
	if b.shortest == 0 || duration < b.shortest {
		b.shortest = duration
	} else {
		b.shortest += time.Duration(shortestRiseRate * float64(duration-b.shortest))
	}
	if duration < longRequest {
		b.shortWork = b.recentShortWork(now) + duration
		b.shortWorkAt = now
	}
}

func (b *Balancer) recentShortWork(now time.Time) time.Duration {
	age := now.Sub(b.shortWorkAt).Seconds() / loadWindow.Seconds()
	return time.Duration(float64(b.shortWork) * math.Exp(-age))
}

// helpersFor returns how many of the first of n helpers a request may use.
func (b *Balancer) helpersFor(duration time.Duration, n int, now time.Time) int {
	switch {
	case duration >= longRequest:
		load := float64(b.recentShortWork(now)) / float64(loadWindow) // in helpers
		reserved := min(math.Ceil(shortLoadFactor*load)+1, math.Ceil(maxShortHelpers*float64(n)))
		return max(1, n-int(reserved))
	case duration >= mediumRequest && duration >= mediumFactor*b.shortest:
		return max(1, int(math.Ceil(mediumRequestHelpers*float64(n))))
	}
	return n
}

// Idle returns how many helpers without a request could take one of the given
// duration.
func (b *Balancer) Idle(duration time.Duration, now time.Time) int {
	live := b.liveHelpers(now)
	idle := 0
	for _, h := range live[:b.helpersFor(duration, len(live), now)] {
		if h.inFlight == 0 {
			idle++
		}
	}
	return idle
}

// Available reports whether a minimal request of a queue could be sent now.
func (b *Balancer) Available(a *wire.DocketAdvice, now time.Time) bool {
	return b.earliestHelper(RequestDuration(a, 1), now) != nil
}

// liveHelpers returns the helpers that can take requests, or all if none can. The
// result is valid until the next call.
func (b *Balancer) liveHelpers(now time.Time) []*Helper {
	live := b.liveBuf[:0]
	for _, h := range b.helpers {
		if now.Sub(h.lastHeard) < helperTimeout && now.After(h.avoidUntil) {
			live = append(live, h)
		}
	}
	b.liveBuf = live
	if len(live) == 0 {
		return b.helpers
	}
	return live
}

func (b *Balancer) earliestHelper(duration time.Duration, now time.Time) *Helper {
	live := b.liveHelpers(now)
	live = live[:b.helpersFor(duration, len(live), now)]
	long, wait := duration >= longRequest, maxWait
	if long {
		wait = maxLongRequestWait
	}
	best := live[0]
	for _, h := range live[1:] {
		b, c := h.freeAt(now), best.freeAt(now)
		if b.Before(c) || b.Equal(c) && !long {
			best = h
		}
	}
	if best.freeAt(now).Sub(now) > wait || best.inFlight >= maxInFlight {
		return nil
	}
	return best
}

// freeAt returns the estimated time at which the helper has completed its requests.
func (h *Helper) freeAt(now time.Time) time.Time {
	if h.busyUntil.Before(now) {
		return now
	}
	return h.busyUntil
}

// Release records that a request was answered or failed.
func (b *Balancer) Release(h *Helper, err error, now time.Time) {
	h.inFlight--
	if err != nil {
		h.avoidUntil = now.Add(failureBackoff)
	}
	if h.inFlight == 0 {
		h.busyUntil = now
	}
}

// RequestDuration returns how long the service takes for a request.
func RequestDuration(a *wire.DocketAdvice, workers int) time.Duration {
	return time.Duration((a.GetDecisionMs() + float64(workers)*a.GetPerWorkerMs()) * float64(time.Millisecond))
}

// AllowedShare returns the learned share of the workers asked about that the steps
// of a queue may use.
func (b *Balancer) AllowedShare(queue string) float64 {
	if share, ok := b.allowedShares[queue]; ok {
		return max(share, minAllowedShare)
	}
	return initialAllowedShare
}

// RecordAllowed records how many of the workers that were asked about for the first
// time are allowed.
func (b *Balancer) RecordAllowed(queue string, allowed, asked int) {
	share := b.AllowedShare(queue)
	b.allowedShares[queue] = share + allowedShareGain*(float64(allowed)/float64(asked)-share)
}
