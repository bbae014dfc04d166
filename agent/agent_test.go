package agent

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"persimmonworks.example/persimmonworks/fault"
	"persimmonworks.example/persimmonworks/ledger"
	"persimmonworks.example/persimmonworks/resource"
	"persimmonworks.example/persimmonworks/worker"
)

const testLease = 10 * time.Second

type bench struct {
	*testing.T
	*Agent
}

func newBench(t *testing.T) bench {
	return bench{t, &Agent{
		ID: "w1", Capacity: resource.Vector{MilliCPU: 2000, MemoryMB: 100},
		Ledger: &ledger.Ledger{}, Faults: fault.NewBoard(), UsageLag: time.Second,
	}}
}

func ref(task string, attempt uint64) worker.Ref { return worker.Ref{Task: task, Attempt: attempt} }

func start(task string, attempt uint64, work string) worker.Start {
	return worker.Start{Ref: ref(task, attempt), Demand: resource.Vector{MilliCPU: 1000, MemoryMB: 10}, Work: []byte(work)}
}

func (b bench) sync(s worker.Sync) worker.Report {
	b.Helper()
	if s.Epoch == 0 {
		s.Epoch = 1
	}
	report, err := b.Sync(b.Context(), s)
	if err != nil {
		b.Fatal(err)
	}
	return report
}

// leased sends s, to be void after one lease from now.
func (b bench) leased(s worker.Sync) worker.Report {
	b.Helper()
	r := b.sync(worker.Sync{Epoch: s.Epoch})
	s.Boot, s.NotAfter = r.Boot, r.Clock+testLease
	return b.sync(s)
}

func (b bench) startAll(starts ...worker.Start) worker.Report {
	b.Helper()
	return b.leased(worker.Sync{Starts: starts})
}

// want checks the states of the inventory, in order of task and attempt.
func (b bench) want(r worker.Report, states ...worker.State) {
	b.Helper()
	var got []worker.State
	for _, t := range r.Attempts {
		got = append(got, t.State)
	}
	if len(got) != len(states) {
		b.Fatalf("states %v, want %v", got, states)
	}
	for i := range got {
		if got[i] != states[i] {
			b.Fatalf("states %v, want %v: %+v", got, states, r.Attempts)
		}
	}
}

func (b bench) faults(change string) {
	b.Helper()
	if err := b.Faults.Apply([]byte(change)); err != nil {
		b.Fatal(err)
	}
}

func (b bench) ranUntil(how string, length time.Duration) {
	b.Helper()
	e := b.Ledger.Entries()[0]
	if e.How != how || e.End.Sub(e.Begin) != length {
		b.Fatalf("ledger: %s after %v, want %s after %v", e.How, e.End.Sub(e.Begin), how, length)
	}
}

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

// Which starts run, after those that came before.
func TestStarts(t *testing.T) {
	forever := `{"forever":true}`
	big := start("z", 1, forever)
	big.Demand.MemoryMB = 101
	cases := []struct {
		name   string
		before worker.Sync
		starts []worker.Start
		want   []worker.State
		ran    int
	}{
		{"repeated", worker.Sync{}, []worker.Start{start("a", 1, forever), start("a", 1, forever)}, []worker.State{worker.Running}, 1},
		{"lower attempt", worker.Sync{Starts: []worker.Start{start("a", 2, forever)}}, []worker.Start{start("a", 1, forever)}, []worker.State{worker.Refused, worker.Running}, 1},
		{"full", worker.Sync{}, []worker.Start{start("a", 1, forever), start("b", 1, forever), start("c", 1, forever)}, []worker.State{worker.Running, worker.Running, worker.Refused}, 2},
		{"too big", worker.Sync{}, []worker.Start{big}, []worker.State{worker.Refused}, 0},
		{"bad work", worker.Sync{}, []worker.Start{start("a", 1, "{")}, []worker.State{worker.Refused}, 0},
		{"stopped before", worker.Sync{Stops: []worker.Stop{{Ref: ref("a", 1)}}}, []worker.Start{start("a", 1, forever)}, []worker.State{worker.Stopped}, 0},
		{"next after that", worker.Sync{Stops: []worker.Stop{{Ref: ref("a", 1)}}}, []worker.Start{start("a", 2, forever)}, []worker.State{worker.Stopped, worker.Running}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t)
				b.leased(c.before)
				b.want(b.startAll(c.starts...), c.want...)
				ran := 0
				for _, e := range b.Ledger.Entries() {
					if e.How != ledger.Refused {
						ran++
					}
				}
				if ran != c.ran {
					t.Errorf("%d runs, want %d", ran, c.ran)
				}
				time.Sleep(2 * testLease)
			})
		})
	}
}

