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
	queueHost      = "jobs.example"
	queuePath      = "/batch/"
	queueName      = "r-batch"
	clientDeadline = 3 * time.Second
	clientPause    = 300 * time.Millisecond // between two tries
	clientTries    = 40
)

// client hands jobs in, asks for them and cancels them, as a client of the queue does.
type client struct {
	record *record
	fronts []string
	next   int
}

// call sends one request to the next front. Status 0 stands for no answer.
func (c *client) call(ctx context.Context, method, path string, in any) (int, string) {
	front := c.fronts[c.next%len(c.fronts)]
	c.next++
	var body io.Reader
	if in != nil {
		encoded, err := json.Marshal(in)
		if err != nil {
			panic(fmt.Errorf("encode job: %w", err)) // a struct of numbers and texts
		}
		body = bytes.NewReader(encoded)
	}
	ctx, cancel := context.WithTimeout(ctx, clientDeadline)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+front+queuePath+path, body)
	if err != nil {
		panic(fmt.Errorf("request to %s: %w", front, err)) // an address that was listened at
	}
	q.Host = queueHost
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("Request-Deadline", strconv.FormatInt(clientDeadline.Milliseconds(), 10))
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		c.record.note("client: %s %s at %s: no answer: %v", method, path, front, err)
		return 0, ""
	}
	defer a.Body.Close()
	var answer struct {
		State string `json:"state"`
	}
	if err := json.NewDecoder(a.Body).Decode(&answer); err != nil {
		c.record.note("client: %s %s at %s: %d, unreadable: %v", method, path, front, a.StatusCode, err)
		return 0, ""
	}
	c.record.note("client: %s %s at %s: %d %s", method, path, front, a.StatusCode, answer.State)
	return a.StatusCode, answer.State
}

// submit hands a job in until it is accepted.
func (c *client) submit(ctx context.Context, j *job) error {
	for range clientTries {
		if status, _ := c.call(ctx, http.MethodPost, j.id, j); status >= 200 && status < 300 {
			return nil
		}
		pause(ctx, clientPause)
	}
	return fmt.Errorf("job %s was not accepted in %d tries", j.id, clientTries)
}

// state asks for the state of a job, "" if no front tells it.
func (c *client) state(ctx context.Context, id string) string {
	for range c.fronts {
		if status, state := c.call(ctx, http.MethodGet, id, nil); status == http.StatusOK {
			return state
		}
	}
	return ""
}

// awaitState asks for a job until its state is the wanted one, for the given time.
func (c *client) awaitState(ctx context.Context, id, want string, most time.Duration) bool {
	for end := time.Now().Add(most); time.Now().Before(end); pause(ctx, clientPause) {
		if c.state(ctx, id) == want {
			return true
		}
	}
	return false
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
