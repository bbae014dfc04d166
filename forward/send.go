package forward

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"persimmonworks.example/persimmonworks/buffer"
	"persimmonworks.example/persimmonworks/gateway"
	"persimmonworks.example/persimmonworks/provider"
	"persimmonworks.example/persimmonworks/relay"
	"persimmonworks.example/persimmonworks/runner"
	"persimmonworks.example/persimmonworks/wire"
)

// hopByHopHeaders are the hop-by-hop headers, which are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// singleUse reuses no connections and returns redirects instead of following them.
var singleUse = &http.Client{
	Transport:     &http.Transport{DisableKeepAlives: true, DisableCompression: true},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// endToEndHeaders returns the headers to forward. It removes hop-by-hop headers and the
// caller's token.
func endToEndHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	out.Del("Authorization")
	out.Del("Content-Length")
	out.Del(gateway.HeaderForwarded)
	return out
}

// send makes one attempt at a request and writes the response, if any, to the caller.
func (f *Forwarder) send(ctx context.Context, w http.ResponseWriter, q *request, g grant) result {
	if g.process != "" {
		return f.sendRemote(ctx, w, q, g)
	}
	h := endToEndHeaders(q.header)
	h.Set(gateway.HeaderRequestID, q.ID)
	out := &outbound{method: q.method, path: q.path, header: h, body: q.reader(), length: q.length, request: q.ID, nonIdempotent: q.nonIdempotent}
	answer, res := f.sendToRunner(ctx, g.runner, out)
	if answer == nil {
		return res
	}
	defer answer.Body.Close()
	return copyAnswer(w, answer.StatusCode, answer.Header, answer.Body, g.runner.ID)
}

// outbound is one request to a runner.
type outbound struct {
	method, path string
	header       http.Header
	body         io.Reader
	length       int64 // -1 when unknown
	request      string
	// nonIdempotent selects a client with which net/http cannot resend the request by
	// itself.
	nonIdempotent bool
}

// sendToRunner sends a request to a runner. It returns the response, whose body the caller
// must close, or nil and the result of the attempt.
func (f *Forwarder) sendToRunner(ctx context.Context, r runner.Runner, o *outbound) (*http.Response, result) {
	var wrote atomic.Bool
	trace := &httptrace.ClientTrace{WroteHeaderField: func(string, []string) { wrote.Store(true) }}
	out, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), o.method, r.Address+o.path, o.body)
	if err != nil {
		return nil, result{outcome: runner.NotRun, reason: "the request cannot be sent: " + err.Error()}
	}
	out.Header, out.ContentLength = o.header, o.length
	if o.length == 0 {
		out.Body = http.NoBody
	}
	out.GetBody = nil // keeps net/http from resending the body by itself
	// Checked just before the send, since a process that was paused may have lost the
	// runner in the meantime.
	if !f.SessionValid(time.Now()) {
		return nil, result{outcome: runner.NotRun, reason: "this process does not own the runner any more", retry: time.Second}
	}
	client := f.RunnerClient
	if o.nonIdempotent {
		client = cmp.Or(f.SingleUseClient, singleUse)
	}
	answer, err := client.Do(out)
	switch {
	case err != nil && !wrote.Load():
		return nil, result{outcome: runner.NotRun, reason: "runner " + r.ID + " cannot be reached: " + err.Error(), retry: time.Second}
	case err != nil && ctx.Err() != nil:
		return nil, result{outcome: runner.GivenUp, reason: "runner " + r.ID + " had not answered when the deadline passed or the caller left"}
	case err != nil:
		return nil, result{outcome: runner.Unknown, reason: "runner " + r.ID + ": " + err.Error()}
	}
	if id := answer.Header.Get(gateway.HeaderRequestID); id != "" && id != o.request {
		answer.Body.Close()
		return nil, result{outcome: runner.Unknown, reason: fmt.Sprintf("runner %s: %v", r.ID, errOtherRequest)}
	}
	if answer.StatusCode == http.StatusServiceUnavailable && answer.Header.Get(provider.OutcomeHeader) == provider.OutcomeNotRun {
		answer.Body.Close()
		return nil, result{outcome: runner.NotRun, reason: "runner " + r.ID + " has no free slot", retry: time.Second}
	}
	return answer, result{}
}

// copyAnswer writes a runner's response to the caller. If the body is truncated the
// result is answered but not OK, so that finish aborts the connection.
func copyAnswer(w http.ResponseWriter, status int, header http.Header, body io.Reader, runnerID string) result {
	h := w.Header()
	for name, values := range endToEndHeaders(header) {
		h[name] = values
	}
	if length := header.Get("Content-Length"); length != "" {
		h.Set("Content-Length", length)
	}
	h.Set(gateway.HeaderRunner, runnerID)
	w.WriteHeader(status)
	outcome := runner.OK
	if status >= http.StatusInternalServerError {
		outcome = runner.Failed
	}
	if err := copyAndFlush(w, body); err != nil {
		return result{outcome: runner.Unknown, reason: "the answer broke off: " + err.Error(), answered: true}
	}
	if outcome == runner.Failed {
		// The caller received the runner's complete error response, so the connection
		// must not be aborted.
		return result{outcome: runner.OK, answered: true}
	}
	return result{outcome: outcome, answered: true}
}

