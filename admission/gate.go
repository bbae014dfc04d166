// Package admission implements admission control for requests: it decides which
// are queued, which are refused at once, and which is admitted when a slot is
// free.
//
// For each service a Controller keeps queues by class and organisation. Every request
// that is offered ends in exactly one way: Next admits it, Offer or a later
// Expire refuses it, or Cancel removes it. The outcome of a refused request is
// always not-run, as nothing was sent to an upstream.
//
//   - The number of waiting requests is bounded for each class of a service and,
//     within a class, for each organisation.
//   - The most urgent class goes first, but less urgent requests age: waiting for
//     AgeStep makes up for one class of difference. At most one admission in
//     eight overtakes a more urgent class by age, so that a backlog of old batch
//     requests does not hold up interactive ones. Within a class, organisations
//     share by weight (start-time fair queueing on estimated run times).
//   - A share of the slots is reserved for short requests, and two fifths of that
//     reserve for urgent ones. This bounds head-of-line blocking by long requests.
//   - A request is refused at once if the estimated wait and the 99th percentile
//     of the run time exceed the time to its deadline. The refusal carries a time,
//     with jitter, after which to retry. A queued request that can no longer meet
//     its deadline is dropped, so that slots go only to requests whose caller
//     still waits.
//   - The number of running requests is bounded by the slots of the service. If
//     they are not known, the bound is a limit that adapts to the gradient of the
//     latency.
//
// The package does no input or output, reads no clock and starts no goroutine.
// Time and randomness are arguments, and all calls come from one control
// goroutine. The caller checks that the service and the organisation exist,
// because a Controller keeps state for every name that it is given.
//
// Usage:
//
//	g := admission.Controller{Weights: map[string]int{"prado": 2}}
//	g.SetSlots("returns", 400)
//	if d := g.Offer(request, now, rng); !d.Queued { ... } // send the refusal d
//	for r, ok := g.Next("returns", now); ok; r, ok = g.Next("returns", now) { ... }
//	g.Done(r.ID, latency, true, now)
//	for _, r := range g.Expire(now, rng) { ... } // send refusals; call it a few times a second
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

// Request is a request for a slot of a service.
type Request struct {
	ID           string
	Organisation string
	Class        class.Class
	Service      string
	// Deadline is when the caller stops waiting; zero means MaxWait after Offer.
	Deadline time.Time
	// Expected is the declared run time, 0 if unknown. Run times are estimated by
	// it only until enough of the class have been observed.
	Expected time.Duration
}

// Decision is the result of Offer. A request that is not queued is refused with
// the outcome not-run.
type Decision struct {
	Queued     bool
	Reason     string        // why the request was refused
	RetryAfter time.Duration // time after which to retry a refused request, with jitter
}

// Refusal is a request that was dropped from its queue before it ran.
type Refusal struct {
	Request Request
	Decision
}

// Controller is an admission controller. The exported fields must be set before the
// first Offer; zero values mean the defaults.
type Controller struct {
	// Weights holds the weights of the organisations; the default is 1.
	Weights map[string]int
	// MaxQueued limits the waiting requests of one class of a service; 0 means
	// 1024. The short and the long requests of one organisation are each limited
	// to half of it.
	MaxQueued int
	// AgeStep is the waiting time that makes up for one class of difference in
	// urgency; 0 means 2 s.
	AgeStep time.Duration
	// MaxWait is the time to the deadline of requests that have none; 0 means
	// 30 s.
	MaxWait time.Duration
	// ShortShare is the share of the slots reserved for short requests; 0 means
	// 0.05. With two slots or more, at least one remains open to long requests.
	ShortShare float64
	// LongAfter is the run time above which a request of any class counts as
	// long: the declared one or, if none is declared, the estimated one. Batch and
	// service requests always count as long; with 0 no others do.
	LongAfter time.Duration

	items    map[string]*item
	services map[string]*service
	dropped  []*item // dropped by Next, reported by the next Expire
}

// item is a queued or running request.
type item struct {
	Request
	offeredAt   time.Time
	cost        time.Duration // estimated run time
	tailRunTime time.Duration // upper estimate of the run time, see classQueue.tailEstimate
	queue       *orgQueue     // nil once admitted
	long        bool
	node        node[*item]
}

// SetSlots sets the number of slots of a service. A negative number means that
// it is not known; the limit then adapts to the latency.
func (g *Controller) SetSlots(name string, slots int) { g.service(name).slots = slots }

