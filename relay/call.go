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

// Answer is the answer to a Forward. If Head holds a refusal, Body is empty. The
// caller must close Body even after reading it to its end.
type Answer struct {
	Head *wire.Head
	Body io.ReadCloser
}

// Call sends c to the process at address and returns its reply, which may hold a
// refusal. The error wraps ErrNotSent or ErrUnknown.
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
	e.markRequestSent()
	e.end(io.EOF)
	return &reply, nil
}

// Forward sends c, whose body must be a wire.Forward, with the body of the request,
// which may be nil, and returns once it has received the head of the answer. It
// reads the request body until the body ends, the answer is complete or ctx ends.
// A Read of that body that is still blocked then must be unblocked by the owner of
// the body. The error wraps ErrNotSent or ErrUnknown. An error while reading the
// body of the answer means that the answer is incomplete.
func (n *Node) Forward(ctx context.Context, address string, c *wire.Call, body io.Reader) (*Answer, error) {
	if c.GetForward() == nil {
		return nil, notSent(address, c.GetRequest(), fmt.Errorf("the call has no Forward body"))
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

// send opens a stream and writes c. On success the caller must call end or abandon.
func (n *Node) send(ctx context.Context, address string, c *wire.Call) (*outgoingCall, error) {
	c.Process, c.Incarnation = n.Process, n.Incarnation
	if size := proto.Size(c); size > n.maxMessage() {
		return nil, notSent(address, c.GetRequest(), fmt.Errorf("the call has %d bytes, more than %d", size, n.maxMessage()))
	}
	s, err := n.openStream(ctx, address)
	if err != nil {
		return nil, notSent(address, c.GetRequest(), err)
	}
	e := &outgoingCall{ctx: ctx, s: s, r: bufio.NewReader(s)}
	e.abandonOnCancel()
	if err := framing.Write(s, c); err != nil {
		e.abandon()
		return nil, afterSend(address, c.GetRequest(), e.cause(err))
	}
	return e, nil
}

// outgoingCall is the caller's side of one stream.
type outgoingCall struct {
	ctx          context.Context
	s            *quic.Stream
	r            *bufio.Reader
	stopWatching func() bool

	mu          sync.Mutex
	requestSent bool // the whole request has been written
	ended       bool
}

// sendBody streams the request body. If the body cannot be read to its end, it
// resets the stream without sending the last chunk.
func (e *outgoingCall) sendBody(body io.Reader) {
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
	e.markRequestSent()
}

// abandonOnCancel abandons the call when its context ends.
func (e *outgoingCall) abandonOnCancel() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopWatching = context.AfterFunc(e.ctx, e.abandon)
}

// markRequestSent records that the whole request has been written.
func (e *outgoingCall) markRequestSent() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requestSent = true
}

// end ends the call. If err is io.EOF, the answer is complete and end tells the
// callee so; any other error cancels both directions of the stream.
func (e *outgoingCall) end(err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended {
		return
	}
	e.ended = true
	e.stopWatching()
	switch {
	case err != io.EOF:
		e.s.CancelRead(codeCancelled)
		e.s.CancelWrite(codeCancelled)
	case e.requestSent:
		_ = e.s.Close()
	default:
		e.s.CancelWrite(codeDone)
	}
}

// abandon ends the call before its answer is complete.
func (e *outgoingCall) abandon() { e.end(context.Canceled) }

// cause returns the cause of the context if it has ended, otherwise err.
func (e *outgoingCall) cause(err error) error {
	if e.ctx.Err() != nil {
		return context.Cause(e.ctx)
	}
	return err
}

// answerBody is the body of an answer.
type answerBody struct {
	*framing.Reader
	e *outgoingCall
}

// Close abandons the call if the body has not been read to its end.
func (b *answerBody) Close() error {
	b.e.abandon()
	return nil
}
