package layout_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"persimmonworks.example/persimmonworks/layout"
)

func TestNumberOfDockets(t *testing.T) {
	for _, c := range []struct{ workers, dockets int }{{0, 1}, {24, 1}, {263, 1}, {264, 2}, {350, 2}, {2000, 11}, {9900, 48}} {
		if got := layout.New(c.workers).Dockets(); got != c.dockets {
			t.Errorf("%d workers: %d dockets, want %d", c.workers, got, c.dockets)
		}
	}
}

// Racks keep their dockets when others are added, the numbers of workers by docket
// differ by at most one rack, and both hold after encoding and decoding.
func TestAssign(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := layout.New(rapid.IntRange(0, 3000).Draw(t, "workers"))
		workers, assigned := map[string]int{}, map[string]int{}
		const size = 8
		for range rapid.IntRange(1, 5).Draw(t, "rounds") {
			for range rapid.IntRange(0, 30).Draw(t, "new racks") {
				workers[fmt.Sprintf("r-%d", len(workers))] = size
			}
			next, changed := l.Assign(workers)
			if changed != (len(assigned) < len(workers)) && l.Dockets() > 1 {
				t.Fatalf("changed is %v with %d racks after %d", changed, len(workers), len(assigned))
			}
			value, err := next.Encode()
			if err != nil {
				t.Fatal(err)
			}
			if l, err = layout.Decode(value); err != nil {
				t.Fatal(err)
			}
			load := make([]int, l.Dockets())
			for rack, n := range workers {
				d, ok := l.RackDocket(rack)
				if old, known := assigned[rack]; !ok || known && old != d {
					t.Fatalf("rack %s is in docket %d (%v), was in %d", rack, d, ok, old)
				}
				assigned[rack] = d
				load[d] += n
			}
			for _, n := range load {
				if n > load[0]+size || n < load[0]-size {
					t.Fatalf("workers by docket: %v", load)
				}
			}
		}
	})
}

func FuzzDecode(f *testing.F) {
	value, err := layout.New(200).Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(value)
	f.Fuzz(func(t *testing.T, value []byte) {
		l, err := layout.Decode(value)
		if err != nil {
			return
		}
		if d := l.JobDocket("x"); d < 0 || d >= l.Dockets() {
			t.Errorf("docket %d of %d", d, l.Dockets())
		}
	})
}
