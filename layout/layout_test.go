package layout_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"persimmonworks.example/persimmonworks/layout"
)

func TestNumberOfDockets(t *testing.T) {
	hosts := func(counts ...float64) []float64 { // count, cores, count, cores
		var cores []float64
		for i := 0; i < len(counts); i += 2 {
			for range int(counts[i]) {
				cores = append(cores, counts[i+1])
			}
		}
		return cores
	}
	for _, c := range []struct {
		name    string
		workers int
		cores   []float64
		dockets int
	}{
		{"nothing known", 0, nil, 1},
		{"hosts not known", 1100, nil, 2},
		{"small", 48, hosts(8, 0.4), 1},
		{"some strong hosts", 350, hosts(29, 0.192, 6, 0.8), 2},
		{"weak hosts alone", 350, hosts(35, 0.25), 3},
		{"weakest hosts alone", 120, hosts(24, 0.12), 2},
		{"one strong host", 350, hosts(30, 0.192, 1, 0.8), 1},
		{"too few for two", 240, hosts(30, 0.192, 6, 0.8), 1},
		{"large", 1100, hosts(132, 0.192, 15, 0.8), 2},
		{"large and weak", 1100, hosts(147, 0.192), 11},
		{"two years", 9900, hosts(400, 0.8), 18},
		{"two years and weak", 9900, hosts(400, 0.192), 48},
		{"fewer hosts than dockets", 9900, hosts(4, 0.1), 18},
	} {
		if got := layout.New(c.workers, c.cores).Dockets(); got != c.dockets {
			t.Errorf("%s: %d dockets, want %d", c.name, got, c.dockets)
		}
	}
}

// Racks keep their dockets when others are added, the numbers of workers by docket
// differ by at most one rack, and both hold after encoding and decoding.
func TestAssign(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := layout.New(rapid.IntRange(0, 3000).Draw(t, "workers"), rapid.SliceOfN(rapid.Float64Range(0.1, 1), 0, 60).Draw(t, "cores"))
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
	value, err := layout.New(200, nil).Encode()
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
