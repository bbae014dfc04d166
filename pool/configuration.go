// Package pool describes what operators set for the shared pool: the
// organisations with their weights and quotas, the standing shares of their
// classes, services, service-level objectives, drains and limits.
//
// A Configuration is plain data that is stored and sent as JSON. Check finds
// all faults of one at once. Package chain numbers configurations and brings
// them into force.
//
// Usage:
//
//	c := current.Clone()
//	c.Organisation("prado").Weight = 3
//	if err := pool.Check(&c).Err(); err != nil {
//		return err // one finding a line
//	}
package pool

import (
	"encoding/json"
	"fmt"
	"time"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/resource"
)

// Configuration is everything that operators set. It is plain data; a
// configuration that was published must not be changed, use Clone.
type Configuration struct {
	Organisations []Organisation `json:"organisations,omitempty"`
	Operators     []Operator     `json:"operators,omitempty"`
	Shares        []Share        `json:"shares,omitempty"`
	Services      []Service      `json:"services,omitempty"`
	Objectives    []Objective    `json:"objectives,omitempty"`
	Drains        []Drain        `json:"drains,omitempty"`
	Capacity      []Addition     `json:"capacity,omitempty"`
	Limits        Limits         `json:"limits"`
}

// CutOffPolicy says what a data centre that lost the platform does with
// non-idempotent requests.
type CutOffPolicy string

// Policies while cut off from the platform.
const (
	// CutOffRefuse answers not-run.
	CutOffRefuse CutOffPolicy = "refuse"
	// CutOffRunOnce sends exactly once and keeps no durable intent.
	CutOffRunOnce CutOffPolicy = "run-once"
)

// Organisation is one of those who share the pool.
type Organisation struct {
	Name        string          `json:"name"`
	Weight      int             `json:"weight"`               // relative share, from 1
	Quota       resource.Vector `json:"quota"`                // most that runs at once; zero is no quota
	TokenHashes []string        `json:"token-hashes"`         // SHA-256 in hex
	Roles       []string        `json:"roles,omitempty"`      // submit, read, cancel; none is all
	CutOff      CutOffPolicy    `json:"cut-off,omitempty"`    // empty is refuse
	MaxQueued   int             `json:"max-queued,omitempty"` // tasks and requests waiting; 0 is no limit
}

// Role is what an operator may do.
type Role string

// Roles of operators, each with the rights of those before.
const (
	RoleViewer   Role = "viewer"
	RolePlanner  Role = "planner"
	RoleOperator Role = "operator"
)

// Operator is a person who may state intents.
type Operator struct {
	Name      string `json:"name"`
	TokenHash string `json:"token-hash"` // SHA-256 in hex
	Role      Role   `json:"role"`
}

// Share is the standing rule for the work of one class of an organisation.
type Share struct {
	Organisation string      `json:"organisation"`
	Class        class.Class `json:"class"`
	Priority     int         `json:"priority"`          // -10 to 10 among the organisation's own classes
	Percent      float64     `json:"percent,omitempty"` // of the pool, kept free for it; 0 is none
}

// Service is a service that runners answer for.
type Service struct {
	Name         string      `json:"name"`
	Organisation string      `json:"organisation,omitempty"` // empty is open to all
	Class        class.Class `json:"class,omitempty"`        // of requests that name none
	RetryPercent float64     `json:"retry-percent"`          // retries as a share of first attempts
}

// Objective is a service-level objective: of the requests of a class, Percent
// end well within Latency, over each Window.
type Objective struct {
	Organisation string        `json:"organisation"`
	Class        class.Class   `json:"class"`
	Latency      time.Duration `json:"latency-ns"`
	Percent      float64       `json:"percent"` // above 0 and below 100
	Window       time.Duration `json:"window-ns"`
}

// Drain takes a part of the pool out of use. Exactly one of Host, Rack and
// DataCentre is set.
type Drain struct {
	Host       string    `json:"host,omitempty"` // a worker or a runner
	Rack       string    `json:"rack,omitempty"`
	DataCentre string    `json:"data-centre,omitempty"`
	Since      time.Time `json:"since"`
	By         string    `json:"by"`
}

// Target returns the kind and the name of what is drained.
func (d Drain) Target() (kind, name string) {
	switch {
	case d.Host != "":
		return "host", d.Host
	case d.Rack != "":
		return "rack", d.Rack
	}
	return "data-centre", d.DataCentre
}

// Addition announces capacity that the platform is to bring.
type Addition struct {
	DataCentre string          `json:"data-centre"`
	Rack       string          `json:"rack"`
	Workers    int             `json:"workers"`
	Each       resource.Vector `json:"each"`
}

// Limits are the limits of the whole pool. A zero value stands for the
// default of the package that uses it.
type Limits struct {
	MaxAttempts       int     `json:"max-attempts,omitempty"`       // of an idempotent task
	QuarantinePercent float64 `json:"quarantine-percent,omitempty"` // most workers of a data centre
	ReservePercent    float64 `json:"reserve-percent,omitempty"`    // slots that long work never takes
}

// Organisation returns the organisation of that name, nil if there is none.
func (c *Configuration) Organisation(name string) *Organisation {
	for i := range c.Organisations {
		if c.Organisations[i].Name == name {
			return &c.Organisations[i]
		}
	}
	return nil
}

// ByToken returns the organisation with the token hash, nil if there is none.
func (c *Configuration) ByToken(hash string) *Organisation {
	for i := range c.Organisations {
		for _, h := range c.Organisations[i].TokenHashes {
			if h == hash {
				return &c.Organisations[i]
			}
		}
	}
	return nil
}

// OperatorByToken returns the operator with the token hash, nil if there is
// none.
func (c *Configuration) OperatorByToken(hash string) *Operator {
	for i := range c.Operators {
		if c.Operators[i].TokenHash == hash {
			return &c.Operators[i]
		}
	}
	return nil
}

// Drained reports whether a host of that place is drained, and by whom.
func (c *Configuration) Drained(host, rack, dataCentre string) (by string, drained bool) {
	for _, d := range c.Drains {
		if (d.Host != "" && d.Host == host) || (d.Rack != "" && d.Rack == rack) ||
			(d.DataCentre != "" && d.DataCentre == dataCentre) {
			return d.By, true
		}
	}
	return "", false
}

// Clone returns a deep copy.
func (c *Configuration) Clone() Configuration {
	var clone Configuration
	data, err := json.Marshal(c)
	if err == nil {
		err = json.Unmarshal(data, &clone)
	}
	if err != nil {
		panic(fmt.Sprintf("configuration does not survive JSON: %v", err)) // only for NaN, which Check refuses
	}
	return clone
}
