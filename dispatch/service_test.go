package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/job"
	"persimmonworks.example/persimmonworks/ledger"
)

// The tasks of a service are placed on different racks.
func TestServiceIsSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBed(2, 4)
		b.runFor(3 * time.Second)
		for range 8 {
			s := newSpec(2, `{"forever":true}`)
			s.Class, s.Kind = class.Service, "match"
			id := b.mustSubmit(t, s)
			b.runFor(2 * time.Second)
			v, tasks, err := b.jobAndTasks(id)
			if err != nil || v.States[job.Sent] != 2 || tasks[0].Worker[:2] == tasks[1].Worker[:2] {
				t.Errorf("states %v, tasks %+v, error %v", v.States, tasks, err)
			}
		}
		for _, f := range b.shutDown() {
			t.Error(f)
		}
	})
}

// A service that keeps failing immediately is restarted indefinitely, with a
// growing backoff.
func TestServiceBacksOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBed(1, 1)
		b.runFor(3 * time.Second)
		s := newSpec(1, `{"run-ms":10,"fail":true}`)
		s.Class = class.Service
		id := b.mustSubmit(t, s)
		runs := func(length time.Duration) int {
			before := len(b.ledger.Entries())
			b.runFor(length)
			return len(b.ledger.Entries()) - before
		}
		first, later := runs(time.Minute), 0
		b.runFor(4 * time.Minute)
		later = runs(5 * time.Minute)
		v, _, err := b.jobAndTasks(id)
		if err != nil || v.Open != 1 || first < 4 || first > 12 || later < 5 || later > 20 {
			t.Errorf("%d starts in the first minute, %d in minutes 6 to 10; states %v, error %v", first, later, v.States, err)
		}
		for _, e := range b.ledger.Entries() {
			if e.Outcome != ledger.Failed {
				t.Errorf("run %+v", e)
			}
		}
		b.shutDown()
	})
}
