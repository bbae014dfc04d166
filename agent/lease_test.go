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

// The lease ends by the worker's own clock, frozen or not, and each renewal
// moves its end.
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
				b := newBench(t)
				if c.name != "frozen" {
					b.faults(c.faults)
				}
				b.want(b.startAll(start("a", 1, `{"forever":true}`)), worker.Running)
				b.faults(c.faults)
				if c.renewAfter > 0 {
					time.Sleep(c.renewAfter)
					b.leased(worker.Sync{})
				}
				time.Sleep(time.Minute)
				b.ranUntil(ledger.Expired, c.length)
				b.faults(`{"hosts":{"w1":{"frozen":false}}}`)
				b.want(b.sync(worker.Sync{}), worker.Stopped)
			})
		})
	}
}

// A Sync that comes too late or for another boot starts, stops, throttles,
// forgets and renews nothing, but it fences and is answered.
func TestVoidSync(t *testing.T) {
	cases := []struct {
		name string
		void func(s worker.Sync) worker.Sync
	}{
		{"no boot", func(s worker.Sync) worker.Sync { s.Boot = ""; return s }},
		{"other boot", func(s worker.Sync) worker.Sync { s.Boot += "x"; return s }},
		{"no time", func(s worker.Sync) worker.Sync { s.NotAfter = 0; return s }},
		{"at its end", func(s worker.Sync) worker.Sync { s.NotAfter -= testLease; return s }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t)
				r := b.startAll(start("a", 1, `{"forever":true}`), start("c", 1, ""))
				time.Sleep(testLease / 2)
				r = b.sync(c.void(worker.Sync{
					Epoch: 3, Boot: r.Boot, NotAfter: r.Clock + testLease/2 + testLease,
					Starts: []worker.Start{start("b", 1, "")}, Stops: []worker.Stop{{Ref: ref("a", 1)}},
					Acknowledged: []worker.Ref{ref("c", 1)}, Throttles: []worker.Throttle{{Ref: ref("a", 1), Percent: 1}},
				}))
				b.want(r, worker.Running, worker.Done)
				if r.Epoch != 3 || r.Clock != testLease/2 || r.Until != testLease {
					t.Errorf("report epoch %d, clock %v, until %v", r.Epoch, r.Clock, r.Until)
				}
				time.Sleep(testLease)
				b.ranUntil(ledger.Expired, testLease)
				if n := len(b.Ledger.Entries()); n != 2 {
					t.Errorf("%d runs, want 2", n)
				}
			})
		})
	}
}

// A message that was overtaken by a later one does not shorten the lease.
func TestOvertakenSync(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		r := b.startAll(start("a", 1, `{"forever":true}`))
		b.sync(worker.Sync{Boot: r.Boot, NotAfter: 2 * testLease})
		b.sync(worker.Sync{Boot: r.Boot, NotAfter: testLease})
		time.Sleep(time.Minute)
		b.ranUntil(ledger.Expired, 2*testLease)
	})
}

func TestFence(t *testing.T) {
	b := newBench(t)
	r := b.sync(worker.Sync{Epoch: 5})
	_, err := b.Sync(t.Context(), worker.Sync{Epoch: 4, Boot: r.Boot, NotAfter: time.Hour, Starts: []worker.Start{start("a", 1, "")}})
	if !errors.Is(err, worker.ErrStaleEpoch) {
		t.Fatalf("epoch 4 after 5: %v", err)
	}
	r = b.sync(worker.Sync{Epoch: 6})
	b.want(r)
	if r.Epoch != 6 {
		t.Fatalf("epoch %d, want 6", r.Epoch)
	}
}

// A frozen worker answers nothing. Whether it acts once thawed on a message
// whose sender has given up is a fault of its own; it never acts on one that
// is void by then.
func TestFrozen(t *testing.T) {
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
			b := newBench(t)
			boot := b.sync(worker.Sync{}).Boot
			b.faults(`{"hosts":{"w1":{"frozen":true,"late":false}}}`)
			if c.late {
				b.faults(`{"hosts":{"w1":{"late":true}}}`)
			}
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			time.AfterFunc(time.Minute, func() { b.faults(`{"hosts":{"w1":{"frozen":false}}}`) })
			begin := time.Now()
			_, err := b.Sync(ctx, worker.Sync{Epoch: 1, Boot: boot, NotAfter: c.notAfter, Starts: []worker.Start{start("a", 1, "")}})
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
