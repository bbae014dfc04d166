package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

const callTimeout = 150 * time.Millisecond

// host is a server whose open connections can go silent: requests on them get no answer.
type host struct {
	*httptest.Server
	mu     sync.Mutex
	conns  int             // that were opened
	silent map[string]bool // by the caller's address
	open   map[string]bool
	middle bool // silent connections still answer with a status and half of a body
}

func newHost(t *testing.T) *host {
	h := &host{silent: map[string]bool{}, open: map[string]bool{}}
	h.Server = httptest.NewUnstartedServer(h)
	h.Config.ConnState = func(c net.Conn, s http.ConnState) {
		h.mu.Lock()
		defer h.mu.Unlock()
		if s == http.StateNew {
			h.conns++
			h.open[c.RemoteAddr().String()] = true
		}
	}
	h.Start()
	t.Cleanup(h.Close)
	return h
}

func (h *host) silence() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.silent = h.open
	h.open = map[string]bool{}
}

func (h *host) opened() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.conns
}

func (h *host) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	h.mu.Lock()
	silent, middle := h.silent[q.RemoteAddr], h.middle
	h.mu.Unlock()
	if silent && middle {
		w.Header().Set("Content-Length", "8")
		_, _ = io.WriteString(w, "half") // the rest is silence
		_ = http.NewResponseController(w).Flush()
	}
	if silent {
		<-q.Context().Done()
		return
	}
	time.Sleep(callTimeout / 10) // so that calls at a time need connections of their own
	_, _ = io.WriteString(w, "whole")
}

func get(ctx context.Context, c *http.Client, url string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return err
	}
	a, err := c.Do(q)
	if err != nil {
		return err
	}
	defer a.Body.Close()
	_, err = io.ReadAll(a.Body)
	return err
}

// fill leaves idle connections to a host.
func fill(t *testing.T, c *http.Client, url string, conns int) {
	t.Helper()
	var group errgroup.Group
	for range conns {
		group.Go(func() error { return get(t.Context(), c, url) })
	}
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
}

// Each of the idle connections cost a call when all had gone silent.
func TestSilentConnectionsCostOneCall(t *testing.T) {
	for _, middle := range []bool{false, true} {
		t.Run(fmt.Sprint("in the middle of an answer ", middle), func(t *testing.T) {
			h := newHost(t)
			h.middle = middle
			c := &http.Client{Transport: &Transport{DialTimeout: time.Second, MaxConns: 8, MaxIdleConns: 8, IdleTimeout: time.Minute}}
			fill(t, c, h.URL, 6)
			h.silence()
			if err := get(t.Context(), c, h.URL); !errors.Is(err, context.DeadlineExceeded) {
				t.Errorf("first call: %v, want that its deadline has passed", err)
			}
			for i := range 3 {
				if err := get(t.Context(), c, h.URL); err != nil {
					t.Errorf("call %d after that: %v", i, err)
				}
			}
		})
	}
}

// A host that does not answer costs the connections to others nothing.
func TestOtherHostsKeepTheirConnections(t *testing.T) {
	quiet, other := newHost(t), newHost(t)
	c := &http.Client{Transport: &Transport{DialTimeout: time.Second, MaxConns: 8, MaxIdleConns: 8, IdleTimeout: time.Minute}}
	fill(t, c, quiet.URL, 3)
	fill(t, c, other.URL, 1)
	quiet.silence()
	if err := get(t.Context(), c, quiet.URL); err == nil {
		t.Error("a silent connection has answered")
	}
	if err := get(t.Context(), c, other.URL); err != nil || other.opened() != 1 {
		t.Errorf("%v, %d connections, want 1", err, other.opened())
	}
}

// A call that its caller gives up before its deadline says nothing about the connections.
func TestCancelledCallKeepsConnections(t *testing.T) {
	h := newHost(t)
	c := &http.Client{Transport: &Transport{DialTimeout: time.Second, MaxConns: 8, MaxIdleConns: 8, IdleTimeout: time.Minute}}
	fill(t, c, h.URL, 3)
	opened := h.opened()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := get(ctx, c, h.URL); !errors.Is(err, context.Canceled) {
		t.Errorf("%v, want cancelled", err)
	}
	fill(t, c, h.URL, opened)
	if h.opened() != opened {
		t.Errorf("%d connections, want %d", h.opened(), opened)
	}
}

// Hosts that are not called any more are forgotten.
func TestUnusedHostsAreForgotten(t *testing.T) {
	tr := &Transport{IdleTimeout: time.Minute}
	now := time.Now()
	tr.pool("10.0.0.1:80", now)
	tr.pool("10.0.0.2:80", now.Add(59*time.Second))
	tr.pool("10.0.0.3:80", now.Add(61*time.Second))
	if _, known := tr.hosts["10.0.0.1:80"]; known || len(tr.hosts) != 2 {
		t.Errorf("%d hosts, the first known %v; want 2 without it", len(tr.hosts), known)
	}
}
