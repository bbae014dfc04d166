// Package pool defines the configuration of the shared pool of hosts that
// operators maintain: the organisations with their weights and quotas, the
// shares of their classes, services, service-level objectives, drains and
// limits.
//
// A Configuration is plain data that is stored and sent as JSON. Check returns
// all its errors at once. Package chain numbers configurations and distributes
// them to all processes.
//
// Usage:
//
//	c := current.Clone()
//	c.Organisation("prado").Weight = 3
//	if err := pool.Check(&c).Err(); err != nil {
//		return err // one finding per line
//	}
package pool

import (
	"encoding/json"
	"fmt"
	"time"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/resource"
)

// Configuration holds all settings that operators maintain. A published
// configuration must not be modified; modify a copy made with Clone.
type Configuration struct {
	Organisations []Organisation    `json:"organisations,omitempty"`
	Operators     []Operator        `json:"operators,omitempty"`
	Shares        []Share           `json:"shares,omitempty"`
	Services      []Service         `json:"services,omitempty"`
	Objectives    []Objective       `json:"objectives,omitempty"`
	Drains        []Drain           `json:"drains,omitempty"`
	Capacity      []PlannedCapacity `json:"capacity,omitempty"`
	Limits        Limits            `json:"limits"`
}

// CutOffPolicy determines how a data centre that cannot reach the platform
// treats non-idempotent requests.
type CutOffPolicy string

// Policies while the platform is unreachable.
const (
	// CutOffRefuse refuses the request with the outcome not-run.
	CutOffRefuse CutOffPolicy = "refuse"
	// CutOffRunOnce sends the request exactly once, without first recording it in
	// the platform.
	CutOffRunOnce CutOffPolicy = "run-once"
)

// Organisation is a tenant of the pool.
type Organisation struct {
	Name        string          `json:"name"`
	Weight      int             `json:"weight"`               // relative share, at least 1
	Quota       resource.Vector `json:"quota"`                // maximum that runs at once; zero means no quota
	TokenHashes []string        `json:"token-hashes"`         // SHA-256 in hex
	Roles       []string        `json:"roles,omitempty"`      // of submit, read and cancel; none means all
	CutOff      CutOffPolicy    `json:"cut-off,omitempty"`    // empty means refuse
	MaxQueued   int             `json:"max-queued,omitempty"` // maximum of queued tasks and requests; 0 means no limit
}

// Role determines what an operator is permitted to do.
type Role string

// Roles of operators. Each includes the permissions of those before it.
const (
	RoleViewer   Role = "viewer"
	RolePlanner  Role = "planner"
	RoleOperator Role = "operator"
)

// Operator is a person who administers the pool within the limits of a role.
type Operator struct {
	Name      string `json:"name"`
	TokenHash string `json:"token-hash"` // SHA-256 in hex
	Role      Role   `json:"role"`
}

// Share sets the priority and the reserved part of the pool for one class of an
// organisation's work.
type Share struct {
	Organisation string      `json:"organisation"`
	Class        class.Class `json:"class"`
	Priority     int         `json:"priority"`          // -10 to 10, relative to the organisation's other classes
	Percent      float64     `json:"percent,omitempty"` // part of the pool reserved for it; 0 means none
}

// Service is a service whose requests are answered by runners.
type Service struct {
	Name         string      `json:"name"`
	Organisation string      `json:"organisation,omitempty"` // empty means open to all
	Class        class.Class `json:"class,omitempty"`        // default for requests that name none
	RetryPercent float64     `json:"retry-percent"`          // maximum of retries, as a percentage of first attempts
}

// Objective is a service-level objective: over each Window, Percent of the
// requests of a class succeed within Latency.
type Objective struct {
	Organisation string        `json:"organisation"`
	Class        class.Class   `json:"class"`
	Latency      time.Duration `json:"latency-ns"`
	Percent      float64       `json:"percent"` // above 0 and below 100
	Window       time.Duration `json:"window-ns"`
}

// Drain takes a host, a rack or a data centre out of use. Exactly one of Host,
// Rack and DataCentre is set.
type Drain struct {
	Host       string    `json:"host,omitempty"` // a worker or a runner
	Rack       string    `json:"rack,omitempty"`
	DataCentre string    `json:"data-centre,omitempty"`
	Since      time.Time `json:"since"`
	By         string    `json:"by"`
}

// Target returns the kind of the drained part (host, rack or data-centre) and
// its name.
func (d Drain) Target() (kind, name string) {
	switch {
	case d.Host != "":
		return "host", d.Host
	case d.Rack != "":
		return "rack", d.Rack
	}
	return "data-centre", d.DataCentre
}

// PlannedCapacity is planned capacity that the platform is expected to add.
type PlannedCapacity struct {
	DataCentre string          `json:"data-centre"`
	Rack       string          `json:"rack"`
	Workers    int             `json:"workers"`
	Each       resource.Vector `json:"each"`
}

// Limits apply to the whole pool. For a field that is zero, the package that
// uses it applies its default.
type Limits struct {
	MaxAttempts       int     `json:"max-attempts,omitempty"`       // of an idempotent task
	QuarantinePercent float64 `json:"quarantine-percent,omitempty"` // maximum of quarantined workers in a data centre
	ReservePercent    float64 `json:"reserve-percent,omitempty"`    // slots that long-running work must leave free
}

// Organisation returns the organisation with the given name, or nil.
func (c *Configuration) Organisation(name string) *Organisation {
	for i := range c.Organisations {
		if c.Organisations[i].Name == name {
			return &c.Organisations[i]
		}
	}
	return nil
}

// OrganisationByToken returns the organisation with the given token hash, or nil.
func (c *Configuration) OrganisationByToken(hash string) *Organisation {
	for i := range c.Organisations {
		for _, h := range c.Organisations[i].TokenHashes {
			if h == hash {
				return &c.Organisations[i]
			}
		}
	}
	return nil
}

// OperatorByToken returns the operator with the given token hash, or nil.
func (c *Configuration) OperatorByToken(hash string) *Operator {
	for i := range c.Operators {
		if c.Operators[i].TokenHash == hash {
			return &c.Operators[i]
		}
	}
	return nil
}

// Drained reports whether a host in the given rack and data centre is drained,
// and by which operator.
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
		panic(fmt.Sprintf("clone configuration through JSON: %v", err)) // only possible for NaN or infinity, which Check rejects
	}
	return clone
}
