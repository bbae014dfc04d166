package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"persimmonworks.example/persimmonworks/admission"
	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/gateway"
	"persimmonworks.example/persimmonworks/pause"
	"persimmonworks.example/persimmonworks/pool"
	"persimmonworks.example/persimmonworks/runner"
	"persimmonworks.example/persimmonworks/wire"
)

// request is a caller's service request.
type request struct {
	admission.Request
	organisation  *pool.Organisation
	key           string
	nonIdempotent bool
	method, path  string
	header        http.Header
	length        int64
	// body holds a body that is small enough to be sent again. A larger body is read
	// from stream and can be sent only once.
	body      []byte
	stream    io.Reader
	began     time.Time
	waited    time.Duration
	streaming bool // stream was passed to a send and may have been read in part
}

var _ http.Handler = (*Forwarder)(nil)

// ServeHTTP serves a service request of a caller that the gateway has authenticated.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q, problem := f.parse(w, r)
	if problem != nil {
		f.Log.Emit(event.BadInput, "path", r.URL.Path, "reason", problem.Reason)
		status := http.StatusUnprocessableEntity
		if problem.Reason == bodyTooLarge {
			status = http.StatusRequestEntityTooLarge
		}
		gateway.WriteProblem(w, status, *problem)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.Deadline)
	defer cancel()
	w.Header().Set(gateway.HeaderRequestID, q.ID)
	if q.nonIdempotent && q.key != "" {
		f.runKeyed(ctx, w, q)
		return
	}
	f.finish(w, q, f.run(ctx, w, q))
}

const bodyTooLarge = "body: larger than the limit"

func (f *Forwarder) parse(w http.ResponseWriter, r *http.Request) (*request, *gateway.Problem) {
	bad := func(format string, args ...any) (*request, *gateway.Problem) {
		return nil, &gateway.Problem{Outcome: gateway.OutcomeNotRun, Reason: fmt.Sprintf(format, args...)}
	}
	service := mux.Vars(r)["service"]
	s := findService(f.Configuration(), service)
	o := gateway.OrganisationOf(r.Context())
	if s == nil || o == nil || (s.Organisation != "" && s.Organisation != o.Name) {
		return bad("service %q is not known to organisation %q", service, organisationName(o))
	}
	q := &request{organisation: o, key: r.Header.Get(gateway.HeaderIdempotencyKey), method: r.Method, header: r.Header, length: r.ContentLength, began: time.Now()}
	q.Service, q.Organisation, q.Class = service, o.Name, s.Class
	q.path = r.URL.Path[len("/v1/services/")+len(service):]
	if r.URL.RawQuery != "" {
		q.path += "?" + r.URL.RawQuery
	}
	for name, values := range r.Header {
		for _, v := range values {
			if len(v) > maxHeaderValue {
				return bad("header %s: %d bytes, limit %d", name, len(v), maxHeaderValue)
			}
		}
	}
	if len(q.key) > pool.MaxNameLength {
		return bad("header %s: %d bytes, limit %d", gateway.HeaderIdempotencyKey, len(q.key), pool.MaxNameLength)
	}
	if name := r.Header.Get(gateway.HeaderClass); name != "" {
		c, err := class.Parse(name)
		if err != nil {
			return bad("header %s: %v", gateway.HeaderClass, err)
		}
		q.Class = c
	}
	if q.Class == "" {
		q.Class = class.Interactive
	}
	switch v := r.Header.Get(gateway.HeaderNonIdempotent); v {
	case "", "false":
	case "true":
		q.nonIdempotent = true
	default:
		return bad("header %s: %q is neither true nor false", gateway.HeaderNonIdempotent, v)
	}
	q.Deadline = q.began.Add(maxDeadline)
	if text := r.Header.Get(gateway.HeaderDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms < 1 || ms > maxDeadline.Milliseconds() {
			return bad("header %s: %q is not a number of milliseconds from 1 to %d", gateway.HeaderDeadline, text, maxDeadline.Milliseconds())
		}
		q.Deadline = q.began.Add(time.Duration(ms) * time.Millisecond)
	}
	q.ID = f.Process + "-" + uuid.NewString()
	return q, f.readBody(w, r, q)
}

func organisationName(o *pool.Organisation) string {
	if o == nil {
		return ""
	}
	return o.Name
}

func findService(c *pool.Configuration, name string) *pool.Service {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}

// readBody buffers a small body for retries. A larger one is streamed.
func (f *Forwarder) readBody(w http.ResponseWriter, r *http.Request, q *request) *gateway.Problem {
	if r.ContentLength > f.MaxBody {
		return &gateway.Problem{Outcome: gateway.OutcomeNotRun, Reason: bodyTooLarge}
	}
	limited := http.MaxBytesReader(w, r.Body, f.MaxBody)
	head, err := io.ReadAll(io.LimitReader(limited, maxBufferedBody+1))
	if err != nil {
		return &gateway.Problem{Outcome: gateway.OutcomeNotRun, Reason: "body: truncated"}
	}
	if len(head) <= maxBufferedBody {
		q.body, q.length = head, int64(len(head))
		return nil
	}
	q.stream = io.MultiReader(bytes.NewReader(head), limited)
	return nil
}

