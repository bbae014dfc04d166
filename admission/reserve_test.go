package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"persimmonworks.example/persimmonworks/class"
)

// admitAll admits what may go.
func admitAll(g *Gate) {
	for {
		if _, ok := g.Next("s", start); !ok {
			return
		}
	}
}

// Whatever else is offered, requests other than urgent ones leave the slots kept
// for urgent ones free, and urgent ones may take every slot.
func TestSlotsKeptForUrgentRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := Gate{ShortShare: 0.1, MaxQueued: 10_000}
		rng := newRand(1)
		slots := rapid.IntRange(1, 400).Draw(t, "slots")
		g.SetSlots("s", slots)
		others := rapid.SliceOfN(rapid.SampledFrom([]class.Class{class.Interactive, class.Batch, class.Service}), slots+1, slots+50).Draw(t, "classes")
		for n, c := range others {
			g.Offer(Request{ID: fmt.Sprint(n), Organisation: fmt.Sprint(n % 3), Class: c, Service: "s", Deadline: start.Add(time.Hour)}, start, rng)
		}
		kept := slots * 4 / 100 // two fifths of a tenth
		admitAll(&g)
		if running := g.Running("s"); running > max(1, slots-kept) {
			t.Fatalf("%d of %d slots hold other than urgent requests, %d are kept", running, slots, kept)
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

// However old the batch requests are, they overtake no more than one admission
// in eight, and no less: neither class holds up the other for ever.
func TestAgeOvertakesOneInEight(t *testing.T) {
	g := Gate{ShortShare: 0.5, MaxQueued: 10_000}
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
			t.Errorf("admission %d is of class %q, batch expected: %v", n, r.Class, want)
		}
	}
}

// A deadline must leave room for nearly all run times seen, not for their mean:
// with a tail of 2 % at ten times the rest, what would end in time only if it
// is not of the tail is refused.
func TestDeadlineLeavesRoomForTheTail(t *testing.T) {
	var g Gate
	rng := newRand(1)
	g.SetSlots("s", 1)
	offer := func(id string, left time.Duration) bool {
		return g.Offer(Request{ID: id, Organisation: "o", Class: class.Urgent, Service: "s", Deadline: start.Add(left)}, start, rng).Queued
	}
	for n := range 5000 {
		id := fmt.Sprint(n)
		if !offer(id, time.Hour) {
			t.Fatalf("request %s is refused by an idle service", id)
		}
		if _, ok := g.Next("s", start); !ok {
			t.Fatalf("request %s does not start in an idle service", id)
		}
		took := 10 * time.Millisecond
		if n%50 == 49 {
			took = 100 * time.Millisecond
		}
		g.Done(id, took, true, start)
	}
	if offer("tight", 40*time.Millisecond) {
		t.Error("a request was queued that ends in time only if it is not one of the long 2 %")
	}
	if !offer("ample", 200*time.Millisecond) {
		t.Error("a request was refused that leaves room for every run time seen")
	}
}
