// Package runner selects the runner to which a request is sent.
//
// A Pool holds the runners of the shards that this process owns and counts their
// slots exactly: Acquire takes a slot, Release returns it, and a runner gets no
// request beyond its number of slots. A Directory holds the free slots that peers
// advertise for their runners. Adverts arrive with a delay, so its choice is only
// a hint; the process that owns the runner decides.
//
// Each runner has a circuit breaker. After repeated failures the circuit opens:
// the runner gets no requests until a back-off with jitter has passed, then one
// probe at a time. At most a third of the circuits of a service may be open at
// once, so that a caller whose requests fail on every runner cannot make the
// service unavailable to other callers; with fewer than three runners none opens.
// A runner that is leaving gets no new requests and keeps those in flight.
//
// The package does no I/O, reads no clock and starts no goroutines: the time and
// the source of randomness are arguments. Its types are not safe for concurrent
// use; a single control goroutine makes all calls.
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
	Slots      int    // maximum number of concurrent requests
	Leaving    bool
}

// State is a Runner with its current load, circuit and latency.
type State struct {
	Runner
	Busy    int // slots in use
	Circuit Circuit
	Latency time.Duration // exponential moving average, 0 before the first successful request
}

const latencyWeight = 8 // the moving average gives a new latency a weight of 1/8

// Pool holds the runners that this process owns. The zero value is an empty pool.
type Pool struct {
	runners  map[string]*entry
	services map[string][]*entry // sorted by ID
}

type entry struct {
	State
	breaker       breaker
	markedLeaving bool // set by SetLeaving
	removed       bool
}

// Upsert adds a runner or updates an existing one. An update keeps the requests
// in flight, the circuit and a mark set by SetLeaving, because the platform's list
// of runners lags behind that mark. If the new number of slots is below the number
// in use, the runner only gets no new requests until enough slots are released.
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
		p.removeFromService(e)
	}
	e.Runner, e.removed = r, false
	list := p.services[r.Service]
	at, _ := slices.BinarySearchFunc(list, e, compareByID)
	p.services[r.Service] = slices.Insert(list, at, e)
}

// SetLeaving sets or clears the mark that a runner is leaving. A runner gets no
// new requests while it is marked or its last Upsert said that it is leaving.
func (p *Pool) SetLeaving(id string, leaving bool) {
	if e := p.runners[id]; e != nil && !e.removed {
		e.markedLeaving = leaving
	}
}

// Remove removes a runner from the pool. It gets no new requests; those in flight
// are released as usual.
func (p *Pool) Remove(id string) {
	e := p.runners[id]
	if e == nil || e.removed {
		return
	}
	p.removeFromService(e)
	e.removed, e.markedLeaving = true, false
	if e.Busy == 0 {
		delete(p.runners, id)
	}
}

// Acquire takes a slot of the least loaded available runner of the service, with
// ties broken at random, and returns false if no runner is available. The caller
// must release the slot.
func (p *Pool) Acquire(service string, now time.Time, rng *rand.Rand) (Runner, bool) {
	var best *entry
	ties := 0
	for _, e := range p.services[service] {
		if !e.available(now) {
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
	best.breaker.recordSent(now)
	return best.Runner, true
}

// AcquireByID takes a slot of the given runner and returns false if that runner is
// not available. The caller must release the slot.
func (p *Pool) AcquireByID(id string, now time.Time) (Runner, bool) {
	e := p.runners[id]
	if e == nil || e.removed || !e.available(now) {
		return Runner{}, false
	}
	e.Busy++
	e.breaker.recordSent(now)
	return e.Runner, true
}

// Release returns a slot and records the outcome and latency of its request. It
// does nothing if the runner has no slot in use.
func (p *Pool) Release(id string, outcome Outcome, latency time.Duration, now time.Time, rng *rand.Rand) {
	e := p.runners[id]
	if e == nil || e.Busy == 0 {
		return
	}
	e.Busy--
	if outcome == OK && latency > 0 {
		e.Latency += (latency - e.Latency) / latencyWeight
	}
	e.breaker.recordOutcome(outcome, now, rng, p.mayOpen(e))
	if e.removed && e.Busy == 0 {
		delete(p.runners, id)
	}
}

// Free returns the number of free slots of the service, including those of
// runners whose circuit is open and excluding those of runners that are leaving.
func (p *Pool) Free(service string) int {
	free := 0
	for _, e := range p.services[service] {
		if !e.leaving() {
			free += max(0, e.Slots-e.Busy)
		}
	}
	return free
}

// All returns the state of every runner at the time now, sorted by ID.
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

// mayOpen reports whether the circuit of e may open, given how many others of its
// service are open.
func (p *Pool) mayOpen(e *entry) bool {
	list := p.services[e.Service]
	open := 0
	for _, o := range list {
		if o != e && o.breaker.tripped {
			open++
		}
	}
	return (open+1)*runnersPerOpenCircuit <= len(list)
}

func (p *Pool) removeFromService(e *entry) {
	list := p.services[e.Service]
	if at, ok := slices.BinarySearchFunc(list, e, compareByID); ok {
		p.services[e.Service] = slices.Delete(list, at, at+1)
	}
}

func (e *entry) leaving() bool { return e.Leaving || e.markedLeaving }

func (e *entry) available(now time.Time) bool {
	return !e.leaving() && e.Busy < e.Slots && e.breaker.allows(now)
}

// compareLoad compares the shares of slots in use.
func compareLoad(a, b *entry) int { return cmp.Compare(a.Busy*b.Slots, b.Busy*a.Slots) }

func compareByID(a, b *entry) int { return cmp.Compare(a.ID, b.ID) }
