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
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
	maxPeerRecords = 1024 // at this number, records without a connection are deleted
)

// peer is the connection to one address. sem guards the fields below it; it is a
// channel so that waiting for it can be cancelled by a context.
type peer struct {
	sem chan struct{} // capacity 1

	conn      *quic.Conn
	failures  int
	nextDial  time.Time
	lastError error
}

// peer returns the record of the address and creates it if there is none.
func (n *Node) peer(address string) (*peer, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed || !n.running {
		return nil, fmt.Errorf("the relay of process %q is not running", n.Process)
	}
	p := n.peers[address]
	if p == nil {
		if len(n.peers) >= maxPeerRecords {
			n.deleteDisconnected()
		}
		p = &peer{sem: make(chan struct{}, 1)}
		n.peers[address] = p
	}
	return p, nil
}

// deleteDisconnected deletes the records without a live connection. It skips those
// in use.
func (n *Node) deleteDisconnected() {
	for a, p := range n.peers {
		select {
		case p.sem <- struct{}{}:
			if !p.alive() {
				delete(n.peers, a)
			}
			<-p.sem
		default:
		}
	}
}

func (p *peer) alive() bool { return p.conn != nil && p.conn.Context().Err() == nil }

// openStream opens a stream to the address and dials if there is no connection. If
// it fails, no byte of a call has been sent.
func (n *Node) openStream(ctx context.Context, address string) (*quic.Stream, error) {
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
	case p.sem <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-p.sem }()
	if p.alive() {
		return p.conn, nil
	}
	if wait := time.Until(p.nextDial); wait > 0 {
		return nil, fmt.Errorf("next dial in %v after %d failures: %w", wait.Round(time.Millisecond), p.failures, p.lastError)
	}
	c, err := n.dial(ctx, address)
	if err != nil {
		if ctx.Err() == nil {
			p.recordFailure(err)
		}
		return nil, err
	}
	p.conn, p.failures = c, 0
	return c, nil
}

// recordFailure sets the earliest time of the next dial, after an exponentially
// growing back-off. Jitter places it in the upper half of the step.
func (p *peer) recordFailure(cause error) {
	step := min(maxBackoff, initialBackoff<<min(p.failures, 10))
	p.failures++
	p.nextDial = time.Now().Add(step/2 + rand.N(step/2))
	p.lastError = cause
}

// dial connects and waits for the greeting, which shows that the peer has accepted
// the certificate of this process.
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
	if err := receiveGreeting(ctx, c); err != nil {
		_ = c.CloseWithError(closeLeaving, "no greeting")
		return nil, fmt.Errorf("greeting: %w", err)
	}
	return c, nil
}

func receiveGreeting(ctx context.Context, c *quic.Conn) error {
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

// closeConnections closes all connections to peers. The node is already marked as
// closed, so no new dial starts.
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
		case p.sem <- struct{}{}:
			if p.conn != nil {
				_ = p.conn.CloseWithError(closeLeaving, "leaving")
			}
			<-p.sem
		default: // a dial is in progress; closing the transport aborts it
		}
	}
}
