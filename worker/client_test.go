package worker_test

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"persimmonworks.example/persimmonworks/worker"
)

// Sync returns ErrStaleEpoch only if the worker itself refused the epoch. After
// any other failure it is unknown whether the Sync took effect.
func TestSyncFailures(t *testing.T) {
	cases := []struct {
		name   string
		status int
		body   string
		want   error
	}{
		{"good", http.StatusOK, `{"epoch":7}`, nil},
		{"stale", http.StatusConflict, "epoch 6 is below 7", worker.ErrStaleEpoch},
		{"not found", http.StatusNotFound, "", worker.ErrUnreachable},
		{"broken server", http.StatusInternalServerError, `{"epoch":7}`, worker.ErrUnreachable},
		{"not a report", http.StatusOK, `{"epoch":`, worker.ErrUnreachable},
		{"broken connection", 0, "", worker.ErrUnreachable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
				if q.URL.Path != "/w/1"+worker.PathSync || q.Header.Get("Persimmon-Client") != "e1" {
					t.Errorf("request %s %v", q.URL, q.Header)
				}
				if c.status == 0 {
					panic(http.ErrAbortHandler)
				}
				w.WriteHeader(c.status)
				_, _ = fmt.Fprint(w, c.body)
			}))
			defer server.Close()
			client := &worker.Client{Address: server.URL + "/w/1", Name: "e1"}
			report, err := client.Sync(t.Context(), worker.Sync{Epoch: 6})
			if !errors.Is(err, c.want) || (err == nil && report.Epoch != 7) {
				t.Errorf("report %+v, %v, want %v", report, err, c.want)
			}
		})
	}
}

// A sync that is answered with a redirect is not sent to another address.
func TestSyncFollowsNoRedirects(t *testing.T) {
	other := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { t.Error("the redirect was followed") }))
	defer other.Close()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		http.Redirect(w, q, other.URL, http.StatusTemporaryRedirect)
	}))
	defer server.Close()
	client := &worker.Client{Address: server.URL}
	if _, err := client.Sync(t.Context(), worker.Sync{Epoch: 6}); !errors.Is(err, worker.ErrUnreachable) {
		t.Errorf("%v, want %v", err, worker.ErrUnreachable)
	}
}
