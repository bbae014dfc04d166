package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"persimmonworks.example/persimmonworks/runner"
)

// closingRunner is a runner that responds to the first request on each connection and
// closes the connection after it has read the second.
type closingRunner struct {
	listener net.Listener
	requests atomic.Int64
	group    errgroup.Group
}

func newClosingRunner(t *testing.T) *closingRunner {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &closingRunner{listener: l}
	b.group.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil // closed at the end of the test
			}
			b.group.Go(func() error { b.serve(c); return nil })
		}
	})
	t.Cleanup(func() {
		l.Close()
		_ = b.group.Wait()
	})
	return b
}

func (b *closingRunner) serve(c net.Conn) {
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second)) // ends an idle connection
	r := bufio.NewReader(c)
	for n := range 2 {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		b.requests.Add(1)
		if n == 0 {
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
		}
	}
}

// net/http resends some requests by itself when a kept-alive connection is closed. A
// non-idempotent request must not be resent.
func TestNonIdempotentIsSentOnce(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		for _, header := range []string{"", "Idempotency-Key"} {
			t.Run(method+" "+header, func(t *testing.T) {
				b := newClosingRunner(t)
				kept := &http.Transport{}
				t.Cleanup(kept.CloseIdleConnections)
				f := &Forwarder{
					RunnerClient:    &http.Client{Transport: kept},
					SingleUseClient: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
					SessionValid:    func(time.Time) bool { return true },
				}
				send := func(id string) (*http.Response, result) {
					o := &outbound{method: method, path: "/", header: http.Header{}, body: strings.NewReader(""), request: id, nonIdempotent: true}
					if header != "" {
						o.header.Set(header, id)
					}
					return f.sendToRunner(t.Context(), runner.Runner{ID: "u-1", Address: "http://" + b.listener.Addr().String()}, o)
				}
				for _, id := range []string{"first", "second"} {
					answer, _ := send(id)
					if answer != nil {
						_, _ = io.Copy(io.Discard, answer.Body) // allows the connection to be reused
						answer.Body.Close()
					}
				}
				if n := b.requests.Load(); n != 2 {
					t.Errorf("2 requests reached the runner %d times", n)
				}
			})
		}
	}
}
