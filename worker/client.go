package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"persimmonworks.example/persimmonworks/transport"
)

// PathSync is the path of a Sync below a worker's address.
const PathSync = "/sync"

// DefaultTimeout is the timeout of a call of a Client whose Timeout is 0.
const DefaultTimeout = 2 * time.Second

const maxReportBytes = 64 << 20

// clientHeader carries the name of the calling process. Package provider uses
// the same header.
const clientHeader = "Persimmon-Client"

// Client calls a worker over HTTP. It does not retry. It is safe for concurrent
// use.
type Client struct {
	Address string        // base URL
	Name    string        // sent in the header Persimmon-Client; may be empty
	Timeout time.Duration // per call; 0 means DefaultTimeout
	HTTP    *http.Client  // nil means one that follows no redirects
}

var _ Agent = (*Client)(nil)

var sharedClient = (&transport.Transport{MaxIdleConns: 32, IdleTimeout: time.Minute}).Client()

// Sync sends s to the worker. The error wraps ErrStaleEpoch if the worker
// refused the epoch, and otherwise ErrUnreachable; in the latter case s may or
// may not have taken effect.
func (c *Client) Sync(ctx context.Context, s Sync) (Report, error) {
	body, err := json.Marshal(s)
	if err != nil {
		return Report{}, fmt.Errorf("sync with worker %s: %v: %w", c.Address, err, ErrUnreachable)
	}
	timeout := c.Timeout
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.Address+PathSync, bytes.NewReader(body))
	if err != nil {
		return Report{}, fmt.Errorf("sync with worker %s: %v: %w", c.Address, err, ErrUnreachable)
	}
	if c.Name != "" {
		request.Header.Set(clientHeader, c.Name)
	}
	client := c.HTTP
	if client == nil {
		client = sharedClient
	}
	response, err := client.Do(request)
	if err != nil {
		return Report{}, fmt.Errorf("sync with worker %s: %v: %w", c.Address, err, ErrUnreachable)
	}
	defer func() { _ = response.Body.Close() }()
	return decodeReport(c.Address, s.Epoch, response)
}

func decodeReport(address string, epoch uint64, response *http.Response) (Report, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReportBytes))
	switch {
	case response.StatusCode == http.StatusConflict:
		return Report{}, fmt.Errorf("worker %s refused epoch %d: %.200q: %w", address, epoch, body, ErrStaleEpoch)
	case response.StatusCode != http.StatusOK:
		return Report{}, fmt.Errorf("worker %s: %s: %.200q: %w", address, response.Status, body, ErrUnreachable)
	case err != nil:
		return Report{}, fmt.Errorf("report of worker %s is incomplete (%v): %w", address, err, ErrUnreachable)
	}
	var report Report
	if err := json.Unmarshal(body, &report); err != nil {
		return Report{}, fmt.Errorf("report of worker %s is invalid (%v): %w", address, err, ErrUnreachable)
	}
	return report, nil
}
