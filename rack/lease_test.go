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

// A frozen worker may receive a Sync late, after its owner has declared the
// attempts lost and started them elsewhere. The thawed worker must not start
// them.
func TestThawedWorkerIgnoresExpiredSync(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(2)
		b.run(2 * time.Second)
		b.applyFault(`{"hosts":{"w1":{"frozen":true,"late":true},"w2":{"frozen":true,"late":true}}}`)
		b.submit("j/0", `{"forever":true}`)
		b.run(2 * time.Second)
		b.mutex.Lock()
		placed := b.rack.Attempts()[0].Worker
		b.mutex.Unlock()
		other := map[string]string{"w1": "w2", "w2": "w1"}[placed]
		b.applyFault(`{"hosts":{"` + other + `":{"frozen":false}}}`)
		b.run(time.Minute)
		b.applyFault(`{"hosts":{"` + placed + `":{"frozen":false}}}`)
		b.run(5 * time.Second)
		for _, v := range b.close() {
			t.Error(v)
		}
		if n := b.tasks["j/0"].attempt; n < 2 {
			t.Errorf("attempt %d, want the second on the other worker", n)
		}
	})
}

// rackWithSentAttempt returns a rack with an attempt placed on its only worker,
// which has accepted epoch 1 and not yet answered the Start. The lease of an
// earlier owner runs until the given time on the worker's clock.
func rackWithSentAttempt(t *testing.T, until time.Duration) (*Rack, time.Time) {
	t.Helper()
	now := time.Unix(0, 0)
	r := &Rack{Name: "rack-r1", Epoch: 1, Lease: testLease}
	r.SetHosts([]provider.Host{{ID: "w1", Capacity: resource.Vector{MilliCPU: testDemand}}}, now)
	s, _ := r.NextSync("w1", now)
	if _, err := r.HandleReport("w1", s, worker.Report{Epoch: 1, BootID: "b1", LeaseEnd: until}, nil, now); err != nil {
		t.Fatal(err)
	}
	start := worker.Start{Ref: worker.Ref{Task: "j/0", Attempt: 1}, Demand: resource.Vector{MilliCPU: testDemand}}
	if _, err := r.Place(start, Preferences{}, now, rand.New(rand.NewPCG(1, 1))); err != nil {
		t.Fatal(err)
	}
	return r, now
}

// missSyncs sends n Syncs that time out. It returns the attempts that ended and
// the time after the last Sync.
func missSyncs(r *Rack, n int, now time.Time) (ended []*Attempt, after time.Time) {
	for range n {
		s, _ := r.NextSync("w1", now)
		now = now.Add(time.Second)
		changed, _ := r.HandleReport("w1", s, worker.Report{}, worker.ErrUnreachable, now)
		ended = append(ended, changed...)
	}
	return ended, now
}

// The attempts of an unreachable worker become lost only when the worker's
// clock, at the slowest permitted rate, has passed the expiry of every message
// it was sent and of every lease granted by an earlier owner.
func TestLeaseExpiry(t *testing.T) {
	slowest := func(d time.Duration) time.Duration { return time.Duration(float64(d) / (1 - worker.MaxClockDrift)) }
	cases := []struct {
		name   string
		until  time.Duration // on the worker's clock; end of an earlier owner's lease
		expiry time.Duration // after the clock was read
	}{
		// The third Sync, sent after 2 s, is the last to renew the lease.
		{"own lease", 0, slowest(testLease) + 2*time.Second},
		{"longer lease of an earlier owner", time.Minute, slowest(time.Minute)},
	}
	for _, c := range cases {
		r, begin := rackWithSentAttempt(t, c.until)
		ended, now := missSyncs(r, maxMissedSyncs, begin)
		for now.Before(begin.Add(c.expiry)) {
			if len(ended) > 0 {
				t.Fatalf("%s: lost after %v, want %v", c.name, now.Sub(begin), c.expiry)
			}
			ended, now = missSyncs(r, 1, now)
		}
		if len(ended) != 1 || ended[0].State != Lost {
			t.Errorf("%s: %v ended after %v, want %v", c.name, ended, now.Sub(begin), c.expiry)
		}
	}
}

// After a worker has rebooted, the attempts it was sent before are lost, even if
// its first report answers a Sync that only fences. A Start must not be sent
// again, because the attempt may have run.
func TestRebootedWorkerGetsNoSecondStart(t *testing.T) {
	r, now := rackWithSentAttempt(t, 0)
	_, now = missSyncs(r, maxMissedSyncs, now)
	s, _ := r.NextSync("w1", now)
	changed, err := r.HandleReport("w1", s, worker.Report{Epoch: 1, BootID: "b2"}, nil, now)
	if err != nil || len(changed) != 1 || changed[0].State != Lost {
		t.Errorf("changed %v, %v, want the attempt lost", changed, err)
	}
	if changed[0].Suspicion != SoleSuspect {
		t.Errorf("suspicion %v of the only attempt, want %v", changed[0].Suspicion, SoleSuspect)
	}
	if s, _ = r.NextSync("w1", now); len(s.Starts) > 0 || s.BootID != "b2" {
		t.Errorf("sent %+v to the rebooted worker", s)
	}
}
