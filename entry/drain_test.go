package entry

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/console"
	"persimmonworks.example/persimmonworks/dispatch"
	"persimmonworks.example/persimmonworks/intent"
	"persimmonworks.example/persimmonworks/job"
	"persimmonworks.example/persimmonworks/ledger"
	"persimmonworks.example/persimmonworks/standin"
)

// A confirmed drain stops batch attempts, which resume from their checkpoints
// elsewhere, lets other attempts finish, and reports its progress as done at the end.
func TestDrainMovesWhatItPlanned(t *testing.T) {
	b := newCluster(t, standin.Layout{DataCentres: 1, Racks: 2, Workers: 2}, "dc1", "dc1")
	batch := b.submit(0, "renderings", class.Batch, 2, slices.Repeat([]string{`{"run-ms":9000}`}, 8)...)
	checks := b.submit(1, "checks", class.Interactive, 1, slices.Repeat([]string{`{"run-ms":4000}`}, 4)...)
	ran := func() int { return len(ask[console.Gathered[console.Host]](b, 0, http.MethodGet, "/hosts", nil).Items) }
	if n := ran(); n != 4 {
		t.Fatalf("%d hosts, want 4", n)
	}
	b.waitFor("12 attempts run", func() bool {
		n := 0
		for _, h := range ask[console.Gathered[console.Host]](b, 1, http.MethodGet, "/hosts", nil).Items {
			n += h.Running
		}
		return n == 12
	})
	time.Sleep(2 * time.Second) // a checkpoint must save much more time than a timer may be late

	rack := b.rackToDrain()
	status, _, text := b.send(0, b.planner, http.MethodPost, "/v1/operator/plans", "text/plain", intent.Intent{Kind: intent.DrainRack, Target: rack})
	if status != http.StatusCreated || !strings.Contains(string(text), "nothing changes until it is confirmed") {
		t.Fatalf("plan as text: status %d: %s", status, text)
	}
	var done console.Confirmed
	b.waitFor("confirmed", func() bool {
		proposed := ask[console.Proposed](b, 0, http.MethodPost, "/plans", intent.Intent{Kind: intent.DrainRack, Target: rack, Why: "floor work"})
		if len(proposed.Missing) > 0 {
			return false
		}
		path := "/plans/" + proposed.Digest + "/confirm"
		if status, _, _ := b.send(0, b.planner, http.MethodPost, "/v1/operator"+path, "", nil); status != http.StatusForbidden {
			t.Fatalf("a planner's confirmation: status %d", status)
		}
		moves := 0
		for _, s := range proposed.Plan.Steps {
			if s.Action == intent.Move {
				moves++
			}
		}
		if moves == 0 {
			t.Fatalf("the plan moves nothing: %s", proposed.Plan.Text())
		}
		done = ask[console.Confirmed](b, 0, http.MethodPost, path, nil)
		return true
	})
	if want := []string{"e1", "e2"}; !slices.Equal(done.InForce, want) || len(done.CutOff) != 0 || done.Number != 2 {
		t.Fatalf("confirmed: %+v, want number 2 in force at %v", done, want)
	}
	b.waitFor("progress is done", func() bool {
		return ask[console.Progress](b, 1, http.MethodGet, "/plans/"+done.Digest+"/progress", nil).Done
	})
	for _, h := range ask[console.Gathered[console.Host]](b, 1, http.MethodGet, "/hosts", nil).Items {
		if h.Rack == rack && (h.Running != 0 || h.Drained != "ivana") {
			t.Errorf("host %s: %d attempts, drained by %q", h.ID, h.Running, h.Drained)
		}
	}
	b.waitForJob(0, batch)
	b.waitForJob(0, checks)
	b.waitFor("the log tells the end of the drain", func() bool {
		return strings.Contains(b.log.String(), "drain-notice") && strings.Contains(b.log.String(), "drain-done")
	})
	checkDrain(t, b.platform.Ledger().Entries(), checks)
}

// rackToDrain returns a rack on which attempts run. All of them may have been placed in
// one rack, which has room for them.
func (b *cluster) rackToDrain() string {
	b.t.Helper()
	running := map[string]int{}
	for _, h := range ask[console.Gathered[console.Host]](b, 1, http.MethodGet, "/hosts", nil).Items {
		running[h.Rack] += h.Running
	}
	// The four attempts that cannot be checkpointed may be alone in a rack.
	if running["dc1-r1"] > 4 {
		return "dc1-r1"
	}
	return "dc1-r2"
}

// waitForJob waits until all tasks of a job are done.
func (b *cluster) waitForJob(i int, id string) {
	b.t.Helper()
	b.t.Cleanup(func() {
		if b.t.Failed() {
			_, _, tasks := b.send(i, b.caller, http.MethodGet, "/v1/jobs/"+id+"/tasks?limit=1000", "", nil)
			_, _, hosts := b.send(i, b.operator, http.MethodGet, "/v1/operator/hosts", "", nil)
			b.t.Logf("job %s: %s\nhosts: %s", id, tasks, hosts)
		}
	})
	b.waitFor("job "+id, func() bool {
		status, _, text := b.send(i, b.caller, http.MethodGet, "/v1/jobs/"+id, "", nil)
		var v dispatch.JobView
		return status == http.StatusOK && decodeInto(text, &v) && v.States[job.Done] == v.Tasks
	})
}

// checkDrain checks the stand-in's ledger: stopped batch attempts resumed from their
// checkpoints, and no other attempt was stopped.
func checkDrain(t *testing.T, entries []ledger.Entry, checks string) {
	t.Helper()
	for _, v := range ledger.Check(entries) {
		t.Errorf("violation: %v", v)
	}
	stopped := 0
	total := map[string]float64{} // seconds by task
	for _, e := range entries {
		if e.Kind != ledger.Task {
			continue
		}
		total[e.Task] += e.End.Sub(e.Begin).Seconds()
		switch {
		case e.Outcome == ledger.Stopped && strings.HasPrefix(e.Task, checks):
			t.Errorf("%s cannot be checkpointed and was stopped", e.Task)
		case e.Outcome == ledger.Stopped:
			stopped++
			first := e.End.Sub(e.Begin)
			for _, later := range entries {
				if later.Task == e.Task && later.Attempt > e.Attempt && later.Outcome == ledger.Done && later.End.Sub(later.Begin).Seconds() > 9-first.Seconds()/2 {
					t.Errorf("%s attempt %d ran %v after %v of 9 s: its checkpoint was not used", e.Task, later.Attempt, later.End.Sub(later.Begin), first)
				}
			}
		}
	}
	if stopped == 0 {
		t.Error("the drain stopped nothing")
	}
	t.Log(fmt.Sprintf("%d attempts stopped; %d tasks", stopped, len(total)))
}
