package provider_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"persimmonworks.example/persimmonworks/provider"
)

func status(code int, outcome string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if outcome != "" {
			w.Header().Set(provider.OutcomeHeader, outcome)
		}
		w.WriteHeader(code)
		_, _ = fmt.Fprint(w, `{"versions":[1]}`)
	}
}

func truncated(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = fmt.Fprint(w, `{"versions":[1]}`)
}

func broken(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// silent sends no response until the client disconnects. The server detects that
// only after it has read the request body.
func silent(_ http.ResponseWriter, q *http.Request) {
	_, _ = io.Copy(io.Discard, q.Body)
	<-q.Context().Done()
}

// TestFailures checks the error that reads and writes return for each kind of
// failure, above all whether a write may have been applied.
func TestFailures(t *testing.T) {
	cases := []struct {
		name        string
		handler     http.HandlerFunc
		read, write error
	}{
		{"good", status(http.StatusOK, ""), nil, nil},
		{"not found", status(http.StatusNotFound, ""), provider.ErrNotFound, provider.ErrNotFound},
		{"conflict", status(http.StatusConflict, ""), provider.ErrConflict, provider.ErrConflict},
		{"refused", status(http.StatusServiceUnavailable, provider.OutcomeNotApplied), provider.ErrUnavailable, provider.ErrUnavailable},
		{"refused by another", status(http.StatusServiceUnavailable, ""), provider.ErrUnavailable, provider.ErrOutcomeUnknown},
		{"broken server", status(http.StatusInternalServerError, ""), provider.ErrUnavailable, provider.ErrOutcomeUnknown},
		{"broken connection", broken, provider.ErrUnavailable, provider.ErrOutcomeUnknown},
		{"truncated response", truncated, provider.ErrUnavailable, provider.ErrOutcomeUnknown},
		{"no response", silent, provider.ErrUnavailable, provider.ErrOutcomeUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(c.handler)
			defer server.Close()
			client := &provider.Client{Address: server.URL, HTTP: server.Client()}
			if c.name == "no response" {
				client.Timeout = 50 * time.Millisecond
			}
			if _, err := client.Get(t.Context(), "a"); !errors.Is(err, c.read) {
				t.Errorf("read: %v, want %v", err, c.read)
			}
			if _, err := client.Commit(t.Context(), provider.Create("a", nil)); !errors.Is(err, c.write) {
				t.Errorf("commit: %v, want %v", err, c.write)
			}
			if err := client.Objects().Put(t.Context(), "a", []byte("1")); !errors.Is(err, c.write) {
				t.Errorf("put: %v, want %v", err, c.write)
			}
		})
	}
}

// TestNothingSent checks that a write of which nothing was sent is reported as
// unavailable, never with an unknown outcome.
func TestNothingSent(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(broken))
	client := &provider.Client{Address: server.URL}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := client.Commit(ctx, provider.Create("a", nil)); !errors.Is(err, provider.ErrUnavailable) {
		t.Errorf("context cancelled before the call: %v", err)
	}
	server.Close()
	if _, err := client.Commit(t.Context(), provider.Create("a", nil)); !errors.Is(err, provider.ErrUnavailable) {
		t.Errorf("connection refused: %v", err)
	}
	client.Address = "no such address"
	if _, err := client.Commit(t.Context(), provider.Create("a", nil)); !errors.Is(err, provider.ErrUnavailable) {
		t.Errorf("bad address: %v", err)
	}
}

// TestRejected checks that the error for an invalid request matches none of the
// exported ones, since it had no effect and a retry would fail again.
func TestRejected(t *testing.T) {
	server := httptest.NewServer(status(http.StatusBadRequest, ""))
	defer server.Close()
	_, err := (&provider.Client{Address: server.URL}).Commit(t.Context(), provider.Create("a", nil))
	for _, known := range []error{nil, provider.ErrNotFound, provider.ErrConflict, provider.ErrUnavailable, provider.ErrOutcomeUnknown} {
		if errors.Is(err, known) {
			t.Errorf("rejected commit: %v is %v", err, known)
		}
	}
}
