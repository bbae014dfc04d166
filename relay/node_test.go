package relay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"persimmonworks.example/persimmonworks/keys"
	"persimmonworks.example/persimmonworks/wire"
)

// echo answers a Status call with the caller's process name, the sequence number and
// the request ID, and a Forward with the body of the request.
type echo struct {
	hold    chan struct{} // if set, calls wait until it is closed
	started chan struct{} // if set, receives once per call
}

func (e *echo) wait(ctx context.Context) {
	if e.started != nil {
		e.started <- struct{}{}
	}
	if e.hold != nil {
		select {
		case <-e.hold:
		case <-ctx.Done():
		}
	}
}

func (e *echo) Handle(ctx context.Context, peer string, c *wire.Call) *wire.Reply {
	e.wait(ctx)
	s := &wire.Status{Process: peer, Address: c.GetRequest(), Sequence: c.GetStatus().GetSequence()}
	return &wire.Reply{Body: &wire.Reply_Status{Status: s}}
}

func (e *echo) Forward(ctx context.Context, _ string, c *wire.Call, body io.Reader, w AnswerWriter) error {
	e.wait(ctx)
	switch c.GetForward().GetPath() {
	case "/refuse":
		return w.Refuse(&wire.Refusal{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Reason: "full", RetryAfterMs: 7})
	case "/not-sent":
		return fmt.Errorf("runner not connected: %w", ErrNotSent)
	}
	if err := w.Head(&wire.Head{Status: 200, Runner: c.GetRequest()}); err != nil {
		return err
	}
	if _, err := io.Copy(w, body); err != nil {
		return err
	}
	if c.GetForward().GetPath() == "/cut" {
		return errors.New("the upstream closed its connection")
	}
	return nil
}

var (
	_ Handler   = (*echo)(nil)
	_ Forwarder = (*echo)(nil)
)

// pair is a caller and a callee that run until the test ends.
type pair struct {
	caller, callee *Node
	kill           context.CancelFunc // stops the callee
	stopped        chan struct{}      // closed when the callee has stopped
}

