// Package forward carries service requests to runners.
//
// A request waits at the entry process that accepted it (late binding) until a
// slot is free: on a runner of its own racks, whose slots it counts exactly, or
// on one that a peer advertises, to which it is then forwarded. The owner of a
// runner has the last word; a request that it refuses as not-run waits again.
//
// # Invariants
//
//   - not-run is answered only when no byte of the request has gone to a runner.
//   - A non-idempotent request is sent at most once. With an idempotency key a
//     durable intent precedes the send, and a repeated key gets the first outcome.
//   - An answer that breaks off aborts the caller's connection; it never ends as
//     a short success. An answer to another request is never passed on.
//   - Retries are at most a tenth of first attempts.
//
// Usage:
//
//	f := &forward.Forwarder{Process: "e1", DataCentre: "dc1", Loop: loop, Gate: gate, Pool: pool, Peers: dir, Remote: node}
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

// Remote forwards a call to another process.
type Remote interface {
	Forward(ctx context.Context, process string, c *wire.Call, body io.Reader) (*relay.Answer, error)
}

// Observer is told of every request that ended.
type Observer interface {
	Request(organisation string, c class.Class, request, outcome string, waited, total time.Duration)
}

const (
	expireInterval = 20 * time.Millisecond
	maxBounces     = 8        // refusals by runners' owners before the caller is refused
	replayBytes    = 64 << 10 // bodies up to this size can be sent again
	maxHeaderValue = 4 << 10
	maxDeadline    = 10 * time.Minute
)

// Forwarder serves the requests of callers and of peers. Exported fields are
// set before Run. Gate, Pool, Peers and Budget belong to the loop.
type Forwarder struct {
	Process    string
	DataCentre string
	Loop       *control.Loop
	Gate       *admission.Controller
	Pool       *runner.Pool
	Peers      *runner.Directory
	Budget     *runner.RetryBudget
	Remote     Remote
	// Runners sends to runners; its transport keeps connections open.
	Runners *http.Client
	// SingleUse sends non-idempotent requests; nil is singleUse. Its transport
	// keeps no connections, since net/http may send a request again by itself
	// when a connection that was kept breaks off.
	SingleUse *http.Client
	Table     provider.Table
	// PlatformReachable tells whether intents can be made durable.
	PlatformReachable func() bool
	// Services returns the configuration in force.
	Current func() *pool.Configuration
	// Valid reports whether this process may use the runners that it owns.
	Valid    func(now time.Time) bool
	Log      event.Emitter
	Observer Observer
	Rand     *rand.Rand
	MaxBody  int64

	waiting map[string]*waiter // by request identity
}

// waiter is a request between Offer and the grant of a slot.
type waiter struct {
	service string
	grant   chan grant
}

// grant is the answer to a waiting request: a slot, or a refusal.
type grant struct {
	runner  runner.Runner // of this process, when process is ""
	process string        // to forward to
	target  string        // runner there
	refusal *wire.Refusal
}

// Run drops waiting requests whose deadline cannot be met until ctx ends.
func (f *Forwarder) Run(ctx context.Context) error {
	return f.Loop.Every(ctx, expireInterval, func() {
		now := time.Now()
		for _, r := range f.Gate.Expire(now, f.Rand) {
			f.resolve(r.Request.ID, grant{refusal: notRun(r.Reason, r.RetryAfter)})
		}
		f.pumpAll(now)
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

func (f *Forwarder) pumpAll(now time.Time) {
	seen := map[string]bool{}
	for _, w := range f.waiting {
		if !seen[w.service] {
			seen[w.service] = true
			f.pump(w.service, now)
		}
	}
}

// pump gives free slots to waiting requests. It runs on the loop.
func (f *Forwarder) pump(service string, now time.Time) {
	for f.Gate.Waiting(service) > 0 {
		g, ok := f.slot(service, now)
		if !ok {
			return
		}
		r, ok := f.Gate.Next(service, now)
		if !ok {
			f.unslot(g, now)
			return
		}
		if _, waits := f.waiting[r.ID]; !waits {
			f.Gate.Done(r.ID, 0, false, now)
			f.unslot(g, now)
			continue
		}
		f.resolve(r.ID, g)
	}
}

// slot takes a slot, on a runner of this process if one is free.
func (f *Forwarder) slot(service string, now time.Time) (grant, bool) {
	if f.Valid(now) {
		if r, ok := f.Pool.Acquire(service, now, f.Rand); ok {
			return grant{runner: r}, true
		}
	}
	if p, r, ok := f.Peers.Choose(service, f.DataCentre, now, f.Rand); ok {
		return grant{process: p, target: r}, true
	}
	return grant{}, false
}

func (f *Forwarder) unslot(g grant, now time.Time) {
	if g.process == "" {
		f.Pool.Release(g.runner.ID, runner.GivenUp, 0, now, f.Rand)
		return
	}
	f.Peers.Release(g.process, g.target)
}

// acquire waits for a slot until ctx ends.
func (f *Forwarder) acquire(ctx context.Context, r admission.Request) grant {
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
		f.pump(r.Service, now)
	})
	if err != nil {
		return grant{refusal: notRun("the process is busy or stopping", time.Second)}
	}
	select {
	case g := <-w.grant:
		return g
	case <-ctx.Done():
		f.giveUp(r, w)
		return grant{refusal: notRun("the caller stopped waiting", 0)}
	}
}

// giveUp takes a waiting request out, or gives its slot back when it got one
// at the same moment.
func (f *Forwarder) giveUp(r admission.Request, w *waiter) {
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
				f.unslot(g, now)
			}
		default:
		}
	})
}

// release gives back what a grant held, after the request ended.
func (f *Forwarder) release(r admission.Request, g grant, o runner.Outcome, took time.Duration) {
	f.Loop.Post(func() {
		now := time.Now()
		f.Gate.Done(r.ID, took, o == runner.OK, now)
		switch {
		case g.process == "":
			f.Pool.Release(g.runner.ID, o, took, now, f.Rand)
		case o != runner.NotRun: // a refusal tells that the advert was wrong
			f.Peers.Release(g.process, g.target)
		}
		f.pump(r.Service, now)
	})
}
