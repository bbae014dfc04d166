package console

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"persimmonworks.example/persimmonworks/intent"
	"persimmonworks.example/persimmonworks/provider"
)

var now = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

func TestInForceNamesEveryProcess(t *testing.T) {
	got := inForce([]Standing{
		{Process: "e1", Number: 8, Heard: true},
		{Process: "e2", Number: 7, Heard: true},
		{Process: "e3", Number: 6},
		{Process: "e4", Number: 9},
	}, 8)
	want := Confirmed{Number: 8, InForce: []string{"e1", "e4"}, CutOff: []CutOff{
		{"e2", "answers, but still has 7"}, {"e3", "not heard lately; had 6"},
	}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func attempt(task string, number uint64, host string, epoch uint64) Running {
	return Running{Attempt: intent.Attempt{Task: task, Number: number, Host: host}, Epoch: epoch}
}

func TestStateOfTwoOwners(t *testing.T) {
	state := stateOf([]provider.Host{{ID: "w2"}, {ID: "w1"}}, []LocalState{
		{Running: []Running{attempt("b", 1, "w1", 4), attempt("a", 2, "w2", 4)}, Waiting: []intent.QueuedWork{{Organisation: "prado", Tasks: 2}}},
		{Running: []Running{attempt("b", 1, "w2", 5)}, Waiting: []intent.QueuedWork{{Organisation: "prado", Tasks: 3}}},
	})
	want := intent.State{
		Hosts:    []intent.Host{{ID: "w1"}, {ID: "w2"}},
		Attempts: []intent.Attempt{{Task: "a", Number: 2, Host: "w2"}, {Task: "b", Number: 1, Host: "w2"}},
		Waiting:  []intent.QueuedWork{{Organisation: "prado", Tasks: 5}},
	}
	if diff := cmp.Diff(want, state); diff != "" {
		t.Error(diff)
	}
}

func TestProgressOfADrain(t *testing.T) {
	step := func(task string) intent.Step {
		return intent.Step{Action: intent.Move, Task: task, Attempt: 1, From: "w1"}
	}
	plan := intent.Plan{
		Intent: intent.Intent{Kind: intent.DrainRack, Target: "r1"},
		Steps:  []intent.Step{step("moved"), step("stays"), step("stopping"), step("gone"), {Action: intent.Wait, From: "u1"}},
	}
	hosts := []provider.Host{{ID: "w1", Rack: "r1"}, {ID: "w2", Rack: "r2"}}
	stopping := attempt("stopping", 1, "w1", 1)
	stopping.Stopping = true
	got := progressOf(plan, hosts, []Running{
		attempt("moved", 2, "w2", 1), attempt("stays", 1, "w1", 1), stopping, attempt("later", 1, "w1", 1), attempt("other", 1, "w2", 1),
	})
	var states []StepState
	for _, s := range got.Steps {
		states = append(states, s.State)
	}
	if diff := cmp.Diff([]StepState{StepMoved, StepRunning, StepStopping, StepGone, StepStands}, states); diff != "" {
		t.Error(diff)
	}
	if len(got.Left) != 3 || got.Done {
		t.Errorf("left %+v, done %v; want stays, stopping and later", got.Left, got.Done)
	}
	if rest := progressOf(plan, hosts, []Running{attempt("other", 1, "w2", 1)}); !rest.Done || len(rest.Left) != 0 {
		t.Errorf("after all have left: %+v", rest)
	}
}

func TestPeriods(t *testing.T) {
	for _, test := range []struct {
		query    string
		from, to time.Time
		err      string
	}{
		{"", now.Add(-time.Minute), now, ""},
		{"last=90m", now.Add(-90 * time.Minute), now, ""},
		{"from=2026-12-01T00:00:00Z&to=2026-12-02T00:00:00Z", now.Add(-78 * time.Hour), now.Add(-54 * time.Hour), ""},
		{"last=-1h", now, now, "last:"},
		{"last=soon", now, now, "last:"},
		{"from=yesterday", now, now, "from:"},
		{"from=2026-12-04T07:00:00Z", now, now, "is not between"},
		{"last=9000h", now, now, "is not between"},
	} {
		from, to, err := periodOf(httptest.NewRequest(http.MethodGet, "/usage?"+test.query, nil), now)
		switch {
		case test.err == "" && (err != nil || !from.Equal(test.from) || !to.Equal(test.to)):
			t.Errorf("%q: %v to %v, %v", test.query, from, to, err)
		case test.err != "" && (err == nil || !strings.Contains(err.Error(), test.err)):
			t.Errorf("%q: error %v, want one with %q", test.query, err, test.err)
		}
	}
}

func TestWants(t *testing.T) {
	for accept, want := range map[string]bool{
		"": false, "*/*": false, "text/plain": true, "text/html, text/plain;q=0.5": true, "application/json, text/plain": false,
	} {
		r := httptest.NewRequest(http.MethodGet, "/", nil)
		r.Header.Set("Accept", accept)
		if got := wants(r, "text/plain"); got != want {
			t.Errorf("Accept %q: %v, want %v", accept, got, want)
		}
	}
}
