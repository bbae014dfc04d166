package intent

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/finding"
	"persimmonworks.example/persimmonworks/pool"
	"persimmonworks.example/persimmonworks/provider"
	"persimmonworks.example/persimmonworks/resource"
)

func cores(n int64) resource.Vector {
	return resource.Vector{MilliCPU: n * resource.MilliPerCore, MemoryMB: n * 1024}
}

// smallPool returns the state of a pool with three workers on two racks and a
// runner.
func smallPool() State {
	return State{
		Number: 7,
		Configuration: pool.Configuration{Organisations: []pool.Organisation{
			{Name: "prado", Weight: 1}, {Name: "returns", Weight: 1},
		}, Operators: []pool.Operator{{Name: "ivana", TokenHash: strings.Repeat("ef", 32), Role: pool.RoleOperator}}},
		Hosts: []Host{
			{"w3", provider.KindWorker, "r2", "sofia", cores(8)},
			{"w1", provider.KindWorker, "r1", "sofia", cores(8)},
			{"w2", provider.KindWorker, "r1", "sofia", cores(16)},
			{"u1", provider.KindRunner, "r1", "sofia", resource.Vector{}},
		},
		Attempts: []Attempt{
			{"c", 1, "prado", class.Batch, "w1", cores(2), false},
			{"b", 2, "returns", class.Batch, "w1", cores(6), true},
			{"d", 1, "prado", class.Batch, "w2", cores(9), true},
			{"a", 1, "prado", class.Batch, "w3", cores(1), true},
		},
		Waiting: []QueuedWork{{"prado", 12}},
	}
}

func TestPlans(t *testing.T) {
	for _, test := range []struct {
		in    Intent
		steps []string
		share float64 // of organisation prado after the plan
	}{
		{Intent{Kind: DrainRack, Target: "r1"}, []string{
			"wait:u1:", "move:b:w3", "wait:c:", "stop:d:", "wait:prado:",
		}, 0.125},
		{Intent{Kind: DrainWorker, Target: "w3"}, []string{"move:a:w2", "wait:prado:"}, 0.375},
		{Intent{Kind: DrainRunner, Target: "u1"}, []string{"wait:u1:"}, 0.5},
		{Intent{Kind: SetWeight, Organisation: "returns", Weight: 3}, []string{"wait:prado:"}, 0.25},
		{Intent{Kind: SetWeight, Organisation: "prado", Weight: 3}, nil, 0.75},
		{Intent{Kind: SetQuota, Organisation: "prado", Quota: cores(11)}, []string{"wait:prado:"}, 0.5},
		{Intent{Kind: SetQuota, Organisation: "prado", Quota: cores(12)}, nil, 0.5},
		{Intent{Kind: SetPriority, Organisation: "prado", Class: class.Urgent, Priority: 5}, nil, 0.5},
		{Intent{Kind: SetTokens, Organisation: "prado", TokenHashes: []string{strings.Repeat("ab", 32)}}, nil, 0.5},
		{Intent{Kind: SetObjective, Objective: &pool.Objective{Organisation: "prado", Class: class.Urgent, Latency: time.Second, Percent: 99, Window: time.Hour}}, nil, 0.5},
		{Intent{Kind: SetOperator, Operator: &pool.Operator{Name: "oto", TokenHash: strings.Repeat("cd", 32), Role: pool.RolePlanner}}, nil, 0.5},
		{Intent{Kind: SetService, Service: &pool.Service{Name: "jobs", RetryPercent: 10}}, nil, 0.5},
		{Intent{Kind: AddOrganisation, Add: &pool.Organisation{Name: "court", Weight: 2}}, []string{"wait:prado:"}, 0.25},
		{Intent{Kind: AddCapacity, Capacity: &pool.PlannedCapacity{DataCentre: "sofia", Rack: "r3", Workers: 8, Each: cores(16)}}, nil, 0.5},
	} {
		test.in.By = "ivana"
		p, err := NewPlan(smallPool(), test.in)
		if err != nil {
			t.Errorf("%s: %v", test.in.Kind, err)
			continue
		}
		var got []string
		for _, s := range p.Steps {
			what := s.Task
			if what == "" {
				what = s.Organisation + s.From
			}
			got = append(got, fmt.Sprintf("%s:%s:%s", s.Action, what, s.To))
		}
		if diff := cmp.Diff(test.steps, got); diff != "" {
			t.Errorf("%s %s (-want +got):\n%s", test.in.Kind, test.in.Target, diff)
		}
		for _, e := range p.Effects {
			if e.Organisation == "prado" && e.After != test.share {
				t.Errorf("%s: prado's share becomes %v, want %v", test.in.Kind, e.After, test.share)
			}
		}
		if text := p.Text(); !strings.Contains(text, p.Digest()) || !strings.Contains(text, "nothing changes") {
			t.Errorf("%s: text\n%s", test.in.Kind, text)
		}
	}
}

