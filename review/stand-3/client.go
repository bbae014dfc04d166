package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

const (
	patience     = 3 * time.Second // of a client, by the sheets
	retries      = 4               // of a client, by the sheets
	retryPause   = 250 * time.Millisecond
	mostAnswer   = 1 << 16
	noAnswer     = 0
	stateUnknown = ""
)

// client speaks to the system as a tenant's client does.
type client struct {
	world *world
	hosts hosts
	next  int // host of the next call
	quiet bool
}

// step is a step of a job on the wire.
type step struct {
	Count    int    `json:"count"`
	MilliCPU int    `json:"cpu,omitempty"`
	MemoryMB int    `json:"mem-mb,omitempty"`
	Estimate int    `json:"estimate-ms,omitempty"`
	After    []int  `json:"after,omitempty"`
	Lasts    bool   `json:"long-running,omitempty"`
	Fills    bool   `json:"fills,omitempty"`
	Target   int    `json:"target-ms,omitempty"`
	MostAway int    `json:"max-unavailable,omitempty"`
	Image    string `json:"image,omitempty"`
	Apart    int    `json:"anti-affinity,omitempty"`
	Requires string `json:"requires,omitempty"`
}

type jobBody struct {
	Spec   string `json:"spec"`
	Steps  []step `json:"steps"`
	Start  int64  `json:"start-at-ms,omitempty"`
	Every  int64  `json:"interval-ms,omitempty"`
	Repeat int    `json:"repeat-count,omitempty"`
}

// call sends one call to the next host and returns status and body, 0 for no answer.
func (c *client) call(ctx context.Context, method, path string, body []byte) (int, []byte) {
	status, answer, _ := c.callOnce(ctx, method, path, body)
	return status, answer
}

// callOnce also returns when the client should come back, 0 if the answer does not say.
func (c *client) callOnce(ctx context.Context, method, path string, body []byte) (int, []byte, time.Duration) {
	h := c.hosts[c.next%len(c.hosts)]
	c.next++
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+h.front+path, bytes.NewReader(body))
	if err != nil {
		return noAnswer, nil, 0
	}
	q.Host = queueHost
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("Request-Deadline", strconv.FormatInt(patience.Milliseconds(), 10))
	begun := time.Now()
	a, err := http.DefaultClient.Do(q)
	status, answer, back := noAnswer, []byte(nil), time.Duration(0)
	if err == nil {
		seconds, _ := strconv.Atoi(a.Header.Get("Retry-After")) // none is 0
		back = time.Duration(seconds) * time.Second
		answer, err = io.ReadAll(io.LimitReader(a.Body, mostAnswer))
		_ = a.Body.Close() // it was read
		if err == nil {
			status = a.StatusCode
		}
	}
	if !c.quiet {
		c.world.record.write("%s %s (%d bytes) at %s: %d after %d ms %.120s", method, path, len(body), h.name, status,
			time.Since(begun).Milliseconds(), bytes.TrimSpace(answer))
	}
	return status, answer, back
}

// submit hands a job in, and again as the pages say, until it is decided.
func (c *client) submit(ctx context.Context, path, job string, b jobBody) int {
	body, err := json.Marshal(b)
	if err != nil {
		panic(fmt.Errorf("encode job %s: %w", job, err)) // a struct of numbers and texts
	}
	status := noAnswer
	for range 1 + retries {
		var back time.Duration
		status, _, back = c.callOnce(ctx, http.MethodPost, path+job, body)
		if status == http.StatusOK || status == http.StatusBadRequest || status == http.StatusRequestEntityTooLarge {
			return status
		}
		sleep(ctx, max(retryPause, back))
	}
	return status
}

// cancel cancels a job, and asks again, as often as a client does, until it has the answer that the
// pages promise. It returns false if none came.
func (c *client) cancel(ctx context.Context, path, job string) bool {
	for range 1 + retries {
		if status, _ := c.call(ctx, http.MethodDelete, path+job, nil); status == http.StatusOK || status == http.StatusGone {
			return true
		}
		sleep(ctx, retryPause)
	}
	return false
}

// state returns what the system says of a job.
func (c *client) state(ctx context.Context, path, job string) (int, string) {
	status, body := c.call(ctx, http.MethodGet, path+job, nil)
	var a struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal(body, &a) != nil {
		return status, stateUnknown
	}
	return status, a.State
}
