// Package intent turns a change that an operator requests into a plan, and the
// plan into the next configuration of the chain.
//
// NewPlan is a pure function: it takes a State, modifies nothing, and returns a
// Plan that lists each attempt that will move, stop or wait, with the reason,
// and how the share of each organisation changes. The same state and intent
// always give the same Digest. A plan also records a fingerprint of each part
// of the state that it touches. CheckStale compares these with a later state, so
// that a plan is refused if, and only if, such a part has changed.
//
// Package confirmation stores plans and publishes confirmed ones in the chain.
//
// Usage:
//
//	plan, err := intent.NewPlan(state, intent.Intent{Kind: intent.DrainRack, Target: "r1", By: "ivana"})
//	fmt.Print(plan.Text())
//	err = intent.CheckStale(plan, later)
//	next, err := intent.Apply(&later, plan.Intent)
package intent

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/pool"
	"persimmonworks.example/persimmonworks/provider"
	"persimmonworks.example/persimmonworks/resource"
)

// Kind is the kind of change that an operator requests.
type Kind string

// Kinds of intent, each with the fields of Intent that it uses.
const (
	AddOrganisation Kind = "add-organisation"  // Add
	SetWeight       Kind = "set-weight"        // Organisation, Weight
	SetQuota        Kind = "set-quota"         // Organisation, Quota
	SetPriority     Kind = "set-priority"      // Organisation, Class, Priority
	SetTokens       Kind = "set-tokens"        // Organisation, TokenHashes
	SetObjective    Kind = "set-objective"     // Objective
	SetOperator     Kind = "set-operator"      // Operator, added or replaced by name
	SetService      Kind = "set-service"       // Service, added or replaced by name
	DrainWorker     Kind = "drain-worker"      // Target
	DrainRunner     Kind = "drain-runner"      // Target
	DrainRack       Kind = "drain-rack"        // Target
	DrainDataCentre Kind = "drain-data-centre" // Target
	Undrain         Kind = "undrain"           // Target, a host, rack or data centre
	AddCapacity     Kind = "add-capacity"      // Capacity
	Undo            Kind = "undo"              // Number
)

// Intent is a change that an operator requests. Only the fields listed with its
// Kind are used, besides By, At and Why.
type Intent struct {
	Kind         Kind                  `json:"kind"`
	Organisation string                `json:"organisation,omitempty"`
	Class        class.Class           `json:"class,omitempty"`
	Weight       int                   `json:"weight,omitempty"`
	Quota        resource.Vector       `json:"quota,omitzero"`
	Priority     int                   `json:"priority,omitempty"`
	Target       string                `json:"target,omitempty"` // host, rack or data centre
	Add          *pool.Organisation    `json:"add,omitempty"`
	Capacity     *pool.PlannedCapacity `json:"capacity,omitempty"`
	TokenHashes  []string              `json:"token-hashes,omitempty"`
	Objective    *pool.Objective       `json:"objective,omitempty"`
	Operator     *pool.Operator        `json:"operator,omitempty"`
	Service      *pool.Service         `json:"service,omitempty"`
	Number       uint64                `json:"number,omitempty"` // of the configuration to undo
	By           string                `json:"by"`
	At           time.Time             `json:"at"`
	Why          string                `json:"why,omitempty"`
}

// String describes the intent in one line.
func (in Intent) String() string {
	text := string(in.Kind)
	for _, part := range []string{in.Organisation, string(in.Class), in.Target} {
		if part != "" {
			text += " " + part
		}
	}
	switch {
	case in.Add != nil:
		return fmt.Sprintf("%s %s with weight %d", text, in.Add.Name, in.Add.Weight)
	case in.Capacity != nil:
		return fmt.Sprintf("%s of %d workers with %v on rack %s of %s", text, in.Capacity.Workers, in.Capacity.Each, in.Capacity.Rack, in.Capacity.DataCentre)
	case in.Objective != nil:
		o := in.Objective
		return fmt.Sprintf("%s %s %s: %g%% within %v over %v", in.Kind, o.Organisation, o.Class, o.Percent, o.Latency, o.Window)
	case in.Operator != nil:
		return fmt.Sprintf("%s %s as %s", text, in.Operator.Name, in.Operator.Role)
	case in.Service != nil:
		return text + " " + in.Service.Name
	}
	switch in.Kind {
	case SetWeight:
		text += fmt.Sprintf(" to %d", in.Weight)
	case SetQuota:
		text += fmt.Sprintf(" to %v", in.Quota)
	case SetPriority:
		text += fmt.Sprintf(" to %d", in.Priority)
	case SetTokens:
		text += fmt.Sprintf(" to %d tokens", len(in.TokenHashes))
	case Undo:
		text += fmt.Sprintf(" configuration %d", in.Number)
	}
	return text
}

