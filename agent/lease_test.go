package agent

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"persimmonworks.example/persimmonworks/ledger"
	"persimmonworks.example/persimmonworks/worker"
)

// The lease expires by the worker's own clock, even while the worker is frozen.
// A renewal extends it unless it has already expired.
func TestLeaseExpires(t *testing.T) {
	cases := []struct {
		name, faults string
		renewAfter   time.Duration
		length       time.Duration
	}{
		{"no renewal", `{}`, 0, 10 * time.Second},
		{"renewal", `{}`, 7 * time.Second, 17 * time.Second},
		{"renewal at the end comes too late", `{}`, 10 * time.Second, 10 * time.Second},
		{"frozen", `{"hosts":{"w1":{"frozen":true}}}`, 0, 10 * time.Second},
		{"fast clock", `{"hosts":{"w1":{"clock-error":0.25}}}`, 0, 8 * time.Second},
		{"slow clock", `{"hosts":{"w1":{"clock-error":-0.5}}}`, 0, 20 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newHarness(t)
				if c.name != "frozen" {
					b.applyFaults(c.faults)
				}
				b.wantStates(b.startAll(start("a", 1, `{"forever":true}`)), worker.Running)
				b.applyFaults(c.faults)
				if c.renewAfter > 0 {
					time.Sleep(c.renewAfter)
					b.syncWithLease(worker.Sync{})
				}
				time.Sleep(time.Minute)
				b.wantFirstRun(ledger.Expired, c.length)
				b.applyFaults(`{"hosts":{"w1":{"frozen":false}}}`)
				b.wantStates(b.sync(worker.Sync{}), worker.Stopped)
			})
		})
	}
}

// A Sync that has expired or is addressed to another boot fences and gets a
// response, but does not start, stop, throttle, acknowledge or renew anything.
func TestExpiredSyncOnlyFences(t *testing.T) {
	cases := []struct {
		name   string
		expire func(s worker.Sync) worker.Sync
	}{
		{"no boot", func(s worker.Sync) worker.Sync { s.BootID = ""; return s }},
		{"other boot", func(s worker.Sync) worker.Sync { s.BootID += "x"; return s }},
		{"no expiry time", func(s worker.Sync) worker.Sync { s.NotAfter = 0; return s }},
		{"at its expiry time", func(s worker.Sync) worker.Sync { s.NotAfter -= testLease; return s }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newHarness(t)
				r := b.startAll(start("a", 1, `{"forever":true}`), start("c", 1, ""))
				time.Sleep(testLease / 2)
				r = b.sync(c.expire(worker.Sync{
					Epoch: 3, BootID: r.BootID, NotAfter: r.Clock + testLease/2 + testLease,
					Starts: []worker.Start{start("b", 1, "")}, Stops: []worker.Stop{{Ref: ref("a", 1)}},
					Acknowledged: []worker.Ref{ref("c", 1)}, Throttles: []worker.Throttle{{Ref: ref("a", 1), Percent: 1}},
				}))
				b.wantStates(r, worker.Running, worker.Done)
				if r.Epoch != 3 || r.Clock != testLease/2 || r.LeaseEnd != testLease {
					t.Errorf("report epoch %d, clock %v, lease end %v", r.Epoch, r.Clock, r.LeaseEnd)
				}
				time.Sleep(testLease)
				b.wantFirstRun(ledger.Expired, testLease)
				if n := len(b.Ledger.Entries()); n != 2 {
					t.Errorf("%d runs, want 2", n)
				}
			})
		})
	}
}

// An older Sync that arrives after a newer one does not shorten the lease.
func TestReorderedSyncKeepsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t)
		r := b.startAll(start("a", 1, `{"forever":true}`))
		b.sync(worker.Sync{BootID: r.BootID, NotAfter: 2 * testLease})
		b.sync(worker.Sync{BootID: r.BootID, NotAfter: testLease})
		time.Sleep(time.Minute)
		b.wantFirstRun(ledger.Expired, 2*testLease)
	})
}

func TestStaleEpochIsRefused(t *testing.T) {
	b := newHarness(t)
	r := b.sync(worker.Sync{Epoch: 5})
	_, err := b.Sync(t.Context(), worker.Sync{Epoch: 4, BootID: r.BootID, NotAfter: time.Hour, Starts: []worker.Start{start("a", 1, "")}})
	if !errors.Is(err, worker.ErrStaleEpoch) {
		t.Fatalf("epoch 4 after 5: %v", err)
	}
	r = b.sync(worker.Sync{Epoch: 6})
	b.wantStates(r)
	if r.Epoch != 6 {
		t.Fatalf("epoch %d, want 6", r.Epoch)
	}
}

// A frozen worker does not respond. After it thaws, it applies a message whose
// sender has timed out only with the fault late, and never one that has expired.
func TestSyncWhileFrozen(t *testing.T) {
	cases := []struct {
		late     bool
		notAfter time.Duration
		ran      bool
	}{
		{false, time.Hour, false},
		{true, time.Hour, true},
		{true, time.Minute + 1, true},
		{true, time.Minute, false},
		{true, testLease, false},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			b := newHarness(t)
			boot := b.sync(worker.Sync{}).BootID
			b.applyFaults(`{"hosts":{"w1":{"frozen":true,"late":false}}}`)
			if c.late {
				b.applyFaults(`{"hosts":{"w1":{"late":true}}}`)
			}
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			time.AfterFunc(time.Minute, func() { b.applyFaults(`{"hosts":{"w1":{"frozen":false}}}`) })
			begin := time.Now()
			_, err := b.Sync(ctx, worker.Sync{Epoch: 1, BootID: boot, NotAfter: c.notAfter, Starts: []worker.Start{start("a", 1, "")}})
			if errors.Is(err, worker.ErrUnreachable) == c.late {
				t.Errorf("%+v: %v after %v", c, err, time.Since(begin))
			}
			time.Sleep(2 * time.Hour)
			if ran := len(b.Ledger.Entries()) == 1; ran != c.ran {
				t.Errorf("%+v: ran %v", c, ran)
			}
		})
	}
}
