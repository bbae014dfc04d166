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

	"persimmonworks.example/persimmonworks/transport"
)

// Headers, header values and paths of the platform's HTTP interface.
const (
	ClientHeader      = "Persimmon-Client"  // names the calling process
	OutcomeHeader     = "Persimmon-Outcome" // says whether a refused call had an effect
	OutcomeNotApplied = "not-applied"       // the write had no effect
	OutcomeNotRun     = "not-run"           // the request had no effect

	PathRow     = "/table/row"
	PathRange   = "/table/range"
	PathCommit  = "/table/commit"
	PathObjects = "/objects"
	PathHosts   = "/hosts"
)

// DefaultTimeout is the timeout of one call if Client.Timeout is 0.
const DefaultTimeout = 2 * time.Second

// MaxBodyBytes limits the body of a request or a response.
const MaxBodyBytes = 64 << 20

// CommitRequest is the body of a POST to PathCommit.
type CommitRequest struct {
	Ops []Op `json:"ops"`
}

// CommitResponse is the response body for a CommitRequest. It has one version for
// each op.
type CommitResponse struct {
	Versions []uint64 `json:"versions"`
}

// Client calls the platform over HTTP. It is safe for concurrent use and never
// retries. It returns ErrUnavailable for a call that sent nothing or that the
// platform refused as not applied, and for a read that failed. It returns
// ErrOutcomeUnknown for a write that was sent and got no complete response.
type Client struct {
	Address string        // base URL
	Name    string        // sent in ClientHeader, may be empty
	Timeout time.Duration // of one call; 0 means DefaultTimeout
	HTTP    *http.Client  // nil means a shared client with a large pool of idle connections

	cache cache
}

// ObjectClient accesses the object store through a Client. It is a separate
// type because Table and Objects both have a method Get.
type ObjectClient struct {
	client *Client
}

var (
	_ Table      = (*Client)(nil)
	_ HostLister = (*Client)(nil)
	_ Objects    = (*ObjectClient)(nil)
)

// Objects returns a client of the object store at the same address.
func (c *Client) Objects() *ObjectClient { return &ObjectClient{client: c} }

// Get returns the row with the given key, or ErrNotFound.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	var row Row
	err := c.read(ctx, PathRow, url.Values{"key": {key}}, &row)
	return row, err
}

// Range returns up to limit rows, sorted by key, whose keys start with prefix
// and are greater than after.
func (c *Client) Range(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	var rows []Row
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	err := c.read(ctx, PathRange, query, &rows)
	return rows, err
}

// Commit applies either all ops or none and returns the new version of each
// row, 0 for a deleted one.
func (c *Client) Commit(ctx context.Context, ops ...Op) ([]uint64, error) {
	body, err := json.Marshal(CommitRequest{Ops: ops})
	if err != nil {
		return nil, fmt.Errorf("commit of %d ops: %w", len(ops), err)
	}
	content, _, err := c.call(ctx, http.MethodPost, PathCommit, nil, body, "")
	if err != nil {
		return nil, err
	}
	var decoded CommitResponse
	if err := json.Unmarshal(content, &decoded); err != nil || len(decoded.Versions) != len(ops) {
		return nil, fmt.Errorf("%s: %d versions for %d ops (%v): %w", PathCommit, len(decoded.Versions), len(ops), err, ErrOutcomeUnknown)
	}
	return decoded.Versions, nil
}

// Hosts returns the platform's list of hosts. It returns the same slice until
// the list changes; the caller must not modify it.
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
		return nil, fmt.Errorf("GET %s: invalid response body (%v): %w", PathHosts, err, ErrUnavailable)
	}
	c.cache.setHosts(hostList{tag, hosts})
	return hosts, nil
}

// Put stores body under name and overwrites an existing object.
func (o *ObjectClient) Put(ctx context.Context, name string, body []byte) error {
	_, _, err := o.client.call(ctx, http.MethodPut, PathObjects, url.Values{"name": {name}}, body, "")
	return err
}

