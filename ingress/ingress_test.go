package ingress

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/intake"
)

const testBound = 10 * time.Second // for what must happen in the end

// reading is a meter that is read while it counts, as a scrape may do.
type reading struct {
	owner *Interface

	mu     sync.Mutex
	counts map[string]int
}

func (r *reading) Count(name, outcome string) {
	if r.owner != nil {
		r.owner.Connections(intake.Idle)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = map[string]int{}
	}
	r.counts[name+" "+outcome]++
}

func (r *reading) Observe(name string, _ time.Duration) { r.Count(name, "observed") }

func (r *reading) count(name string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[name]
}

// serve serves calls whose bodies are read whole, with limits.
func serve(t *testing.T, l intake.Limits) (*Interface, *reading, string) {
	t.Helper()
	m := &reading{}
	i := &Interface{Name: "test", Limits: l, Log: &event.Log{Writer: io.Discard}, Meter: m}
	m.owner = i
	s := &http.Server{ReadHeaderTimeout: testBound, Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		body, err := ReadBody(w, q, 1<<20)
		var refused *intake.RefusedError
		if errors.As(err, &refused) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		fmt.Fprint(w, len(body))
	})}
	i.Attach(s)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group errgroup.Group
	group.Go(func() error { return s.Serve(i.Listen(listener)) })
	group.Go(func() error { return Sweep(t.Context(), i) })
	t.Cleanup(func() {
		if err := s.Close(); err != nil {
			t.Error(err)
		}
		if err := group.Wait(); !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
		if i.Bytes() != 0 || i.leaving.Load() != 0 {
			t.Errorf("%d bytes are counted when all connections are closed, %d of them as leaving", i.Bytes(), i.leaving.Load())
		}
	})
	return i, m, listener.Addr().String()
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() }) // the server may have closed it
	return c
}

func send(t *testing.T, c net.Conn, length, sent int) {
	t.Helper()
	text := fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("x", sent))
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// await waits until a condition holds.
func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(testBound); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not after %v", what, testBound)
		}
	}
}

// status reads an answer and returns its status, 0 if the connection was closed.
func status(t *testing.T, c net.Conn) int {
	t.Helper()
	if err := c.SetReadDeadline(time.Now().Add(testBound)); err != nil {
		t.Fatal(err)
	}
	text := make([]byte, 12)
	if _, err := io.ReadFull(c, text); err != nil {
		return 0
	}
	var s int
	if _, err := fmt.Sscanf(string(text), "HTTP/1.1 %d", &s); err != nil {
		t.Fatal(err)
	}
	return s
}

var usual = intake.Limits{Connections: 8, Bytes: 100_000, FreeBytes: 4_000, Stall: time.Minute, Whole: time.Minute}

// A call that stops short holds its bytes until another needs the room; then it is told that
// it has not run.
func TestStalledCallMakesRoom(t *testing.T) {
	i, m, address := serve(t, usual)
	stalled := dial(t, address)
	send(t, stalled, 80_000, 79_999)
	await(t, "the bytes are counted", func() bool { return i.Bytes() > 70_000 })
	time.Sleep(1100 * time.Millisecond) // until it counts as stalled
	other := dial(t, address)
	send(t, other, 80_000, 80_000)
	if got := status(t, other); got != http.StatusOK {
		t.Errorf("the whole call is answered %d, want 200", got)
	}
	if got := status(t, stalled); got != http.StatusServiceUnavailable {
		t.Errorf("the stalled call is answered %d, want 503", got)
	}
	if n := m.count("ingress.test.closed bytes"); n != 1 {
		t.Errorf("%d calls are counted, want 1", n)
	}
}

// Calls that all make progress are refused themselves where they would exceed the limit, and
// small ones are served all the while.
func TestBusyCallsDoNotExceedLimit(t *testing.T) {
	i, _, address := serve(t, usual)
	var calls []net.Conn
	for range 6 {
		c := dial(t, address)
		send(t, c, 40_000, 39_999)
		calls = append(calls, c)
	}
	small := dial(t, address)
	send(t, small, 1_000, 1_000)
	if got := status(t, small); got != http.StatusOK {
		t.Errorf("a small call is answered %d, want 200", got)
	}
	await(t, "the bytes are within the limit", func() bool { return i.Bytes() <= usual.Bytes })
	refused := 0
	for _, c := range calls {
		if _, err := c.Write([]byte("x")); err != nil || status(t, c) != http.StatusOK {
			refused++
		}
	}
	if refused < 3 || refused == len(calls) {
		t.Errorf("%d of %d calls were refused, want those that exceed the limit", refused, len(calls))
	}
}

