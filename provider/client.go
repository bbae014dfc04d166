package provider

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"
)

// Names of the platform's HTTP interface.
const (
	ClientHeader      = "Persimmon-Client"  // names the process that asks
	OutcomeHeader     = "Persimmon-Outcome" // of a refusal
	OutcomeNotApplied = "not-applied"       // the write had no effect
	OutcomeNotRun     = "not-run"           // the request had no effect

	PathRow     = "/table/row"
	PathRange   = "/table/range"
	PathCommit  = "/table/commit"
	PathObjects = "/objects"
	PathHosts   = "/hosts"
)

// DefaultTimeout bounds one call of a Client whose Timeout is 0.
const DefaultTimeout = 2 * time.Second

// MaxBodyBytes bounds the body of a request or an answer.
const MaxBodyBytes = 64 << 20

// CommitRequest is the body of a POST to PathCommit.
type CommitRequest struct {
	Ops []Op `json:"ops"`
}

// CommitAnswer is the body of its answer, one version for each op.
type CommitAnswer struct {
	Versions []uint64 `json:"versions"`
}

// Client calls the platform over HTTP. It is safe for concurrent use, never
// retries, and classifies each failure: a call that sent nothing, or that the
// platform refused as not applied, is ErrUnavailable; a write that was sent
// and got no whole answer is ErrUnknown; a read never is.
type Client struct {
	Address string        // base URL
	Name    string        // sent in ClientHeader, may be empty
	Timeout time.Duration // of one call; 0 is DefaultTimeout
	HTTP    *http.Client  // nil is one that keeps connections for all calls under way

	cache cache
}

// ObjectClient is a Client's view of the object store. It is a type of its own
// because Table and Objects both have a method Get.
type ObjectClient struct {
	client *Client
}

var (
	_ Table      = (*Client)(nil)
	_ HostLister = (*Client)(nil)
	_ Objects    = (*ObjectClient)(nil)
)

// Objects returns the object store at the same address.
func (c *Client) Objects() *ObjectClient { return &ObjectClient{client: c} }

// Get returns the row, or ErrNotFound.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	var row Row
	err := c.read(ctx, PathRow, url.Values{"key": {key}}, &row)
	return row, err
}

// Range returns at most limit rows whose keys start with prefix and come after
// the key after.
func (c *Client) Range(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	var rows []Row
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	err := c.read(ctx, PathRange, query, &rows)
	return rows, err
}

// Commit applies all ops or none and returns the new version of each row, 0
// for a deleted one.
func (c *Client) Commit(ctx context.Context, ops ...Op) ([]uint64, error) {
	body, err := json.Marshal(CommitRequest{Ops: ops})
	if err != nil {
		return nil, fmt.Errorf("commit of %d ops: %w", len(ops), err)
	}
	answer, _, err := c.call(ctx, http.MethodPost, PathCommit, nil, body, "")
	if err != nil {
		return nil, err
	}
	var decoded CommitAnswer
	if err := json.Unmarshal(answer, &decoded); err != nil || len(decoded.Versions) != len(ops) {
		return nil, fmt.Errorf("%s: %d versions for %d ops (%v): %w", PathCommit, len(decoded.Versions), len(ops), err, ErrUnknown)
	}
	return decoded.Versions, nil
}

// Hosts returns the platform's list of hosts. The same slice is returned until
// the platform has another one; it must not be changed.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	old := c.cache.hostList()
	body, tag, err := c.call(ctx, http.MethodGet, PathHosts, nil, nil, old.tag)
	if errors.Is(err, errUnchanged) {
		return old.hosts, nil
	}
	if err != nil {
		return nil, err
	}
	var hosts []Host
	if err := json.Unmarshal(body, &hosts); err != nil {
		return nil, fmt.Errorf("GET %s: answer is not valid (%v): %w", PathHosts, err, ErrUnavailable)
	}
	c.cache.setHosts(hostList{tag, hosts})
	return hosts, nil
}

// Put stores body under name.
func (o *ObjectClient) Put(ctx context.Context, name string, body []byte) error {
	_, _, err := o.client.call(ctx, http.MethodPut, PathObjects, url.Values{"name": {name}}, body, "")
	return err
}

