package fleettest

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"persimmonworks.example/persimmonworks/cell"
	"persimmonworks.example/persimmonworks/docket"
	"persimmonworks.example/persimmonworks/wire"
)

// A run after an end that was confirmed breaks a promise; one whose lease lapsed between
// its end and the confirmation may have been started elsewhere meanwhile.
func TestEndConfirmedAfterLapse(t *testing.T) {
	const lease = 3 * time.Second
	for _, c := range []struct {
		name      string
		confirmed time.Duration // after the start
		again     bool          // the task begins again before that
		broken    int
	}{
		{"at once", 2 * time.Second, false, 1},
		{"after the lease has lapsed", 2 * lease, false, 0},
		{"at once, after another start", 2 * time.Second, true, 1},
		{"after the lease has lapsed and another start", 2 * lease, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := New(2, 16000, 32768)
				job := &wire.DocketAccepted{Job: "0000000000000001", Queue: &wire.DocketQueue{MaxAttempts: 3}, Steps: []*wire.DocketStep{{Count: 1, MilliCpu: 1000, EstimateMs: 1000}}}
				f.Accept(job)
				f.Takes = func(docket.TaskID) time.Duration { return time.Second }
				task := docket.StepID{Job: job.GetJob()}.Task(0)
				start := func(w *Worker, run uint32) {
					h := w.Host()
					o := cell.StartRequest{Task: task, Run: run, Epoch: 1, DeadlineMS: time.Since(w.started).Milliseconds() + lease.Milliseconds()}
					if r, err := f.Start(t.Context(), &h, o); err != nil || r.Refusal != cell.Accepted {
						t.Fatalf("start of run %d: %v %v", run, r.Refusal, err)
					}
				}
				first := f.Worker(0)
				start(first, 1)
				time.Sleep(c.confirmed)
				if c.again {
					start(f.Worker(1), 2)
				}
				h := first.Host()
				confirm, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				if _, err := f.Hold(confirm, &h, cell.HoldRequest{Epoch: 1, Confirmed: 1}); err != nil {
					t.Fatal(err)
				}
				if !c.again {
					start(f.Worker(1), 2)
				}
				if got := f.Broken(); len(got) != c.broken {
					t.Errorf("broken: %v, want %d", got, c.broken)
				}
			})
		})
	}
}
