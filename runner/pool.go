// Package runner chooses the runner to which a request is sent.
//
// A Pool holds the runners of the shards that this process owns. Their slots
// are counted exactly: Acquire takes one, Release gives it back, and a runner
// never has more requests than slots. A Directory holds what peers advertise
// about their runners, which is late, and is a hint only; the owner decides.
//
// A runner whose requests keep failing has its circuit opened: it gets nothing
// until a jittered back-off has passed, then one probe. At most a third of the
// runners of a service may be open at once, so that a caller whose requests
// fail everywhere cannot take the service away from the others; with fewer than
// three runners none opens. A runner that is leaving gets nothing new and keeps
// what it has.
//
// Nothing here does input or output, reads a clock or starts a goroutine: time
// and randomness are arguments, and one control goroutine calls everything.
//
// Usage:
//
//	var p runner.Pool
//	p.Upsert(runner.Runner{ID: "r-1", Service: "returns", Slots: 8}, now)
//	if r, ok := p.Acquire("returns", now, rng); ok {
//		... // send the request to r.Address
//		p.Release(r.ID, runner.OK, latency, now, rng)
//	}
package runner

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Runner is an upstream that answers the requests of a service.
type Runner struct {
	ID         string
	Service    string
	DataCentre string
	Rack       string
	Address    string // base URL
	Slots      int    // requests that it takes at once
	Leaving    bool
}

// State is a Runner with what the Pool knows about it.
type State struct {
	Runner
	Busy    int // slots in use
	Circuit Circuit
	Latency time.Duration // smoothed, 0 before the first answer
}

const latencyWeight = 8 // a new latency counts 1/8

// Pool holds the runners that this process owns. The zero value is empty.
type Pool struct {
	runners  map[string]*entry
	services map[string][]*entry // in order of ID
}

type entry struct {
	State
	breaker breaker
	marked  bool // by SetLeaving
	removed bool
}

// Upsert adds a runner or changes what is known of it. Requests in flight and
// the circuit stay, and so does a mark of SetLeaving, since the platform's list
// lags behind it. Slots below what is busy only keep new requests away.
func (p *Pool) Upsert(r Runner, _ time.Time) {
	e := p.runners[r.ID]
	if e == nil {
		e = &entry{}
		if p.runners == nil {
			p.runners = make(map[string]*entry)
			p.services = make(map[string][]*entry)
		}
		p.runners[r.ID] = e
	} else {
		p.unlist(e)
	}
	e.Runner, e.removed = r, false
	list := p.services[r.Service]
	at, _ := slices.BinarySearchFunc(list, e, byID)
	p.services[r.Service] = slices.Insert(list, at, e)
}

// SetLeaving marks a runner as leaving or takes the mark away. A runner gets
// nothing new while it is marked or was last upserted as leaving.
func (p *Pool) SetLeaving(id string, leaving bool) {
	if e := p.runners[id]; e != nil && !e.removed {
		e.marked = leaving
	}
}

// Remove takes a runner away. It gets nothing new; its requests in flight are
// released as usual.
func (p *Pool) Remove(id string) {
	e := p.runners[id]
	if e == nil || e.removed {
		return
	}
	p.unlist(e)
	e.removed, e.marked = true, false
	if e.Busy == 0 {
		delete(p.runners, id)
	}
}

// Acquire takes a slot of the least loaded runner of the service that may get
// a request, a random one among equals, and reports false if there is none.
// The slot has to be released.
func (p *Pool) Acquire(service string, now time.Time, rng *rand.Rand) (Runner, bool) {
	var best *entry
	ties := 0
	for _, e := range p.services[service] {
		if !e.usable(now) {
			continue
		}
		order := -1
		if best != nil {
			order = compareLoad(e, best)
		}
		switch {
		case order < 0:
			best, ties = e, 1
		case order == 0:
			if ties++; rng.IntN(ties) == 0 {
				best = e
			}
		}
	}
	if best == nil {
		return Runner{}, false
	}
	best.Busy++
	best.breaker.sent(now)
	return best.Runner, true
}

// AcquireOf takes a slot of the given runner if it may get a request.
func (p *Pool) AcquireOf(id string, now time.Time) (Runner, bool) {
	e := p.runners[id]
	if e == nil || e.removed || !e.usable(now) {
		return Runner{}, false
	}
	e.Busy++
	e.breaker.sent(now)
	return e.Runner, true
}

// Release gives back a slot with the outcome of its request and the time that
// it took. Releasing what was not acquired changes nothing.
func (p *Pool) Release(id string, outcome Outcome, latency time.Duration, now time.Time, rng *rand.Rand) {
	e := p.runners[id]
	if e == nil || e.Busy == 0 {
		return
	}
	e.Busy--
	if outcome == OK && latency > 0 {
		e.Latency += (latency - e.Latency) / latencyWeight
	}
	e.breaker.done(outcome, now, rng, p.mayOpen(e))
	if e.removed && e.Busy == 0 {
		delete(p.runners, id)
	}
}

// Free returns the number of slots of the service that could be acquired if
// no circuit were open.
func (p *Pool) Free(service string) int {
	free := 0
	for _, e := range p.services[service] {
		if !e.leaving() {
			free += max(0, e.Slots-e.Busy)
		}
	}
	return free
}

// All returns the state of every runner at the time now, in order of ID.
func (p *Pool) All(now time.Time) []State {
	all := make([]State, 0, len(p.runners))
	for _, e := range p.runners {
		s := e.State
		s.Circuit = e.breaker.state(now)
		s.Leaving = e.leaving()
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b State) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// mayOpen reports whether one more circuit of the service may open.
func (p *Pool) mayOpen(e *entry) bool {
	list := p.services[e.Service]
	open := 0
	for _, o := range list {
		if o != e && o.breaker.tripped {
			open++
		}
	}
	return (open+1)*openShare <= len(list)
}

func (p *Pool) unlist(e *entry) {
	list := p.services[e.Service]
	if at, ok := slices.BinarySearchFunc(list, e, byID); ok {
		p.services[e.Service] = slices.Delete(list, at, at+1)
	}
}

func (e *entry) leaving() bool { return e.Leaving || e.marked }

func (e *entry) usable(now time.Time) bool {
	return !e.leaving() && e.Busy < e.Slots && e.breaker.allows(now)
}

// compareLoad orders by the share of busy slots.
func compareLoad(a, b *entry) int { return cmp.Compare(a.Busy*b.Slots, b.Busy*a.Slots) }

func byID(a, b *entry) int { return cmp.Compare(a.ID, b.ID) }
