// Package admission decides which requests wait, which are refused at once,
// and which goes next when a slot is free.
//
// A Gate keeps, for each service, queues by class and organisation. Every
// request that is offered ends in exactly one way: Next admits it, it is
// refused (by Offer, or later by Expire), or Cancel takes it out. A refusal is
// always not-run: nothing was sent.
//
//   - Queues are bounded by class and, within a class, by organisation.
//   - The most urgent class goes first, but the less urgent ages: each step of
//     urgency is worth AgeStep of waiting. One admission in eight at most
//     overtakes by age, so that a backlog of old batch requests holds up no
//     interactive ones. Organisations of one class share by weight (start-time
//     fair queueing on estimated run time).
//   - Long requests never take the share of slots that is kept for short ones,
//     and two fifths of these are kept for urgent ones, which bounds head-of-line
//     blocking.
//   - A request of which 99 in 100 would not end by their deadline is refused
//     early, with a jittered time after which to come back; one whose deadline comes too near
//     in the queue is dropped, so that a slot is spent only on answers that
//     somebody still waits for.
//   - The number of requests at work is bounded by the slots, where they are
//     known, else by a limit that follows the gradient of the latency.
//
// Nothing here does input or output, reads a clock or starts a goroutine: time
// and randomness are arguments, and one control goroutine calls everything.
// The caller checks that the service and the organisation exist, since a Gate
// keeps state for each name that it is given.
//
// Usage:
//
//	g := admission.Gate{Weights: map[string]int{"prado": 2}}
//	g.SetSlots("returns", 400)
//	if d := g.Offer(request, now, rng); !d.Queued { ... } // refuse with d
//	for r, ok := g.Next("returns", now); ok; r, ok = g.Next("returns", now) { ... }
//	g.Done(r.ID, latency, true, now)
//	for _, r := range g.Expire(now, rng) { ... } // refuse, a few times a second
package admission

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"persimmonworks.example/persimmonworks/class"
)

const (
	defaultMaxQueued  = 1024
	defaultAgeStep    = 2 * time.Second
	defaultMaxWait    = 30 * time.Second
	defaultShortShare = 0.05
	minRetryAfter     = time.Second
	maxRetryAfter     = 30 * time.Second
)

// Request is a request that wants a slot of a service.
type Request struct {
	ID           string
	Organisation string
	Class        class.Class
	Service      string
	// Deadline is when the caller stops waiting; zero for MaxWait after Offer.
	Deadline time.Time
	// Expected is the declared run time, 0 when unknown. The learned run time
	// of the class goes before it.
	Expected time.Duration
}

// Decision is the answer to Offer. A request that is not queued is refused
// as not-run.
type Decision struct {
	Queued     bool
	Reason     string        // of a refusal
	RetryAfter time.Duration // of a refusal, with jitter
}

// Refusal is a request that was dropped from its queue and has not run.
type Refusal struct {
	Request Request
	Decision
}

// Gate admits requests. The exported fields are set before the first Offer;
// zero values mean the defaults.
type Gate struct {
	// Weights are the shares of the organisations; a missing one is 1.
	Weights map[string]int
	// MaxQueued bounds the requests that wait in one class of a service, 0
	// means 1024; the long and the short requests of one organisation may each
	// have half of them.
	MaxQueued int
	// AgeStep is the waiting time that makes up for one step of urgency, 0
	// means 2 s.
	AgeStep time.Duration
	// MaxWait bounds the wait of requests without a deadline, 0 means 30 s.
	MaxWait time.Duration
	// ShortShare is the share of slots that long requests never take, 0 means
	// a twentieth. One slot at least is left to long requests if there are two.
	ShortShare float64
	// LongAfter makes a request long that is declared to run longer, or learned
	// to where nothing is declared, whatever its class; 0 counts only batch and service as long.
	LongAfter time.Duration

	items    map[string]*item
	services map[string]*service
	dropped  []*item
}

// item is a request that is queued or at work.
type item struct {
	Request
	offered time.Time
	cost    time.Duration // estimated run time
	latest  time.Duration // run time that nearly all such requests end within
	queue   *queue        // where it waits, nil once admitted
	long    bool
	node    node[*item]
}

// SetSlots sets the exact number of slots of a service; below 0 the number is
// not known and the limit adapts to the latency.
func (g *Gate) SetSlots(name string, slots int) { g.service(name).slots = slots }

// Offer queues r or refuses it.
func (g *Gate) Offer(r Request, now time.Time, rng *rand.Rand) Decision {
	if r.Deadline.IsZero() {
		r.Deadline = now.Add(orDefault(g.MaxWait, defaultMaxWait))
	}
	if _, ok := g.items[r.ID]; ok {
		return refuse(0, rng, "request %q is queued or at work already", r.ID)
	}
	s := g.service(r.Service)
	c := s.class(r.Class)
	if c == nil {
		return refuse(0, rng, "class %q is not one of %v", r.Class, class.All)
	}
	cost := c.estimate(r.Expected)
	long := r.Class == class.Batch || r.Class == class.Service || g.LongAfter > 0 && orDefault(r.Expected, cost) > g.LongAfter
	key := queueKey{r.Organisation, long}
	latest := c.latest(r.Expected)
	wait := s.wait(c, key, g)
	limit := orDefault(g.MaxQueued, defaultMaxQueued)
	q := c.queue(key)
	switch {
	case c.queued >= limit:
		return refuse(wait, rng, "the %s queue of service %q is full with %d requests", r.Class, r.Service, c.queued)
	case q.len() >= max(1, limit/2):
		return refuse(wait, rng, "organisation %q has %d requests in the %s queue of service %q", r.Organisation, q.len(), r.Class, r.Service)
	case now.Add(wait + latest).After(r.Deadline):
		return refuse(wait, rng, "estimated wait %v and run time %v go past the deadline in %v",
			wait.Round(time.Millisecond), latest.Round(time.Millisecond), r.Deadline.Sub(now).Round(time.Millisecond))
	}
	i := &item{Request: r, offered: now, cost: cost, latest: latest, queue: q, long: long}
	if g.items == nil {
		g.items = make(map[string]*item)
	}
	g.items[r.ID] = i
	c.push(q, i)
	return Decision{Queued: true}
}

