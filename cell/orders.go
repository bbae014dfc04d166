package cell

import (
	"context"
	"errors"
	"slices"
	"time"

	"persimmonworks.example/persimmonworks/docket"
	"persimmonworks.example/persimmonworks/resource"
	"persimmonworks.example/persimmonworks/wire"
)

// Failures of an order to a worker. Errors are wrapped; compare with errors.Is.
var (
	// ErrNotSent: the worker certainly never gets the order.
	ErrNotSent = errors.New("order was not sent")
	// ErrUnanswered: the order may be carried out, now or seconds later.
	ErrUnanswered = errors.New("order was not answered")
	// ErrOtherLife: the worker has restarted since; nothing was done.
	ErrOtherLife = errors.New("worker has another life")
)

// Host is an entry of the list of workers.
type Host struct {
	ID         string
	Service    string
	Address    string // ip:port
	DataCentre string
	Rack       string
	Labels     []string
	Capacity   resource.Vector
	Draining   bool
	Born       int64 // start of its life, Unix milliseconds; 0 if not said
}

// Has reports whether the host carries the label; every host has the empty one.
func (h *Host) Has(label string) bool { return label == "" || slices.Contains(h.Labels, label) }

// Refusal is a worker's reason not to start a task.
type Refusal int

// Reasons of a worker.
const (
	Accepted  Refusal = iota
	Fenced            // a higher epoch was seen
	Outdated          // this run or a later one has been stopped or has ended here
	Late              // its deadline has passed on the worker's clock
	NoRoom            // it does not fit
	BadTicket         // the ticket is missing or no longer valid
	Unhealthy         // the worker takes nothing at present
	Malformed         // the worker does not understand the order
)

var refusalNames = [...]string{"accepted", "fenced", "outdated", "late", "no-room", "bad-ticket", "unhealthy", "malformed"}

// String returns the name used in logs.
func (r Refusal) String() string { return refusalNames[r] }

// StartOrder tells a worker to run a task.
type StartOrder struct {
	Task       docket.TaskID
	Run        uint32
	Spec       string
	Checkpoint string
	Epoch      uint64
	DeadlineMS int64 // on the worker's clock
	Ticket     string
}

// StopOrder tells a worker to end a run, or never to begin it.
type StopOrder struct {
	Task  docket.TaskID
	Run   uint32
	Epoch uint64
}

// HoldOrder renews the lease of everything on a worker, confirms ends, and asks
// what runs there.
type HoldOrder struct {
	Epoch      uint64
	Confirmed  uint64 // ends up to this number are stored
	DeadlineMS int64  // on the worker's clock, 0 for no renewal
	Wait       time.Duration
}

// Receipt is a worker's answer to a start.
type Receipt struct {
	Refusal Refusal
	ClockMS int64
}

// RunningTask is an entry of a worker's list of what runs.
type RunningTask struct {
	Task       docket.TaskID
	Run        uint32
	Checkpoint string
	Percent    int
}

// EndedTask is an entry of a worker's list of what has ended.
type EndedTask struct {
	Number     uint64 // counts the ends of one life, from 1
	Task       docket.TaskID
	Run        uint32
	Outcome    wire.DocketOutcome
	Checkpoint string
	Alone      bool // the members of its gang did not come in time
}

// Report is a worker's answer to a hold.
type Report struct {
	ClockMS int64
	Born    int64
	Running []RunningTask
	Ended   []EndedTask
	Whole   bool // no further ends are left out
}

// Orders carries orders to workers. Methods are called from many goroutines.
type Orders interface {
	Start(ctx context.Context, h *Host, o StartOrder) (Receipt, error)
	Stop(ctx context.Context, h *Host, o StopOrder) error
	Hold(ctx context.Context, h *Host, o HoldOrder) (Report, error)
}

// Fleet is the list of workers.
type Fleet interface {
	// Watch calls changed with all hosts, at first and after each change, until
	// ctx ends. trusted is false while entries may be missing for want of the
	// store.
	Watch(ctx context.Context, changed func(hosts []Host)) error
}