// Get returns the object with the given name, or ErrNotFound.
func (o *ObjectClient) Get(ctx context.Context, name string) ([]byte, error) {
	body, _, err := o.client.call(ctx, http.MethodGet, PathObjects, url.Values{"name": {name}}, nil, "")
	return body, err
}

// Delete removes the object with the given name, or returns ErrNotFound.
func (o *ObjectClient) Delete(ctx context.Context, name string) error {
	_, _, err := o.client.call(ctx, http.MethodDelete, PathObjects, url.Values{"name": {name}}, nil, "")
	return err
}

func (c *Client) read(ctx context.Context, path string, query url.Values, into any) error {
	key := path + "?" + query.Encode()
	old := c.cache.response(key)
	body, tag, err := c.call(ctx, http.MethodGet, path, query, nil, old.tag)
	if errors.Is(err, errUnchanged) {
		body, tag, err = old.body, old.tag, nil
	}
	if err != nil {
		return err
	}
	c.cache.keep(key, cachedResponse{tag, body})
	if err := json.Unmarshal(body, into); err != nil {
		return fmt.Errorf("GET %s: invalid response body (%v): %w", path, err, ErrUnavailable)
	}
	return nil
}

// call sends one request and returns the body of a successful response and its
// entity tag. If knownTag is the entity tag of an earlier response that is still
// current, it returns errUnchanged.
func (c *Client) call(ctx context.Context, method, path string, query url.Values, body []byte, knownTag string) (content []byte, tag string, err error) {
	if err := ctx.Err(); err != nil {
		return nil, "", fmt.Errorf("%s %s: request not sent (%v): %w", method, path, err, ErrUnavailable)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout())
	defer cancel()
	// A request that never got a connection has sent nothing, and the transport
	// does not resend a write of which it has sent at least one byte.
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
	if knownTag != "" {
		request.Header.Set("If-None-Match", knownTag)
	}
	lost := ErrOutcomeUnknown
	if method == http.MethodGet {
		lost = ErrUnavailable
	}
	response, err := c.httpClient().Do(request)
	if err != nil {
		if !connected.Load() {
			lost = ErrUnavailable
		}
		return nil, "", fmt.Errorf("%s %s: %v: %w", method, path, err, lost)
	}
	defer func() { _ = response.Body.Close() }()
	if knownTag != "" && response.StatusCode == http.StatusNotModified {
		return nil, "", errUnchanged
	}
	content, err = io.ReadAll(io.LimitReader(response.Body, MaxBodyBytes+1))
	if failure := outcome(response, lost); failure != nil {
		return nil, "", fmt.Errorf("%s %s: %s: %.200q: %w", method, path, response.Status, content, failure)
	}
	if err != nil || len(content) > MaxBodyBytes {
		return nil, "", fmt.Errorf("%s %s: incomplete or too large response, %d bytes read (%v): %w", method, path, len(content), err, lost)
	}
	return content, response.Header.Get("ETag"), nil
}

// outcome returns the error that a response stands for, or nil for success. It
// returns lost if the response does not say whether the call had an effect.
func outcome(response *http.Response, lost error) error {
	switch {
	case response.StatusCode/100 == 2:
		return nil
	case response.StatusCode == http.StatusNotFound:
		return ErrNotFound
	case response.StatusCode == http.StatusConflict:
		return ErrConflict
	case response.StatusCode/100 == 4:
		return errRejected
	case response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(OutcomeHeader) == OutcomeNotApplied:
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
	return sharedClient
}

// sharedClient keeps up to 32 idle connections to the platform, enough for the
// usual number of concurrent calls. http.DefaultClient keeps only two for each
// host and would dial a new connection for most calls.
var sharedClient = (&transport.Transport{MaxIdleConns: 32, IdleTimeout: time.Minute}).Client()
