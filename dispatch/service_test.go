package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/job"
	"persimmonworks.example/persimmonworks/ledger"
)

// The tasks of each service stand on different racks.
func TestServiceIsSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(2, 4)
		b.run(3 * time.Second)
		for range 8 {
			s := spec(2, `{"forever":true}`)
			s.Class, s.Kind = class.Service, "match"
			id := b.submit(t, s)
			b.run(2 * time.Second)
			v, tasks, err := b.job(id)
			if err != nil || v.States[job.Sent] != 2 || tasks[0].Worker[:2] == tasks[1].Worker[:2] {
				t.Errorf("states %v, tasks %+v, %v", v.States, tasks, err)
			}
		}
		for _, f := range b.close() {
			t.Error(f)
		}
	})
}

// A service that fails at once is started again without end, and ever more
// seldom.
func TestServiceBacksOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(1, 1)
		b.run(3 * time.Second)
		s := spec(1, `{"run-ms":10,"fail":true}`)
		s.Class = class.Service
		id := b.submit(t, s)
		runs := func(length time.Duration) int {
			before := len(b.ledger.Entries())
			b.run(length)
			return len(b.ledger.Entries()) - before
		}
		first, later := runs(time.Minute), 0
		b.run(4 * time.Minute)
		later = runs(5 * time.Minute)
		v, _, err := b.job(id)
		if err != nil || v.Open != 1 || first < 4 || first > 12 || later < 5 || later > 20 {
			t.Errorf("%d starts in the first minute, %d in the five after five; states %v, %v", first, later, v.States, err)
		}
		for _, e := range b.ledger.Entries() {
			if e.How != ledger.Failed {
				t.Errorf("run %+v", e)
			}
		}
		b.close()
	})
}