func newPair(t testing.TB, e *echo, change func(caller, callee *Node)) *pair {
	t.Helper()
	bed, err := keys.NewTestCA([]string{"caller", "callee"}, nil)
	if err != nil {
		t.Fatal(err)
	}
	p := &pair{stopped: make(chan struct{})}
	p.caller = &Node{Process: "caller", Incarnation: 1, Address: "127.0.0.1:0", Keys: bed.Store("caller")}
	p.callee = &Node{Process: "callee", Incarnation: 1, Address: "127.0.0.1:0", Keys: bed.Store("callee"), Handler: e, Forwarder: e}
	if change != nil {
		change(p.caller, p.callee)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var killed context.Context
	killed, p.kill = context.WithCancel(ctx)
	var g errgroup.Group
	if err := errors.Join(p.caller.Listen(), p.callee.Listen()); err != nil {
		t.Fatal(err)
	}
	ready := make(chan struct{})
	g.Go(func() error { close(ready); return p.caller.Run(ctx) })
	g.Go(func() error { defer close(p.stopped); return p.callee.Run(killed) })
	<-ready
	t.Cleanup(func() {
		cancel()
		if err := g.Wait(); err != nil {
			t.Error(err)
		}
	})
	p.waitUntilRunning(t)
	return p
}

// waitUntilRunning waits until the caller is running.
func (p *pair) waitUntilRunning(t testing.TB) {
	t.Helper()
	for range 1000 {
		if _, err := p.caller.peer("127.0.0.1:1"); err == nil {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("the caller is not running")
}

func (p *pair) forward(ctx context.Context, request, path string, body io.Reader) (*Answer, error) {
	c := &wire.Call{Request: request, Body: &wire.Call_Forward{Forward: &wire.Forward{Path: path}}}
	return p.caller.Forward(ctx, p.callee.Addr(), c, body)
}

func status(request string, sequence uint64) *wire.Call {
	return &wire.Call{Request: request, Body: &wire.Call_Status{Status: &wire.Status{Sequence: sequence}}}
}

// Each of many concurrent calls and forwards gets the complete answer to its own
// request.
func TestAnswersReachTheirOwnRequests(t *testing.T) {
	p := newPair(t, &echo{}, nil)
	var g errgroup.Group
	g.SetLimit(64)
	for i := range 300 {
		request := fmt.Sprintf("request-%d", i)
		g.Go(func() error {
			r, err := p.caller.Call(t.Context(), p.callee.Addr(), status(request, uint64(i)))
			if err != nil {
				return err
			}
			if s := r.GetStatus(); s.GetProcess() != "caller" || s.GetAddress() != request || s.GetSequence() != uint64(i) {
				return fmt.Errorf("request %q got %v", request, s)
			}
			return nil
		})
		g.Go(func() error {
			want := bytes.Repeat([]byte(request+"."), i*37)
			a, err := p.forward(t.Context(), request, "/", bytes.NewReader(want))
			if err != nil {
				return err
			}
			defer a.Body.Close()
			got, err := io.ReadAll(a.Body)
			if err != nil {
				return err
			}
			if a.Head.GetRunner() != request || !bytes.Equal(got, want) {
				return fmt.Errorf("request %q got head %v and %d of %d bytes", request, a.Head, len(got), len(want))
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
}

// A refusal arrives with its outcome even if the request body is still being sent.
func TestRefusals(t *testing.T) {
	p := newPair(t, &echo{}, nil)
	for path, outcome := range map[string]wire.Outcome{
		"/refuse": wire.Outcome_OUTCOME_NOT_RUN, "/not-sent": wire.Outcome_OUTCOME_NOT_RUN,
	} {
		a, err := p.forward(t.Context(), "r", path, strings.NewReader(strings.Repeat("x", 4<<20)))
		if err != nil {
			t.Fatalf("%s: %v", path, err)
		}
		if got := a.Head.GetRefusal().GetOutcome(); got != outcome {
			t.Errorf("%s: outcome %v, want %v", path, got, outcome)
		}
		if b, err := io.ReadAll(a.Body); len(b) > 0 || err != nil {
			t.Errorf("%s: body %q, error %v", path, b, err)
		}
	}
}

// Reading an answer fails if the forwarder could not complete it, or if the caller
// could not complete the request body.
func TestCutBodiesAreErrors(t *testing.T) {
	e := &echo{started: make(chan struct{}, 2)}
	p := newPair(t, e, nil)
	cut := io.MultiReader(strings.NewReader("some"), failingReader{e.started})
	for path, body := range map[string]io.Reader{"/cut": strings.NewReader("some"), "/": cut} {
		for len(e.started) > 0 {
			<-e.started
		}
		a, err := p.forward(t.Context(), "r", path, body)
		if err == nil {
			defer a.Body.Close()
			_, err = io.ReadAll(a.Body)
		}
		if err == nil || errors.Is(err, ErrNotSent) {
			t.Errorf("%s: an incomplete body ended with error %v", path, err)
		}
	}
}

// failingReader fails only after the callee has started the call, so that the
// failure cannot arrive before the call.
type failingReader struct{ begun <-chan struct{} }

func (f failingReader) Read([]byte) (int, error) {
	<-f.begun
	return 0, errors.New("the caller disconnected")
}

// A call that is too large or goes to an address where no process listens is
// ErrNotSent; a call whose callee stops while running it is ErrUnknown.
func TestNotSentAndUnknown(t *testing.T) {
	e := &echo{hold: make(chan struct{}), started: make(chan struct{}, 1)}
	p := newPair(t, e, func(caller, _ *Node) { caller.Idle = 500 * time.Millisecond })
	if _, err := p.caller.Call(t.Context(), "127.0.0.1:9", status("r", 1)); !errors.Is(err, ErrNotSent) {
		t.Errorf("call to an address without a listener: %v", err)
	}
	large := status(strings.Repeat("r", defaultMaxMessage), 1)
	if _, err := p.caller.Call(t.Context(), p.callee.Addr(), large); !errors.Is(err, ErrNotSent) {
		t.Errorf("call above the maximum size: %v", err)
	}
	var g errgroup.Group
	g.Go(func() error {
		_, err := p.caller.Call(t.Context(), p.callee.Addr(), status("r", 1))
		if !errors.Is(err, ErrUnknown) || errors.Is(err, ErrNotSent) {
			return fmt.Errorf("call to a callee that stopped: %w", err)
		}
		return nil
	})
	<-e.started
	p.kill()
	if err := g.Wait(); err != nil {
		t.Error(err)
	}
}

// A call is not run if the caller has a certificate of another authority or names
// another process than its certificate does.
func TestStrangersAreRefused(t *testing.T) {
	e := &echo{started: make(chan struct{}, 10)}
	other, err := keys.NewTestCA([]string{"caller"}, nil)
	if err != nil {
		t.Fatal(err)
	}
	p := newPair(t, e, func(caller, _ *Node) { caller.Keys = other.Store("caller") })
	if _, err := p.caller.Call(t.Context(), p.callee.Addr(), status("r", 1)); !errors.Is(err, ErrNotSent) {
		t.Errorf("call with a certificate of another authority: %v", err)
	}
	q := newPair(t, e, func(caller, _ *Node) { caller.Process = "callee" })
	r, err := q.caller.Call(t.Context(), q.callee.Addr(), status("r", 1))
	if err != nil || r.GetRefusal().GetOutcome() != wire.Outcome_OUTCOME_NOT_RUN {
		t.Errorf("call with a process name that is not in the certificate: %v, %v", r, err)
	}
	if len(e.started) > 0 {
		t.Error("the call of an unauthorised process was run")
	}
}

// Shutdown refuses new calls as not-run and waits for those in flight. Their
// callers get complete answers even if the node stops immediately afterwards.
func TestShutdownFinishesCallsInFlight(t *testing.T) {
	e := &echo{hold: make(chan struct{}), started: make(chan struct{}, 1)}
	p := newPair(t, e, nil)
	want := bytes.Repeat([]byte("answer"), 300_000)
	var g errgroup.Group
	g.Go(func() error {
		a, err := p.forward(t.Context(), "r", "/", bytes.NewReader(want))
		if err != nil {
			return err
		}
		defer a.Body.Close()
		if got, err := io.ReadAll(a.Body); err != nil || !bytes.Equal(got, want) {
			return fmt.Errorf("%d of %d bytes, error %w", len(got), len(want), err)
		}
		return nil
	})
	<-e.started
	short, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	if err := p.callee.Shutdown(short); err == nil {
		t.Error("shutdown did not wait for the call in flight")
	}
	r, err := p.caller.Call(t.Context(), p.callee.Addr(), status("late", 1))
	if err != nil || r.GetRefusal().GetOutcome() != wire.Outcome_OUTCOME_NOT_RUN {
		t.Errorf("call during a shutdown: %v, %v", r, err)
	}
	close(e.hold)
	if err := p.callee.Shutdown(t.Context()); err != nil {
		t.Error(err)
	}
	p.kill()
	<-p.stopped
	if err := g.Wait(); err != nil {
		t.Errorf("call in flight at the shutdown: %v", err)
	}
}

// Answers whose bodies are not read do not block other calls on the connection.
func TestStalledBodiesDoNotBlockOthers(t *testing.T) {
	p := newPair(t, &echo{}, nil)
	for i := range 100 {
		a, err := p.forward(t.Context(), fmt.Sprint(i), "/", strings.NewReader(strings.Repeat("x", 1<<20)))
		if err != nil {
			t.Fatal(err)
		}
		defer a.Body.Close()
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	if _, err := p.caller.Call(ctx, p.callee.Addr(), status("r", 1)); err != nil {
		t.Error(err)
	}
}