func TestInvalidIntents(t *testing.T) {
	for _, in := range []Intent{
		{Kind: "dance"},
		{Kind: SetWeight, Organisation: "nobody", Weight: 1},
		{Kind: SetWeight, Organisation: "prado", Weight: 1}, // no change
		{Kind: DrainWorker, Target: "u1"},
		{Kind: DrainRunner, Target: "w1"},
		{Kind: DrainRack, Target: "r9"},
		{Kind: Undrain, Target: "r1"},
		{Kind: AddOrganisation},
		{Kind: AddCapacity},
		{Kind: Undo, Number: 3},
		{Kind: SetTokens, Organisation: "prado", TokenHashes: []string{"a secret in place of its hash"}},
		{Kind: SetObjective},
		{Kind: SetObjective, Objective: &pool.Objective{Organisation: "prado", Class: class.Urgent, Percent: 101}},
		{Kind: SetOperator, Operator: &pool.Operator{Name: "ivana", TokenHash: strings.Repeat("ef", 32), Role: pool.RoleViewer}}, // the only operator
	} {
		if _, err := NewPlan(smallPool(), in); !errors.Is(err, ErrInvalid) {
			t.Errorf("%+v: %v", in, err)
		}
	}
	_, err := NewPlan(smallPool(), Intent{Kind: SetWeight, Organisation: "prado", Weight: -1})
	if len(finding.FromError(err)) != 1 {
		t.Errorf("a negative weight gave %v", err)
	}
}

func TestStaleOnlyIfTouchedPartsChanged(t *testing.T) {
	p, err := NewPlan(smallPool(), Intent{Kind: DrainRack, Target: "r1", By: "ivana"})
	if err != nil {
		t.Fatal(err)
	}
	for name, test := range map[string]struct {
		change func(*State)
		stale  string
	}{
		"nothing":                 {func(*State) {}, ""},
		"order":                   {func(s *State) { s.Hosts[0], s.Hosts[1] = s.Hosts[1], s.Hosts[0] }, ""},
		"attempt elsewhere":       {func(s *State) { s.Attempts = s.Attempts[:3] }, ""},
		"weight":                  {func(s *State) { s.Configuration.Organisations[0].Weight = 9 }, ""},
		"attempt on the rack":     {func(s *State) { s.Attempts = s.Attempts[1:] }, "host w1"},
		"new host":                {func(s *State) { s.Hosts = append(s.Hosts, Host{ID: "w9", Rack: "r1"}) }, "host w9"},
		"another drain":           {func(s *State) { s.Configuration.Drains = []pool.Drain{{Host: "w3", By: "oto"}} }, "drains"},
		"host of the rack leaves": {func(s *State) { s.Hosts = s.Hosts[:3] }, "host u1"},
	} {
		s := smallPool()
		test.change(&s)
		err := CheckStale(p, s)
		if (err != nil) != (test.stale != "") || err != nil && (!errors.Is(err, ErrStale) || !strings.Contains(err.Error(), test.stale)) {
			t.Errorf("%s: %v, want %q", name, err, test.stale)
		}
	}
}

