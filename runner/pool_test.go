package runner

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

// In any sequence of calls, Acquire never exceeds the slots of a runner and never
// returns one that is leaving, by Upsert or by SetLeaving, or was removed.
func TestPoolKeepsItsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p Pool
		rng, now := newRand(rapid.Uint64().Draw(t, "seed")), start
		busy, slots := map[string]int{}, map[string]int{}
		listedLeaving, markedLeaving := map[string]bool{}, map[string]bool{} // leaving by Upsert, by SetLeaving
		id := rapid.Custom(func(t *rapid.T) string { return fmt.Sprint("r-", rapid.IntRange(0, 5).Draw(t, "n")) })
		t.Repeat(map[string]func(*rapid.T){
			"upsert": func(t *rapid.T) {
				r := Runner{ID: id.Draw(t, "id"), Service: "s", Slots: rapid.IntRange(0, 4).Draw(t, "slots")}
				r.Leaving = rapid.Bool().Draw(t, "leaving")
				p.Upsert(r, now)
				slots[r.ID], listedLeaving[r.ID] = r.Slots, r.Leaving
			},
			"leave": func(t *rapid.T) {
				name, leaving := id.Draw(t, "id"), rapid.Bool().Draw(t, "leaving")
				p.SetLeaving(name, leaving)
				if _, known := slots[name]; known {
					markedLeaving[name] = leaving
				}
			},
			"remove": func(t *rapid.T) {
				name := id.Draw(t, "id")
				p.Remove(name)
				delete(slots, name)
				delete(markedLeaving, name)
			},
			"acquire": func(t *rapid.T) {
				r, ok := p.Acquire("s", now, rng)
				if rapid.Bool().Draw(t, "named") {
					if ok {
						busy[r.ID]++
					}
					r, ok = p.AcquireByID(id.Draw(t, "id"), now)
				}
				if !ok {
					return
				}
				busy[r.ID]++
				if busy[r.ID] > slots[r.ID] || listedLeaving[r.ID] || markedLeaving[r.ID] {
					t.Fatalf("runner %s has %d requests, %d slots, leaving %v, marked %v", r.ID, busy[r.ID], slots[r.ID], listedLeaving[r.ID], markedLeaving[r.ID])
				}
			},
			"release": func(t *rapid.T) {
				name := id.Draw(t, "id")
				p.Release(name, Outcome(rapid.IntRange(0, int(outcomes)-1).Draw(t, "outcome")), time.Millisecond, now, rng)
				busy[name] = max(0, busy[name]-1)
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				for _, s := range p.All(now) {
					if s.Busy != busy[s.ID] {
						t.Fatalf("runner %s counts %d requests, want %d", s.ID, s.Busy, busy[s.ID])
					}
				}
			},
		})
	})
}

func poolOf(runners, slots int) *Pool {
	p := &Pool{}
	for i := range runners {
		p.Upsert(Runner{ID: fmt.Sprintf("r-%02d", i), Service: "s", Slots: slots}, start)
	}
	return p
}

// A caller whose requests fail on every runner opens at most a third of the
// circuits. A runner with an open circuit gets nothing until its back-off has
// passed, then one probe at a time; a successful probe closes the circuit.
func TestCircuit(t *testing.T) {
	p, rng, now := poolOf(9, 4), newRand(1), start
	for range 1000 {
		r, ok := p.Acquire("s", now, rng)
		if !ok {
			t.Fatal("no runner left")
		}
		p.Release(r.ID, Unknown, 0, now, rng)
	}
	var open []string
	for _, s := range p.All(now) {
		if s.Circuit == Open {
			open = append(open, s.ID)
		}
	}
	if len(open) != 3 {
		t.Fatalf("%d of 9 circuits are open, want 3", len(open))
	}
	if _, ok := p.AcquireByID(open[0], now); ok {
		t.Error("a runner with an open circuit got a request")
	}
	now = now.Add(initialBackoff)
	if _, ok := p.AcquireByID(open[0], now); !ok {
		t.Fatal("no probe after the back-off")
	}
	if _, ok := p.AcquireByID(open[0], now); ok {
		t.Error("a second probe was allowed while the first was in flight")
	}
	p.Release(open[0], OK, time.Millisecond, now, rng)
	for range 4 {
		if _, ok := p.AcquireByID(open[0], now); !ok {
			t.Error("a slot is missing after a successful probe")
		}
	}
}

