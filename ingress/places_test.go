package ingress

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/intake"
)

// serveCalls serves calls without bodies with a handler, and checks in the end that nothing
// is left counted.
func serveCalls(t *testing.T, l intake.Limits, h http.HandlerFunc) (*Interface, *reading, string) {
	t.Helper()
	m := &reading{}
	i := &Interface{Name: "test", Limits: l, Log: &event.Log{Writer: io.Discard}, Meter: m}
	m.owner = i
	s := &http.Server{ReadHeaderTimeout: testBound, Handler: h}
	i.Attach(s)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group errgroup.Group
	group.Go(func() error { return s.Serve(i.Listen(listener)) })
	t.Cleanup(func() {
		if err := s.Close(); err != nil {
			t.Error(err)
		}
		if err := group.Wait(); !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
		await(t, "nothing is counted", func() bool {
			i.mu.Lock()
			defer i.mu.Unlock()
			return len(i.conns) == 0 && len(i.held) == 0 && len(i.queue) == 0 && i.refusing == 0
		})
	})
	return i, m, listener.Addr().String()
}

const plainCall = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

var crowded = intake.Limits{Connections: 32, Bytes: 100_000, FreeBytes: 4_000, Stall: time.Minute, Whole: time.Minute}

// keepBusy sends one call after another on connections from the address of this host until
// each is closed, and counts the answers that did not come whole.
func keepBusy(t *testing.T, address string, count int) *errgroup.Group {
	t.Helper()
	var group errgroup.Group
	for range count {
		c := dial(t, address)
		group.Go(func() error {
			r := bufio.NewReader(c)
			for last := false; !last; {
				if _, err := io.WriteString(c, plainCall); err != nil {
					return nil // it never got a place
				}
				a, err := http.ReadResponse(r, nil)
				if err != nil {
					return nil
				}
				if _, err := io.Copy(io.Discard, a.Body); err != nil {
					return err
				}
				last = a.Close
			}
			return nil
		})
	}
	return &group
}

// A new connection was reset at once while all places were taken by connections that are
// always busy. Now it gets the place of one that has been served for long.
func TestBusyConnectionsGiveWay(t *testing.T) {
	i, m, address := serveCalls(t, crowded, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(time.Millisecond)
		_, _ = io.WriteString(w, "done") // the client may be gone
	})
	group := keepBusy(t, address, crowded.Places())
	for range 5 {
		await(t, "an ordinary call is answered", func() bool {
			c := dial(t, address)
			defer c.Close()
			if _, err := io.WriteString(c, plainCall); err != nil {
				return false
			}
			return status(t, c) == http.StatusOK
		})
	}
	if m.count("ingress.test.closed turn") == 0 {
		t.Error("no connection has given its place")
	}
	for m.count("ingress.test.closed turn") < crowded.Places() && i.Connections(intake.Idle)+i.Connections(intake.Handling) > 0 {
		dial(t, address) // until the others have been asked as well
		time.Sleep(10 * time.Millisecond)
	}
	if err := group.Wait(); err != nil {
		t.Errorf("an answer did not come whole: %v", err)
	}
}

// A connection that gives its place answers the call that has begun and says that it closes;
// calls that were sent ahead get no answer.
func TestCallsSentAheadAreNotAnsweredAfterTheLast(t *testing.T) {
	i, _, address := serveCalls(t, crowded, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") })
	c := dial(t, address)
	if _, err := io.WriteString(c, plainCall); err != nil {
		t.Fatal(err)
	}
	r := bufio.NewReader(c)
	if a, err := http.ReadResponse(r, nil); err != nil || a.Close {
		t.Fatalf("the first answer closes the connection: %v, %v", a, err)
	}
	if _, err := r.Discard(len("done")); err != nil {
		t.Fatal(err)
	}
	i.mu.Lock()
	for _, served := range i.conns {
		served.closeNext.Store(true)
	}
	i.mu.Unlock()
	if _, err := io.WriteString(c, strings.Repeat(plainCall, 500)); err != nil {
		t.Fatal(err)
	}
	a, err := http.ReadResponse(r, nil)
	if err != nil || a.StatusCode != http.StatusOK || !a.Close {
		t.Fatalf("answered %v, %v, want 200 and that it closes", a, err)
	}
	rest, err := io.ReadAll(r)
	if err != nil || string(rest) != "done" {
		t.Errorf("after the last answer %q, %v, want only its body", rest, err)
	}
}

// Where no place comes free, a call that waits is refused with an answer, and those beyond
// the queue and the ones being refused are closed.
func TestNoPlaceComesFree(t *testing.T) {
	release := make(chan struct{})
	i, m, address := serveCalls(t, crowded, func(_ http.ResponseWriter, _ *http.Request) { <-release })
	defer close(release)
	ask := func() net.Conn {
		c := dial(t, address)
		if _, err := io.WriteString(c, plainCall); err != nil {
			t.Fatal(err)
		}
		return c
	}
	for range 2 * crowded.Connections {
		ask()
	}
	await(t, "all places are taken", func() bool {
		return i.Connections(intake.Handling) >= crowded.Places()-2 && i.Waiting() == crowded.Waiting()
	})
	i.mu.Lock()
	last, open := i.queue[0], len(i.conns)+len(i.queue)+i.refusing
	i.mu.Unlock()
	if open > crowded.Connections {
		t.Errorf("%d connections are open, want at most %d", open, crowded.Connections)
	}
	await(t, "the queue is refused", func() bool {
		i.mu.Lock()
		defer i.mu.Unlock()
		return last.refused.Load() || last.away.Load()
	})
	var answered *http.Response
	await(t, "a call is refused with an answer", func() bool {
		c := ask()
		if err := c.SetReadDeadline(time.Now().Add(testBound)); err != nil {
			t.Fatal(err)
		}
		a, err := http.ReadResponse(bufio.NewReader(c), nil)
		answered = a
		return err == nil
	})
	if answered.StatusCode != http.StatusServiceUnavailable || answered.Header.Get("Retry-After") == "" || !answered.Close {
		t.Errorf("answered %v, want 503 with Retry-After", answered)
	}
	if m.count("ingress.test.waited refused") == 0 || m.count("ingress.test.closed connections") == 0 {
		t.Error("no client is counted that was refused for want of a place")
	}
}

// While the process runs late, connections that never pause are held back, and the first call
// of each is not.
func TestPausesWhileProcessRunsLate(t *testing.T) {
	i, _, address := serveCalls(t, crowded, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") })
	const gap, calls = 100 * time.Millisecond, 5
	i.gap.Store(int64(gap))
	busy := dial(t, address)
	begun := time.Now()
	if _, err := io.WriteString(busy, strings.Repeat(plainCall, calls)); err != nil {
		t.Fatal(err)
	}
	r := bufio.NewReader(busy)
	for range calls {
		a, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, a.Body); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(begun); took < (calls-1)*gap {
		t.Errorf("%d calls of one connection are answered in %v, want at least %v", calls, took, (calls-1)*gap)
	}
	i.gap.Store(int64(time.Hour))
	c := dial(t, address)
	if _, err := io.WriteString(c, plainCall); err != nil {
		t.Fatal(err)
	}
	if got := status(t, c); got != http.StatusOK {
		t.Errorf("the first call of a connection is answered %d, want 200", got)
	}
}
