// Package forward carries service requests to runners.
//
// A request waits at the entry process that accepted it (late binding) until a
// slot is free, either on a runner in the process's own racks, whose slots it counts
// exactly, or on a runner that a peer advertises. In the second case the request is
// forwarded to the peer. The process that owns the runner decides: a request that it
// refuses as not-run is queued again.
//
// # Invariants
//
//   - not-run is returned only if no byte of the request was sent to a runner.
//   - A non-idempotent request is sent at most once. With an idempotency key a
//     durable intent is written before the send, and a repeated key gets the first
//     outcome.
//   - A truncated response aborts the caller's connection; it never looks like a
//     complete one. A response to another request is never returned.
//   - Retries are at most a tenth of first attempts.
//
// Usage:
//
//	f := &forward.Forwarder{Process: "e1", DataCentre: "dc1", Loop: loop, Gate: gate, Pool: pool, PeerRunners: dir, PeerForwarder: node}
//	group.Go(func() error { return f.Run(ctx) })
//	http.Handle("/v1/services/", f)
package forward

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"persimmonworks.example/persimmonworks/admission"
	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/control"
	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/pool"
	"persimmonworks.example/persimmonworks/provider"
	"persimmonworks.example/persimmonworks/relay"
	"persimmonworks.example/persimmonworks/runner"
	"persimmonworks.example/persimmonworks/wire"
)

// PeerForwarder forwards a call to another process.
type PeerForwarder interface {
	Forward(ctx context.Context, process string, c *wire.Call, body io.Reader) (*relay.Answer, error)
}

// Observer is notified of every request that ends.
type Observer interface {
	RequestEnded(organisation string, c class.Class, request, outcome string, waited, total time.Duration)
}

const (
	expireInterval  = 20 * time.Millisecond
	maxRefusals     = 8        // not-run refusals of a request before its caller is refused
	maxBufferedBody = 64 << 10 // larger bodies are streamed and cannot be sent again
	maxHeaderValue  = 4 << 10
	maxDeadline     = 10 * time.Minute
)

// Forwarder serves service requests of callers and of peers. Exported fields must be
// set before Run is called. Gate, Pool, PeerRunners and Budget are accessed only on the
// control loop.
type Forwarder struct {
	Process       string
	DataCentre    string
	Loop          *control.Loop
	Gate          *admission.Controller
	Pool          *runner.Pool
	PeerRunners   *runner.Directory
	Budget        *runner.RetryBudget
	PeerForwarder PeerForwarder
	// RunnerClient is the client for requests to runners. Its transport keeps connections
	// open.
	RunnerClient *http.Client
	// SingleUseClient is the client for non-idempotent requests; if nil, singleUse is used.
	// Its transport must not reuse connections, since net/http may resend a request
	// by itself when a reused connection is closed.
	SingleUseClient *http.Client
	Table           provider.Table
	// PlatformReachable reports whether the platform is reachable, so that intents
	// can be stored.
	PlatformReachable func() bool
	// Configuration returns the configuration in force.
	Configuration func() *pool.Configuration
	// SessionValid reports whether this process may use the runners that it owns.
	SessionValid func(now time.Time) bool
	Log          event.Emitter
	Observer     Observer
	Rand         *rand.Rand
	MaxBody      int64

	waiting map[string]*waiter // by request ID; accessed only on the control loop
}

// waiter is a queued request that waits for a slot.
type waiter struct {
	service string
	grant   chan grant
}

// grant is the result of waiting for a slot: a slot or a refusal.
type grant struct {
	runner  runner.Runner // set if process is "": a runner of this process
	process string        // peer to forward to
	target  string        // runner of that peer
	refusal *wire.Refusal
}

// Run periodically refuses queued requests whose deadline cannot be met and grants
// free slots, until ctx ends.
func (f *Forwarder) Run(ctx context.Context) error {
	return f.Loop.Every(ctx, expireInterval, func() {
		now := time.Now()
		for _, r := range f.Gate.Expire(now, f.Rand) {
			f.resolve(r.Request.ID, grant{refusal: notRun(r.Reason, r.RetryAfter)})
		}
		f.grantAllSlots(now)
	})
}

