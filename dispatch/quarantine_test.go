package dispatch

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"persimmonworks.example/persimmonworks/job"
)

// closedWorkers returns the workers that accept no new tasks, with the reasons.
func (b *testBed) closedWorkers() map[string]string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	all := map[string]string{}
	for _, g := range b.groups {
		for r := range g.All {
			for _, id := range r.Workers() {
				if why := r.Closed(id); why != "" {
					all[id] = why
				}
			}
		}
	}
	return all
}

// submitSeries submits jobs of one task each, alternately for two organisations,
// half a second apart. It returns their identifiers.
func (b *testBed) submitSeries(t *testing.T, jobs int, work string) (ids []string) {
	t.Helper()
	for i := range jobs {
		s := newSpec(1, work)
		s.Organisation = []string{"prado", "returns"}[i%2]
		ids = append(ids, b.mustSubmit(t, s))
		b.runFor(500 * time.Millisecond)
	}
	return ids
}

// A worker on which every task fails is quarantined and makes no job fail. It gets
// tasks again after it has recovered.
func TestBadWorkerIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBed(1, 4)
		b.runFor(3 * time.Second)
		b.setFaults(`{"hosts":{"w0-0":{"fail-starts":true}}}`)
		ids := b.submitSeries(t, 60, `{"run-ms":1500}`)
		b.runFor(30 * time.Second)
		if closed := b.closedWorkers(); len(closed) != 1 || !strings.HasPrefix(closed["w0-0"], "quarantined: ") {
			t.Errorf("closed workers %v", closed)
		}
		for _, id := range ids {
			if v, _, err := b.jobAndTasks(id); err != nil || v.States[job.Done] != 1 {
				t.Errorf("job %s: %v, %v", id, v.States, err)
			}
		}
		b.setFaults(`{"hosts":{"w0-0":{"fail-starts":false}}}`)
		b.runFor(2 * time.Minute)
		b.submitSeries(t, 60, `{"run-ms":1500}`)
		b.runFor(30 * time.Second)
		if closed := b.closedWorkers(); len(closed) != 0 {
			t.Errorf("closed workers after the recovery %v", closed)
		}
		for _, f := range b.shutDown() {
			t.Error(f)
		}
	})
}

// A job that fails on every worker is parked with the reason of the failure, and
// no worker is quarantined for it.
func TestPoisonJobIsParked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBed(1, 4)
		b.runFor(3 * time.Second)
		id := b.mustSubmit(t, newSpec(20, `{"run-ms":200,"fail":true}`))
		b.submitSeries(t, 20, `{"run-ms":500}`)
		b.runFor(time.Minute)
		v, tasks, err := b.jobAndTasks(id)
		if err != nil || v.States[job.Parked] != 20 || !strings.Contains(tasks[0].Reason, "failed 4 times of 4 allowed") {
			t.Errorf("states %v, task %+v, error %v", v.States, tasks[0], err)
		}
		if closed := b.closedWorkers(); len(closed) != 0 {
			t.Errorf("closed workers %v", closed)
		}
		for _, f := range b.shutDown() {
			t.Error(f)
		}
	})
}
