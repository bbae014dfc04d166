package relay

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/quic-go/quic-go"
)

const (
	firstBackOff = 50 * time.Millisecond
	maxBackOff   = 2 * time.Second
	maxAddresses = 1024 // peers that are remembered
)

// peer is the connection to one address. Holding turn gives the right to
// change the fields below it.
type peer struct {
	turn chan struct{} // of capacity 1

	conn     *quic.Conn
	failures int
	notUntil time.Time
	cause    error
}

// peer returns the record of the address.
func (n *Node) peer(address string) (*peer, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed || !n.running {
		return nil, fmt.Errorf("the relay of process %q is not running", n.Process)
	}
	p := n.peers[address]
	if p == nil {
		if len(n.peers) >= maxAddresses {
			n.forgetIdle()
		}
		p = &peer{turn: make(chan struct{}, 1)}
		n.peers[address] = p
	}
	return p, nil
}

// forgetIdle drops the records that have no live connection.
func (n *Node) forgetIdle() {
	for a, p := range n.peers {
		select {
		case p.turn <- struct{}{}:
			if !p.alive() {
				delete(n.peers, a)
			}
			<-p.turn
		default:
		}
	}
}

func (p *peer) alive() bool { return p.conn != nil && p.conn.Context().Err() == nil }

// open returns a new stream to the address, dialling if there is no
// connection. No byte of a call has been sent when it fails.
func (n *Node) open(ctx context.Context, address string) (*quic.Stream, error) {
	p, err := n.peer(address)
	if err != nil {
		return nil, err
	}
	c, err := n.connection(ctx, p, address)
	if err != nil {
		return nil, err
	}
	return c.OpenStreamSync(ctx)
}

func (n *Node) connection(ctx context.Context, p *peer, address string) (*quic.Conn, error) {
	select {
	case p.turn <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-p.turn }()
	if p.alive() {
		return p.conn, nil
	}
	if wait := time.Until(p.notUntil); wait > 0 {
		return nil, fmt.Errorf("next dial in %v after %d failures: %w", wait.Round(time.Millisecond), p.failures, p.cause)
	}
	c, err := n.dial(ctx, address)
	if err != nil {
		if ctx.Err() == nil {
			p.fail(err)
		}
		return nil, err
	}
	p.conn, p.failures = c, 0
	return c, nil
}

// fail sets the time before which the peer is not dialled again, with full
// jitter above half of the exponential step.
func (p *peer) fail(cause error) {
	step := min(maxBackOff, firstBackOff<<min(p.failures, 10))
	p.failures++
	p.notUntil = time.Now().Add(step/2 + rand.N(step/2))
	p.cause = cause
}

// dial connects and waits for the greeting, which shows that the peer has
// accepted this process's certificate.
func (n *Node) dial(ctx context.Context, address string) (*quic.Conn, error) {
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("peer address: %w; give an IP address and port", err)
	}
	ctx, cancel := context.WithTimeout(ctx, n.idle())
	defer cancel()
	t, err := n.Keys.ClientTLS(ap.Addr().Unmap().String(), protocol)
	if err != nil {
		return nil, err
	}
	c, err := n.transport.Dial(ctx, net.UDPAddrFromAddrPort(ap), t, n.config())
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	if err := greeted(ctx, c); err != nil {
		_ = c.CloseWithError(closeLeaving, "no greeting")
		return nil, fmt.Errorf("greeting: %w", err)
	}
	return c, nil
}

func greeted(ctx context.Context, c *quic.Conn) error {
	s, err := c.AcceptUniStream(ctx)
	if err != nil {
		return err
	}
	if deadline, ok := ctx.Deadline(); ok {
		_ = s.SetReadDeadline(deadline)
	}
	var b [1]byte
	if _, err := io.ReadFull(s, b[:]); err != nil {
		return err
	}
	if b[0] != greeting {
		return fmt.Errorf("%w: greeting %q", ErrMalformed, b[0])
	}
	return nil
}

// closeConnections tells every peer that the node leaves. The node is closed
// already, so no other dial starts.
func (n *Node) closeConnections() {
	n.mu.Lock()
	for c := range n.accepted {
		_ = c.CloseWithError(closeLeaving, "leaving")
	}
	all := make([]*peer, 0, len(n.peers))
	for _, p := range n.peers {
		all = append(all, p)
	}
	n.mu.Unlock()
	for _, p := range all {
		select {
		case p.turn <- struct{}{}:
			if p.conn != nil {
				_ = p.conn.CloseWithError(closeLeaving, "leaving")
			}
			<-p.turn
		default: // a dial is under way; closing the transport ends it
		}
	}
}
