// Package worker defines the protocol between the owner of a rack shard and
// the platform's agent on a worker, which runs tasks under leases.
//
// The protocol has a single call, Sync. The request carries starts, stops,
// acknowledgements and the renewal of all leases; the response carries the
// worker's inventory. An idle worker therefore costs one message per second.
// The agent must provide:
//
//   - Fencing: the agent remembers the highest epoch seen. A Sync with a lower
//     epoch is refused with ErrStaleEpoch and has no effect.
//   - Inventory: the response lists every running attempt and every finished
//     attempt that has not been acknowledged.
//   - Clock: the response carries the worker's monotonic clock and a boot ID,
//     which identifies this run of the clock. The clock keeps running while the
//     worker is frozen, and its rate error is at most MaxClockDrift. A worker
//     with a new boot ID runs no attempt of earlier boots.
//   - Message expiry: a Sync that arrives at or after its NotAfter, or that is
//     addressed to another boot, still fences and gets a response, but has no
//     other effect. A message that was delayed while the worker was frozen or
//     partitioned is therefore harmless, however late it arrives.
//   - Lease expiry: the lease of every attempt runs until the latest NotAfter
//     that took effect. The agent then stops the attempts on its own, even
//     while the worker is frozen.
//   - Idempotence: a Start of a known task and attempt has no further effect.
//     A Start whose attempt number is lower than one already seen for the task
//     is refused.
//   - Stop before start: after a Stop of an unknown attempt, the inventory
//     lists the attempt as stopped. A Start of it that arrives later runs
//     nothing, even after the entry has been acknowledged.
//   - Capacity: a Start that would exceed the worker's capacity is refused.
//
// Usage:
//
//	c := worker.Client{Address: host.Address}
//	report, err := c.Sync(ctx, worker.Sync{Epoch: 7}) // fences, and reads boot ID and clock
//	report, err = c.Sync(ctx, worker.Sync{
//		Epoch: 7, BootID: report.BootID, NotAfter: report.Clock + 10*time.Second, Starts: starts,
//	})
package worker

import (
	"context"
	"errors"
	"time"

	"persimmonworks.example/persimmonworks/resource"
)

// MaxClockDrift is the maximum rate error of a worker's clock that the
// scheduler tolerates, as a fraction.
const MaxClockDrift = 0.01

// ErrStaleEpoch is returned for a Sync whose epoch is below the highest epoch
// that the worker has seen. The Sync had no effect.
var ErrStaleEpoch = errors.New("stale epoch")

// ErrUnreachable is returned when no valid response was received. The Sync may
// or may not have taken effect.
var ErrUnreachable = errors.New("worker unreachable")

// Agent is the interface of a worker to the owner of its rack shard.
type Agent interface {
	Sync(ctx context.Context, s Sync) (Report, error)
}

// Sync is the request to a worker.
type Sync struct {
	Epoch uint64 `json:"epoch"`
	// BootID is the Report.BootID that the message is addressed to. If it is empty
	// or differs from the worker's, the message only fences and requests the
	// inventory.
	BootID string `json:"boot,omitempty"`
	// NotAfter is the time on the worker's clock (see Report.Clock) at which
	// the message expires. If the message takes effect, the leases of all
	// attempts are extended to this time.
	NotAfter time.Duration `json:"not-after-ns,omitempty"`
	Starts   []Start       `json:"starts,omitempty"`
	Stops    []Stop        `json:"stops,omitempty"`
	// Throttles sets CPU limits of running attempts.
	Throttles []Throttle `json:"throttles,omitempty"`
	// Acknowledged lists finished attempts that the worker may delete.
	Acknowledged []Ref `json:"acknowledged,omitempty"`
}

// Ref identifies one attempt of a task.
type Ref struct {
	Task    string `json:"task"`
	Attempt uint64 `json:"attempt"`
}

// Start is a request to run an attempt.
type Start struct {
	Ref
	JobShard     string          `json:"job-shard"`
	Organisation string          `json:"organisation"`
	Class        string          `json:"class"`
	Kind         string          `json:"kind,omitempty"`
	Demand       resource.Vector `json:"demand"`
	Work         []byte          `json:"work,omitempty"` // passed to the task unchanged
	// NonIdempotent marks an attempt that must not be preempted and retried. It
	// is sent so that later owners learn it from the inventory.
	NonIdempotent bool `json:"non-idempotent,omitempty"`
}

// Stop is a request to end an attempt, after taking a checkpoint if Checkpoint
// is set.
type Stop struct {
	Ref
	Checkpoint bool `json:"checkpoint,omitempty"`
}

// Throttle is a request to limit a running attempt to a percentage of its CPU
// demand.
type Throttle struct {
	Ref
	Percent int `json:"percent"` // 1 to 100
}

// State is the state of an attempt on a worker.
type State string

// States of an attempt on a worker.
const (
	Running State = "running"
	Done    State = "done"
	Failed  State = "failed"
	Stopped State = "stopped" // by a Stop, or because its lease expired
	Refused State = "refused" // never ran; see Attempt.Reason
)

// Attempt is an entry of a worker's inventory.
type Attempt struct {
	Start
	State  State  `json:"state"`
	Reason string `json:"reason,omitempty"`
	Result []byte `json:"result,omitempty"`
	// Checkpoint is the Work with which another attempt can resume.
	Checkpoint []byte        `json:"checkpoint,omitempty"`
	Ran        time.Duration `json:"ran-ns"`
	// Age is the time since the attempt began, on the worker's clock. Age minus
	// Ran is the time since it ended. 0 means unknown or not begun.
	Age  time.Duration   `json:"age-ns,omitempty"`
	Used resource.Vector `json:"used"` // delayed by the platform's reporting interval
}

// Report is the response to a Sync: the worker's complete inventory.
type Report struct {
	Epoch uint64 `json:"epoch"` // highest epoch seen
	// BootID identifies the current run of the worker's clock. It changes whenever
	// the worker has lost its attempts.
	BootID string `json:"boot"`
	// Clock is the worker's monotonic clock at the time of this report, measured
	// from an arbitrary origin.
	Clock time.Duration `json:"clock-ns"`
	// LeaseEnd is the time on the worker's clock at which the leases expire; 0 if
	// no lease is in force.
	LeaseEnd time.Duration   `json:"until-ns,omitempty"`
	Capacity resource.Vector `json:"capacity"`
	Leaving  bool            `json:"leaving,omitempty"`
	Attempts []Attempt       `json:"attempts,omitempty"`
}