// Next admits the request of the service that goes first, and reports false
// if none waits or there is no slot for those that do. The slot is held until
// Done.
func (g *Gate) Next(name string, now time.Time) (Request, bool) {
	s := g.services[name]
	for s != nil && s.running < s.limit() {
		i, overtakes := g.first(s, now)
		if i == nil {
			break
		}
		i.queue.class.remove(i)
		if now.Add(i.latest).After(i.Deadline) {
			delete(g.items, i.ID)
			g.dropped = append(g.dropped, i)
			continue
		}
		i.queue.class.served(i, g.weight(i.Organisation))
		i.queue = nil
		s.admit(i, 1)
		s.countOvertaking(overtakes)
		return i.Request, true
	}
	return Request{}, false
}

// Cancel takes a waiting request out in constant time. It reports false for a
// request that is not waiting: one at work ends by Done.
func (g *Gate) Cancel(id string) bool {
	i := g.items[id]
	if i == nil || i.queue == nil {
		return false
	}
	i.queue.class.remove(i)
	delete(g.items, id)
	return true
}

// Done gives back the slot of an admitted request, with the time that it took
// at the runner and whether it got its answer.
func (g *Gate) Done(id string, latency time.Duration, ok bool, _ time.Time) {
	i := g.items[id]
	if i == nil || i.queue != nil {
		return
	}
	delete(g.items, id)
	s := g.services[i.Service]
	s.learn(s.class(i.Class), latency, ok)
	s.admit(i, -1)
}

// Expire returns the requests that have been dropped since the last call,
// those included whose deadline can no longer be met now.
func (g *Gate) Expire(now time.Time, rng *rand.Rand) []Refusal {
	for _, i := range g.items {
		if i.queue != nil && now.Add(i.latest).After(i.Deadline) {
			i.queue.class.remove(i)
			delete(g.items, i.ID)
			g.dropped = append(g.dropped, i)
		}
	}
	slices.SortFunc(g.dropped, func(a, b *item) int {
		return cmp.Or(a.offered.Compare(b.offered), cmp.Compare(a.ID, b.ID))
	})
	refused := make([]Refusal, 0, len(g.dropped))
	for _, i := range g.dropped {
		d := refuse(now.Sub(i.offered), rng, "the deadline can no longer be met after %v of waiting", now.Sub(i.offered).Round(time.Millisecond))
		refused = append(refused, Refusal{i.Request, d})
	}
	g.dropped = nil
	return refused
}

// Waiting returns how many requests of the service wait.
func (g *Gate) Waiting(name string) int {
	waiting := 0
	for _, c := range g.service(name).classes {
		waiting += c.queued
	}
	return waiting
}

// Running returns how many requests of the service are at work.
func (g *Gate) Running(name string) int { return g.service(name).running }

// Limit returns how many requests of the service may be at work.
func (g *Gate) Limit(name string) int { return g.service(name).limit() }

// first returns the waiting request that goes first and may take a slot, and
// whether it overtakes a more urgent one by its age.
func (g *Gate) first(s *service, now time.Time) (best *item, overtakes bool) {
	var bestRank time.Duration
	for rank, c := range s.classes {
		if best != nil && s.byClass > 0 {
			break
		}
		i := c.head(func(i *item) bool { return s.mayTake(i, g.shortShare()) })
		if i == nil {
			continue
		}
		aged := time.Duration(rank)*orDefault(g.AgeStep, defaultAgeStep) - now.Sub(i.offered)
		if best == nil || aged < bestRank {
			overtakes = best != nil
			best, bestRank = i, aged
		}
	}
	return best, overtakes
}

func (g *Gate) service(name string) *service {
	s := g.services[name]
	if s == nil {
		s = newService()
		if g.services == nil {
			g.services = make(map[string]*service)
		}
		g.services[name] = s
	}
	return s
}

func (g *Gate) weight(organisation string) float64 {
	return float64(max(1, g.Weights[organisation]))
}

func (g *Gate) shortShare() float64 {
	if g.ShortShare <= 0 || g.ShortShare > 1 {
		return defaultShortShare
	}
	return g.ShortShare
}

// refuse makes a refusal whose retry time is spread over the wait that there
// is now and twice as much again, so that a burst does not come back as one.
func refuse(wait time.Duration, rng *rand.Rand, format string, args ...any) Decision {
	base := min(max(wait, minRetryAfter), maxRetryAfter/3)
	after := base + time.Duration(rng.Int64N(int64(2*base)))
	return Decision{Reason: fmt.Sprintf(format, args...), RetryAfter: after}
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}
