package rack

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"persimmonworks.example/persimmonworks/provider"
	"persimmonworks.example/persimmonworks/resource"
	"persimmonworks.example/persimmonworks/worker"
)

// A worker that acts, once thawed, on what it was sent before its owner called
// its attempts lost must not start them: they may run elsewhere by then.
func TestThawedWorkerStartsNothingOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(2)
		b.run(2 * time.Second)
		b.apply(`{"hosts":{"w1":{"frozen":true,"late":true},"w2":{"frozen":true,"late":true}}}`)
		b.submit("j/0", `{"forever":true}`)
		b.run(2 * time.Second)
		b.mutex.Lock()
		placed := b.rack.Attempts()[0].Worker
		b.mutex.Unlock()
		other := map[string]string{"w1": "w2", "w2": "w1"}[placed]
		b.apply(`{"hosts":{"` + other + `":{"frozen":false}}}`)
		b.run(time.Minute)
		b.apply(`{"hosts":{"` + placed + `":{"frozen":false}}}`)
		b.run(5 * time.Second)
		for _, v := range b.close() {
			t.Error(v)
		}
		if n := b.tasks["j/0"].attempt; n < 2 {
			t.Errorf("attempt %d, want the second on the other worker", n)
		}
	})
}

// heard returns a rack whose one worker has accepted epoch 1 and been sent an
// attempt, without an answer to it.
func heard(t *testing.T, until time.Duration) (*Rack, time.Time) {
	t.Helper()
	now := time.Unix(0, 0)
	r := &Rack{Name: "rack-r1", Epoch: 1, Lease: testLease}
	r.SetHosts([]provider.Host{{ID: "w1", Capacity: resource.Vector{MilliCPU: testDemand}}}, now)
	s, _ := r.Outbox("w1", now)
	if _, err := r.Answer("w1", s, worker.Report{Epoch: 1, Boot: "b1", Until: until}, nil, now); err != nil {
		t.Fatal(err)
	}
	start := worker.Start{Ref: worker.Ref{Task: "j/0", Attempt: 1}, Demand: resource.Vector{MilliCPU: testDemand}}
	if _, err := r.Place(start, Wish{}, now, rand.New(rand.NewPCG(1, 1))); err != nil {
		t.Fatal(err)
	}
	return r, now
}

// miss sends n Syncs that are not answered, and returns the time after them
// and the attempts that ended.
func miss(r *Rack, n int, now time.Time) (ended []*Attempt, after time.Time) {
	for range n {
		s, _ := r.Outbox("w1", now)
		now = now.Add(time.Second)
		changed, _ := r.Answer("w1", s, worker.Report{}, worker.ErrUnreachable, now)
		ended = append(ended, changed...)
	}
	return ended, now
}

// A silent worker's attempts are lost when its clock, at the slowest rate, has
// passed all that it was sent and every lease of an earlier owner, not before.
func TestLapse(t *testing.T) {
	slowest := func(d time.Duration) time.Duration { return time.Duration(float64(d) / (1 - worker.MaxClockDrift)) }
	cases := []struct {
		name  string
		until time.Duration // of an earlier owner's lease
		lapse time.Duration // after the clock was read
	}{
		// The third Sync, sent after 2 s, is the last that renews.
		{"own lease", 0, slowest(testLease) + 2*time.Second},
		{"longer lease of an earlier owner", time.Minute, slowest(time.Minute)},
	}
	for _, c := range cases {
		r, begin := heard(t, c.until)
		ended, now := miss(r, missesToClose, begin)
		for now.Before(begin.Add(c.lapse)) {
			if len(ended) > 0 {
				t.Fatalf("%s: lost after %v, want %v", c.name, now.Sub(begin), c.lapse)
			}
			ended, now = miss(r, 1, now)
		}
		if len(ended) != 1 || ended[0].State != Lost {
			t.Errorf("%s: %v ended after %v, want %v", c.name, ended, now.Sub(begin), c.lapse)
		}
	}
}

// What a worker was told before it lost everything did not outlive that, even
// where the first report of the new boot answers a mere fence. Its start must
// not be sent again: it may have run.
func TestRebornWorkerGetsNoSecondStart(t *testing.T) {
	r, now := heard(t, 0)
	_, now = miss(r, missesToClose, now)
	s, _ := r.Outbox("w1", now)
	changed, err := r.Answer("w1", s, worker.Report{Epoch: 1, Boot: "b2"}, nil, now)
	if err != nil || len(changed) != 1 || changed[0].State != Lost {
		t.Errorf("changed %v, %v, want the attempt lost", changed, err)
	}
	if s, _ = r.Outbox("w1", now); len(s.Starts) > 0 || s.Boot != "b2" {
		t.Errorf("sent %+v to the reborn worker", s)
	}
}