// Host holds what a plan needs to know of a worker or runner.
type Host struct {
	ID         string            `json:"id"`
	Kind       provider.HostKind `json:"kind"`
	Rack       string            `json:"rack"`
	DataCentre string            `json:"data-centre"`
	Capacity   resource.Vector   `json:"capacity"`
}

// Attempt is a running attempt of a task.
type Attempt struct {
	Task           string          `json:"task"`
	Number         uint64          `json:"attempt"`
	Organisation   string          `json:"organisation"`
	Class          class.Class     `json:"class"`
	Host           string          `json:"host"`
	Demand         resource.Vector `json:"demand"`
	Checkpointable bool            `json:"checkpointable,omitempty"`
}

// QueuedWork is the amount of queued work of an organisation.
type QueuedWork struct {
	Organisation string `json:"organisation"`
	Tasks        int    `json:"tasks"`
}

// UndoneChange holds the configuration to undo and its predecessor.
type UndoneChange struct {
	Before pool.Configuration
	After  pool.Configuration
}

// State is the state of the pool for which a plan is made. NewPlan does not modify
// it.
type State struct {
	Number        uint64 // of the configuration
	Configuration pool.Configuration
	Hosts         []Host
	Attempts      []Attempt
	Waiting       []QueuedWork
	Undone        *UndoneChange // only for Kind Undo
}

// Action is the effect of a plan on an attempt or on queued work.
type Action string

// Actions.
const (
	Move Action = "move" // checkpointed and continued on another worker
	Stop Action = "stop" // checkpointed, then queued until a worker has capacity
	Wait Action = "wait" // the attempt finishes on its host, or queued work waits longer
)

// Step is one effect of a plan. Task is empty if the step concerns all queued
// work of the organisation or the requests of a runner.
type Step struct {
	Action       Action `json:"action"`
	Organisation string `json:"organisation"`
	Task         string `json:"task,omitempty"`
	Attempt      uint64 `json:"attempt,omitempty"`
	From         string `json:"from,omitempty"`
	To           string `json:"to,omitempty"`
	Reason       string `json:"reason"`
}

// Effect is the change of an organisation's share. Shares are fractions of all
// workers known when the plan is made, drained ones included.
type Effect struct {
	Organisation string  `json:"organisation"`
	Before       float64 `json:"share-before"`
	After        float64 `json:"share-after"`
	Running      int     `json:"running"`
	Waiting      int     `json:"waiting"`
}

// Part identifies a part of the state that a plan touches, and its content.
type Part struct {
	Name        string `json:"name"` // such as "host w-1" or "weights"
	Fingerprint string `json:"fingerprint"`
}

// Plan lists the effects that an intent would have.
type Plan struct {
	Intent  Intent   `json:"intent"`
	Number  uint64   `json:"number"` // of the configuration that it is based on
	Steps   []Step   `json:"steps"`
	Effects []Effect `json:"effects"`
	Touched []Part   `json:"touched"`
}

// Digest returns the SHA-256 hash of the plan's JSON encoding in hex. The
// encoding is deterministic because plans contain no maps.
func (p Plan) Digest() string { return digest(p) }

func digest(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("digest of %T: %v", v, err)) // only possible for NaN or infinity, which pool.Check rejects
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Errors of this package. They are wrapped; test with errors.Is.
var (
	ErrStale   = errors.New("the plan is stale")
	ErrInvalid = errors.New("the intent is invalid")
)
