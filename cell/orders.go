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

// Errors of requests to a worker. They are wrapped; compare with errors.Is.
var (
	// ErrNotSent: the worker will certainly never get the request.
	ErrNotSent = errors.New("request was not sent")
	// ErrUnanswered: the worker may execute the request, now or seconds later.
	ErrUnanswered = errors.New("request was not answered")
	// ErrWorkerRestarted: the worker has restarted since and has done nothing.
	ErrWorkerRestarted = errors.New("worker has restarted")
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
	StartedMS  int64 // when the worker process started, Unix milliseconds; 0 if unknown
}

// HasLabel reports whether the host has the label. Every host has the empty label.
func (h *Host) HasLabel(label string) bool { return label == "" || slices.Contains(h.Labels, label) }

// suits reports whether the host is of the service and the kind that the step needs.
func (h *Host) suits(queue *wire.DocketQueue, shape *wire.DocketStep) bool {
	return h.Service == queue.GetService() && h.HasLabel(shape.GetRequires())
}

// Refusal is a worker's reason to reject a start.
type Refusal int

// Reasons to reject a start.
const (
	Accepted  Refusal = iota
	Fenced            // the worker has seen a higher epoch
	Outdated          // this run or a later one of the task was stopped or has ended on the worker
	Late              // the deadline has passed on the worker's clock
	NoRoom            // insufficient free resources
	BadTicket         // the ticket is missing or has expired
	Unhealthy         // the worker accepts no tasks at present
	Malformed         // the worker cannot parse the request
)

var refusalNames = [...]string{"accepted", "fenced", "outdated", "late", "no-room", "bad-ticket", "unhealthy", "malformed"}

// String returns the name used in logs and metrics.
func (r Refusal) String() string { return refusalNames[r] }

// StartRequest asks a worker to run a task.
type StartRequest struct {
	Task       docket.TaskID
	Run        uint32
	Spec       string
	Checkpoint string
	Epoch      uint64
	DeadlineMS int64 // end of the lease, on the worker's clock
	Ticket     string
}

// StopRequest asks a worker to stop a run, or to reject its start if that arrives
// later.
type StopRequest struct {
	Task  docket.TaskID
	Run   uint32
	Epoch uint64
}

// HoldRequest renews the lease of all runs on a worker, acknowledges their ends, and
// asks for the lists of running and ended tasks.
type HoldRequest struct {
	Epoch      uint64
	Confirmed  uint64 // ends up to this number are durable
	DeadlineMS int64  // end of the lease on the worker's clock; 0 does not renew it
	Wait       time.Duration
	// NewConnection asks for an answer of the process that listens at the address now.
	NewConnection bool
}

// StartResponse is a worker's answer to a StartRequest.
type StartResponse struct {
	Refusal Refusal
	ClockMS int64 // the worker's clock
}

// RunningTask is an entry of a worker's list of running tasks.
type RunningTask struct {
	Task       docket.TaskID
	Run        uint32
	Checkpoint string
	Percent    int
}

// EndedTask is an entry of a worker's list of ended tasks.
type EndedTask struct {
	Sequence       uint64 // counts the ends since the worker started, from 1
	Task           docket.TaskID
	Run            uint32
	Outcome        wire.DocketOutcome
	Checkpoint     string
	GangIncomplete bool // the run was given up because the other members of its gang did not start in time
}

// HoldResponse is a worker's answer to a HoldRequest.
type HoldResponse struct {
	ClockMS   int64
	StartedMS int64
	Running   []RunningTask
	Ended     []EndedTask
	Complete  bool // the lists are complete
}

// WorkerClient sends requests to workers. Its methods may be called concurrently.
type WorkerClient interface {
	Start(ctx context.Context, h *Host, o StartRequest) (StartResponse, error)
	Stop(ctx context.Context, h *Host, o StopRequest) error
	Hold(ctx context.Context, h *Host, o HoldRequest) (HoldResponse, error)
}

// Fleet is the list of workers.
type Fleet interface {
	// Watch calls changed with all hosts, first at once and then after each change,
	// until ctx ends. Entries may be missing while the store is unavailable.
	Watch(ctx context.Context, changed func(hosts []Host)) error
}
