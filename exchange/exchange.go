// Package exchange implements requests between the processes of the scheduler:
// callers' requests to the owners of dockets, owners' queries of the advisory service
// through other processes, and the hellos by which processes learn of each other and of
// owners.
//
// The protocol is HTTP/1.1 with messages of package wire. Every request may be
// repeated: the owner recognises a repeated one by the name of its job.
//
// Usage:
//
//	s := exchange.Server{Service: n}
//	http.Serve(listener, s.Handler())
//	c := exchange.Client{}
//	err := c.Submit(ctx, "10.1.0.13:7720", docket, job)
package exchange

import (
	"context"
	"errors"
	"net/http"
	"time"

	"persimmonworks.example/persimmonworks/advice"
	"persimmonworks.example/persimmonworks/docket"
	"persimmonworks.example/persimmonworks/turn"
	"persimmonworks.example/persimmonworks/wire"
)

// Errors of a request to another process. They are wrapped; compare with errors.Is.
// Errors of package cell are passed on as well.
var (
	// ErrNotOwner means that the process answered and does not own the docket.
	ErrNotOwner = errors.New("the process does not own the docket")
	// ErrNotReached means that the process did not receive the request.
	ErrNotReached = errors.New("the process was not reached")
)

// Hello identifies the calling process.
type Hello struct {
	Name           string
	Incarnation    uint64 // start of the process, Unix milliseconds
	Address        string // ip:port of the process's Server
	DataCentre     string
	Cores          float64 // processor cores available to the process
	AdvisedDockets []int   // dockets for whose owners the process queries the advisory service
	SkipPeers      bool    // the process needs no peers in the answer
	Configuration  uint64  // version in force in the process, 0 for none
}

// Peer is a process that the sender knows of.
type Peer struct {
	Address string // ip:port
	Cores   float64
}

// Owner is the owner of a docket, as far as the sender knows.
type Owner struct {
	Docket  int
	Epoch   uint64
	Address string  // ip:port
	Load    float64 // running and waiting work divided by the workers' capacity; 0 if unknown
	// Shares is what the organisations have and want there; nil but in hellos of the owner
	// itself.
	Shares *turn.Report
}

// Welcome is the answer to a Hello: what the answering process knows of others.
type Welcome struct {
	Owners        []Owner
	Peers         []Peer
	Configuration uint64 // version in force in the answering process, 0 for none
}

// Service handles the requests of other processes. The methods named Local return
// ErrNotOwner if this process does not own the docket.
type Service interface {
	SubmitLocal(ctx context.Context, docket int, job *wire.DocketAccepted) error
	StateLocal(ctx context.Context, docket int, job, organisation string) (docket.State, error)
	CancelLocal(ctx context.Context, docket int, job, organisation string) error
	WaitingLocal(ctx context.Context, docket int, queue string) (uint32, error)
	// ClaimQuotaLocal answers a claim of another docket to parts of organisations' limits.
	ClaimQuotaLocal(ctx context.Context, claims *wire.ExchangeQuotaClaims) (*wire.ExchangeQuotaGrants, error)
	// HandleHello records the calling process and the owners that it knows of.
	HandleHello(ctx context.Context, hello Hello, known []Owner) (Welcome, error)
	// HandleTakeoverRequest asks this process to take a docket over from the owner of
	// the given epoch. It reports whether the process will try.
	HandleTakeoverRequest(docket int, epoch uint64) bool
	// ConfigurationAbove returns the configuration in force, as it is stored, or nothing if
	// its version is not above the given one.
	ConfigurationAbove(version uint64) []byte
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
	pathQuota   = "/quota"

	pathConfiguration = "/configuration"

	maxMessageBytes = 1 << 20
	contentType     = "application/protobuf"
	idleTimeout     = 30 * time.Second

	statusNotReceived = http.StatusServiceUnavailable // the message was not read whole, so nothing was done
)
