package packing_test

import (
	"testing"

	"pgregory.net/rapid"

	"persimmonworks.example/persimmonworks/packing"
	"persimmonworks.example/persimmonworks/resource"
)

func vector(cpu, memory int64) resource.Vector {
	return resource.Vector{MilliCPU: cpu, MemoryMB: memory}
}

func drawRooms(t *rapid.T) []packing.Room {
	rooms := make([]packing.Room, rapid.IntRange(0, 12).Draw(t, "rooms"))
	for i := range rooms {
		rooms[i] = packing.Room{
			Free:     vector(rapid.Int64Range(-2000, 16000).Draw(t, "cpu"), rapid.Int64Range(0, 32768).Draw(t, "memory")),
			Capacity: vector(16000, 32768), Most: rapid.IntRange(-1, 4).Draw(t, "most"), Cost: rapid.Float64Range(0.5, 4).Draw(t, "cost"),
		}
	}
	return rooms
}

func TestNeverOverRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rooms := drawRooms(t)
		demand := vector(rapid.Int64Range(0, 8000).Draw(t, "demand"), rapid.Int64Range(0, 9000).Draw(t, "memory demand"))
		members := rapid.IntRange(1, 20).Draw(t, "members")
		total := 0
		for i := range rooms {
			total += rooms[i].Holds(demand, members)
		}
		counts, ok := packing.All(rooms, demand, members)
		if ok != (total >= members) {
			t.Fatalf("fits %v with room for %d of %d", ok, total, members)
		}
		placed := 0
		for i, n := range counts {
			placed += n
			if n > rooms[i].Holds(demand, members) {
				t.Fatalf("%d members in room %d that holds %d", n, i, rooms[i].Holds(demand, members))
			}
		}
		if ok && placed != members {
			t.Fatalf("placed %d of %d", placed, members)
		}
		if i, found := packing.One(rooms, demand); found != (total > 0) || found && rooms[i].Holds(demand, 1) == 0 {
			t.Fatalf("one: room %d, found %v, with room for %d", i, found, total)
		}
	})
}

// Small tasks beside gangs: they fill what is nearly full, so that the next
// gang of large members finds whole rooms. The baseline spreads them.
func TestSmallTasksLeaveWholeRooms(t *testing.T) {
	whole := func(choose func([]packing.Room, resource.Vector) int) int {
		rooms := make([]packing.Room, 8)
		for i := range rooms {
			rooms[i] = packing.Room{Free: vector(16000, 32768), Capacity: vector(16000, 32768), Most: -1, Cost: 1}
		}
		small := vector(1000, 1800)
		for range 30 {
			i := choose(rooms, small)
			rooms[i].Free = rooms[i].Free.Sub(small)
		}
		members := 0
		for i := range rooms {
			members += rooms[i].Holds(vector(4500, 6400), 100)
		}
		return members
	}
	best := whole(func(r []packing.Room, d resource.Vector) int { i, _ := packing.One(r, d); return i })
	next := 0
	spread := whole(func(r []packing.Room, _ resource.Vector) int { next++; return next % len(r) })
	if best < spread+2 {
		t.Errorf("room for %d members beside 30 small tasks, %d when they are spread", best, spread)
	}
}
