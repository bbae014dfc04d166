package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// way is what a proxy does with bytes.
type way int

const (
	pass    way = iota
	delay       // each piece comes later
	silent      // nothing passes, and nothing tells so
	deaf        // answers do not pass
	refused     // new connections are reset
)

var wayNames = [...]string{"pass", "delay", "silence", "answers lost", "reset"}

const (
	pieceBytes = 16 << 10
	delayTime  = 120 * time.Millisecond
	waitPass   = 20 * time.Millisecond
)

// proxy passes connections on to an address on loopback, or does something worse.
type proxy struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	way   way
	conns map[net.Conn]bool
}

func newProxy(to string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("proxy to %s: %w", to, err)
	}
	return &proxy{listener: l, to: to, conns: map[net.Conn]bool{}}, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set changes what happens. Resetting ends the connections that are open.
func (p *proxy) set(w way) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.way = w
	if w == refused {
		p.closeAll()
	}
}

// closeAll needs the lock.
func (p *proxy) closeAll() {
	for c := range p.conns {
		_ = c.Close() // the other side learns it
	}
}

func (p *proxy) current() way {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.way
}

// Run passes connections on until ctx ends.
func (p *proxy) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		p.mu.Lock()
		defer p.mu.Unlock()
		p.closeAll()
		return p.listener.Close()
	})
	for {
		c, err := p.listener.Accept()
		if err != nil {
			break
		}
		group.Go(func() error {
			p.connect(ctx, c)
			return nil
		})
	}
	if err := group.Wait(); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

func (p *proxy) note(open bool, conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		if open {
			p.conns[c] = true
			continue
		}
		delete(p.conns, c)
		_ = c.Close() // it has ended anyway
	}
}

func (p *proxy) connect(ctx context.Context, c net.Conn) {
	if p.current() == refused {
		_ = c.Close() // that is the fault
		return
	}
	dialer := net.Dialer{}
	up, err := dialer.DialContext(ctx, "tcp", p.to)
	if err != nil {
		_ = c.Close() // as if refused
		return
	}
	p.note(true, c, up)
	var group errgroup.Group
	for _, x := range []struct {
		to, from net.Conn
		answers  bool
	}{{up, c, false}, {c, up, true}} {
		group.Go(func() error {
			p.copy(ctx, x.to, x.from, x.answers)
			p.note(false, c, up)
			return nil
		})
	}
	_ = group.Wait() // nothing fails
}

// copy passes pieces on, each in the way that is set when it comes.
func (p *proxy) copy(ctx context.Context, to io.Writer, from io.Reader, answers bool) {
	piece := make([]byte, pieceBytes)
	for {
		n, err := from.Read(piece)
		if err != nil {
			return
		}
		for w := p.current(); ctx.Err() == nil && (w == silent || w == deaf && answers); w = p.current() {
			pause(ctx, waitPass)
		}
		if p.current() == delay {
			pause(ctx, delayTime)
		}
		if _, err := to.Write(piece[:n]); err != nil {
			return
		}
	}
}
