package dispatch

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"persimmonworks.example/persimmonworks/job"
)

// closed returns the workers that get nothing new, with the reasons.
func (b *bed) closed() map[string]string {
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

// feed submits jobs of one task each of two organisations for a while and
// returns them.
func (b *bed) feed(t *testing.T, jobs int, work string) (ids []string) {
	t.Helper()
	for i := range jobs {
		s := spec(1, work)
		s.Organisation = []string{"prado", "returns"}[i%2]
		ids = append(ids, b.submit(t, s))
		b.run(500 * time.Millisecond)
	}
	return ids
}

// A worker that fails everything is kept out, costs no job its end, and comes
// back when it is mended.
func TestBadWorkerIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(1, 4)
		b.run(3 * time.Second)
		b.apply(`{"hosts":{"w0-0":{"fail-starts":true}}}`)
		ids := b.feed(t, 60, `{"run-ms":1500}`)
		b.run(30 * time.Second)
		if closed := b.closed(); len(closed) != 1 || !strings.HasPrefix(closed["w0-0"], "quarantined: ") {
			t.Errorf("closed workers %v", closed)
		}
		for _, id := range ids {
			if v, _, err := b.job(id); err != nil || v.States[job.Done] != 1 {
				t.Errorf("job %s: %v, %v", id, v.States, err)
			}
		}
		b.apply(`{"hosts":{"w0-0":{"fail-starts":false}}}`)
		b.run(2 * time.Minute)
		b.feed(t, 60, `{"run-ms":1500}`)
		b.run(30 * time.Second)
		if closed := b.closed(); len(closed) != 0 {
			t.Errorf("closed workers after the mend %v", closed)
		}
		for _, f := range b.close() {
			t.Error(f)
		}
	})
}

// A job that fails everywhere is parked with the reason and keeps no worker
// out.
func TestPoisonJobIsParked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(1, 4)
		b.run(3 * time.Second)
		id := b.submit(t, spec(20, `{"run-ms":200,"fail":true}`))
		b.feed(t, 20, `{"run-ms":500}`)
		b.run(time.Minute)
		v, tasks, err := b.job(id)
		if err != nil || v.States[job.Parked] != 20 || !strings.Contains(tasks[0].Reason, "failed 4 times of 4 allowed") {
			t.Errorf("states %v, %+v, %v", v.States, tasks[0], err)
		}
		if closed := b.closed(); len(closed) != 0 {
			t.Errorf("closed workers %v", closed)
		}
		for _, f := range b.close() {
			t.Error(f)
		}
	})
}
