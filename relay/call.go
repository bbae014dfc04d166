package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"sync"

	"github.com/quic-go/quic-go"
	"google.golang.org/protobuf/proto"

	"persimmonworks.example/persimmonworks/buffer"
	"persimmonworks.example/persimmonworks/framing"
	"persimmonworks.example/persimmonworks/wire"
)

// Answer is the answer to a Forward. When Head holds a refusal the body is
// empty. The body must be closed, also after it was read to its end.
type Answer struct {
	Head *wire.Head
	Body io.ReadCloser
}

// Call sends c to the process at address and returns its reply, which may
// hold a refusal. The error wraps ErrNotSent or ErrUnknown.
func (n *Node) Call(ctx context.Context, address string, c *wire.Call) (*wire.Reply, error) {
	e, err := n.send(ctx, address, c)
	if err != nil {
		return nil, err
	}
	var reply wire.Reply
	if err := framing.Read(e.r, &reply, n.maxMessage()); err != nil {
		e.abandon()
		return nil, afterSend(address, c.GetRequest(), e.cause(framing.NoEOF(err)))
	}
	if reply.GetRequest() != c.GetRequest() {
		e.abandon()
		return nil, afterSend(address, c.GetRequest(), fmt.Errorf("%w: the answer is for request %q", ErrMalformed, reply.GetRequest()))
	}
	e.sent()
	e.end(io.EOF)
	return &reply, nil
}

// Forward sends c, whose body is a wire.Forward, with the request's body, nil
// for none, and returns when the head of the answer has come. The request's
// body is read until it ends, the answer is complete, or ctx ends; a Read that
// is blocked by then has to be ended by the owner of the body. The error wraps
// ErrNotSent or ErrUnknown; errors of the answer's body mean that the answer
// is not whole.
func (n *Node) Forward(ctx context.Context, address string, c *wire.Call, body io.Reader) (*Answer, error) {
	if c.GetForward() == nil {
		return nil, notSent(address, c.GetRequest(), fmt.Errorf("the call holds no forward"))
	}
	e, err := n.send(ctx, address, c)
	if err != nil {
		return nil, err
	}
	if !n.start(func() { e.sendBody(body) }) {
		e.abandon()
		return nil, afterSend(address, c.GetRequest(), fmt.Errorf("the relay of process %q has stopped", n.Process))
	}
	var head wire.Head
	if err := framing.Read(e.r, &head, n.maxMessage()); err != nil {
		e.abandon()
		return nil, afterSend(address, c.GetRequest(), e.cause(framing.NoEOF(err)))
	}
	if head.GetRequest() != c.GetRequest() {
		e.abandon()
		return nil, afterSend(address, c.GetRequest(), fmt.Errorf("%w: the answer is for request %q", ErrMalformed, head.GetRequest()))
	}
	if head.GetRefusal() != nil {
		e.end(io.EOF)
		return &Answer{&head, io.NopCloser(eofReader{})}, nil
	}
	return &Answer{&head, &answerBody{framing.NewReader(e.r, e.end), e}}, nil
}

type eofReader struct{}

// Read implements io.Reader.
func (eofReader) Read([]byte) (int, error) { return 0, io.EOF }

// send opens a stream and writes c. On success the exchange has to be ended
// or abandoned.
func (n *Node) send(ctx context.Context, address string, c *wire.Call) (*exchange, error) {
	c.Process, c.Incarnation = n.Process, n.Incarnation
	if size := proto.Size(c); size > n.maxMessage() {
		return nil, notSent(address, c.GetRequest(), fmt.Errorf("the call has %d bytes, more than %d", size, n.maxMessage()))
	}
	s, err := n.open(ctx, address)
	if err != nil {
		return nil, notSent(address, c.GetRequest(), err)
	}
	e := &exchange{ctx: ctx, s: s, r: bufio.NewReader(s)}
	e.watch()
	if err := framing.Write(s, c); err != nil {
		e.abandon()
		return nil, afterSend(address, c.GetRequest(), e.cause(err))
	}
	return e, nil
}

// exchange is the caller's side of one stream.
type exchange struct {
	ctx  context.Context
	s    *quic.Stream
	r    *bufio.Reader
	stop func() bool

	mu       sync.Mutex
	complete bool // the whole request has been written
	ended    bool
}

// sendBody streams the request's body. A body that cannot be read to its end
// is cut off without its last chunk.
func (e *exchange) sendBody(body io.Reader) {
	w := framing.NewWriter(e.s)
	if body != nil {
		if _, err := buffer.Copy(w, body); err != nil {
			e.s.CancelWrite(codeAborted)
			return
		}
	}
	if err := w.Finish(); err != nil {
		e.s.CancelWrite(codeAborted)
		return
	}
	e.sent()
}

// watch gives up on the answer when the context ends.
func (e *exchange) watch() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stop = context.AfterFunc(e.ctx, e.abandon)
}

// sent notes that the whole request has been written.
func (e *exchange) sent() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.complete = true
}

// end tells the callee that the answer is whole, or gives up if err says that
// it is not.
func (e *exchange) end(err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended {
		return
	}
	e.ended = true
	e.stop()
	switch {
	case err != io.EOF:
		e.s.CancelRead(codeGivenUp)
		e.s.CancelWrite(codeGivenUp)
	case e.complete:
		_ = e.s.Close()
	default:
		e.s.CancelWrite(codeDone)
	}
}

// abandon gives up on the answer.
func (e *exchange) abandon() { e.end(context.Canceled) }

// cause prefers the reason of the context over that of the stream.
func (e *exchange) cause(err error) error {
	if e.ctx.Err() != nil {
		return context.Cause(e.ctx)
	}
	return err
}

// answerBody is the body of an answer.
type answerBody struct {
	*framing.Reader
	e *exchange
}

// Close gives up on what has not been read.
func (b *answerBody) Close() error {
	b.e.abandon()
	return nil
}
