package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"persimmonworks.example/persimmonworks/fault"
	"persimmonworks.example/persimmonworks/ledger"
)

// Control is a tester's client of a stand-in. No fault affects it.
type Control struct {
	Address string       // base URL
	HTTP    *http.Client // nil is http.DefaultClient
}

// Apply sets the faults that the JSON object change names, in the form of
// package fault, and returns all present faults.
func (c *Control) Apply(ctx context.Context, change string) (fault.State, error) {
	var state fault.State
	err := c.call(ctx, http.MethodPost, PathFaults, []byte(change), &state)
	return state, err
}

// SetPlatform replaces the faults of the platform.
func (c *Control) SetPlatform(ctx context.Context, f fault.Platform) error {
	return c.set(ctx, map[string]any{"platform": f})
}

// SetHost replaces the faults of one host.
func (c *Control) SetHost(ctx context.Context, id string, f fault.Host) error {
	return c.set(ctx, map[string]any{"hosts": map[string]fault.Host{id: f}})
}

// SetPartitions replaces all partitions.
func (c *Control) SetPartitions(ctx context.Context, partitions ...fault.Partition) error {
	if partitions == nil {
		partitions = []fault.Partition{}
	}
	return c.set(ctx, map[string]any{"partitions": partitions})
}

// Faults returns all present faults.
func (c *Control) Faults(ctx context.Context) (fault.State, error) {
	var state fault.State
	err := c.call(ctx, http.MethodGet, PathFaults, nil, &state)
	return state, err
}

// Ledger returns the record of what ran.
func (c *Control) Ledger(ctx context.Context) ([]ledger.Entry, error) {
	var entries []ledger.Entry
	err := c.call(ctx, http.MethodGet, PathLedger, nil, &entries)
	return entries, err
}

// Check returns the violations that the stand-in's own record shows.
func (c *Control) Check(ctx context.Context) ([]ledger.Violation, error) {
	var found []ledger.Violation
	err := c.call(ctx, http.MethodGet, PathCheck, nil, &found)
	return found, err
}

// Counters returns the rates of reads and writes.
func (c *Control) Counters(ctx context.Context) (Counters, error) {
	var counters Counters
	err := c.call(ctx, http.MethodGet, PathCounters, nil, &counters)
	return counters, err
}

// ResetCounters starts the count of reads and writes anew.
func (c *Control) ResetCounters(ctx context.Context) error {
	return c.call(ctx, http.MethodDelete, PathCounters, nil, &Counters{})
}

func (c *Control) set(ctx context.Context, change map[string]any) error {
	body, err := json.Marshal(change)
	if err != nil {
		return fmt.Errorf("change of faults: %w", err)
	}
	return c.call(ctx, http.MethodPost, PathFaults, body, &fault.State{})
}

func (c *Control) call(ctx context.Context, method, path string, body []byte, into any) error {
	request, err := http.NewRequestWithContext(ctx, method, c.Address+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("stand-in at %q: %w", c.Address, err)
	}
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	answer, err := client.Do(request)
	if err != nil {
		return fmt.Errorf("stand-in %s: %w", path, err)
	}
	defer func() { _ = answer.Body.Close() }()
	content, err := io.ReadAll(answer.Body)
	if err != nil {
		return fmt.Errorf("stand-in %s: answer broke off: %w", path, err)
	}
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("stand-in %s: %s: %.200q", path, answer.Status, content)
	}
	if err := json.Unmarshal(content, into); err != nil {
		return fmt.Errorf("stand-in %s: answer is not valid: %w", path, err)
	}
	return nil
}