// A finish is listed until it is acknowledged, and then its attempt can never
// run again.
func TestFinishIsKeptUntilAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		b.startAll(start("a", 1, `{"run-ms":2000,"output":"x"}`), start("b", 1, `{"run-ms":1000,"fail":true}`))
		time.Sleep(time.Minute)
		r := b.leased(worker.Sync{Acknowledged: []worker.Ref{ref("c", 1)}})
		b.want(r, worker.Done, worker.Failed)
		b.ranUntil(ledger.Done, 2*time.Second)
		if string(r.Attempts[0].Result) != "x" || r.Attempts[0].Ran != 2*time.Second {
			t.Errorf("finish %+v", r.Attempts[0])
		}
		b.want(b.leased(worker.Sync{Acknowledged: []worker.Ref{ref("a", 1), ref("b", 1)}}))
		b.want(b.startAll(start("a", 1, `{"forever":true}`)))
	})
}

// A throttled attempt takes longer, a checkpoint holds what was done, and the
// usage shows late.
func TestThrottleAndCheckpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		r := b.startAll(start("a", 1, `{"run-ms":4000}`))
		if !r.Attempts[0].Used.IsZero() {
			t.Errorf("usage %v shown at once", r.Attempts[0].Used)
		}
		time.Sleep(time.Second)
		b.leased(worker.Sync{Throttles: []worker.Throttle{{Ref: ref("a", 1), Percent: 50}}})
		time.Sleep(4 * time.Second)
		r = b.leased(worker.Sync{Stops: []worker.Stop{{Ref: ref("a", 1), Checkpoint: true}}})
		b.want(r, worker.Stopped)
		if r.Attempts[0].Used.MilliCPU != 500 {
			t.Errorf("usage %v of a task throttled to half a core", r.Attempts[0].Used)
		}
		b.startAll(start("a", 2, string(r.Attempts[0].Checkpoint)))
		time.Sleep(time.Second - 1)
		b.want(b.sync(worker.Sync{}), worker.Stopped, worker.Running)
		time.Sleep(1)
		synctest.Wait()
		b.want(b.sync(worker.Sync{}), worker.Stopped, worker.Done)
	})
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

// A worker that fails every start, and one that is lost and comes back empty.
func TestBrokenWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		b.faults(`{"hosts":{"w1":{"fail-starts":true,"leaving":true}}}`)
		r := b.startAll(start("a", 1, `{"forever":true}`))
		b.want(r, worker.Failed)
		if !r.Leaving {
			t.Error("report does not say that the worker is leaving")
		}
		b.faults(`{"hosts":{"w1":{"fail-starts":false}}}`)
		b.leased(worker.Sync{Epoch: 9, Starts: []worker.Start{start("b", 1, `{"forever":true}`)}})
		b.faults(`{"hosts":{"w1":{"lost":true}}}`)
		b.Lose()
		if _, err := b.Sync(t.Context(), worker.Sync{Epoch: 9}); !errors.Is(err, worker.ErrUnreachable) {
			t.Errorf("lost worker: %v", err)
		}
		b.faults(`{"hosts":{"w1":{"lost":false}}}`)
		back := b.sync(worker.Sync{Epoch: 9, Boot: r.Boot, NotAfter: time.Hour, Starts: []worker.Start{start("b", 1, "")}})
		b.want(back)
		if back.Boot == r.Boot {
			t.Error("a worker that lost its attempts has the same boot")
		}
		if e := b.Ledger.Entries()[1]; e.How != ledger.Lost {
			t.Errorf("ledger %+v", e)
		}
	})
}

// A Stop that overtakes its Start uses the attempt up for good, also after the
// owner has acknowledged it.
func TestStopBeforeStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		b.want(b.leased(worker.Sync{Stops: []worker.Stop{{Ref: ref("a", 2)}}}), worker.Stopped)
		b.want(b.leased(worker.Sync{Acknowledged: []worker.Ref{ref("a", 2)}}))
		b.want(b.startAll(start("a", 2, `{"forever":true}`)))
		b.want(b.startAll(start("a", 1, `{"forever":true}`)), worker.Refused)
		b.want(b.startAll(start("a", 3, `{"forever":true}`)), worker.Refused, worker.Running)
		time.Sleep(2 * testLease)
	})
}

// The ledger finds the second run of a task that must run at most once.
func TestSecondRunOfNonIdempotentTask(t *testing.T) {
	for _, work := range []string{`{"run-ms":1}`, `{"run-ms":1,"non-idempotent":true}`} {
		synctest.Test(t, func(t *testing.T) {
			b := newBench(t)
			b.startAll(start("a", 1, work))
			time.Sleep(time.Second)
			b.startAll(start("a", 2, work))
			time.Sleep(time.Second)
			found := ledger.Check(b.Ledger.Entries())
			marked := strings.Contains(work, "non-idempotent")
			if len(found) > 1 || (len(found) == 1) != marked || (marked && found[0].Rule != ledger.AtMostOnce) {
				t.Errorf("work %s: %v", work, found)
			}
		})
	}
}
