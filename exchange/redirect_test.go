package exchange_test

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"persimmonworks.example/persimmonworks/exchange"
	"persimmonworks.example/persimmonworks/wire"
)

// A request that was answered with a redirect to where nobody listens passed for one that
// did not reach the other process, and went to the next one as well.
func TestRequestThatIsRedirectedWasReached(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	nobody := "http://" + l.Addr().String()
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		http.Redirect(w, q, nobody+q.URL.Path, http.StatusTemporaryRedirect)
	}))
	defer server.Close()
	c := &exchange.Client{}
	err = c.Submit(t.Context(), strings.TrimPrefix(server.URL, "http://"), 0, &wire.DocketAccepted{Job: "00000000000000aa"})
	if err == nil || errors.Is(err, exchange.ErrNotReached) {
		t.Errorf("%v, though the process has read the request", err)
	}
}
