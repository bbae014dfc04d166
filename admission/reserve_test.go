package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"persimmonworks.example/persimmonworks/class"
)

// admitAll admits requests until none may take a slot.
func admitAll(g *Controller) {
	for {
		if _, ok := g.Next("s", start); !ok {
			return
		}
	}
}

// Requests of other classes do not take the slots reserved for urgent ones, and
// urgent requests may take every slot.
func TestSlotsReservedForUrgent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := Controller{ShortShare: 0.1, MaxQueued: 10_000}
		rng := newRand(1)
		slots := rapid.IntRange(1, 400).Draw(t, "slots")
		g.SetSlots("s", slots)
		others := rapid.SliceOfN(rapid.SampledFrom([]class.Class{class.Interactive, class.Batch, class.Service}), slots+1, slots+50).Draw(t, "classes")
		for n, c := range others {
			g.Offer(Request{ID: fmt.Sprint(n), Organisation: fmt.Sprint(n % 3), Class: c, Service: "s", Deadline: start.Add(time.Hour)}, start, rng)
		}
		reserved := slots * 4 / 100 // two fifths of a tenth
		admitAll(&g)
		if running := g.Running("s"); running > max(1, slots-reserved) {
			t.Fatalf("%d of %d slots hold requests that are not urgent, %d are reserved", running, slots, reserved)
		}
		for n := range slots {
			g.Offer(Request{ID: fmt.Sprint("u", n), Organisation: "u", Class: class.Urgent, Service: "s", Deadline: start.Add(time.Hour)}, start, rng)
		}
		admitAll(&g)
		if running := g.Running("s"); running != slots {
			t.Fatalf("%d of %d slots are in use while urgent requests wait", running, slots)
		}
	})
}

// Batch requests that are old enough to overtake interactive ones get exactly one
// admission in eight, so that neither class starves the other.
func TestAgeingOvertakesOneInEight(t *testing.T) {
	g := Controller{ShortShare: 0.5, MaxQueued: 10_000}
	rng := newRand(1)
	g.SetSlots("s", 1)
	offer := func(id string, c class.Class, at time.Time) {
		g.Offer(Request{ID: id, Organisation: "o", Class: c, Service: "s", Deadline: start.Add(24 * time.Hour)}, at, rng)
	}
	later := start.Add(time.Hour)
	for n := range 100 {
		offer(fmt.Sprint("batch", n), class.Batch, start)
		offer(fmt.Sprint("interactive", n), class.Interactive, later)
	}
	g.SetSlots("s", 1000)
	for n := range 100 {
		r, ok := g.Next("s", later)
		if want := n%8 == 0; !ok || (r.Class == class.Batch) != want {
			t.Errorf("admission %d has class %q, want batch: %v", n, r.Class, want)
		}
	}
}

// A request is queued only if the 99th percentile of the run times fits before
// its deadline, not merely their mean. Here 2 % of the run times are ten times as
// long as the rest.
func TestDeadlineAllowsForTailRunTime(t *testing.T) {
	var g Controller
	rng := newRand(1)
	g.SetSlots("s", 1)
	offer := func(id string, untilDeadline time.Duration) bool {
		return g.Offer(Request{ID: id, Organisation: "o", Class: class.Urgent, Service: "s", Deadline: start.Add(untilDeadline)}, start, rng).Queued
	}
	for n := range 5000 {
		id := fmt.Sprint(n)
		if !offer(id, time.Hour) {
			t.Fatalf("request %s was refused by an idle service", id)
		}
		if _, ok := g.Next("s", start); !ok {
			t.Fatalf("request %s was not admitted to an idle service", id)
		}
		took := 10 * time.Millisecond
		if n%50 == 49 {
			took = 100 * time.Millisecond
		}
		g.Done(id, took, true, start)
	}
	if offer("tight", 40*time.Millisecond) {
		t.Error("a request was queued whose deadline leaves no room for the tail of the run times")
	}
	if !offer("ample", 200*time.Millisecond) {
		t.Error("a request was refused whose deadline is longer than every run time observed")
	}
}
