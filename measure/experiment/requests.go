package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"persimmonworks.example/persimmonworks/admission"
	"persimmonworks.example/persimmonworks/measure/agenda"
	"persimmonworks.example/persimmonworks/measure/outcome"
	"persimmonworks.example/persimmonworks/measure/workload"
	"persimmonworks.example/persimmonworks/runner"
)

const (
	service     = "service"
	expireEvery = 200 * time.Millisecond
)

// Requests is a policy for requests to runners.
type Requests struct {
	Name       string
	FIFO       bool    // the baseline: one bounded queue in order of arrival
	ShortShare float64 // of the slots that long requests never take; 0 for the default
	LongAfter  time.Duration
	Undeclared bool // the gate is not told the declared run times
}

// gate is what the experiment needs of a policy of admission.
type gate interface {
	offer(r admission.Request, now time.Time) (queued bool, again time.Duration)
	next(now time.Time) (admission.Request, bool)
	done(id string, took time.Duration, now time.Time)
	expire(now time.Time) []admission.Refusal
}

var (
	_ gate = (*admissionGate)(nil)
	_ gate = (*fifoGate)(nil)
)

type admissionGate struct {
	*admission.Controller
	rng *rand.Rand
}

func (g *admissionGate) offer(r admission.Request, now time.Time) (bool, time.Duration) {
	d := g.Offer(r, now, g.rng)
	return d.Queued, d.RetryAfter
}

func (g *admissionGate) next(now time.Time) (admission.Request, bool) { return g.Next(service, now) }

func (g *admissionGate) done(id string, took time.Duration, now time.Time) {
	g.Done(id, took, true, now)
}

func (g *admissionGate) expire(now time.Time) []admission.Refusal { return g.Expire(now, g.rng) }

type fifoGate struct{ *admission.FIFO }

func (f *fifoGate) offer(r admission.Request, _ time.Time) (bool, time.Duration) {
	return f.Offer(r), time.Second
}
func (f *fifoGate) next(time.Time) (admission.Request, bool) { return f.Next() }
func (f *fifoGate) done(string, time.Duration, time.Time)    { f.Done() }
func (f *fifoGate) expire(time.Time) []admission.Refusal     { return nil }

// requestEvent is an arrival, an end if runner is set, or a tick if neither.
type requestEvent struct {
	arrival *workload.Arrival
	runner  string
	began   time.Duration
	tries   int
}

// requests is a run.
type requests struct {
	w        *workload.Workload
	gate     gate
	pool     runner.Pool
	rng      *rand.Rand
	agenda   agenda.Agenda[requestEvent]
	result   *outcome.Result
	arrivals map[string]*workload.Arrival
	tries    map[string]int
}

// Run measures the policy.
func (p Requests) Run(w *workload.Workload, seed uint64) *outcome.Result {
	r := &requests{
		w: w, rng: rand.New(rand.NewPCG(seed, 2)), result: outcome.New(p.Name, w, seed),
		arrivals: make(map[string]*workload.Arrival), tries: make(map[string]int),
	}
	slots := w.Runners * w.Slots
	if p.FIFO {
		r.gate = &fifoGate{&admission.FIFO{Slots: slots, MaxQueued: 4096}}
	} else {
		g := &admission.Controller{ShortShare: p.ShortShare, LongAfter: p.LongAfter, MaxQueued: 4096, Weights: make(map[string]int)}
		for _, s := range w.Streams {
			g.Weights[s.Organisation] = max(1, s.Weight)
		}
		g.SetSlots(service, slots)
		r.gate = &admissionGate{g, r.rng}
	}
	for n := range w.Runners {
		r.pool.Upsert(runner.Runner{ID: fmt.Sprint("r-", n), Service: service, Slots: w.Slots}, outcome.Start)
	}
	arrivals := w.Arrivals(seed)
	for n := range arrivals {
		r.agenda.Add(arrivals[n].At, requestEvent{arrival: &arrivals[n]})
	}
	r.agenda.Add(expireEvery, requestEvent{})
	r.run(p)
	return r.result
}

func (r *requests) run(p Requests) {
	for {
		at, e, ok := r.agenda.Next()
		if !ok || at > r.w.Duration {
			break
		}
		before := time.Now()
		switch {
		case e.arrival == nil:
			r.tick(at)
		case e.runner != "":
			r.end(at, e)
		default:
			r.arrive(at, e, p)
		}
		started := r.admit(at)
		if e.arrival != nil {
			_ = r.result.Decision.RecordValue(max(1, time.Since(before).Microseconds()))
		}
		for _, s := range started {
			r.agenda.Add(at+s.arrival.RunTime, s)
		}
	}
	for _, e := range r.agenda.Pending() {
		if e.runner != "" {
			r.result.Worked(r.w, *e.arrival, e.began, r.w.Duration, 1)
		}
	}
	for id := range r.arrivals {
		r.result.Of(r.arrivals[id].Stream.Name).Waiting++
	}
}

func (r *requests) arrive(at time.Duration, e requestEvent, p Requests) {
	a := e.arrival
	if e.tries == 0 {
		r.result.Arrived(r.w, *a)
	}
	request := admission.Request{ID: a.ID, Organisation: a.Stream.Organisation, Class: a.Stream.Class(), Service: service, Expected: a.Declared}
	if p.Undeclared {
		request.Expected = 0
	}
	if a.Stream.Deadline > 0 {
		request.Deadline = outcome.Start.Add(a.At + a.Stream.Deadline)
	} else {
		request.Deadline = outcome.Start.Add(24 * time.Hour)
	}
	queued, again := r.gate.offer(request, outcome.Start.Add(at))
	switch {
	case queued:
		r.arrivals[a.ID] = a
	case a.Stream.Deadline > 0 && at+again > a.At+a.Stream.Deadline:
		r.result.Refused(r.w, *a) // nobody waits any more
	default:
		r.agenda.Add(at+again, requestEvent{arrival: a, tries: e.tries + 1})
	}
}

func (r *requests) tick(at time.Duration) {
	for _, x := range r.gate.expire(outcome.Start.Add(at)) {
		r.result.Refused(r.w, *r.arrivals[x.Request.ID])
		delete(r.arrivals, x.Request.ID)
	}
	r.agenda.Add(at+expireEvery, requestEvent{})
}

// admit sends what may go to runners.
func (r *requests) admit(at time.Duration) (started []requestEvent) {
	now := outcome.Start.Add(at)
	for {
		x, ok := r.gate.next(now)
		if !ok {
			return started
		}
		a := r.arrivals[x.ID]
		delete(r.arrivals, x.ID)
		chosen, ok := r.pool.Acquire(service, now, r.rng)
		if !ok {
			panic("the gate admitted more than the runners have slots")
		}
		r.result.Started(r.w, *a, at)
		started = append(started, requestEvent{arrival: a, runner: chosen.ID, began: at})
	}
}

func (r *requests) end(at time.Duration, e requestEvent) {
	a := e.arrival
	now := outcome.Start.Add(at)
	r.result.Worked(r.w, *a, e.began, at, 1)
	r.pool.Release(e.runner, runner.OK, a.RunTime, now, r.rng)
	r.gate.done(a.ID, a.RunTime, now)
	if a.Stream.Deadline > 0 && at > a.At+a.Stream.Deadline {
		r.result.Refused(r.w, *a) // too late to be of use
		return
	}
	r.result.Ended(r.w, *a, at)
	r.result.Spread(e.began, at, 1/float64(r.w.Runners*r.w.Slots))
}
