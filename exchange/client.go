package exchange

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"persimmonworks.example/persimmonworks/advice"
	"persimmonworks.example/persimmonworks/cell"
	"persimmonworks.example/persimmonworks/docket"
	"persimmonworks.example/persimmonworks/transport"
	"persimmonworks.example/persimmonworks/wire"
)

const (
	dialTimeout         = 400 * time.Millisecond
	maxConnsPerHost     = 64
	maxIdleConnsPerHost = 8
	connBufferSize      = 4 << 10
)

// Client sends requests to other processes. The zero value is ready to use. Its
// methods are safe for concurrent use.
type Client struct {
	// Transport carries the requests. Set it before the first one; nil means TCP. Its errors
	// wrap transport.ErrNotSent where the other process has certainly not got the request.
	Transport http.RoundTripper

	once   sync.Once
	client *http.Client
}

func (c *Client) initClient() {
	if c.Transport != nil {
		c.client = &http.Client{Transport: c.Transport}
		return
	}
	t := &transport.Transport{
		DialTimeout: dialTimeout, MaxConns: maxConnsPerHost, MaxIdleConns: maxIdleConnsPerHost, IdleTimeout: idleTimeout,
		BufferBytes: connBufferSize,
	}
	c.client = t.Client()
}

// call posts a message and decodes the answer into out. The error wraps ErrNotReached
// if the process cannot have received the message.
func (c *Client) call(ctx context.Context, address, path string, in, out proto.Message) error {
	c.once.Do(c.initClient)
	body, err := proto.Marshal(in)
	if err != nil {
		return fmt.Errorf("encode %s: %w", path, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("call %s%s: %w", address, path, err)
	}
	req.Header.Set("Content-Type", contentType)
	resp, err := c.client.Do(req)
	if err != nil {
		if errors.Is(err, transport.ErrNotSent) {
			return fmt.Errorf("%w: %w", ErrNotReached, err)
		}
		return fmt.Errorf("call %s%s: %w", address, path, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxMessageBytes))
	if err != nil {
		return fmt.Errorf("answer of %s%s: %w", address, path, err)
	}
	if resp.StatusCode == statusNotReceived {
		return fmt.Errorf("%w: answer of %s%s: %s", ErrNotReached, address, path, bytes.TrimSpace(data))
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("answer of %s%s: status %d", address, path, resp.StatusCode)
	}
	if err := proto.Unmarshal(data, out); err != nil {
		return fmt.Errorf("answer of %s%s: %w", address, path, err)
	}
	return nil
}

// request calls the owner of a docket and converts the result of its answer into the
// corresponding error.
func (c *Client) request(ctx context.Context, address, path string, in proto.Message) (*wire.ExchangeAnswer, error) {
	out := &wire.ExchangeAnswer{}
	if err := c.call(ctx, address, path, in, out); err != nil {
		return out, err
	}
	switch out.GetResult() {
	case wire.ExchangeResult_EXCHANGE_RESULT_DONE:
		return out, nil
	case wire.ExchangeResult_EXCHANGE_RESULT_REFUSED:
		return out, &cell.RefusedError{Reason: out.GetReason(), RetryAfter: time.Duration(out.GetRetryAfterMs()) * time.Millisecond}
	case wire.ExchangeResult_EXCHANGE_RESULT_NOT_OWNER:
		return out, fmt.Errorf("%s: %w", address, ErrNotOwner)
	case wire.ExchangeResult_EXCHANGE_RESULT_UNKNOWN_JOB:
		return out, cell.ErrNoJob
	}
	if out.GetResult() == wire.ExchangeResult_EXCHANGE_RESULT_MOVED {
		return out, &cell.MovedError{
			Docket: int(out.GetDocket()), InTransit: out.GetOnTheWay(), Move: out.GetMove(), State: docket.State(out.GetState()),
		}
	}
	return out, fmt.Errorf("%s: %w: %s", address, cell.ErrUndecided, out.GetReason())
}

// Submit submits a job to the owner of a docket.
func (c *Client) Submit(ctx context.Context, address string, docket int, job *wire.DocketAccepted) error {
	_, err := c.request(ctx, address, pathSubmit, &wire.ExchangeSubmit{Job: job, Docket: uint32(docket)})
	return err
}

// State asks the owner of a docket for the state of a job, for a caller of an organisation.
func (c *Client) State(ctx context.Context, address string, number int, job, organisation string) (docket.State, error) {
	answer, err := c.request(ctx, address, pathState, &wire.ExchangeJob{Job: job, Docket: uint32(number), Organisation: organisation})
	return docket.State(answer.GetState()), err
}

// Cancel cancels a job at the owner of a docket, for a caller of an organisation.
func (c *Client) Cancel(ctx context.Context, address string, docket int, job, organisation string) error {
	_, err := c.request(ctx, address, pathCancel, &wire.ExchangeJob{Job: job, Docket: uint32(docket), Organisation: organisation})
	return err
}

// Waiting asks the owner of a docket how many jobs of a queue have not begun to run.
func (c *Client) Waiting(ctx context.Context, address string, docket int, queue string) (uint32, error) {
	answer, err := c.request(ctx, address, pathWaiting, &wire.ExchangeQueue{Queue: queue, Docket: uint32(docket)})
	return answer.GetWaiting(), err
}

// ClaimQuota asks the owner of a docket for parts of organisations' limits.
func (c *Client) ClaimQuota(ctx context.Context, address string, claims *wire.ExchangeQuotaClaims) (*wire.ExchangeQuotaGrants, error) {
	out := &wire.ExchangeQuotaGrants{}
	if err := c.call(ctx, address, pathQuota, claims, out); err != nil {
		return nil, err
	}
	switch out.GetResult() {
	case wire.ExchangeResult_EXCHANGE_RESULT_DONE:
		return out, nil
	case wire.ExchangeResult_EXCHANGE_RESULT_NOT_OWNER:
		return nil, fmt.Errorf("%s: %w", address, ErrNotOwner)
	}
	return nil, fmt.Errorf("%s: the claim was not answered", address)
}

// Hello introduces the calling process to another one and tells it the known owners.
func (c *Client) Hello(ctx context.Context, address string, hello Hello, known []Owner) (Welcome, error) {
	in := &wire.ExchangeHello{
		Process: hello.Name, Incarnation: hello.Incarnation, Address: hello.Address, DataCentre: hello.DataCentre, Cores: hello.Cores,
		Owners: encodeOwners(known), SkipPeers: hello.SkipPeers, Configuration: hello.Configuration,
	}
	for _, d := range hello.AdvisedDockets {
		in.Helps = append(in.Helps, uint32(d))
	}
	out := &wire.ExchangeWelcome{}
	err := c.call(ctx, address, pathHello, in, out)
	welcome := Welcome{Owners: decodeOwners(out.GetOwners()), Configuration: out.GetConfiguration()}
	for _, p := range out.GetPeers() {
		welcome.Peers = append(welcome.Peers, Peer{p.GetAddress(), p.GetCores()})
	}
	return welcome, err
}

func encodeOwners(owners []Owner) []*wire.ExchangeOwner {
	out := make([]*wire.ExchangeOwner, len(owners))
	for i, o := range owners {
		out[i] = &wire.ExchangeOwner{Docket: uint32(o.Docket), Epoch: o.Epoch, Address: o.Address, Load: o.Load}
		encodeShares(out[i], o.Shares)
	}
	return out
}

func decodeOwners(owners []*wire.ExchangeOwner) []Owner {
	out := make([]Owner, len(owners))
	for i, o := range owners {
		out[i] = Owner{Docket: int(o.GetDocket()), Epoch: o.GetEpoch(), Address: o.GetAddress(), Load: o.GetLoad(), Shares: decodeShares(o)}
	}
	return out
}

// Configuration implements revision.Peers.
func (c *Client) Configuration(ctx context.Context, address string, above uint64) ([]byte, error) {
	out := &wire.ExchangeConfiguration{}
	err := c.call(ctx, address, pathConfiguration, &wire.ExchangeConfigurationAbove{Version: above}, out)
	return out.GetValue(), err
}

// RequestTakeover asks a process to take a docket over from the owner of the given
// epoch.
func (c *Client) RequestTakeover(ctx context.Context, address string, docket int, epoch uint64) error {
	_, err := c.request(ctx, address, pathYield, &wire.ExchangeYield{Docket: uint32(docket), Epoch: epoch})
	return err
}

// Advisor returns an advisor that queries the advisory service through the process at
// the given address.
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
