package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"persimmonworks.example/persimmonworks/pause"
)

const (
	queueHost      = "checks.example"
	queuePrefix    = "/checks/"
	callerDeadline = 3 * time.Second
	mostTries      = 5
	mostAttempts   = 4 // runs of a task that may fail
	// crashesToGiveUp is how many runners have to crash under a task before it may be given up.
	crashesToGiveUp = 2
	betweenTries    = 300 * time.Millisecond
)

type jobStep struct {
	Count    int    `json:"count"`
	MilliCPU int64  `json:"cpu"`
	MemoryMB int64  `json:"mem-mb"`
	Estimate int64  `json:"estimate-ms"`
	Requires string `json:"requires,omitempty"`
	Lasts    bool   `json:"long-running,omitempty"`
	Apart    int    `json:"anti-affinity,omitempty"`
}

// schedule says when a job runs that is repeated.
type schedule struct {
	Start    int64 `json:"start-at-ms,omitempty"`
	Interval int64 `json:"interval-ms,omitempty"`
	Repeat   int   `json:"repeat-count,omitempty"`
}

// job is one step of equal tasks.
type job struct {
	id       string
	spec     string
	count    int
	milliCPU int64
	memoryMB int64
	takes    time.Duration
	lasts    bool // until it is cancelled
	apart    int  // tasks on one runner at most, 0 for any number
	times    schedule
	requires string    // label of the runners, empty for any
	accepted time.Time // zero if it was not
}

// client hands jobs in and asks for them, as the platform's clients do.
type client struct {
	fronts []string // ip:port
	ledger *ledger
	http   http.Client
}

func newClient(fronts []string, l *ledger) *client {
	return &client{fronts: fronts, ledger: l, http: http.Client{Timeout: callerDeadline}}
}

// call returns the status, 0 without an answer, and the state that the answer shows.
func (c *client) call(ctx context.Context, method, front, id string, body any) (status int, state string) {
	var in io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			panic(err) // a struct of this program that JSON cannot hold
		}
		in = bytes.NewReader(encoded)
	}
	q, err := http.NewRequestWithContext(ctx, method, "http://"+front+queuePrefix+id, in)
	if err != nil {
		return 0, ""
	}
	q.Host = queueHost
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("Request-Deadline", fmt.Sprint(callerDeadline.Milliseconds()))
	a, err := c.http.Do(q)
	if err != nil {
		return 0, ""
	}
	defer a.Body.Close()
	var answer struct {
		State string `json:"state"`
	}
	if err := json.NewDecoder(a.Body).Decode(&answer); err != nil {
		return 0, ""
	}
	return a.StatusCode, answer.State
}

func (c *client) front() string { return c.fronts[rand.IntN(len(c.fronts))] }

// submit hands a job in, again where the answer allows it, and reports whether it was accepted.
func (c *client) submit(ctx context.Context, j *job) bool {
	c.ledger.submitted(j)
	body := struct {
		Spec  string    `json:"spec"`
		Steps []jobStep `json:"steps"`
		schedule
	}{j.spec, []jobStep{{
		Count: j.count, MilliCPU: j.milliCPU, MemoryMB: j.memoryMB, Estimate: j.takes.Milliseconds(), Requires: j.requires,
		Lasts: j.lasts, Apart: j.apart,
	}}, j.times}
	for range mostTries {
		front := c.front()
		status, _ := c.call(ctx, http.MethodPost, front, j.id, body)
		c.ledger.note("submit", "job", j.id, "front", front, "status", status)
		if status == http.StatusOK {
			j.accepted = time.Now()
			return true
		}
		if !pause.For(ctx, betweenTries) {
			return false
		}
	}
	return false
}

// state asks for the state of a job.
func (c *client) state(ctx context.Context, id string) (status int, state string) {
	return c.call(ctx, http.MethodGet, c.front(), id, nil)
}

// ready reports whether some process accepts a job's name, that is, knows queue and owner.
func (c *client) ready(ctx context.Context) bool {
	for _, front := range c.fronts {
		if status, _ := c.call(ctx, http.MethodGet, front, "ffffffffffffffff", nil); status != http.StatusGone {
			return false
		}
	}
	return true
}
