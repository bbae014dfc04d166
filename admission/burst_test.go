package admission

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"persimmonworks.example/persimmonworks/class"
)

const (
	burstSlots   = 10
	burstRunTime = 20 * time.Millisecond // mean
	burstFactor  = 5                     // load during the burst, as a multiple of the capacity
	burstPeriod  = 5 * time.Second
	burstLimit   = 500 * time.Millisecond // time from each offer to its deadline
)

// event is the offer or the completion of a request in the simulation.
type event struct {
	at         time.Time
	request    Request
	admittedAt time.Time // time of admission; zero for an offer
}

// eventQueue implements heap.Interface, ordered by time.
type eventQueue []event

func (a eventQueue) Len() int           { return len(a) }
func (a eventQueue) Less(i, j int) bool { return a[i].at.Before(a[j].at) }
func (a eventQueue) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(x any)        { *a = append(*a, x.(event)) }
func (a *eventQueue) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// policy is an admission policy under simulation. offer returns the time after
// which to retry, or 0 if the request was queued.
type policy interface {
	offer(r Request, now time.Time) time.Duration
	next(now time.Time) (Request, bool)
	done(id string, took time.Duration, now time.Time)
}

type gatePolicy struct {
	g   *Controller
	rng *rand.Rand
}

func (p gatePolicy) offer(r Request, now time.Time) time.Duration {
	return p.g.Offer(r, now, p.rng).RetryAfter
}
func (p gatePolicy) next(now time.Time) (Request, bool) { return p.g.Next("s", now) }
func (p gatePolicy) done(id string, took time.Duration, now time.Time) {
	p.g.Done(id, took, true, now)
}

type fifoPolicy struct{ f *FIFO }

func (p fifoPolicy) offer(r Request, _ time.Time) time.Duration {
	if p.f.Offer(r) {
		return 0
	}
	return time.Second
}
func (p fifoPolicy) next(time.Time) (Request, bool)        { return p.f.Next() }
func (p fifoPolicy) done(string, time.Duration, time.Time) { p.f.Done() }

// slots holds the time from which each slot of the runners is free. Requests
// that arrive while all are busy queue at the runners.
type slots [burstSlots]time.Time

// run returns the end of a request that arrives at the given time.
func (s *slots) run(at time.Time, took time.Duration) time.Time {
	first := 0
	for k := range s {
		if s[k].Before(s[first]) {
			first = k
		}
	}
	if s[first].Before(at) {
		s[first] = at
	}
	s[first] = s[first].Add(took)
	return s[first]
}

// simulateBurst offers five times the capacity for five seconds, then half of
// the capacity for five more. A refused caller retries once, after the time that
// it was told. The first result is the share of the capacity that went into
// answers before their deadline, from the second second of the burst to its end.
// The second is the highest load in any second from 3 s after the end of the
// burst, as a share of the capacity.
func simulateBurst(p policy, seed uint64) (goodput, peakAfter float64) {
	rng := newRand(seed)
	capacity := float64(burstSlots) / burstRunTime.Seconds() // requests a second
	var events eventQueue
	add := func(at time.Time, id string) {
		heap.Push(&events, event{at: at, request: Request{ID: id, Organisation: "o", Class: class.Urgent, Service: "s", Deadline: at.Add(burstLimit)}})
	}
	n := 0
	for at := start; at.Before(start.Add(2 * burstPeriod)); n++ {
		add(at, fmt.Sprint("first-", n))
		rate := capacity / 2
		if at.Before(start.Add(burstPeriod)) {
			rate = capacity * burstFactor
		}
		at = at.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
	}
	inTime := 0
	var runners slots
	offers := make(map[int]int)
	for events.Len() > 0 {
		e := heap.Pop(&events).(event)
		since := e.at.Sub(start)
		switch {
		case e.admittedAt.IsZero():
			offers[int(since/time.Second)]++
			if retryAfter := p.offer(e.request, e.at); retryAfter > 0 && e.request.ID[0] == 'f' {
				add(e.at.Add(retryAfter), "again-"+e.request.ID)
			}
		default:
			p.done(e.request.ID, e.at.Sub(e.admittedAt), e.at)
			if !e.at.After(e.request.Deadline) && since >= time.Second && since < burstPeriod {
				inTime++
			}
		}
		for r, ok := p.next(e.at); ok; r, ok = p.next(e.at) {
			took := time.Duration((0.5 + rng.Float64()) * float64(burstRunTime))
			heap.Push(&events, event{at: runners.run(e.at, took), request: r, admittedAt: e.at})
		}
	}
	for second := int(burstPeriod/time.Second) + 3; second < int(2*burstPeriod/time.Second); second++ {
		peakAfter = max(peakAfter, float64(offers[second])/capacity)
	}
	return float64(inTime) / (capacity * (burstPeriod - time.Second).Seconds()), peakAfter
}

// Under a load of five times the capacity, at least 95 % of the capacity goes
// into answers before their deadline, and the retries do not cause a second
// overload. This holds too if the number of slots is not known and the limit
// adapts to the latency. The FIFO baseline spends most of the capacity on
// requests whose callers have given up.
func TestBurstGoodput(t *testing.T) {
	for seed := range uint64(3) {
		g := &Controller{}
		g.SetSlots("s", burstSlots)
		goodput, peakAfter := simulateBurst(gatePolicy{g, newRand(seed)}, seed)
		baseline, _ := simulateBurst(fifoPolicy{&FIFO{Slots: burstSlots, MaxQueued: 512}}, seed)
		adaptive, _ := simulateBurst(gatePolicy{&Controller{}, newRand(seed)}, seed)
		t.Logf("seed %d: adaptive limit: goodput %.3f of the capacity", seed, adaptive)
		t.Logf("seed %d: known slots: goodput %.3f of the capacity, baseline %.3f; peak load afterwards %.2f of the capacity", seed, goodput, baseline, peakAfter)
		if adaptive < 0.95 {
			t.Errorf("seed %d: adaptive limit: goodput %.3f of the capacity, want 0.95", seed, adaptive)
		}
		if goodput < 0.95 {
			t.Errorf("seed %d: goodput %.3f of the capacity in the burst, want 0.95", seed, goodput)
		}
		if baseline > goodput/2 {
			t.Errorf("seed %d: the goodput of the baseline is %.3f, so the burst does not overload it", seed, baseline)
		}
		if peakAfter > 1 {
			t.Errorf("seed %d: peak load after the burst is %.2f of the capacity, want at most 1", seed, peakAfter)
		}
	}
}

// BenchmarkDecision measures the offer, admission and completion of one request
// while 500 wait.
func BenchmarkDecision(b *testing.B) {
	var g Controller
	rng := newRand(1)
	g.SetSlots("s", 400)
	ids := make([]string, 1<<16)
	for i := range ids {
		ids[i] = fmt.Sprint(i)
	}
	offer := func(i int) {
		g.Offer(Request{ID: ids[i%len(ids)], Organisation: fmt.Sprint("o", i%8), Class: class.All[i%3], Service: "s"}, start, rng)
	}
	for i := range 500 {
		offer(i)
	}
	i := 500
	for b.Loop() {
		offer(i)
		i++
		if r, ok := g.Next("s", start); ok {
			g.Done(r.ID, time.Millisecond, true, start)
		}
	}
}
