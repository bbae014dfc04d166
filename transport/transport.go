// Package transport keeps HTTP connections to many hosts, in a pool for each.
//
// Open connections may go silent, without a reset, while new ones work: after a failure
// of a router or of a firewall, all connections to a host do so at the same moment. A
// call whose deadline passes without an answer therefore closes the idle connections to
// its host, so that the next call opens a new one. Calls in progress are left alone,
// since the host may just be slow.
//
// A call reaches the host that it names and no other: redirects are returned, not
// followed.
//
// Usage:
//
//	t := &transport.Transport{DialTimeout: 400 * time.Millisecond, MaxConns: 8, MaxIdleConns: 8, IdleTimeout: time.Minute}
//	c := t.Client()
//	q, err := http.NewRequestWithContext(ctx, ...)   // with a deadline
//	a, err := c.Do(q)                            // ErrNotSent: no host has got the call
package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"
)

// ErrNotSent says that no connection could be made for the call, so no byte of it has left.
var ErrNotSent = errors.New("call was not sent")

// Transport is an http.RoundTripper for plain HTTP/1.1. Set the exported fields before
// the first call. It is safe for concurrent use.
type Transport struct {
	DialTimeout  time.Duration
	MaxConns     int           // to one host, 0 for no limit
	MaxIdleConns int           // to one host; below 0, each call makes a connection
	IdleTimeout  time.Duration // after which an idle connection is closed
	BufferBytes  int           // of reading and of writing, for each connection; 0 for the usual size

	mu    sync.Mutex
	hosts map[string]*pool // by ip:port
}

// pool holds the connections to one host.
type pool struct {
	*http.Transport
	used time.Time // start of the newest call
}

// Client returns a client that returns redirects instead of following them. What another
// host answers, or that it refuses a connection, says nothing of the one that was called.
func (t *Transport) Client() *http.Client {
	return &http.Client{Transport: t, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
}

// RoundTrip implements http.RoundTripper. The error wraps ErrNotSent where that is certain.
func (t *Transport) RoundTrip(q *http.Request) (*http.Response, error) {
	p := t.pool(q.URL.Host, time.Now())
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	a, err := p.RoundTrip(q.WithContext(httptrace.WithClientTrace(q.Context(), trace)))
	if err != nil {
		p.closeAfter(q.Context())
		if isDialError(err) && !connected.Load() {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return nil, err
	}
	a.Body = &body{ReadCloser: a.Body, pool: p, ctx: q.Context()}
	return a, nil
}

// isDialError reports whether a connection could not be made. It need not be the first for
// the call: net/http sends reads again when a kept connection breaks.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// pool returns the pool of a host.
func (t *Transport) pool(host string, now time.Time) *pool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.hosts[host]
	if !ok {
		t.dropUnused(now)
		p = t.newPool()
		t.hosts[host] = p
	}
	p.used = now
	return p
}

// dropUnused drops the pools of hosts that were not called for long: hosts come and go.
// The caller must hold t.mu.
func (t *Transport) dropUnused(now time.Time) {
	if t.hosts == nil {
		t.hosts = map[string]*pool{}
	}
	for host, p := range t.hosts {
		if now.Sub(p.used) > t.IdleTimeout {
			p.CloseIdleConnections()
			delete(t.hosts, host)
		}
	}
}

func (t *Transport) newPool() *pool {
	dialer := &net.Dialer{Timeout: t.DialTimeout}
	return &pool{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxConnsPerHost: t.MaxConns, MaxIdleConnsPerHost: t.MaxIdleConns,
		IdleConnTimeout: t.IdleTimeout, DisableCompression: true,
		ReadBufferSize: t.BufferBytes, WriteBufferSize: t.BufferBytes,
	}}
}

// closeAfter closes the idle connections if the deadline of a call has passed.
func (p *pool) closeAfter(ctx context.Context) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		p.CloseIdleConnections()
	}
}

// body is the body of an answer, which may go silent as well.
type body struct {
	io.ReadCloser
	pool *pool
	ctx  context.Context
}

// Read implements io.Reader.
func (b *body) Read(into []byte) (int, error) {
	n, err := b.ReadCloser.Read(into)
	if err != nil && !errors.Is(err, io.EOF) {
		b.pool.closeAfter(b.ctx)
	}
	return n, err
}