// reader returns the body for one send.
func (q *request) reader() io.Reader {
	if q.stream == nil {
		return bytes.NewReader(q.body)
	}
	q.streaming = true
	return q.stream
}

// result is the outcome of one send or of the whole request.
type result struct {
	outcome  runner.Outcome
	reason   string
	retry    time.Duration
	answered bool // the response header was written to the caller
}

// run sends a request repeatedly until a response is returned or another send is not
// allowed.
func (f *Forwarder) run(ctx context.Context, w http.ResponseWriter, q *request) result {
	var last result
	refusals, retries := 0, 0
	for {
		waitFrom := time.Now()
		g := f.waitForSlot(ctx, q.Request)
		q.waited += time.Since(waitFrom)
		if g.refusal != nil {
			if last.outcome != runner.NotRun && refusals+retries > 0 {
				return last // an earlier send may have run, so not-run would be wrong
			}
			return result{outcome: runner.NotRun, reason: g.refusal.Reason, retry: time.Duration(g.refusal.RetryAfterMs) * time.Millisecond}
		}
		if refusals+retries == 0 {
			f.Loop.Post(f.Budget.AddAttempt)
		}
		begin := time.Now()
		res := f.send(ctx, w, q, g)
		f.release(q.Request, g, res.outcome, time.Since(begin))
		if res.answered || res.outcome == runner.OK {
			return res
		}
		if last.outcome == runner.Unknown && res.outcome == runner.NotRun {
			res.outcome = runner.Unknown
		}
		last = res
		if q.streaming || ctx.Err() != nil {
			return last
		}
		if res.outcome == runner.NotRun {
			if refusals++; refusals > maxRefusals {
				return last
			}
		} else if !f.mayRetry(ctx, q, res.outcome) {
			return last
		} else {
			retries++
		}
		if !pause.For(ctx, f.delay(ctx, refusals+retries)) {
			return last
		}
	}
}

func (f *Forwarder) delay(ctx context.Context, n int) time.Duration {
	var d time.Duration
	_ = f.Loop.Do(ctx, func() { d = runner.RetryDelay(n, f.Rand) }) // on an error the delay is 0 and ctx ends the request
	return d
}

func (f *Forwarder) mayRetry(ctx context.Context, q *request, o runner.Outcome) bool {
	if !runner.RetryAllowed(q.nonIdempotent, o) {
		return false
	}
	allowed := false
	err := f.Loop.Do(ctx, func() { allowed = f.Budget.TakeRetry() })
	return err == nil && allowed
}

// finish reports the ended request to the observer and, if no response was written,
// responds to the caller with the outcome.
func (f *Forwarder) finish(w http.ResponseWriter, q *request, r result) {
	if f.Observer != nil {
		f.Observer.RequestEnded(q.Organisation, q.Class, q.ID, r.outcome.String(), q.waited, time.Since(q.began))
	}
	if r.answered {
		if r.outcome != runner.OK {
			f.Log.Emit(event.RequestUnknown, "request", q.ID, "organisation", q.Organisation, "reason", r.reason)
			panic(http.ErrAbortHandler) // the caller must not take a truncated body for the complete one
		}
		return
	}
	p := gateway.Problem{Reason: r.reason, Request: q.ID, RetryAfterMS: uint64(r.retry.Milliseconds())}
	switch r.outcome {
	case runner.NotRun:
		p.Outcome = gateway.OutcomeNotRun
		f.Log.Emit(event.RequestRefused, "request", q.ID, "organisation", q.Organisation, "reason", r.reason)
		gateway.WriteProblem(w, http.StatusServiceUnavailable, p)
	case runner.Failed:
		p.Outcome = gateway.OutcomeFailed
		gateway.WriteProblem(w, http.StatusBadGateway, p)
	default:
		p.Outcome = gateway.OutcomeUnknown
		f.Log.Emit(event.RequestUnknown, "request", q.ID, "organisation", q.Organisation, "reason", r.reason)
		gateway.WriteProblem(w, http.StatusBadGateway, p)
	}
}

var errOtherRequest = errors.New("the answer is to another request")

func wireOutcome(r *wire.Refusal) runner.Outcome {
	switch r.GetOutcome() {
	case wire.Outcome_OUTCOME_NOT_RUN:
		return runner.NotRun
	case wire.Outcome_OUTCOME_FAILED:
		return runner.Failed
	default:
		return runner.Unknown
	}
}