// copyAndFlush copies a body and flushes after each partial read, so that the caller
// receives a slow response as it is produced.
func copyAndFlush(w http.ResponseWriter, body io.Reader) error {
	flusher := http.NewResponseController(w)
	b := buffer.Get()
	defer b.Put()
	for {
		n, err := body.Read(b[:])
		if n > 0 {
			if _, werr := w.Write(b[:n]); werr != nil {
				return werr
			}
			if n < len(b) && err == nil {
				_ = flusher.Flush() // not every writer supports it
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// sendRemote forwards a request to the owner of a runner.
func (f *Forwarder) sendRemote(ctx context.Context, w http.ResponseWriter, q *request, g grant) result {
	call := &wire.Call{Request: q.ID, Body: &wire.Call_Forward{Forward: &wire.Forward{
		Service: q.Service, Organisation: q.Organisation, Class: string(q.Class), Method: q.method, Path: q.path,
		Headers: wireHeaders(endToEndHeaders(q.header)), DeadlineMs: uint64(max(time.Until(q.Deadline).Milliseconds(), 1)),
		NonIdempotent: q.nonIdempotent, Runner: g.target, Length: q.length,
	}}}
	answer, err := f.PeerForwarder.Forward(ctx, g.process, call, q.reader())
	switch {
	case errors.Is(err, relay.ErrNotSent):
		return result{outcome: runner.NotRun, reason: "process " + g.process + " cannot be reached", retry: time.Second}
	case err != nil && ctx.Err() != nil:
		return result{outcome: runner.GivenUp, reason: "no answer when the deadline passed or the caller left"}
	case err != nil:
		return result{outcome: runner.Unknown, reason: "process " + g.process + ": " + err.Error()}
	}
	defer answer.Body.Close()
	if r := answer.Head.GetRefusal(); r != nil {
		return result{outcome: wireOutcome(r), reason: r.Reason, retry: time.Duration(r.RetryAfterMs) * time.Millisecond}
	}
	return copyAnswer(w, int(answer.Head.Status), httpHeaders(answer.Head.Headers), answer.Body, answer.Head.Runner)
}

func wireHeaders(h http.Header) []*wire.Header {
	out := make([]*wire.Header, 0, len(h))
	for name, values := range h {
		out = append(out, &wire.Header{Name: name, Values: values})
	}
	return out
}

func httpHeaders(list []*wire.Header) http.Header {
	h := make(http.Header, len(list))
	for _, x := range list {
		h[http.CanonicalHeaderKey(x.Name)] = x.Values
	}
	return h
}

// ServePeer sends a request that a peer forwarded to a runner that this process owns.
// It does not queue: if no slot is free the request is refused.
func (f *Forwarder) ServePeer(ctx context.Context, c *wire.Call, body io.Reader, w relay.AnswerWriter) error {
	m := c.GetForward()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(m.DeadlineMs)*time.Millisecond)
	defer cancel()
	var r runner.Runner
	ok := false
	err := f.Loop.Do(ctx, func() {
		now := time.Now()
		if !f.SessionValid(now) {
			return
		}
		if r, ok = f.Pool.AcquireByID(m.Runner, now); !ok {
			r, ok = f.Pool.Acquire(m.Service, now, f.Rand)
		}
	})
	if err != nil || !ok {
		return w.Refuse(notRun("no free slot of service "+m.Service+" at process "+f.Process, 100*time.Millisecond))
	}
	begin := time.Now()
	outcome, err := f.serveFromRunner(ctx, r, c, body, w)
	f.Loop.Post(func() {
		now := time.Now()
		f.Pool.Release(r.ID, outcome, now.Sub(begin), now, f.Rand)
		f.grantSlots(m.Service, now)
	})
	return err
}

// serveFromRunner sends a peer's request to a runner and writes the response to the peer.
func (f *Forwarder) serveFromRunner(ctx context.Context, r runner.Runner, c *wire.Call, body io.Reader, w relay.AnswerWriter) (runner.Outcome, error) {
	m := c.GetForward()
	h := httpHeaders(m.Headers)
	h.Set(gateway.HeaderRequestID, c.Request)
	answer, res := f.sendToRunner(ctx, r, &outbound{method: m.Method, path: m.Path, header: h, body: body, length: m.Length, request: c.Request, nonIdempotent: m.NonIdempotent})
	if answer == nil {
		o := wire.Outcome_OUTCOME_UNKNOWN
		if res.outcome == runner.NotRun {
			o = wire.Outcome_OUTCOME_NOT_RUN
		}
		return res.outcome, w.Refuse(&wire.Refusal{Outcome: o, Reason: res.reason, RetryAfterMs: uint64(res.retry.Milliseconds())})
	}
	defer answer.Body.Close()
	headers := endToEndHeaders(answer.Header)
	if length := answer.Header.Get("Content-Length"); length != "" {
		headers.Set("Content-Length", length)
	}
	if err := w.Head(&wire.Head{Request: c.Request, Status: uint32(answer.StatusCode), Headers: wireHeaders(headers), Runner: r.ID}); err != nil {
		return runner.GivenUp, err
	}
	if _, err := buffer.Copy(w, answer.Body); err != nil {
		return runner.Unknown, fmt.Errorf("answer of runner %s to request %s: %w", r.ID, c.Request, err)
	}
	if answer.StatusCode >= http.StatusInternalServerError {
		return runner.Failed, nil
	}
	return runner.OK, nil
}
