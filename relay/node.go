// Package relay implements the protocol between entry processes: calls and
// streamed requests over QUIC with mutual TLS.
//
// A Node both listens and dials on one UDP socket. It keeps one connection to each
// peer that it calls and dials it on demand. After a failed dial it does not dial
// again until a back-off with jitter has passed. Every call has its own stream,
// which starts with a wire.Call. The callee answers with a wire.Reply or, for
// wire.Forward, both sides stream wire.Chunk messages. The last Chunk carries the
// length and checksum of the whole body, so that the reader of a truncated or
// corrupted body gets an error and never takes it for a complete one.
//
// Errors are classified by what may have happened at the peer:
//
//   - ErrNotSent: the peer has certainly not acted on the call;
//   - ErrUnknown: something was sent, and the peer may have acted on it.
//
// A callee sends a greeting on every connection that it accepts, and a caller sends
// nothing before it has received the greeting, so a rejected certificate results in
// ErrNotSent. A caller closes its side of the stream only after it has received the
// whole answer, and until then the callee counts the call as in flight; Shutdown
// therefore does not truncate an answer that is still being transferred. The receive
// window of a connection is as large as those of all its streams together, so
// bodies that are not read do not block other calls.
//
// Usage:
//
//	n := &relay.Node{Process: "entry-1", Incarnation: 3, Address: "10.0.0.1:7100",
//		Keys: store, Handler: h, Forwarder: f}
//	group.Go(func() error { return n.Run(ctx) })
//	reply, err := n.Call(ctx, "10.0.0.2:7100", &wire.Call{Request: id, Body: body})
package relay

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"golang.org/x/sync/errgroup"

	"persimmonworks.example/persimmonworks/keys"
	"persimmonworks.example/persimmonworks/wire"
)

const (
	protocol = "persimmonworks/1" // ALPN

	defaultMaxMessage = 4 << 20 // bytes
	defaultMaxStreams = 256     // concurrent calls from one peer
	defaultMaxPeers   = 64      // accepted connections
	defaultIdle       = 3 * time.Second

	streamWindow = 256 << 10 // bytes; allows 180 MB/s at a round-trip time of 1.4 ms
)

// Keys provides the TLS configuration for both sides of a connection.
type Keys interface {
	ServerTLS(protocols ...string) *tls.Config
	ClientTLS(server string, protocols ...string) (*tls.Config, error)
}

// Handler answers all calls of peers except Forward. The context ends when the
// caller cancels the call or its connection is lost.
type Handler interface {
	Handle(ctx context.Context, peer string, c *wire.Call) *wire.Reply
}

// Forwarder executes the Forward calls of peers. It reads the request body and
// either refuses the call or sends a head followed by the body of the answer. An
// error returned after the head aborts the answer, so that the caller does not take
// what it received for the whole answer. An error returned before the head becomes
// a refusal: not-run if it wraps ErrNotSent, otherwise unknown.
type Forwarder interface {
	Forward(ctx context.Context, peer string, c *wire.Call, body io.Reader, w AnswerWriter) error
}

// AnswerWriter writes the answer to a Forward: either one Refuse, or one Head and
// any number of Writes, which block while the caller does not read.
type AnswerWriter interface {
	Refuse(r *wire.Refusal) error
	Head(h *wire.Head) error
	io.Writer
}

var (
	_ Keys         = (*keys.Store)(nil)
	_ AnswerWriter = (*answerWriter)(nil)
)

// Node is one endpoint of the protocol. Its exported fields must be set before
// Listen or Run.
type Node struct {
	// Process is the name of this process, as in its certificate.
	Process string
	// Incarnation is the start number of this process.
	Incarnation uint64
	// Address is the IP address and UDP port to listen on.
	Address string
	Keys    Keys
	// Handler and Forwarder serve the calls of peers. Calls for which the field is
	// nil are refused.
	Handler   Handler
	Forwarder Forwarder
	// MaxMessage limits the size of a message in bytes; 0 means 4 MiB.
	MaxMessage int
	// MaxStreams limits the concurrent calls from one peer; 0 means 256.
	MaxStreams int
	// MaxPeers limits the accepted connections; 0 means 64.
	MaxPeers int
	// Idle is the time without packets after which a connection is lost; 0 means 3 s.
	Idle time.Duration

	mu        sync.Mutex
	transport *quic.Transport
	listener  *quic.Listener
	group     errgroup.Group
	running   bool
	closed    bool
	draining  bool
	accepted  map[*quic.Conn]struct{} // connections from peers
	inFlight  int                     // calls from peers
	drained   chan struct{}           // closed once draining is set and inFlight is 0
	peers     map[string]*peer
}