// Offer queues r or refuses it.
func (g *Controller) Offer(r Request, now time.Time, rng *rand.Rand) Decision {
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
	tailRunTime := c.tailEstimate(r.Expected)
	wait := s.estimateWait(c, key, g)
	limit := orDefault(g.MaxQueued, defaultMaxQueued)
	q := c.orgQueue(key)
	switch {
	case c.queued >= limit:
		return refuse(wait, rng, "the %s queue of service %q is full with %d requests", r.Class, r.Service, c.queued)
	case q.len() >= max(1, limit/2):
		return refuse(wait, rng, "organisation %q has %d requests in the %s queue of service %q", r.Organisation, q.len(), r.Class, r.Service)
	case now.Add(wait + tailRunTime).After(r.Deadline):
		return refuse(wait, rng, "estimated wait %v and run time %v go past the deadline in %v",
			wait.Round(time.Millisecond), tailRunTime.Round(time.Millisecond), r.Deadline.Sub(now).Round(time.Millisecond))
	}
	i := &item{Request: r, offeredAt: now, cost: cost, tailRunTime: tailRunTime, queue: q, long: long}
	if g.items == nil {
		g.items = make(map[string]*item)
	}
	g.items[r.ID] = i
	c.push(q, i)
	return Decision{Queued: true}
}

// Next admits the first waiting request of the service. It returns false if no
// request waits or none of them may take a slot. The slot is held until Done.
func (g *Controller) Next(name string, now time.Time) (Request, bool) {
	s := g.services[name]
	for s != nil && s.running < s.limit() {
		i, overtakes := g.selectNext(s, now)
		if i == nil {
			break
		}
		i.queue.class.remove(i)
		if now.Add(i.tailRunTime).After(i.Deadline) {
			delete(g.items, i.ID)
			g.dropped = append(g.dropped, i)
			continue
		}
		i.queue.class.charge(i, g.weight(i.Organisation))
		i.queue = nil
		s.countRunning(i, 1)
		s.recordOvertake(overtakes)
		return i.Request, true
	}
	return Request{}, false
}

// Cancel removes a waiting request, in constant time. It returns false if the
// request is not waiting; a running one ends by Done.
func (g *Controller) Cancel(id string) bool {
	i := g.items[id]
	if i == nil || i.queue == nil {
		return false
	}
	i.queue.class.remove(i)
	delete(g.items, id)
	return true
}

// Done releases the slot of an admitted request. Latency is the time that the
// request took at the runner, and ok tells whether the runner answered.
func (g *Controller) Done(id string, latency time.Duration, ok bool, _ time.Time) {
	i := g.items[id]
	if i == nil || i.queue != nil {
		return
	}
	delete(g.items, id)
	s := g.services[i.Service]
	s.recordRunTime(s.class(i.Class), latency, ok)
	s.countRunning(i, -1)
}

// Expire drops the waiting requests that can no longer meet their deadline, and
// returns all requests dropped since the last call.
func (g *Controller) Expire(now time.Time, rng *rand.Rand) []Refusal {
	for _, i := range g.items {
		if i.queue != nil && now.Add(i.tailRunTime).After(i.Deadline) {
			i.queue.class.remove(i)
			delete(g.items, i.ID)
			g.dropped = append(g.dropped, i)
		}
	}
	slices.SortFunc(g.dropped, func(a, b *item) int {
		return cmp.Or(a.offeredAt.Compare(b.offeredAt), cmp.Compare(a.ID, b.ID))
	})
	refused := make([]Refusal, 0, len(g.dropped))
	for _, i := range g.dropped {
		d := refuse(now.Sub(i.offeredAt), rng, "the deadline can no longer be met after %v of waiting", now.Sub(i.offeredAt).Round(time.Millisecond))
		refused = append(refused, Refusal{i.Request, d})
	}
	g.dropped = nil
	return refused
}

// Waiting returns the number of waiting requests of the service.
func (g *Controller) Waiting(name string) int {
	waiting := 0
	for _, c := range g.service(name).classes {
		waiting += c.queued
	}
	return waiting
}

// Running returns the number of running requests of the service.
func (g *Controller) Running(name string) int { return g.service(name).running }

// Limit returns how many requests of the service may run at once.
func (g *Controller) Limit(name string) int { return g.service(name).limit() }

// selectNext returns the waiting request to admit next, among those that may
// take a slot, and whether it overtakes a more urgent class by its age.
func (g *Controller) selectNext(s *service, now time.Time) (best *item, overtakes bool) {
	var bestScore time.Duration
	for rank, c := range s.classes {
		if best != nil && s.untilOvertake > 0 {
			break
		}
		i := c.head(func(i *item) bool { return s.mayStart(i, g.shortShare()) })
		if i == nil {
			continue
		}
		score := time.Duration(rank)*orDefault(g.AgeStep, defaultAgeStep) - now.Sub(i.offeredAt)
		if best == nil || score < bestScore {
			overtakes = best != nil
			best, bestScore = i, score
		}
	}
	return best, overtakes
}

func (g *Controller) service(name string) *service {
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

func (g *Controller) weight(organisation string) float64 {
	return float64(max(1, g.Weights[organisation]))
}

func (g *Controller) shortShare() float64 {
	if g.ShortShare <= 0 || g.ShortShare > 1 {
		return defaultShortShare
	}
	return g.ShortShare
}

// refuse returns a refusal whose retry time is drawn evenly from one to three
// times the present wait, so that refused callers do not retry all at once. The
// wait counts as at least minRetryAfter and at most a third of maxRetryAfter.
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
