package quarantine

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func ward(workers int) *Ward {
	w := &Ward{}
	for n := range workers {
		w.AddWorker(fmt.Sprint("w", n), "sofia")
	}
	return w
}

// One bad job that fails everywhere quarantines nothing, however many tasks
// it has and however long it goes on.
func TestBadJobQuarantinesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := ward(20)
		now := start
		for n := range rapid.IntRange(50, 300).Draw(t, "failures") {
			worker := fmt.Sprint("w", rapid.IntRange(0, 19).Draw(t, "worker"))
			now = now.Add(time.Second)
			if w.Failed(Outcome{worker, fmt.Sprint("t", n), "bad", "prado"}, now) {
				t.Fatalf("%s is quarantined: %s", worker, w.Reason(worker))
			}
		}
	})
}

// Whatever happens, no more than the capped share of a data centre is held.
func TestCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := ward(rapid.IntRange(1, 40).Draw(t, "workers"))
		w.ShareLimit = rapid.Float64Range(0.01, 0.5).Draw(t, "limit")
		now := start
		for n := range rapid.IntRange(1, 400).Draw(t, "outcomes") {
			_, workers := w.Held("sofia")
			o := Outcome{
				fmt.Sprint("w", rapid.IntRange(0, workers-1).Draw(t, "worker")),
				fmt.Sprint("t", n/2), fmt.Sprint("j", rapid.IntRange(0, 50).Draw(t, "job")),
				rapid.SampledFrom([]string{"a", "b"}).Draw(t, "organisation"),
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "seconds")) * time.Second)
			w.Allow(o.Worker, 0, now)
			if rapid.IntRange(0, 3).Draw(t, "outcome") == 0 {
				w.Succeeded(o, now)
			} else {
				w.Failed(o, now)
			}
			held, seen := 0, 0
			for k := range workers {
				if w.State(fmt.Sprint("w", k)) != Trusted {
					held++
				}
			}
			if seen, _ = w.Held("sofia"); held != seen || float64(held) > w.ShareLimit*float64(workers) {
				t.Fatalf("%d of %d workers are held (counted %d), the cap is %v", held, workers, seen, w.ShareLimit)
			}
		}
	})
}

// Strong evidence holds bad workers also in a data centre of few workers, up to
// a third of them; weak evidence holds no more than a tenth.
func TestEvidenceReachesItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers := rapid.IntRange(1, 40).Draw(t, "workers")
		strong := rapid.Bool().Draw(t, "strong")
		w := ward(workers)
		for n := range workers - 1 {
			for k := range 8 {
				o := Outcome{fmt.Sprint("w", n), fmt.Sprint("t", n, "-", k), fmt.Sprint("j", n, "-", k), fmt.Sprint("o", k%2)}
				if strong {
					o.Job = fmt.Sprint("j", n)
				}
				w.Failed(o, start)
				if strong {
					o.Worker = fmt.Sprint("w", workers-1)
					w.Succeeded(o, start)
				}
			}
		}
		want := workers / 10
		if strong {
			want = workers / 3
		}
		if held, _ := w.Held("sofia"); held != want {
			t.Fatalf("%d of %d workers are held (strong evidence: %v), want %d", held, workers, strong, want)
		}
	})
}

// A worker that fails what succeeds elsewhere, or the jobs of several
// organisations, is quarantined; a flaky job or too few failures do not do it.
func TestEvidence(t *testing.T) {
	for _, c := range []struct {
		failure string
		run     func(w *Ward)
		want    State
	}{
		{"a worker that fails what succeeds elsewhere stays", func(w *Ward) {
			for n := range 3 {
				task := fmt.Sprint("t", n)
				w.Failed(Outcome{"w0", task, "j", "prado"}, start)
				w.Succeeded(Outcome{"w1", task, "j", "prado"}, start)
			}
		}, Quarantined},
		{"a worker that fails every job first stays", func(w *Ward) {
			for n := range 4 {
				w.Failed(Outcome{"w0", "t", fmt.Sprint("j", n), fmt.Sprint("o", n%2)}, start)
			}
		}, Quarantined},
		{"one organisation alone condemns a worker", func(w *Ward) {
			for n := range 20 {
				w.Failed(Outcome{"w0", "t", fmt.Sprint("j", n), "prado"}, start)
			}
		}, Trusted},
		{"a flaky job condemns a worker that mostly succeeds", func(w *Ward) {
			for n := range 20 {
				task := fmt.Sprint("t", n)
				w.Succeeded(Outcome{"w0", task + "ok", "j", "prado"}, start)
				w.Failed(Outcome{"w0", task, "j", "prado"}, start)
				w.Succeeded(Outcome{"w1", task, "j", "prado"}, start)
			}
		}, Trusted},
		{"old evidence counts", func(w *Ward) {
			for n := range 4 {
				at := start.Add(time.Duration(n) * time.Hour)
				w.Failed(Outcome{"w0", "t", fmt.Sprint("j", n), fmt.Sprint("o", n%2)}, at)
			}
		}, Trusted},
		{"jobs that failed elsewhere too condemn a worker", func(w *Ward) {
			for n := range 8 {
				o := Outcome{fmt.Sprint("w", 1+n), "t", fmt.Sprint("j", n), fmt.Sprint("o", n%2)}
				w.Failed(o, start)
				o.Worker = "w0"
				w.Failed(o, start)
			}
		}, Trusted},
	} {
		w := ward(20)
		c.run(w)
		if got := w.State("w0"); got != c.want {
			t.Errorf("%s: the state is %s, want %s (%s)", c.failure, got, c.want, w.Reason("w0"))
		}
	}
}

// A quarantined worker comes back by probation, one task at a time; a failure
// on probation sends it back for twice as long.
func TestProbation(t *testing.T) {
	w := ward(20)
	for n := range 4 {
		w.Failed(Outcome{"w0", "t", fmt.Sprint("j", n), fmt.Sprint("o", n%2)}, start)
	}
	if w.Allow("w0", 0, start.Add(defaultPause-1)) {
		t.Error("the worker is given a task before its stay is over")
	}
	now := start.Add(defaultPause)
	if !w.Allow("w0", 0, now) || w.Allow("w0", 1, now) {
		t.Error("on probation the worker is not given exactly one task at a time")
	}
	w.Failed(Outcome{"w0", "t", "other", "prado"}, now)
	if w.Allow("w0", 0, now.Add(2*defaultPause-1)) {
		t.Error("the second stay is not longer than the first")
	}
	now = now.Add(2 * defaultPause)
	if !w.Allow("w0", 0, now) {
		t.Error("there is no second probation")
	}
	for range probationGoal {
		w.Succeeded(Outcome{"w0", "t", "fine", "prado"}, now)
	}
	if held, _ := w.Held("sofia"); w.State("w0") != Trusted || held != 0 {
		t.Errorf("after %d successes the worker is %s, and %d are held", probationGoal, w.State("w0"), held)
	}
}

// A task is parked after its last attempt, with a reason that names the
// workers and the cause.
func TestAttempts(t *testing.T) {
	a := Attempts{Limit: 2}
	if a.Failed("t", "w1", "exit 1") {
		t.Error("parked after one failure of two")
	}
	if !a.Failed("t", "w2", "exit 137") {
		t.Error("not parked after two failures of two")
	}
	reason, parked := a.Parked("t")
	for _, part := range []string{"w1", "w2", "exit 137"} {
		if !parked || !strings.Contains(reason, part) {
			t.Errorf("the reason %q does not name %q", reason, part)
		}
	}
	if a.Forget("t"); len(a.tasks) != 0 {
		t.Error("a forgotten task is remembered")
	}
}
