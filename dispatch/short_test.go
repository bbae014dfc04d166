package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/job"
)

// A short task that arrives while long tasks fill the workers starts at once in
// the capacity reserved for short ones, whether the run time of the long tasks was
// declared or learned. Without a reserve it waits for a long task to end.
func TestShortWorkHasRoom(t *testing.T) {
	cases := []struct {
		name     string
		reserve  float64
		declared int64 // milliseconds
		learned  bool
		wantDone bool
	}{
		{"declared", 0.25, 60_000, false, true},
		{"learned", 0.25, 0, true, true},
		{"learned against the declaration", 0.25, 100, true, true},
		{"unknown", 0.25, 0, false, false},
		{"no reserve", 0, 60_000, false, false},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			b := newTestBed(1, 2)
			b.shortReserve = c.reserve
			b.assignRack("rack-0", "e0")
			b.runFor(3 * time.Second)
			long := newSpec(8, `{"run-ms":60000}`)
			long.Kind, long.EstimateMS = "rendering", c.declared
			if c.learned {
				b.mustSubmit(t, long)
				b.runFor(2 * time.Minute)
			}
			long.Tasks = append(long.Tasks, long.Tasks...)
			b.mustSubmit(t, long)
			b.runFor(5 * time.Second)
			short := newSpec(1, `{"run-ms":500}`)
			short.Class, short.Kind = class.Interactive, "check"
			id := b.mustSubmit(t, short)
			b.runFor(3 * time.Second)
			v, _, err := b.jobAndTasks(id)
			if err != nil || (v.States[job.Done] == 1) != c.wantDone {
				t.Errorf("%s: states after 3 s %v, error %v; want done: %v", c.name, v.States, err, c.wantDone)
			}
			for _, f := range b.shutDown() {
				t.Error(f)
			}
		})
	}
}
