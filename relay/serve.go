package relay

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/quic-go/quic-go"
	"google.golang.org/protobuf/proto"

	"persimmonworks.example/persimmonworks/framing"
	"persimmonworks.example/persimmonworks/keys"
	"persimmonworks.example/persimmonworks/wire"
)

// greeting is the byte that a callee sends on a separate stream once it has
// accepted the certificate of the caller.
const greeting = 'p'

func (n *Node) accept(ctx context.Context) error {
	for {
		c, err := n.listener.Accept(ctx)
		if err != nil {
			return err
		}
		if !n.start(func() { n.serveConnection(c) }) {
			return nil
		}
	}
}

func (n *Node) serveConnection(c *quic.Conn) {
	name, err := keys.PeerName(c.ConnectionState().TLS)
	if err != nil {
		_ = c.CloseWithError(closeRejected, "certificate without a process name")
		return
	}
	if !n.admitConnection(c) {
		_ = c.CloseWithError(closeRejected, "too many connections")
		return
	}
	defer n.releaseConnection(c)
	if err := sendGreeting(c); err != nil {
		_ = c.CloseWithError(closeRejected, "greeting failed")
		return
	}
	for {
		s, err := c.AcceptStream(c.Context())
		if err != nil {
			return
		}
		if !n.start(func() { n.serveStream(name, s) }) {
			return
		}
	}
}

func sendGreeting(c *quic.Conn) error {
	s, err := c.OpenUniStream()
	if err != nil {
		return err
	}
	if _, err := s.Write([]byte{greeting}); err != nil {
		return err
	}
	return s.Close()
}

func (n *Node) admitConnection(c *quic.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed || len(n.accepted) >= orDefault(n.MaxPeers, defaultMaxPeers) {
		return false
	}
	n.accepted[c] = struct{}{}
	return true
}

func (n *Node) releaseConnection(c *quic.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.accepted, c)
}

// beginCall counts a call as in flight. It returns false during a shutdown.
func (n *Node) beginCall() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.draining {
		return false
	}
	n.inFlight++
	return true
}

func (n *Node) endCall() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.inFlight--
	if n.draining && n.inFlight == 0 {
		close(n.drained)
	}
}

func (n *Node) serveStream(name string, s *quic.Stream) {
	admitted := n.beginCall()
	if admitted {
		defer n.endCall()
	}
	_ = s.SetReadDeadline(time.Now().Add(n.idle()))
	r := bufio.NewReader(s)
	var c wire.Call
	if err := framing.Read(r, &c, n.maxMessage()); err != nil {
		s.CancelRead(codeNotRun)
		s.CancelWrite(codeNotRun)
		return
	}
	_ = s.SetReadDeadline(time.Time{})
	refusal := n.checkCall(name, &c, admitted)
	if c.GetForward() != nil {
		n.serveForward(name, &c, refusal, r, s)
	} else {
		n.serveCall(name, &c, refusal, s)
	}
	n.waitForCaller(r, s)
}

// checkCall returns the refusal of a call that must not be served, or nil.
func (n *Node) checkCall(name string, c *wire.Call, admitted bool) *wire.Refusal {
	reason := ""
	switch {
	case c.GetProcess() != name:
		reason = fmt.Sprintf("call names process %q, the certificate %q", c.GetProcess(), name)
	case c.GetBody() == nil:
		reason = "call without a body that this version knows"
	case !admitted:
		reason = fmt.Sprintf("process %q is shutting down", n.Process)
	case c.GetForward() != nil && n.Forwarder == nil, c.GetForward() == nil && n.Handler == nil:
		reason = fmt.Sprintf("process %q does not serve this call", n.Process)
	default:
		return nil
	}
	return &wire.Refusal{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Reason: reason}
}

func (n *Node) serveCall(name string, c *wire.Call, refusal *wire.Refusal, s *quic.Stream) {
	reply := &wire.Reply{Refusal: refusal}
	if refusal == nil {
		if reply = n.Handler.Handle(s.Context(), name, c); reply == nil {
			reply = &wire.Reply{Refusal: unknownOutcome("the handler gave no reply")}
		}
	}
	reply.Request = c.GetRequest()
	if proto.Size(reply) > n.maxMessage() {
		reply = &wire.Reply{Request: c.GetRequest(), Refusal: unknownOutcome("the reply is larger than a message may be")}
	}
	finish(s, framing.Write(s, reply))
}

func (n *Node) serveForward(name string, c *wire.Call, refusal *wire.Refusal, r *bufio.Reader, s *quic.Stream) {
	w := &answerWriter{s: s, request: c.GetRequest(), limit: n.maxMessage()}
	if refusal != nil {
		finish(s, w.Refuse(refusal))
		return
	}
	err := n.Forwarder.Forward(s.Context(), name, c, framing.NewReader(r, nil), w)
	finish(s, w.end(err))
}

// finish closes the answer, or resets the stream if the answer cannot be completed.
func finish(s *quic.Stream, err error) {
	if err != nil {
		s.CancelWrite(codeAborted)
		return
	}
	_ = s.Close()
}

// waitForCaller waits until the caller has closed its side of the stream, which it
// does once it has received the whole answer.
func (n *Node) waitForCaller(r io.Reader, s *quic.Stream) {
	_ = s.SetReadDeadline(time.Now().Add(n.idle()))
	_, _ = io.Copy(io.Discard, r)
	s.CancelRead(codeDone)
}

func unknownOutcome(reason string) *wire.Refusal {
	return &wire.Refusal{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Reason: reason}
}

// answerWriter writes the answer to one Forward.
type answerWriter struct {
	s       io.Writer
	request string
	limit   int
	refused bool
	body    *framing.Writer // set by Head
}

// Refuse implements AnswerWriter.
func (w *answerWriter) Refuse(r *wire.Refusal) error {
	if w.refused || w.body != nil {
		return fmt.Errorf("answer to %q: refusal after the answer was started", w.request)
	}
	w.refused = true
	return framing.Write(w.s, &wire.Head{Request: w.request, Refusal: r})
}

// Head implements AnswerWriter.
func (w *answerWriter) Head(h *wire.Head) error {
	if w.refused || w.body != nil {
		return fmt.Errorf("answer to %q: second head", w.request)
	}
	h.Request, h.Refusal = w.request, nil
	if size := proto.Size(h); size > w.limit {
		return fmt.Errorf("answer to %q: head has %d bytes, more than %d", w.request, size, w.limit)
	}
	if err := framing.Write(w.s, h); err != nil {
		return err
	}
	w.body = framing.NewWriter(w.s)
	return nil
}

// Write implements AnswerWriter.
func (w *answerWriter) Write(p []byte) (int, error) {
	if w.body == nil {
		return 0, fmt.Errorf("answer to %q: body before its head", w.request)
	}
	return w.body.Write(p)
}

// end completes the answer after the Forwarder has returned err.
func (w *answerWriter) end(err error) error {
	switch {
	case w.refused:
		return nil
	case w.body != nil && err != nil:
		return err
	case w.body != nil:
		return w.body.Finish()
	case errors.Is(err, ErrNotSent):
		return w.Refuse(&wire.Refusal{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Reason: err.Error()})
	case err != nil:
		return w.Refuse(unknownOutcome(err.Error()))
	default:
		return w.Refuse(unknownOutcome("the forwarder gave no answer"))
	}
}
