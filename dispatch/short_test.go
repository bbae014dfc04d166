package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/job"
)

// Short work that comes while renderings fill the pool starts at once, whether
// the renderings' run time was declared or learned. Without room kept it waits
// for one of them to end.
func TestShortWorkHasRoom(t *testing.T) {
	cases := []struct {
		name     string
		reserve  float64
		declared int64 // milliseconds
		learned  bool
		atOnce   bool
	}{
		{"declared", 0.25, 60_000, false, true},
		{"learned", 0.25, 0, true, true},
		{"learned against the declaration", 0.25, 100, true, true},
		{"unknown", 0.25, 0, false, false},
		{"no reserve", 0, 60_000, false, false},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			b := newBed(1, 2)
			b.reserve = c.reserve
			b.give("rack-0", "e0")
			b.run(3 * time.Second)
			long := spec(8, `{"run-ms":60000}`)
			long.Kind, long.EstimateMS = "rendering", c.declared
			if c.learned {
				b.submit(t, long)
				b.run(2 * time.Minute)
			}
			long.Tasks = append(long.Tasks, long.Tasks...)
			b.submit(t, long)
			b.run(5 * time.Second)
			check := spec(1, `{"run-ms":500}`)
			check.Class, check.Kind = class.Interactive, "check"
			id := b.submit(t, check)
			b.run(3 * time.Second)
			v, _, err := b.job(id)
			if err != nil || (v.States[job.Done] == 1) != c.atOnce {
				t.Errorf("%s: after 3 s %v, %v; want it done: %v", c.name, v.States, err, c.atOnce)
			}
			for _, f := range b.close() {
				t.Error(f)
			}
		})
	}
}