func drawState(t *rapid.T) State {
	s := smallPool()
	s.Attempts = nil
	for i := range rapid.IntRange(0, 12).Draw(t, "attempts") {
		s.Attempts = append(s.Attempts, Attempt{
			Task: fmt.Sprint("t", i), Number: 1, Organisation: "prado", Class: class.Batch,
			Host:           rapid.SampledFrom([]string{"w1", "w2", "w3"}).Draw(t, "host"),
			Demand:         cores(rapid.Int64Range(1, 4).Draw(t, "cores")),
			Checkpointable: rapid.Bool().Draw(t, "checkpointable"),
		})
	}
	return s
}

// TestPlansArePure makes each plan for a state and for a permutation of it, which
// must give the same digest and leave the state unmodified. Moves must fit their
// new hosts, and each attempt on a drained host must have exactly one step.
func TestPlansArePure(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawState(t)
		in := rapid.SampledFrom([]Intent{
			{Kind: DrainRack, Target: "r1", By: "ivana", At: time.Unix(1, 0).UTC()},
			{Kind: DrainWorker, Target: "w3", By: "ivana"},
			{Kind: DrainDataCentre, Target: "sofia", By: "ivana"},
		}).Draw(t, "intent")
		before, _ := json.Marshal(s)
		p, err := NewPlan(s, in)
		if err != nil {
			t.Fatal(err)
		}
		if after, _ := json.Marshal(s); string(after) != string(before) {
			t.Fatalf("the state changed from %s to %s", before, after)
		}
		permuted := s
		permuted.Attempts = rapid.Permutation(s.Attempts).Draw(t, "attempts")
		permuted.Hosts = rapid.Permutation(s.Hosts).Draw(t, "hosts")
		again, err := NewPlan(permuted, in)
		if err != nil || again.Digest() != p.Digest() {
			t.Fatalf("the plan depends on the order of hosts or attempts: %v\n%s", err, cmp.Diff(p, again))
		}
		checkSteps(t, s, p)
	})
}

func checkSteps(t *rapid.T, s State, p Plan) {
	load, capacity := make(map[string]resource.Vector), make(map[string]resource.Vector)
	leaving := make(map[string]bool)
	for _, h := range s.Hosts {
		capacity[h.ID] = h.Capacity
		leaving[h.ID] = h.ID == p.Intent.Target || h.Rack == p.Intent.Target || h.DataCentre == p.Intent.Target
	}
	steps := make(map[string]Step)
	for _, step := range p.Steps {
		if step.Task != "" && steps[step.Task].Task != "" {
			t.Fatalf("task %s has two steps", step.Task)
		}
		steps[step.Task] = step
	}
	for _, a := range s.Attempts {
		step, found := steps[a.Task]
		if found != leaving[a.Host] || found && a.Checkpointable == (step.Action == Wait) {
			t.Fatalf("attempt %+v has the step %+v", a, step)
		}
		host := a.Host
		if step.Action == Move {
			host = step.To
		}
		load[host] = load[host].Add(a.Demand)
		if step.Action == Move && (leaving[step.To] || moveOverfills(s, load, capacity, step.To)) {
			t.Fatalf("step %+v exceeds the capacity of its target or moves to a drained host", step)
		}
	}
}

// moveOverfills reports whether the moves exceed the capacity of a host. A host
// that the generated state overloads without any move does not count.
func moveOverfills(s State, load, capacity map[string]resource.Vector, host string) bool {
	var drawn resource.Vector
	for _, a := range s.Attempts {
		if a.Host == host {
			drawn = drawn.Add(a.Demand)
		}
	}
	return capacity[host].Covers(drawn) && !capacity[host].Covers(load[host])
}