// Listen opens the socket, so that Addr is available before Run. Run calls Listen
// if it has not been called.
func (n *Node) Listen() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.transport != nil {
		return nil
	}
	address, err := netip.ParseAddrPort(n.Address)
	if err != nil {
		return fmt.Errorf("relay address %q of process %q: %w; give an IP address and port", n.Address, n.Process, err)
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return fmt.Errorf("relay of process %q: %w", n.Process, err)
	}
	n.transport = &quic.Transport{Conn: socket}
	n.listener, err = n.transport.Listen(n.Keys.ServerTLS(protocol), n.config())
	if err != nil {
		_ = socket.Close()
		n.transport = nil
		return fmt.Errorf("relay of process %q at %s: %w", n.Process, n.Address, err)
	}
	n.peers = make(map[string]*peer)
	n.accepted = make(map[*quic.Conn]struct{})
	n.drained = make(chan struct{})
	return nil
}

// Addr returns the address on which the node listens, or "" before Listen.
func (n *Node) Addr() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listener == nil {
		return ""
	}
	return n.listener.Addr().String()
}

// Run serves peers until ctx ends, then closes every connection. It returns
// an error if the socket cannot be opened or fails.
func (n *Node) Run(ctx context.Context) error {
	if err := n.Listen(); err != nil {
		return err
	}
	n.mu.Lock()
	if n.running {
		n.mu.Unlock()
		return fmt.Errorf("relay of process %q is already running", n.Process)
	}
	n.running = true
	n.mu.Unlock()

	err := n.accept(ctx)
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	_ = n.listener.Close()
	n.closeConnections()
	_ = n.transport.Close()
	_ = n.transport.Conn.Close()
	_ = n.group.Wait()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// Shutdown refuses new calls of peers as not-run. It waits until every call in
// flight has been answered and its caller has received the answer, or ctx ends.
// Calls made by this node continue until the context of Run ends.
func (n *Node) Shutdown(ctx context.Context) error {
	n.mu.Lock()
	if n.drained == nil {
		n.mu.Unlock()
		return nil
	}
	if !n.draining {
		n.draining = true
		if n.inFlight == 0 {
			close(n.drained)
		}
	}
	left := n.inFlight
	n.mu.Unlock()
	select {
	case <-n.drained:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("relay of process %q: shutdown with %d calls in flight at its start: %w", n.Process, left, ctx.Err())
	}
}

// InFlight returns the number of calls from peers that are in progress.
func (n *Node) InFlight() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.inFlight
}

func (n *Node) config() *quic.Config {
	streams := uint64(orDefault(n.MaxStreams, defaultMaxStreams))
	idle := n.idle()
	return &quic.Config{
		HandshakeIdleTimeout:           idle,
		MaxIdleTimeout:                 idle,
		KeepAlivePeriod:                idle / 3,
		MaxIncomingStreams:             int64(streams),
		MaxIncomingUniStreams:          1, // the greeting
		InitialStreamReceiveWindow:     streamWindow,
		MaxStreamReceiveWindow:         streamWindow,
		InitialConnectionReceiveWindow: streamWindow * streams,
		MaxConnectionReceiveWindow:     streamWindow * streams,
	}
}

func (n *Node) idle() time.Duration { return orDefault(n.Idle, defaultIdle) }

func (n *Node) maxMessage() int { return orDefault(n.MaxMessage, defaultMaxMessage) }

func orDefault[T int | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}

// start runs f in a goroutine of the node's group. It returns false if the node is
// not running.
func (n *Node) start(f func()) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed || !n.running {
		return false
	}
	n.group.Go(func() error { f(); return nil })
	return true
}
