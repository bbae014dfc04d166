package quarantine

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func newTracker(workers int) *Tracker {
	w := &Tracker{}
	for n := range workers {
		w.AddWorker(fmt.Sprint("w", n), "sofia")
	}
	return w
}

// A job that fails on every worker must not quarantine any worker, however many of its
// tasks fail.
func TestBadJobQuarantinesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newTracker(20)
		now := start
		for n := range rapid.IntRange(50, 300).Draw(t, "failures") {
			worker := fmt.Sprint("w", rapid.IntRange(0, 19).Draw(t, "worker"))
			now = now.Add(time.Second)
			if w.RecordFailure(Attempt{worker, fmt.Sprint("t", n), "bad", "prado"}, now) {
				t.Fatalf("worker %s was quarantined: %s", worker, w.Reason(worker))
			}
		}
	})
}

// Under random outcomes, the share of restricted workers of a data centre never exceeds
// ShareLimit, and Restricted agrees with the states of the workers.
func TestCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newTracker(rapid.IntRange(1, 40).Draw(t, "workers"))
		w.ShareLimit = rapid.Float64Range(0.01, 0.5).Draw(t, "limit")
		now := start
		for n := range rapid.IntRange(1, 400).Draw(t, "outcomes") {
			_, workers := w.Restricted("sofia")
			o := Attempt{
				fmt.Sprint("w", rapid.IntRange(0, workers-1).Draw(t, "worker")),
				fmt.Sprint("t", n/2), fmt.Sprint("j", rapid.IntRange(0, 50).Draw(t, "job")),
				rapid.SampledFrom([]string{"a", "b"}).Draw(t, "organisation"),
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "seconds")) * time.Second)
			w.Allow(o.Worker, 0, now)
			if rapid.IntRange(0, 3).Draw(t, "outcome") == 0 {
				w.RecordSuccess(o, now)
			} else {
				w.RecordFailure(o, now)
			}
			held, seen := 0, 0
			for k := range workers {
				if w.State(fmt.Sprint("w", k)) != Trusted {
					held++
				}
			}
			if seen, _ = w.Restricted("sofia"); held != seen || float64(held) > w.ShareLimit*float64(workers) {
				t.Fatalf("%d of %d workers are restricted (Restricted returned %d), the limit is %v", held, workers, seen, w.ShareLimit)
			}
		}
	})
}

// Strong evidence quarantines up to a third of the workers of a data centre, also if it
// has few workers; weak evidence quarantines at most a tenth.
func TestEvidenceReachesItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers := rapid.IntRange(1, 40).Draw(t, "workers")
		strong := rapid.Bool().Draw(t, "strong")
		w := newTracker(workers)
		for n := range workers - 1 {
			for k := range 8 {
				o := Attempt{fmt.Sprint("w", n), fmt.Sprint("t", n, "-", k), fmt.Sprint("j", n, "-", k), fmt.Sprint("o", k%2)}
				if strong {
					o.Job = fmt.Sprint("j", n)
				}
				w.RecordFailure(o, start)
				if strong {
					o.Worker = fmt.Sprint("w", workers-1)
					w.RecordSuccess(o, start)
				}
			}
		}
		want := workers / 10
		if strong {
			want = workers / 3
		}
		if held, _ := w.Restricted("sofia"); held != want {
			t.Fatalf("%d of %d workers are restricted (strong evidence: %v), want %d", held, workers, strong, want)
		}
	})
}

// A worker is quarantined if tasks fail on it that succeed elsewhere, or if jobs of
// several organisations fail on it first. A flaky job, a single organisation, old
// failures and jobs that fail elsewhere as well are not sufficient.
func TestEvidence(t *testing.T) {
	for _, c := range []struct {
		failure string
		run     func(w *Tracker)
		want    State
	}{
		{"a worker on which tasks failed that succeeded elsewhere was not quarantined", func(w *Tracker) {
			for n := range 3 {
				task := fmt.Sprint("t", n)
				w.RecordFailure(Attempt{"w0", task, "j", "prado"}, start)
				w.RecordSuccess(Attempt{"w1", task, "j", "prado"}, start)
			}
		}, Quarantined},
		{"a worker on which several jobs failed first was not quarantined", func(w *Tracker) {
			for n := range 4 {
				w.RecordFailure(Attempt{"w0", "t", fmt.Sprint("j", n), fmt.Sprint("o", n%2)}, start)
			}
		}, Quarantined},
		{"failures of a single organisation quarantined a worker", func(w *Tracker) {
			for n := range 20 {
				w.RecordFailure(Attempt{"w0", "t", fmt.Sprint("j", n), "prado"}, start)
			}
		}, Trusted},
		{"a flaky job quarantined a worker with enough successes", func(w *Tracker) {
			for n := range 20 {
				task := fmt.Sprint("t", n)
				w.RecordSuccess(Attempt{"w0", task + "ok", "j", "prado"}, start)
				w.RecordFailure(Attempt{"w0", task, "j", "prado"}, start)
				w.RecordSuccess(Attempt{"w1", task, "j", "prado"}, start)
			}
		}, Trusted},
		{"failures outside the window counted", func(w *Tracker) {
			for n := range 4 {
				at := start.Add(time.Duration(n) * time.Hour)
				w.RecordFailure(Attempt{"w0", "t", fmt.Sprint("j", n), fmt.Sprint("o", n%2)}, at)
			}
		}, Trusted},
		{"jobs that failed elsewhere as well quarantined a worker", func(w *Tracker) {
			for n := range 8 {
				o := Attempt{fmt.Sprint("w", 1+n), "t", fmt.Sprint("j", n), fmt.Sprint("o", n%2)}
				w.RecordFailure(o, start)
				o.Worker = "w0"
				w.RecordFailure(o, start)
			}
		}, Trusted},
	} {
		w := newTracker(20)
		c.run(w)
		if got := w.State("w0"); got != c.want {
			t.Errorf("%s: state %s, want %s (reason: %s)", c.failure, got, c.want, w.Reason("w0"))
		}
	}
}

