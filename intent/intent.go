// Package intent turns what an operator wants into a plan, and a plan into the
// next configuration of the chain.
//
// Make is pure: it takes a State, changes nothing, and returns a Plan that
// lists each attempt that will move, stop or wait, with the reason, and what
// every organisation gains or loses. The same state and intent always give
// the same Digest. A plan also keeps a fingerprint of each part that it
// touches. Stale compares these with a later state, so that a plan is
// refused once something that it touches has changed, and only then.
//
// Package confirmation stores plans and brings confirmed ones into the chain.
//
// Usage:
//
//	plan, err := intent.Make(state, intent.Intent{Kind: intent.DrainRack, Target: "r1", By: "ivana"})
//	fmt.Print(plan.Text())
//	err = intent.Stale(plan, later)
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

// Kind is what an operator wants.
type Kind string

// Kinds of intent.
const (
	AddOrganisation Kind = "add-organisation" // Add
	SetWeight       Kind = "set-weight"       // Organisation, Weight
	SetQuota        Kind = "set-quota"        // Organisation, Quota
	SetPriority     Kind = "set-priority"     // Organisation, Class, Priority
	SetTokens       Kind = "set-tokens"       // Organisation, TokenHashes
	SetObjective    Kind = "set-objective"    // Objective
	SetOperator     Kind = "set-operator"     // Operator, new or in place of one of its name
	SetService      Kind = "set-service"      // Service, new or in place of one of its name
	DrainWorker     Kind = "drain-worker"     // Target
	DrainRunner     Kind = "drain-runner"     // Target
	DrainRack       Kind = "drain-rack"       // Target
	DrainDataCentre Kind = "drain-data-centre"
	Undrain         Kind = "undrain"      // Target, of any kind
	AddCapacity     Kind = "add-capacity" // Capacity
	Undo            Kind = "undo"         // Number
)

// Intent is one wish. Only the fields named with its Kind count.
type Intent struct {
	Kind         Kind               `json:"kind"`
	Organisation string             `json:"organisation,omitempty"`
	Class        class.Class        `json:"class,omitempty"`
	Weight       int                `json:"weight,omitempty"`
	Quota        resource.Vector    `json:"quota,omitzero"`
	Priority     int                `json:"priority,omitempty"`
	Target       string             `json:"target,omitempty"` // host, rack or data centre
	Add          *pool.Organisation `json:"add,omitempty"`
	Capacity     *pool.Addition     `json:"capacity,omitempty"`
	TokenHashes  []string           `json:"token-hashes,omitempty"`
	Objective    *pool.Objective    `json:"objective,omitempty"`
	Operator     *pool.Operator     `json:"operator,omitempty"`
	Service      *pool.Service      `json:"service,omitempty"`
	Number       uint64             `json:"number,omitempty"` // of the configuration to undo
	By           string             `json:"by"`
	At           time.Time          `json:"at"`
	Why          string             `json:"why,omitempty"`
}

// String says in one line what is wanted.
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

// Host is a worker or runner as a plan sees it.
type Host struct {
	ID         string            `json:"id"`
	Kind       provider.HostKind `json:"kind"`
	Rack       string            `json:"rack"`
	DataCentre string            `json:"data-centre"`
	Capacity   resource.Vector   `json:"capacity"`
}

// Attempt is a running attempt.
type Attempt struct {
	Task           string          `json:"task"`
	Number         uint64          `json:"attempt"`
	Organisation   string          `json:"organisation"`
	Class          class.Class     `json:"class"`
	Host           string          `json:"host"`
	Demand         resource.Vector `json:"demand"`
	Checkpointable bool            `json:"checkpointable,omitempty"`
}

// Waiting sums up the queued work of an organisation.
type Waiting struct {
	Organisation string `json:"organisation"`
	Tasks        int    `json:"tasks"`
}

// Undone is the configuration to undo and the one before it.
type Undone struct {
	Before pool.Configuration
	After  pool.Configuration
}

// State is what a plan is made against. Make changes none of it.
type State struct {
	Number        uint64 // of the configuration
	Configuration pool.Configuration
	Hosts         []Host
	Attempts      []Attempt
	Waiting       []Waiting
	Undone        *Undone // for Undo only
}

// Action is what happens to work.
type Action string

// Actions.
const (
	Move Action = "move" // checkpointed and continued on another worker
	Stop Action = "stop" // checkpointed, then queued until there is room
	Wait Action = "wait" // finishes where it is, or queued work waits longer
)

// Step is one consequence of a plan. Task is empty where it concerns all
// queued work of the organisation.
type Step struct {
	Action       Action `json:"action"`
	Organisation string `json:"organisation"`
	Task         string `json:"task,omitempty"`
	Attempt      uint64 `json:"attempt,omitempty"`
	From         string `json:"from,omitempty"`
	To           string `json:"to,omitempty"`
	Reason       string `json:"reason"`
}

// Effect is what an organisation gains or loses. Shares are fractions of the
// pool as it is before the plan.
type Effect struct {
	Organisation string  `json:"organisation"`
	Before       float64 `json:"share-before"`
	After        float64 `json:"share-after"`
	Running      int     `json:"running"`
	Waiting      int     `json:"waiting"`
}

// Part is a part of the state that a plan touches.
type Part struct {
	Name        string `json:"name"` // such as "host w-1" or "weights"
	Fingerprint string `json:"fingerprint"`
}

// Plan is what an intent would do.
type Plan struct {
	Intent  Intent   `json:"intent"`
	Number  uint64   `json:"number"` // of the configuration that it was made against
	Steps   []Step   `json:"steps"`
	Effects []Effect `json:"effects"`
	Touched []Part   `json:"touched"`
}

// Digest returns the SHA-256 of the plan in hex. Plans hold no maps, so their
// JSON is canonical.
func (p Plan) Digest() string { return digest(p) }

func digest(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("digest of %T: %v", v, err)) // plain data; only NaN could fail, which Check refuses
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Failures of this package. Errors are wrapped; compare with errors.Is.
var (
	ErrStale   = errors.New("the plan is stale")
	ErrInvalid = errors.New("the intent is invalid")
)
