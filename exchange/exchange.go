// Package exchange carries requests between the processes of the scheduler:
// callers' requests to the owners of dockets, and the owner's questions for
// advice to the others.
//
// It speaks HTTP/1.1 with the messages of package wire. Every request may be
// repeated: the owner tells a repeated one by the name of its job.
//
// Usage:
//
//	s := exchange.Server{Service: n}
//	http.Serve(listener, s.Handler())
//	c := exchange.Client{}
//	err := c.Submit(ctx, "10.1.0.13:7720", job)
package exchange

import (
	"context"
	"errors"
	"time"

	"persimmonworks.example/persimmonworks/advice"
	"persimmonworks.example/persimmonworks/docket"
	"persimmonworks.example/persimmonworks/wire"
)

// Failures of a request to another process. Errors are wrapped; compare with
// errors.Is. Besides, the errors of package cell are passed on.
var (
	// ErrNotOwner: the process answered and does not own the docket.
	ErrNotOwner = errors.New("the process does not own the docket")
	// ErrNotReached: the process did not get the request.
	ErrNotReached = errors.New("the process was not reached")
)

// Hello says which process calls.
type Hello struct {
	Name           string
	Incarnation    uint64 // Unix milliseconds of its start
	Address        string // ip:port of its own server
	DataCentre     string
	Cores          float64 // processor cores that it may use
	AdvisedDockets []int   // dockets for whose owners it asks for advice
}

// Peer is a process that another one knows of.
type Peer struct {
	Address string // ip:port
	Cores   float64
}

// Owner names the owner of a docket as a process knows it.
type Owner struct {
	Docket  int
	Epoch   uint64
	Address string  // ip:port
	Load    float64 // work running and waiting over the room of the workers; 0 if not known
}

// Welcome answers a Hello.
type Welcome struct {
	Owners []Owner
	Peers  []Peer
}

// Service is what a process does for others.
type Service interface {
	SubmitLocal(ctx context.Context, docket int, job *wire.DocketAccepted) error
	StateLocal(ctx context.Context, docket int, job string) (docket.State, error)
	CancelLocal(ctx context.Context, docket int, job string) error
	WaitingLocal(ctx context.Context, docket int, queue string) (uint32, error)
	// HandleHello notes a process and the owners that it knows of.
	HandleHello(ctx context.Context, h Hello, known []Owner) (Welcome, error)
	// HandleTakeoverRequest asks to take a docket over from the owner of that epoch; it
	// reports whether the process tries to.
	HandleTakeoverRequest(docket int, epoch uint64) bool
	advice.Advisor
}

const (
	pathSubmit  = "/submit"
	pathState   = "/state"
	pathCancel  = "/cancel"
	pathWaiting = "/waiting"
	pathHello   = "/hello"
	pathAdvise  = "/advise"
	pathYield   = "/yield"

	maxMessageBytes = 1 << 20
	contentType     = "application/protobuf"
	idleTimeout     = 30 * time.Second
)
