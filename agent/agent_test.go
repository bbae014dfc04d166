package agent

import (
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

type harness struct {
	*testing.T
	*Agent
}

func newHarness(t *testing.T) harness {
	return harness{t, &Agent{
		ID: "w1", Capacity: resource.Vector{MilliCPU: 2000, MemoryMB: 100},
		Ledger: &ledger.Ledger{}, Faults: fault.NewInjector(), UsageLag: time.Second,
	}}
}

func ref(task string, attempt uint64) worker.Ref { return worker.Ref{Task: task, Attempt: attempt} }

func start(task string, attempt uint64, work string) worker.Start {
	return worker.Start{Ref: ref(task, attempt), Demand: resource.Vector{MilliCPU: 1000, MemoryMB: 10}, Work: []byte(work)}
}

func (b harness) sync(s worker.Sync) worker.Report {
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

// syncWithLease sends s to the current boot with a NotAfter of one lease from
// now.
func (b harness) syncWithLease(s worker.Sync) worker.Report {
	b.Helper()
	r := b.sync(worker.Sync{Epoch: s.Epoch})
	s.BootID, s.NotAfter = r.BootID, r.Clock+testLease
	return b.sync(s)
}

func (b harness) startAll(starts ...worker.Start) worker.Report {
	b.Helper()
	return b.syncWithLease(worker.Sync{Starts: starts})
}

// wantStates checks the states of the inventory, sorted by task and attempt.
func (b harness) wantStates(r worker.Report, states ...worker.State) {
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

func (b harness) applyFaults(change string) {
	b.Helper()
	if err := b.Faults.Apply([]byte(change)); err != nil {
		b.Fatal(err)
	}
}

func (b harness) wantFirstRun(how string, duration time.Duration) {
	b.Helper()
	e := b.Ledger.Entries()[0]
	if e.Outcome != how || e.End.Sub(e.Begin) != duration {
		b.Fatalf("ledger: %s after %v, want %s after %v", e.Outcome, e.End.Sub(e.Begin), how, duration)
	}
}

// Checks which Starts run, given the requests that came before them.
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
		{"stop before start", worker.Sync{Stops: []worker.Stop{{Ref: ref("a", 1)}}}, []worker.Start{start("a", 1, forever)}, []worker.State{worker.Stopped}, 0},
		{"next attempt after a stop", worker.Sync{Stops: []worker.Stop{{Ref: ref("a", 1)}}}, []worker.Start{start("a", 2, forever)}, []worker.State{worker.Stopped, worker.Running}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newHarness(t)
				b.syncWithLease(c.before)
				b.wantStates(b.startAll(c.starts...), c.want...)
				ran := 0
				for _, e := range b.Ledger.Entries() {
					if e.Outcome != ledger.Refused {
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

// A finished attempt stays in the inventory until it is acknowledged. After that
// the same attempt must not run again.
func TestFinishedAttemptIsListedUntilAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t)
		b.startAll(start("a", 1, `{"run-ms":2000,"output":"x"}`), start("b", 1, `{"run-ms":1000,"fail":true}`))
		time.Sleep(time.Minute)
		r := b.syncWithLease(worker.Sync{Acknowledged: []worker.Ref{ref("c", 1)}})
		b.wantStates(r, worker.Done, worker.Failed)
		b.wantFirstRun(ledger.Done, 2*time.Second)
		if string(r.Attempts[0].Result) != "x" || r.Attempts[0].Ran != 2*time.Second {
			t.Errorf("finished attempt %+v", r.Attempts[0])
		}
		b.wantStates(b.syncWithLease(worker.Sync{Acknowledged: []worker.Ref{ref("a", 1), ref("b", 1)}}))
		b.wantStates(b.startAll(start("a", 1, `{"forever":true}`)))
	})
}

// A throttled attempt takes longer, a checkpoint preserves the progress, and the
// reported usage is delayed.
func TestThrottleAndCheckpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t)
		r := b.startAll(start("a", 1, `{"run-ms":4000}`))
		if !r.Attempts[0].Used.IsZero() {
			t.Errorf("usage %v reported without delay", r.Attempts[0].Used)
		}
		time.Sleep(time.Second)
		b.syncWithLease(worker.Sync{Throttles: []worker.Throttle{{Ref: ref("a", 1), Percent: 50}}})
		time.Sleep(4 * time.Second)
		r = b.syncWithLease(worker.Sync{Stops: []worker.Stop{{Ref: ref("a", 1), Checkpoint: true}}})
		b.wantStates(r, worker.Stopped)
		if r.Attempts[0].Used.MilliCPU != 500 {
			t.Errorf("usage %v of a task throttled to half a core", r.Attempts[0].Used)
		}
		b.startAll(start("a", 2, string(r.Attempts[0].Checkpoint)))
		time.Sleep(time.Second - 1)
		b.wantStates(b.sync(worker.Sync{}), worker.Stopped, worker.Running)
		time.Sleep(1)
		synctest.Wait()
		b.wantStates(b.sync(worker.Sync{}), worker.Stopped, worker.Done)
	})
}

// A worker with the fault fail-starts fails every attempt. A worker that was
// lost returns with a new boot ID and an empty inventory.
func TestFailingAndLostWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t)
		b.applyFaults(`{"hosts":{"w1":{"fail-starts":true,"leaving":true}}}`)
		r := b.startAll(start("a", 1, `{"forever":true}`))
		b.wantStates(r, worker.Failed)
		if !r.Leaving {
			t.Error("report does not mark the worker as leaving")
		}
		b.applyFaults(`{"hosts":{"w1":{"fail-starts":false}}}`)
		b.syncWithLease(worker.Sync{Epoch: 9, Starts: []worker.Start{start("b", 1, `{"forever":true}`)}})
		b.applyFaults(`{"hosts":{"w1":{"lost":true}}}`)
		b.Crash()
		if _, err := b.Sync(t.Context(), worker.Sync{Epoch: 9}); !errors.Is(err, worker.ErrUnreachable) {
			t.Errorf("lost worker: %v", err)
		}
		b.applyFaults(`{"hosts":{"w1":{"lost":false}}}`)
		back := b.sync(worker.Sync{Epoch: 9, BootID: r.BootID, NotAfter: time.Hour, Starts: []worker.Start{start("b", 1, "")}})
		b.wantStates(back)
		if back.BootID == r.BootID {
			t.Error("a worker that lost its attempts has the same boot ID")
		}
		if e := b.Ledger.Entries()[1]; e.Outcome != ledger.Lost {
			t.Errorf("ledger %+v", e)
		}
	})
}

// A Stop that arrives before its Start prevents the attempt from ever running,
// even after the owner has acknowledged it.
func TestStopBeforeStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t)
		b.wantStates(b.syncWithLease(worker.Sync{Stops: []worker.Stop{{Ref: ref("a", 2)}}}), worker.Stopped)
		b.wantStates(b.syncWithLease(worker.Sync{Acknowledged: []worker.Ref{ref("a", 2)}}))
		b.wantStates(b.startAll(start("a", 2, `{"forever":true}`)))
		b.wantStates(b.startAll(start("a", 1, `{"forever":true}`)), worker.Refused)
		b.wantStates(b.startAll(start("a", 3, `{"forever":true}`)), worker.Refused, worker.Running)
		time.Sleep(2 * testLease)
	})
}

// The ledger reports the second run of a non-idempotent task.
func TestSecondRunOfNonIdempotentTask(t *testing.T) {
	for _, work := range []string{`{"run-ms":1}`, `{"run-ms":1,"non-idempotent":true}`} {
		synctest.Test(t, func(t *testing.T) {
			b := newHarness(t)
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
