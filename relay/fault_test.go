package relay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// While connections are closed repeatedly, every forward ends either with the
// complete answer to its own request or with an error, and calls succeed again
// afterwards.
func TestAnswersUnderKilledConnections(t *testing.T) {
	p := newPair(t, &echo{}, nil)
	var whole, failed, finished atomic.Int64
	kill := func() {
		p.callee.mu.Lock()
		defer p.callee.mu.Unlock()
		for c := range p.callee.accepted {
			_ = c.CloseWithError(closeLeaving, "killed by the test")
		}
	}
	var g errgroup.Group
	g.SetLimit(16)
	for i := range 400 {
		g.Go(func() error {
			defer func() {
				if finished.Add(1)%60 == 0 {
					kill()
				}
			}()
			request := fmt.Sprintf("request-%d", i)
			want := bytes.Repeat([]byte(request), 5000)
			a, err := p.forward(t.Context(), request, "/", bytes.NewReader(want))
			for tries := 0; errors.Is(err, ErrNotSent) && tries < 100; tries++ {
				time.Sleep(10 * time.Millisecond)
				a, err = p.forward(t.Context(), request, "/", bytes.NewReader(want))
			}
			if err != nil {
				failed.Add(1)
				if errors.Is(err, ErrNotSent) == errors.Is(err, ErrUnknown) {
					return fmt.Errorf("neither or both of ErrNotSent and ErrUnknown: %w", err)
				}
				return nil
			}
			defer a.Body.Close()
			got, err := io.ReadAll(a.Body)
			switch {
			case err != nil:
				failed.Add(1)
			case a.Head.GetRunner() != request || !bytes.Equal(got, want):
				return fmt.Errorf("%s got head %v and %d bytes of %d", request, a.Head, len(got), len(want))
			default:
				whole.Add(1)
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		t.Error(err)
	}
	t.Logf("%d answers complete, %d failed", whole.Load(), failed.Load())
	if failed.Load() == 0 || whole.Load() == 0 {
		t.Error("all answers succeeded or all failed; the test needs some of both")
	}
	for range 100 {
		if _, err := p.caller.Call(t.Context(), p.callee.Addr(), status("after", 1)); err == nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Error("calls still fail after the last closed connection")
}

// A call to a peer that receives packets and never answers fails, and the peer is
// not dialled again before its back-off has passed.
func TestSilentPeer(t *testing.T) {
	p := newPair(t, &echo{}, func(caller, _ *Node) { caller.Idle = 300 * time.Millisecond })
	silent, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	for range 2 {
		if _, err := p.caller.Call(t.Context(), silent.LocalAddr().String(), status("r", 1)); !errors.Is(err, ErrNotSent) {
			t.Errorf("call to a silent peer: %v", err)
		}
	}
	r, err := p.caller.peer(silent.LocalAddr().String())
	if err != nil || r.failures != 1 {
		t.Errorf("%d dials, error %v; want 1 dial for 2 calls in a row", r.failures, err)
	}
}

// Cancelling the context of a call ends the context of its handler.
func TestGivingUpReachesTheHandler(t *testing.T) {
	e := &echo{hold: make(chan struct{}), started: make(chan struct{}, 1)}
	p := newPair(t, e, nil)
	ctx, cancel := context.WithCancel(t.Context())
	var g errgroup.Group
	g.Go(func() error {
		_, err := p.caller.Call(ctx, p.callee.Addr(), status("r", 1))
		if !errors.Is(err, ErrUnknown) || !errors.Is(err, context.Canceled) {
			return fmt.Errorf("cancelled call: %w", err)
		}
		return nil
	})
	<-e.started
	cancel()
	if err := g.Wait(); err != nil {
		t.Error(err)
	}
	if err := p.callee.Shutdown(t.Context()); err != nil || p.callee.InFlight() != 0 {
		t.Errorf("the call is still in flight: %v", err)
	}
}

func BenchmarkCall(b *testing.B) {
	p := newPair(b, &echo{}, nil)
	c := status("r", 1)
	for b.Loop() {
		if _, err := p.caller.Call(b.Context(), p.callee.Addr(), c); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkCallParallel(b *testing.B) {
	p := newPair(b, &echo{}, nil)
	b.SetParallelism(16)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := p.caller.Call(b.Context(), p.callee.Addr(), status("r", 1)); err != nil {
				b.Error(err)
				return
			}
		}
	})
}

func BenchmarkForward(b *testing.B) {
	for _, size := range []int{1 << 10, 1 << 20} {
		b.Run(fmt.Sprintf("%dKiB", size>>10), func(b *testing.B) {
			p := newPair(b, &echo{}, nil)
			body := make([]byte, size)
			b.SetBytes(int64(size))
			for b.Loop() {
				a, err := p.forward(b.Context(), "r", "/", bytes.NewReader(body))
				if err != nil {
					b.Fatal(err)
				}
				if n, err := io.Copy(io.Discard, a.Body); err != nil || n != int64(size) {
					b.Fatal(n, err)
				}
				_ = a.Body.Close()
			}
		})
	}
}
