package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// PathSync is the path of a Sync below a worker's address.
const PathSync = "/sync"

// DefaultTimeout bounds one call of a Client whose Timeout is 0.
const DefaultTimeout = 2 * time.Second

const maxReportBytes = 64 << 20

// clientHeader names the process that asks, as in package platform.
const clientHeader = "Persimmon-Client"

// Client calls a worker over HTTP. It is safe for concurrent use and never
// retries.
type Client struct {
	Address string        // base URL
	Name    string        // sent in the header Persimmon-Client, may be empty
	Timeout time.Duration // of one call; 0 is DefaultTimeout
	HTTP    *http.Client  // nil is http.DefaultClient
}

var _ Agent = (*Client)(nil)

// Sync sends s. The error is ErrStaleEpoch when the worker refused it, else
// ErrUnreachable, after which s may or may not have taken effect.
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
		client = http.DefaultClient
	}
	answer, err := client.Do(request)
	if err != nil {
		return Report{}, fmt.Errorf("sync with worker %s: %v: %w", c.Address, err, ErrUnreachable)
	}
	defer func() { _ = answer.Body.Close() }()
	return decodeReport(c.Address, s.Epoch, answer)
}

func decodeReport(address string, epoch uint64, answer *http.Response) (Report, error) {
	content, err := io.ReadAll(io.LimitReader(answer.Body, maxReportBytes))
	switch {
	case answer.StatusCode == http.StatusConflict:
		return Report{}, fmt.Errorf("worker %s refused epoch %d: %.200q: %w", address, epoch, content, ErrStaleEpoch)
	case answer.StatusCode != http.StatusOK:
		return Report{}, fmt.Errorf("worker %s: %s: %.200q: %w", address, answer.Status, content, ErrUnreachable)
	case err != nil:
		return Report{}, fmt.Errorf("report of worker %s broke off (%v): %w", address, err, ErrUnreachable)
	}
	var report Report
	if err := json.Unmarshal(content, &report); err != nil {
		return Report{}, fmt.Errorf("report of worker %s is not valid (%v): %w", address, err, ErrUnreachable)
	}
	return report, nil
}