// After the quarantine time a worker is on probation and is given one task at a time. A
// failure on probation doubles the quarantine time, and enough successes make the
// worker trusted again.
func TestProbation(t *testing.T) {
	w := newTracker(20)
	for n := range 4 {
		w.RecordFailure(Attempt{"w0", "t", fmt.Sprint("j", n), fmt.Sprint("o", n%2)}, start)
	}
	if w.Allow("w0", 0, start.Add(defaultQuarantineTime-1)) {
		t.Error("the worker was given a task before its quarantine time was over")
	}
	now := start.Add(defaultQuarantineTime)
	if !w.Allow("w0", 0, now) || w.Allow("w0", 1, now) {
		t.Error("the worker on probation was not given exactly one task at a time")
	}
	w.RecordFailure(Attempt{"w0", "t", "other", "prado"}, now)
	if w.Allow("w0", 0, now.Add(2*defaultQuarantineTime-1)) {
		t.Error("the second quarantine time is not twice the first")
	}
	now = now.Add(2 * defaultQuarantineTime)
	if !w.Allow("w0", 0, now) {
		t.Error("the second probation did not begin")
	}
	for range probationSuccesses {
		w.RecordSuccess(Attempt{"w0", "t", "fine", "prado"}, now)
	}
	if held, _ := w.Restricted("sofia"); w.State("w0") != Trusted || held != 0 {
		t.Errorf("after %d successes on probation the worker is %s, and %d workers are restricted", probationSuccesses, w.State("w0"), held)
	}
}

// A task is parked when it reaches the limit of failed attempts, and the reason names
// the workers and the last error.
func TestAttempts(t *testing.T) {
	a := TaskFailures{Limit: 2}
	if a.RecordFailure("t", "w1", "exit 1") {
		t.Error("the task was parked after 1 failure, the limit is 2")
	}
	if !a.RecordFailure("t", "w2", "exit 137") {
		t.Error("the task was not parked after 2 failures, the limit is 2")
	}
	reason, parked := a.Parked("t")
	for _, part := range []string{"w1", "w2", "exit 137"} {
		if !parked || !strings.Contains(reason, part) {
			t.Errorf("the reason %q does not contain %q", reason, part)
		}
	}
	if a.Forget("t"); len(a.tasks) != 0 {
		t.Error("the record of a forgotten task still exists")
	}
}

// Work that can run nowhere else is tried on a quarantined worker: one task at a time, at
// intervals that double up to a bound, and more with each success.
func TestProbe(t *testing.T) {
	w := newTracker(3)
	for n := range 3 {
		task := fmt.Sprint("t", n)
		w.RecordFailure(Attempt{"w0", task, "j", "prado"}, start)
		w.RecordSuccess(Attempt{"w1", task, "j", "prado"}, start)
	}
	if w.State("w0") != Quarantined || !w.Any() || w.MostTasks("w0") != 0 {
		t.Fatalf("w0 is %s", w.State("w0"))
	}
	reason := w.Reason("w0")
	now := start
	for _, wait := range []time.Duration{probeLeast, 2 * probeLeast, 4 * probeLeast, probeMost, probeMost, probeMost} {
		if w.Probe("w0", 0, now.Add(wait-time.Millisecond)) {
			t.Errorf("a task is tried before %v", wait)
		}
		now = now.Add(wait)
		if !w.Probe("w0", 0, now) || w.Probe("w0", 1, now) || w.MostTasks("w0") != 1 {
			t.Errorf("no single task is tried after %v", wait)
		}
		w.RecordFailure(Attempt{"w0", "other", "j", "prado"}, now)
	}
	if got := w.Reason("w0"); got != reason+failedAgain {
		t.Errorf("the reason is %q", got)
	}
	if w.Allow("w0", 0, now.Add(defaultQuarantineTime-time.Second)) || !w.Allow("w0", 0, now.Add(defaultQuarantineTime)) {
		t.Error("early probations that fail change the usual quarantine")
	}
	for _, most := range []int{1, 3, 5} {
		if got := w.MostTasks("w0"); got != most {
			t.Errorf("%d tasks may run, want %d", got, most)
		}
		w.RecordSuccess(Attempt{"w0", fmt.Sprint("good", most), "j2", "prado"}, now)
	}
	if w.State("w0") != Trusted || w.Any() || w.MostTasks("w0") != -1 {
		t.Errorf("w0 is %s after its successes", w.State("w0"))
	}
}