func notRun(reason string, retry time.Duration) *wire.Refusal {
	return &wire.Refusal{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Reason: reason, RetryAfterMs: uint64(retry.Milliseconds())}
}

func (f *Forwarder) resolve(id string, g grant) {
	if w, ok := f.waiting[id]; ok {
		delete(f.waiting, id)
		w.grant <- g
	}
}

func (f *Forwarder) grantAllSlots(now time.Time) {
	seen := map[string]bool{}
	for _, w := range f.waiting {
		if !seen[w.service] {
			seen[w.service] = true
			f.grantSlots(w.service, now)
		}
	}
}

// grantSlots grants free slots to queued requests of a service. It runs on the control
// loop.
func (f *Forwarder) grantSlots(service string, now time.Time) {
	for f.Gate.Waiting(service) > 0 {
		g, ok := f.acquireSlot(service, now)
		if !ok {
			return
		}
		r, ok := f.Gate.Next(service, now)
		if !ok {
			f.releaseSlot(g, now)
			return
		}
		if _, waits := f.waiting[r.ID]; !waits {
			f.Gate.Done(r.ID, 0, false, now)
			f.releaseSlot(g, now)
			continue
		}
		f.resolve(r.ID, g)
	}
}

// acquireSlot acquires a slot, preferably on a runner of this process.
func (f *Forwarder) acquireSlot(service string, now time.Time) (grant, bool) {
	if f.SessionValid(now) {
		if r, ok := f.Pool.Acquire(service, now, f.Rand); ok {
			return grant{runner: r}, true
		}
	}
	if p, r, ok := f.PeerRunners.Choose(service, f.DataCentre, now, f.Rand); ok {
		return grant{process: p, target: r}, true
	}
	return grant{}, false
}

func (f *Forwarder) releaseSlot(g grant, now time.Time) {
	if g.process == "" {
		f.Pool.Release(g.runner.ID, runner.GivenUp, 0, now, f.Rand)
		return
	}
	f.PeerRunners.Release(g.process, g.target)
}

// waitForSlot queues a request and waits for a slot until ctx ends.
func (f *Forwarder) waitForSlot(ctx context.Context, r admission.Request) grant {
	w := &waiter{service: r.Service, grant: make(chan grant, 1)}
	err := f.Loop.Do(ctx, func() {
		if f.waiting == nil {
			f.waiting = map[string]*waiter{}
		}
		now := time.Now()
		d := f.Gate.Offer(r, now, f.Rand)
		if !d.Queued {
			w.grant <- grant{refusal: notRun(d.Reason, d.RetryAfter)}
			return
		}
		f.waiting[r.ID] = w
		f.grantSlots(r.Service, now)
	})
	if err != nil {
		return grant{refusal: notRun("the process is busy or stopping", time.Second)}
	}
	select {
	case g := <-w.grant:
		return g
	case <-ctx.Done():
		f.cancelWait(r, w)
		return grant{refusal: notRun("the caller stopped waiting", 0)}
	}
}

// cancelWait removes a request from the queue, or releases its slot if one was granted
// concurrently.
func (f *Forwarder) cancelWait(r admission.Request, w *waiter) {
	f.Loop.Post(func() {
		now := time.Now()
		if f.waiting[r.ID] == w {
			delete(f.waiting, r.ID)
			f.Gate.Cancel(r.ID)
			return
		}
		select {
		case g := <-w.grant:
			if g.refusal == nil {
				f.Gate.Done(r.ID, 0, false, now)
				f.releaseSlot(g, now)
			}
		default:
		}
	})
}

// release releases the slot of a grant after the request ended.
func (f *Forwarder) release(r admission.Request, g grant, o runner.Outcome, took time.Duration) {
	f.Loop.Post(func() {
		now := time.Now()
		f.Gate.Done(r.ID, took, o == runner.OK, now)
		switch {
		case g.process == "":
			f.Pool.Release(g.runner.ID, o, took, now, f.Rand)
		case o != runner.NotRun: // after a not-run refusal the advertised slots are not trusted
			f.PeerRunners.Release(g.process, g.target)
		}
		f.grantSlots(r.Service, now)
	})
}
