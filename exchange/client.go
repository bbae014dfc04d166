package exchange

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"persimmonworks.example/persimmonworks/advice"
	"persimmonworks.example/persimmonworks/cell"
	"persimmonworks.example/persimmonworks/docket"
	"persimmonworks.example/persimmonworks/wire"
)

const (
	dialTimeout    = 400 * time.Millisecond
	connsPerHost   = 64
	idleConnsEach  = 8
	readBufferSize = 4 << 10
)

// Client sends requests to other processes. The zero value is ready. Methods
// may be called from any goroutine.
type Client struct {
	once   sync.Once
	client *http.Client
}

func (c *Client) open() {
	dialer := &net.Dialer{Timeout: dialTimeout}
	c.client = &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxConnsPerHost: connsPerHost, MaxIdleConnsPerHost: idleConnsEach,
		IdleConnTimeout: idleTimeout, DisableCompression: true, ReadBufferSize: readBufferSize, WriteBufferSize: readBufferSize,
	}}
}

// call posts a message and reads the answer. The error wraps ErrNotReached when
// the process cannot have got the message.
func (c *Client) call(ctx context.Context, address, path string, in, out proto.Message) error {
	c.once.Do(c.open)
	body, err := proto.Marshal(in)
	if err != nil {
		return fmt.Errorf("encode %s: %w", path, err)
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("call %s%s: %w", address, path, err)
	}
	q.Header.Set("Content-Type", contentType)
	a, err := c.client.Do(q)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return fmt.Errorf("%w: %w", ErrNotReached, err)
		}
		return fmt.Errorf("call %s%s: %w", address, path, err)
	}
	defer a.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(a.Body, maxMessageBytes))
	if err != nil {
		return fmt.Errorf("answer of %s%s: %w", address, path, err)
	}
	if a.StatusCode != http.StatusOK {
		return fmt.Errorf("answer of %s%s: status %d", address, path, a.StatusCode)
	}
	if err := proto.Unmarshal(answer, out); err != nil {
		return fmt.Errorf("answer of %s%s: %w", address, path, err)
	}
	return nil
}

func (c *Client) ask(ctx context.Context, address, path string, in proto.Message) (*wire.ExchangeAnswer, error) {
	out := &wire.ExchangeAnswer{}
	if err := c.call(ctx, address, path, in, out); err != nil {
		return out, err
	}
	switch out.GetResult() {
	case wire.ExchangeResult_EXCHANGE_RESULT_DONE:
		return out, nil
	case wire.ExchangeResult_EXCHANGE_RESULT_REFUSED:
		return out, &cell.Refused{Reason: out.GetReason(), RetryAfter: time.Duration(out.GetRetryAfterMs()) * time.Millisecond}
	case wire.ExchangeResult_EXCHANGE_RESULT_NOT_OWNER:
		return out, fmt.Errorf("%s: %w", address, ErrNotOwner)
	case wire.ExchangeResult_EXCHANGE_RESULT_UNKNOWN_JOB:
		return out, cell.ErrNoJob
	}
	if out.GetResult() == wire.ExchangeResult_EXCHANGE_RESULT_MOVED {
		return out, &cell.Moved{Docket: int(out.GetDocket()), OnTheWay: out.GetOnTheWay()}
	}
	return out, fmt.Errorf("%s: %w: %s", address, cell.ErrUndecided, out.GetReason())
}

// Submit hands a job in at the owner of a docket.
func (c *Client) Submit(ctx context.Context, address string, docket int, job *wire.DocketAccepted) error {
	_, err := c.ask(ctx, address, pathSubmit, &wire.ExchangeSubmit{Job: job, Docket: uint32(docket)})
	return err
}

// State asks the owner of a docket for the state of a job.
func (c *Client) State(ctx context.Context, address string, number int, job string) (docket.State, error) {
	a, err := c.ask(ctx, address, pathState, &wire.ExchangeJob{Job: job, Docket: uint32(number)})
	return docket.State(a.GetState()), err
}

// Cancel cancels a job at the owner of a docket.
func (c *Client) Cancel(ctx context.Context, address string, docket int, job string) error {
	_, err := c.ask(ctx, address, pathCancel, &wire.ExchangeJob{Job: job, Docket: uint32(docket)})
	return err
}

// Waiting asks the owner of a docket how many jobs of a queue have not begun.
func (c *Client) Waiting(ctx context.Context, address string, docket int, queue string) (uint32, error) {
	a, err := c.ask(ctx, address, pathWaiting, &wire.ExchangeQueue{Queue: queue, Docket: uint32(docket)})
	return a.GetWaiting(), err
}

// Hello makes the calling process, and the owners that it knows of, known to
// another process.
func (c *Client) Hello(ctx context.Context, address string, h Hello, known []Owner) (Welcome, error) {
	in := &wire.ExchangeHello{
		Process: h.Name, Incarnation: h.Incarnation, Address: h.Address, DataCentre: h.DataCentre, Cores: h.Cores,
		Owners: encodeOwners(known),
	}
	for _, d := range h.AdvisedDockets {
		in.Helps = append(in.Helps, uint32(d))
	}
	out := &wire.ExchangeWelcome{}
	err := c.call(ctx, address, pathHello, in, out)
	w := Welcome{Owners: decodeOwners(out.GetOwners())}
	for _, p := range out.GetPeers() {
		w.Peers = append(w.Peers, Peer{p.GetAddress(), p.GetCores()})
	}
	return w, err
}

func encodeOwners(owners []Owner) []*wire.ExchangeOwner {
	out := make([]*wire.ExchangeOwner, len(owners))
	for i, o := range owners {
		out[i] = &wire.ExchangeOwner{Docket: uint32(o.Docket), Epoch: o.Epoch, Address: o.Address, Load: o.Load}
	}
	return out
}

func decodeOwners(owners []*wire.ExchangeOwner) []Owner {
	out := make([]Owner, len(owners))
	for i, o := range owners {
		out[i] = Owner{Docket: int(o.GetDocket()), Epoch: o.GetEpoch(), Address: o.GetAddress(), Load: o.GetLoad()}
	}
	return out
}

// RequestTakeover asks a process to take a docket over from the owner of an epoch.
func (c *Client) RequestTakeover(ctx context.Context, address string, docket int, epoch uint64) error {
	_, err := c.ask(ctx, address, pathYield, &wire.ExchangeYield{Docket: uint32(docket), Epoch: epoch})
	return err
}

// Advisor returns the advisor that asks through the process at an address.
func (c *Client) Advisor(address string) advice.Advisor {
	return &remoteAdvisor{client: c, address: address}
}

type remoteAdvisor struct {
	client  *Client
	address string
}

// Advise implements advice.Advisor.
func (r *remoteAdvisor) Advise(ctx context.Context, step docket.StepID, workers []string) ([]advice.Permit, error) {
	out := &wire.ExchangePermits{}
	if err := r.client.call(ctx, r.address, pathAdvise, &wire.ExchangeAdvise{Step: step.String(), Workers: workers}, out); err != nil {
		return nil, err
	}
	if out.GetBusy() {
		return nil, fmt.Errorf("%s: the advisory service did not answer", r.address)
	}
	permits := make([]advice.Permit, 0, len(out.GetPermits()))
	for _, p := range out.GetPermits() {
		permits = append(permits, advice.Permit{Worker: p.GetWorker(), Ticket: p.GetTicket()})
	}
	return permits, nil
}
