package pool

import (
	"reflect"
	"strings"
	"testing"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/resource"
)

func TestCheckReportsAllFaults(t *testing.T) {
	hash := strings.Repeat("ab", 32)
	c := Configuration{
		Organisations: []Organisation{
			{Name: "prado", Weight: 1, TokenHashes: []string{hash}},
			{Name: "prado", Weight: 0, Quota: resource.Vector{MilliCPU: -1}, CutOff: "guess", MaxQueued: -1, Roles: []string{"own"}},
			{Name: "a b", Weight: 1, TokenHashes: []string{hash, "short"}},
		},
		Operators:  []Operator{{Name: "ivana", TokenHash: hash, Role: "king"}},
		Shares:     []Share{{Organisation: "nobody", Class: class.Urgent, Percent: 60, Priority: 11}, {Organisation: "prado", Class: "soon", Percent: 50}},
		Services:   []Service{{Name: "returns", Organisation: "nobody", RetryPercent: 101}},
		Objectives: []Objective{{Organisation: "prado", Class: class.Urgent, Percent: 100}},
		Drains:     []Drain{{Host: "h", Rack: "r"}},
		Capacity:   []PlannedCapacity{{Rack: "r", DataCentre: "sofia"}},
		Limits:     Limits{MaxAttempts: -1, ReservePercent: 200},
	}
	got := Check(&c)
	const want = 26
	if len(got) != want {
		t.Errorf("%d findings, want %d:\n%v", len(got), want, got)
	}
	good := Configuration{Organisations: []Organisation{{Name: "prado", Weight: 1, TokenHashes: []string{hash}}}}
	if Check(&good).Err() != nil {
		t.Errorf("a valid configuration has findings: %v", Check(&good))
	}
}

func TestCloneIsDeepAndLookupsFind(t *testing.T) {
	hash := strings.Repeat("ab", 32)
	c := Configuration{
		Organisations: []Organisation{{Name: "prado", Weight: 1, TokenHashes: []string{hash}}},
		Operators:     []Operator{{Name: "ivana", TokenHash: strings.Repeat("cd", 32), Role: RoleOperator}},
		Drains:        []Drain{{Rack: "r1", By: "ivana"}},
	}
	d := c.Clone()
	if !reflect.DeepEqual(c, d) {
		t.Errorf("clone %+v differs from %+v", d, c)
	}
	d.Organisation("prado").Weight = 2
	d.Organisations[0].TokenHashes[0] = ""
	if c.Organisations[0].Weight != 1 || c.OrganisationByToken(hash) == nil || d.OrganisationByToken(hash) != nil {
		t.Errorf("the clone shares memory with %+v", c)
	}
	if by, drained := c.Drained("h", "r1", "sofia"); !drained || by != "ivana" {
		t.Errorf("Drained = %q, %v", by, drained)
	}
	if _, drained := c.Drained("h", "", ""); drained {
		t.Error("a host without a rack counts as drained")
	}
	if c.OperatorByToken(strings.Repeat("cd", 32)) == nil || c.OperatorByToken("") != nil {
		t.Error("OperatorByToken did not find the operator, or found one for an empty hash")
	}
}
