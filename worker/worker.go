// Package worker is the protocol between the owner of a worker shard and the
// platform's agent on a worker, which runs tasks under leases.
//
// There is one call, Sync. It carries starts, stops, the renewal of all
// leases and acknowledgements, and answers with the inventory, so that one
// message a second is all that a quiet worker costs. What the scheduler
// demands of the agent:
//
//   - fencing: a Sync whose epoch is below the highest epoch seen is refused
//     with ErrStaleEpoch and has no effect; a higher one is remembered;
//   - inventory: the answer lists every attempt that is running and every
//     finished one that has not been acknowledged;
//   - clock: the answer carries the worker's monotonic clock and its boot, the
//     identifier of this run of the clock. The clock also goes on while the
//     worker is frozen, and its rate is off by at most MaxClockDrift. A worker
//     with a new boot runs nothing of earlier boots;
//   - lateness: a Sync that arrives at or after its NotAfter, or that is meant
//     for another boot, fences and is answered, but has no other effect. So a
//     message that was under way while the worker was frozen or cut off can do
//     no harm however late it comes;
//   - self-stop: the lease of every attempt runs to the latest NotAfter that
//     took effect. Attempts stop by themselves then, also while the worker is
//     frozen;
//   - idempotence: a Start of a known task and attempt has no further effect,
//     and a Start of an attempt lower than one seen for the task is refused;
//   - stop before start: a Stop of an attempt that never came is listed as
//     stopped, and a Start of it that comes late runs nothing, also after the
//     entry was acknowledged;
//   - capacity: a Start that would exceed the worker's capacity is refused.
//
// Usage:
//
//	c := worker.Client{Address: host.Address}
//	report, err := c.Sync(ctx, worker.Sync{Epoch: 7}) // fences, reads boot and clock
//	report, err = c.Sync(ctx, worker.Sync{
//		Epoch: 7, Boot: report.Boot, NotAfter: report.Clock + 10*time.Second, Starts: starts,
//	})
package worker

import (
	"context"
	"errors"
	"time"

	"persimmonworks.example/persimmonworks/resource"
)

// MaxClockDrift is the largest error in the rate of a worker's clock that the
// scheduler allows for, as a fraction.
const MaxClockDrift = 0.01

// ErrStaleEpoch is returned for a Sync below the highest epoch that the worker
// has seen. Nothing was started, stopped or renewed.
var ErrStaleEpoch = errors.New("stale epoch")

// ErrUnreachable is returned when no answer came. The Sync may have taken
// effect.
var ErrUnreachable = errors.New("worker unreachable")

// Agent is a worker as its shard's owner sees it.
type Agent interface {
	Sync(ctx context.Context, s Sync) (Report, error)
}

// Sync is the one request to a worker.
type Sync struct {
	Epoch uint64 `json:"epoch"`
	// Boot is the Report.Boot that the message is meant for. With another one,
	// or none, it only fences and asks for the inventory.
	Boot string `json:"boot,omitempty"`
	// NotAfter is the time on the worker's clock, see Report.Clock, at which
	// the message becomes void, and to which the leases of all attempts run
	// once it has taken effect.
	NotAfter time.Duration `json:"not-after-ns,omitempty"`
	Starts   []Start       `json:"starts,omitempty"`
	Stops    []Stop        `json:"stops,omitempty"`
	// Throttles set the processor share of a running attempt.
	Throttles []Throttle `json:"throttles,omitempty"`
	// Acknowledged attempts are finished and may be forgotten.
	Acknowledged []Ref `json:"acknowledged,omitempty"`
}

// Ref names one attempt of a task.
type Ref struct {
	Task    string `json:"task"`
	Attempt uint64 `json:"attempt"`
}

// Start asks for an attempt to run.
type Start struct {
	Ref
	JobShard     string          `json:"job-shard"`
	Organisation string          `json:"organisation"`
	Class        string          `json:"class"`
	Kind         string          `json:"kind,omitempty"`
	Demand       resource.Vector `json:"demand"`
	Work         []byte          `json:"work,omitempty"` // passed to the task as it is
	// NonIdempotent tells later owners that the attempt must not be stopped to
	// be run again.
	NonIdempotent bool `json:"non-idempotent,omitempty"`
}

// Stop ends an attempt, after a checkpoint if asked for.
type Stop struct {
	Ref
	Checkpoint bool `json:"checkpoint,omitempty"`
}

// Throttle limits a running attempt to a share of its processors.
type Throttle struct {
	Ref
	Percent int `json:"percent"` // 1 to 100
}

// State is where an attempt stands.
type State string

// States of an attempt on a worker.
const (
	Running State = "running"
	Done    State = "done"
	Failed  State = "failed"
	Stopped State = "stopped" // by a Stop or the end of its lease
	Refused State = "refused" // never ran
)

// Attempt is an entry of a worker's inventory.
type Attempt struct {
	Start
	State  State  `json:"state"`
	Reason string `json:"reason,omitempty"`
	Result []byte `json:"result,omitempty"`
	// Checkpoint is the Work with which another attempt goes on from here.
	Checkpoint []byte        `json:"checkpoint,omitempty"`
	Ran        time.Duration `json:"ran-ns"`
	// Age is the time since the attempt began, by the worker's clock; Age less
	// Ran is how long ago it ended. 0 is not known, as before the begin.
	Age  time.Duration   `json:"age-ns,omitempty"`
	Used resource.Vector `json:"used"` // lags by the platform's report interval
}

// Report is a worker's whole inventory.
type Report struct {
	Epoch uint64 `json:"epoch"` // highest epoch seen
	// Boot names the run of the worker's clock; a worker that has lost its
	// attempts has another one.
	Boot string `json:"boot"`
	// Clock is the worker's monotonic clock at the time of this report, since
	// an arbitrary start.
	Clock time.Duration `json:"clock-ns"`
	// Until is the time on Clock to which the leases run; 0 for none.
	Until    time.Duration   `json:"until-ns,omitempty"`
	Capacity resource.Vector `json:"capacity"`
	Leaving  bool            `json:"leaving,omitempty"`
	Attempts []Attempt       `json:"attempts,omitempty"`
}