// With equal runners, the loads differ by at most one request.
func TestAcquireTakesTheLeastLoaded(t *testing.T) {
	p, rng := poolOf(5, 8), newRand(1)
	for range 17 {
		p.Acquire("s", start, rng)
	}
	for _, s := range p.All(start) {
		if s.Busy < 3 || s.Busy > 4 {
			t.Errorf("%s has %d of 17 requests over 5 runners", s.ID, s.Busy)
		}
	}
}

// Retries never exceed a tenth of the first attempts, and a non-idempotent request
// that may have been sent is not sent again.
func TestRetriesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b RetryBudget
		firsts, retries := 0, 0
		for _, first := range rapid.SliceOf(rapid.Bool()).Draw(t, "firsts") {
			if first {
				b.AddAttempt()
				firsts++
			} else if b.TakeRetry() {
				retries++
			}
			if retries*attemptsPerRetry > firsts {
				t.Fatalf("%d retries for %d first attempts", retries, firsts)
			}
		}
	})
	for o := range outcomes {
		if o != NotRun && RetryAllowed(true, o) {
			t.Errorf("a non-idempotent request may be sent again after %v", o)
		}
	}
}

// Choose prefers the caller's data centre, does not exceed the advertised slots
// while the adverts are fresh, and skips runners that are leaving, have an open
// circuit or whose adverts have expired.
func TestDirectory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var d Directory
		rng := newRand(rapid.Uint64().Draw(t, "seed"))
		near, far := rapid.IntRange(0, 5).Draw(t, "near"), rapid.IntRange(0, 5).Draw(t, "far")
		d.Update("p", 2, []Advert{
			{Runner: "near", Service: "s", DataCentre: "a", Free: near, Slots: 8},
			{Runner: "far", Service: "s", DataCentre: "b", Free: far, Slots: 8},
			{Runner: "leaving", Service: "s", DataCentre: "a", Free: 8, Slots: 8, Leaving: true},
			{Runner: "open", Service: "s", DataCentre: "a", Free: 8, Slots: 8, Open: true},
		}, start)
		d.Update("p", 1, []Advert{{Runner: "old", Service: "s", DataCentre: "a", Free: 8, Slots: 8}}, start)
		for k := range near + far {
			want := "near"
			if k >= near {
				want = "far"
			}
			if _, got, ok := d.Choose("s", "a", start, rng); !ok || got != want {
				t.Fatalf("choice %d of %d near, %d far: %q, want %q", k, near, far, got, want)
			}
		}
		if _, got, ok := d.Choose("s", "a", start, rng); ok {
			t.Fatalf("chose %q with nothing free", got)
		}
		if _, got, ok := d.Choose("s", "a", start.Add(defaultFreshAge+1), rng); !ok || got != "near" {
			t.Fatalf("with stale adverts chose %q, want the runner in the same data centre", got)
		}
		if _, got, ok := d.Choose("s", "a", start.Add(defaultExpiryAge+1), rng); ok {
			t.Fatalf("chose %q from an expired advert", got)
		}
	})
}

// Adverts of one process do not reset the state of another's runners: neither the
// slots chosen since its last advert nor the mark that a runner is leaving.
func TestAdvertsOfOthersChangeNothing(t *testing.T) {
	var d Directory
	rng := newRand(1)
	d.Update("p", 1, []Advert{
		{Runner: "one", Service: "s", Free: 1, Slots: 8},
		{Runner: "leaving", Service: "s", Free: 8, Slots: 8},
	}, start)
	d.SetLeaving("leaving")
	if _, got, _ := d.Choose("s", "a", start, rng); got != "one" {
		t.Fatalf("chose %q, want the only runner that is not leaving", got)
	}
	d.Update("q", 1, nil, start)
	if _, got, ok := d.Choose("s", "a", start, rng); ok {
		t.Errorf("chose %q after an advert of another process", got)
	}
}

func BenchmarkAcquireRelease(b *testing.B) {
	p, rng := poolOf(50, 8), newRand(1)
	for b.Loop() {
		r, _ := p.Acquire("s", start, rng)
		p.Release(r.ID, OK, time.Millisecond, start, rng)
	}
}

func BenchmarkChoose(b *testing.B) {
	var d Directory
	rng := newRand(1)
	var adverts []Advert
	for i := range 50 {
		adverts = append(adverts, Advert{Runner: fmt.Sprint(i), Service: "s", DataCentre: "a", Free: 1 << 40, Slots: 8})
	}
	d.Update("p", 1, adverts, start)
	for b.Loop() {
		d.Choose("s", "a", start, rng)
	}
}