// Idle connections give way to new ones, of which the first keep coming.
func TestIdleConnectionsGiveWay(t *testing.T) {
	i, _, address := serve(t, usual)
	for range 3 * usual.Connections {
		dial(t, address)
	}
	time.Sleep(300 * time.Millisecond) // until they count as idle
	for range 3 {
		c := dial(t, address)
		send(t, c, 10, 10)
		if got := status(t, c); got != http.StatusOK {
			t.Errorf("a call on a new connection is answered %d, want 200", got)
		}
	}
	open := 0
	for p := range intake.Phases {
		open += i.Connections(p)
	}
	if open > usual.Connections {
		t.Errorf("%d connections are open, want at most %d", open, usual.Connections)
	}
}

// The time limits end a call that stalls and one that only trickles.
func TestTimeLimits(t *testing.T) {
	l := usual
	l.Stall, l.Whole = 700*time.Millisecond, 1500*time.Millisecond
	_, m, address := serve(t, l)
	stalled, slow := dial(t, address), dial(t, address)
	send(t, stalled, 100, 50)
	send(t, slow, 1000, 1)
	var group errgroup.Group
	group.Go(func() error {
		for range 60 {
			if _, err := slow.Write([]byte("x")); err != nil {
				return nil
			}
			time.Sleep(50 * time.Millisecond)
		}
		return nil
	})
	if got := status(t, stalled); got != http.StatusServiceUnavailable {
		t.Errorf("a call that stalls is answered %d, want 503", got)
	}
	await(t, "the slow call is let go", func() bool { return m.count("ingress.test.closed slow") == 1 })
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
}

// A handler that reads slowly, since it passes the body on, is no client that stalls.
func TestSlowHandlerIsNotAStalledClient(t *testing.T) {
	l := usual
	l.Stall = 300 * time.Millisecond
	m := &reading{}
	i := &Interface{Name: "test", Limits: l, Log: &event.Log{Writer: io.Discard}, Meter: m}
	s := &http.Server{ReadHeaderTimeout: testBound, Handler: http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) {
		time.Sleep(2500 * time.Millisecond) // two sweeps
		if n, err := io.Copy(io.Discard, q.Body); n != 50_000 || err != nil {
			t.Errorf("read %d bytes, %v", n, err)
		}
	})}
	i.Attach(s)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var group errgroup.Group
	group.Go(func() error { return s.Serve(i.Listen(listener)) })
	group.Go(func() error { return Sweep(ctx, i) })
	c := dial(t, listener.Addr().String())
	send(t, c, 50_000, 50_000)
	if got := status(t, c); got != http.StatusOK {
		t.Errorf("answered %d, want 200", got)
	}
	cancel()
	if err := s.Close(); err != nil {
		t.Error(err)
	}
	if err := group.Wait(); !errors.Is(err, http.ErrServerClosed) {
		t.Error(err)
	}
}

// Calls on one connection, sent ahead or not, leave nothing counted.
func TestCallsLeaveNothingCounted(t *testing.T) {
	i, _, address := serve(t, usual)
	c := dial(t, address)
	for range 3 {
		send(t, c, 50_000, 50_000)
	}
	var read int
	piece := make([]byte, 1024)
	await(t, "all calls are answered", func() bool {
		n, err := c.Read(piece)
		if err != nil {
			t.Fatal(err)
		}
		read += strings.Count(string(piece[:n]), "200 OK")
		return read == 3
	})
	await(t, "nothing is counted", func() bool { return i.Bytes() == 0 && i.Connections(intake.Idle) == 1 })
}

func TestReadBody(t *testing.T) {
	for _, size := range []int{0, 1, 511, 512, 513, 8191, 8192, 8193, 100_000, 262_144} {
		for _, known := range []bool{true, false} {
			q, err := http.NewRequest(http.MethodPost, "http://a/", io.NopCloser(strings.NewReader(strings.Repeat("x", size))))
			if err != nil {
				t.Fatal(err)
			}
			q.ContentLength = -1
			if known {
				q.ContentLength = int64(size)
			}
			b, err := ReadBody(nil, q, 262_144)
			if err != nil || len(b) != size || cap(b) > max(firstBytes, 2*size+1) {
				t.Errorf("%d bytes, known %v: read %d into a buffer of %d, %v", size, known, len(b), cap(b), err)
			}
		}
	}
}

// A call that was let go while its bytes were released stayed counted as leaving for good, which
// slackened the limit a little with each.
func TestLetGoWhileReleased(t *testing.T) {
	i := &Interface{}
	c := &conn{owner: i}
	c.left.Store(10)
	i.leaving.Store(10)
	c.release()
	if n := i.leaving.Load(); n != 0 {
		t.Errorf("%d bytes count as leaving after the call has ended", n)
	}
}
