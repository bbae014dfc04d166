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
	burstFactor  = 5                     // times the capacity
	burstPeriod  = 5 * time.Second
	burstLimit   = 500 * time.Millisecond // from the first try of a caller
)

// happening is something that a simulated caller or runner does.
type happening struct {
	at      time.Time
	request Request
	began   time.Time // zero for an offer, else when the request was admitted
}

type agenda []happening

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].at.Before(a[j].at) }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)        { *a = append(*a, x.(happening)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// policy is what the simulation needs of a policy. Offer returns the time after
// which to come back, 0 if the request was queued.
type policy interface {
	offer(r Request, now time.Time) time.Duration
	next(now time.Time) (Request, bool)
	done(id string, took time.Duration, now time.Time)
}

type gatePolicy struct {
	g   *Gate
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

// slots are the times at which the runners' slots are free again. Requests
// beyond them wait at the runners.
type slots [burstSlots]time.Time

// run returns when a request that comes at the time ends.
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

// burst offers five times the capacity for five seconds and half of it for five
// more. A refused caller comes back once when it was told to. It returns the
// useful answers as a share of the capacity in the burst, from its second
// second on, and the largest share of the capacity offered in any second after
// the wave of those who come back, 3 s after the burst.
func burst(p policy, seed uint64) (useful, after float64) {
	rng := newRand(seed)
	capacity := float64(burstSlots) / burstRunTime.Seconds() // requests a second
	var a agenda
	add := func(at time.Time, id string) {
		heap.Push(&a, happening{at: at, request: Request{ID: id, Organisation: "o", Class: class.Urgent, Service: "s", Deadline: at.Add(burstLimit)}})
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
	good := 0
	var runners slots
	offers := make(map[int]int)
	for a.Len() > 0 {
		h := heap.Pop(&a).(happening)
		since := h.at.Sub(start)
		switch {
		case h.began.IsZero():
			offers[int(since/time.Second)]++
			if again := p.offer(h.request, h.at); again > 0 && h.request.ID[0] == 'f' {
				add(h.at.Add(again), "again-"+h.request.ID)
			}
		default:
			p.done(h.request.ID, h.at.Sub(h.began), h.at)
			if !h.at.After(h.request.Deadline) && since >= time.Second && since < burstPeriod {
				good++
			}
		}
		for r, ok := p.next(h.at); ok; r, ok = p.next(h.at) {
			took := time.Duration((0.5 + rng.Float64()) * float64(burstRunTime))
			heap.Push(&a, happening{at: runners.run(h.at, took), request: r, began: h.at})
		}
	}
	for second := int(burstPeriod/time.Second) + 3; second < int(2*burstPeriod/time.Second); second++ {
		after = max(after, float64(offers[second])/capacity)
	}
	return float64(good) / (capacity * (burstPeriod - time.Second).Seconds()), after
}

// Under five times the capacity at least 95 % of it goes into answers that
// still have somebody waiting, where the baseline collapses, and the refused
// do not come back as a second wave. It holds also where the gate does not know
// the slots and has only the latency to go by.
func TestBurstKeepsCapacityUseful(t *testing.T) {
	for seed := range uint64(3) {
		g := &Gate{}
		g.SetSlots("s", burstSlots)
		useful, after := burst(gatePolicy{g, newRand(seed)}, seed)
		baseline, _ := burst(fifoPolicy{&FIFO{Slots: burstSlots, MaxQueued: 512}}, seed)
		adaptive, _ := burst(gatePolicy{&Gate{}, newRand(seed)}, seed)
		t.Logf("seed %d: slots not known: %.3f of the capacity useful", seed, adaptive)
		t.Logf("seed %d: gate %.3f of the capacity useful, baseline %.3f; %.2f of the capacity offered afterwards", seed, useful, baseline, after)
		if adaptive < 0.95 {
			t.Errorf("seed %d: slots not known: %.3f of the capacity useful, want 0.95", seed, adaptive)
		}
		if useful < 0.95 {
			t.Errorf("seed %d: %.3f of the capacity useful in the burst, want 0.95", seed, useful)
		}
		if baseline > useful/2 {
			t.Errorf("seed %d: the baseline reached %.3f, so the burst shows nothing", seed, baseline)
		}
		if after > 1 {
			t.Errorf("seed %d: a second wave of %.2f of the capacity", seed, after)
		}
	}
}

// BenchmarkDecision offers, admits and finishes one request while 500 wait.
func BenchmarkDecision(b *testing.B) {
	var g Gate
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
