package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"persimmonworks.example/persimmonworks/class"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

// Every offered request is admitted, refused or cancelled, exactly one of them.
// No more requests run than there are slots, long requests do not take the slots
// reserved for short ones, and the queues stay within their limits.
func TestEveryRequestEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := Controller{MaxQueued: 6, ShortShare: 0.5}
		rng, now := newRand(rapid.Uint64().Draw(t, "seed")), start
		slots := rapid.IntRange(2, 6).Draw(t, "slots")
		g.SetSlots("s", slots)
		ends, queued := map[string]int{}, map[string]bool{}
		running, order := map[string]Request{}, []string{}
		offered := 0
		end := func(id string) {
			ends[id]++
			delete(queued, id)
		}
		expire := func() {
			for _, r := range g.Expire(now, rng) {
				end(r.Request.ID)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				r := Request{ID: fmt.Sprint(offered), Service: "s", Class: rapid.SampledFrom(class.All).Draw(t, "class")}
				r.Organisation = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "organisation")
				r.Expected = time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond
				r.Deadline = now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "left")) * time.Millisecond)
				offered++
				if d := g.Offer(r, now, rng); d.Queued {
					queued[r.ID] = true
				} else if end(r.ID); d.Reason == "" || d.RetryAfter <= 0 {
					t.Fatalf("refusal without a reason or a retry time: %+v", d)
				}
				order = append(order, r.ID)
			},
			"next": func(t *rapid.T) {
				r, ok := g.Next("s", now)
				if !ok {
					return
				}
				if now.After(r.Deadline) {
					t.Fatalf("request %s was admitted after its deadline", r.ID)
				}
				end(r.ID)
				running[r.ID] = r
				long := 0
				for _, o := range running {
					if o.Class == class.Batch || o.Class == class.Service {
						long++
					}
				}
				if len(running) > slots || long > max(1, slots/2) {
					t.Fatalf("%d requests run, %d of them long, in %d slots", len(running), long, slots)
				}
			},
			"cancel": func(t *rapid.T) {
				if len(order) == 0 {
					return
				}
				id := rapid.SampledFrom(order).Draw(t, "id")
				if g.Cancel(id) {
					end(id)
				}
			},
			"done": func(t *rapid.T) {
				for _, id := range order {
					if _, ok := running[id]; ok {
						g.Done(id, time.Duration(rapid.IntRange(1, 80).Draw(t, "took"))*time.Millisecond, rapid.Bool().Draw(t, "ok"), now)
						delete(running, id)
						return
					}
				}
			},
			"expire": func(*rapid.T) { expire() },
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				if g.Waiting("s") > len(queued) || len(queued) > len(class.All)*6 {
					t.Fatalf("%d requests wait according to the gate, %d according to the test", g.Waiting("s"), len(queued))
				}
				for id, n := range ends {
					if n != 1 {
						t.Fatalf("request %s ended %d times", id, n)
					}
				}
			},
		})
		now = now.Add(time.Hour)
		expire()
		if len(queued) != 0 || len(ends) != offered {
			t.Fatalf("%d of %d requests ended, %d are still queued", len(ends), offered, len(queued))
		}
	})
}

// An urgent request goes before a batch request, unless the batch request has
// waited for more than two age steps.
func TestUrgentFirstUnlessBatchIsOld(t *testing.T) {
	var g Controller
	rng := newRand(1)
	g.SetSlots("s", 8)
	offer := func(id string, c class.Class, now time.Time) {
		t.Helper()
		if d := g.Offer(Request{ID: id, Class: c, Service: "s", Organisation: "a"}, now, rng); !d.Queued {
			t.Fatal(d.Reason)
		}
	}
	offer("old-batch", class.Batch, start)
	later := start.Add(2*defaultAgeStep + time.Second)
	offer("batch", class.Batch, later)
	offer("urgent", class.Urgent, later)
	for _, want := range []string{"old-batch", "urgent", "batch"} {
		if r, ok := g.Next("s", later); !ok || r.ID != want {
			t.Errorf("next is %q, want %q", r.ID, want)
		}
	}
}

// A long request that may not take a slot yet does not block a short request of
// the same class and organisation.
func TestLongRequestsDoNotBlockShort(t *testing.T) {
	g := Controller{ShortShare: 0.5, LongAfter: time.Second}
	rng := newRand(1)
	g.SetSlots("s", 2)
	for id, expected := range []time.Duration{2 * time.Second, 2 * time.Second, time.Millisecond} {
		r := Request{ID: fmt.Sprint(id), Class: class.Interactive, Service: "s", Organisation: "a", Expected: expected}
		if d := g.Offer(r, start, rng); !d.Queued {
			t.Fatal(d.Reason)
		}
	}
	got := map[string]bool{}
	for r, ok := g.Next("s", start); ok; r, ok = g.Next("s", start) {
		got[r.ID] = true
	}
	if !got["2"] || len(got) != 2 {
		t.Errorf("admitted %v, want one long request and the short one", got)
	}
}

// Organisations share the slots by weight.
func TestOrganisationsShareByWeight(t *testing.T) {
	g := Controller{Weights: map[string]int{"a": 3, "b": 1}}
	rng := newRand(1)
	g.SetSlots("s", 400)
	for i := range 400 {
		for _, o := range []string{"a", "b"} {
			g.Offer(Request{ID: fmt.Sprint(o, i), Class: class.Urgent, Service: "s", Organisation: o, Expected: time.Millisecond}, start, rng)
		}
	}
	got := map[string]int{}
	for range 400 {
		r, _ := g.Next("s", start)
		got[r.Organisation]++
	}
	if got["a"] < 295 || got["a"] > 305 {
		t.Errorf("of 400 slots a got %d and b got %d, want 3 to 1", got["a"], got["b"])
	}
}

// The adaptive limit falls when the latency of a loaded service rises.
func TestLimitFollowsLatency(t *testing.T) {
	var g Controller
	rng, now, id := newRand(1), start, 0
	round := func(latency time.Duration) {
		for g.Running("s") < g.Limit("s") {
			id++
			g.Offer(Request{ID: fmt.Sprint(id), Class: class.Urgent, Service: "s"}, now, rng)
			if _, ok := g.Next("s", now); !ok {
				t.Fatal("no request was admitted")
			}
		}
		g.Done(fmt.Sprint(id-g.Running("s")+1), latency, true, now)
	}
	for range 2000 {
		round(10 * time.Millisecond)
	}
	before := g.Limit("s")
	for range 100 {
		round(100 * time.Millisecond)
	}
	if after := g.Limit("s"); after >= before {
		t.Errorf("limit is %d at a latency of 10 ms and %d at 100 ms, want it lower", before, after)
	}
}