// Get returns the object, or ErrNotFound.
func (o *ObjectClient) Get(ctx context.Context, name string) ([]byte, error) {
	body, _, err := o.client.call(ctx, http.MethodGet, PathObjects, url.Values{"name": {name}}, nil, "")
	return body, err
}

// Delete removes the object, or returns ErrNotFound.
func (o *ObjectClient) Delete(ctx context.Context, name string) error {
	_, _, err := o.client.call(ctx, http.MethodDelete, PathObjects, url.Values{"name": {name}}, nil, "")
	return err
}

func (c *Client) read(ctx context.Context, path string, query url.Values, into any) error {
	key := path + "?" + query.Encode()
	old := c.cache.answer(key)
	body, tag, err := c.call(ctx, http.MethodGet, path, query, nil, old.tag)
	if errors.Is(err, errUnchanged) {
		body, tag, err = old.body, old.tag, nil
	}
	if err != nil {
		return err
	}
	c.cache.keep(key, answer{tag, body})
	if err := json.Unmarshal(body, into); err != nil {
		return fmt.Errorf("GET %s: answer is not valid (%v): %w", path, err, ErrUnavailable)
	}
	return nil
}

// call sends one request and returns the whole body of a good answer and its
// entity tag. With the tag of an earlier answer it returns errUnchanged if the
// platform would answer the same again.
func (c *Client) call(ctx context.Context, method, path string, query url.Values, body []byte, known string) (content []byte, tag string, err error) {
	if err := ctx.Err(); err != nil {
		return nil, "", fmt.Errorf("%s %s: nothing sent (%v): %w", method, path, err, ErrUnavailable)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout())
	defer cancel()
	// A request without a connection has sent no byte, and the transport
	// sends nothing anew once a byte of a write has left.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, method, c.Address+path+"?"+query.Encode(), bytes.NewReader(body))
	if err != nil {
		return nil, "", fmt.Errorf("%s %s at %q: %v: %w", method, path, c.Address, err, ErrUnavailable)
	}
	if c.Name != "" {
		request.Header.Set(ClientHeader, c.Name)
	}
	if known != "" {
		request.Header.Set("If-None-Match", known)
	}
	lost := ErrUnknown
	if method == http.MethodGet {
		lost = ErrUnavailable
	}
	answer, err := c.httpClient().Do(request)
	if err != nil {
		if !connected.Load() {
			lost = ErrUnavailable
		}
		return nil, "", fmt.Errorf("%s %s: %v: %w", method, path, err, lost)
	}
	defer func() { _ = answer.Body.Close() }()
	if known != "" && answer.StatusCode == http.StatusNotModified {
		return nil, "", errUnchanged
	}
	content, err = io.ReadAll(io.LimitReader(answer.Body, MaxBodyBytes+1))
	if failure := outcome(answer, lost); failure != nil {
		return nil, "", fmt.Errorf("%s %s: %s: %.200q: %w", method, path, answer.Status, content, failure)
	}
	if err != nil || len(content) > MaxBodyBytes {
		return nil, "", fmt.Errorf("%s %s: %d bytes of the answer read (%v): %w", method, path, len(content), err, lost)
	}
	return content, answer.Header.Get("ETag"), nil
}

// outcome returns the failure that an answer states, lost where it does not
// say whether the call had an effect.
func outcome(answer *http.Response, lost error) error {
	switch {
	case answer.StatusCode/100 == 2:
		return nil
	case answer.StatusCode == http.StatusNotFound:
		return ErrNotFound
	case answer.StatusCode == http.StatusConflict:
		return ErrConflict
	case answer.StatusCode/100 == 4:
		return errRejected
	case answer.StatusCode == http.StatusServiceUnavailable && answer.Header.Get(OutcomeHeader) == OutcomeNotApplied:
		return ErrUnavailable
	}
	return lost
}

func (c *Client) timeout() time.Duration {
	if c.Timeout > 0 {
		return c.Timeout
	}
	return DefaultTimeout
}

func (c *Client) httpClient() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return shared
}

// shared keeps a connection for each call that is usually under way; the
// default client keeps two for one host and dials for every other call.
var shared = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32, IdleConnTimeout: time.Minute}}
