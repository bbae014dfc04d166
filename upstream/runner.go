// Package upstream is a stand-in of a runner, the upstream that answers the
// requests of a service.
//
// A Runner has a fixed number of slots. A request that finds no free slot is
// refused as not run; any other takes the time that its header WorkHeader
// states and is then answered by its own body, streamed. Work that has begun
// goes on even if the client leaves, as it does behind a real service.
//
// Usage:
//
//	r := &upstream.Runner{ID: "u-dc1-r1-01", Slots: 8, Ledger: l, Faults: b}
//	http.Handle("/r/u-dc1-r1-01/", r)
package upstream

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"persimmonworks.example/persimmonworks/buffer"
	"persimmonworks.example/persimmonworks/fault"
	"persimmonworks.example/persimmonworks/ledger"
	"persimmonworks.example/persimmonworks/provider"
)

// Headers of a request to a runner and of its answer.
const (
	RequestHeader       = "Persimmon-Request"         // identity of the request, sent back
	KeyHeader           = "Persimmon-Idempotency-Key" // identity over repetitions
	NonIdempotentHeader = "Persimmon-Non-Idempotent"  // "true" or absent
	WorkHeader          = "Persimmon-Work-Ms"         // milliseconds
	RunnerHeader        = "Persimmon-Runner"          // of the answer: who ran it
)

// errGone ends a request whose host is lost or whose server stops.
var errGone = errors.New("runner is gone")

// Runner is one runner. Its exported fields are set before the first request.
type Runner struct {
	ID     string
	Slots  int
	Ledger *ledger.Ledger
	Faults *fault.Injector
	// Stopping ends all work early when it is closed; nil never does.
	Stopping <-chan struct{}

	busy atomic.Int64
}

var _ http.Handler = (*Runner)(nil)

// Busy returns the number of slots in use.
func (r *Runner) Busy() int { return int(r.busy.Load()) }

// ServeHTTP runs one request.
func (r *Runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if err := r.awaitThaw(q.Context()); err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(RequestHeader, q.Header.Get(RequestHeader))
	w.Header().Set(RunnerHeader, r.ID)
	work, err := workTime(q)
	if err != nil {
		r.refuse(w, q, http.StatusBadRequest, err)
		return
	}
	if !r.take() {
		r.refuse(w, q, http.StatusServiceUnavailable, fmt.Errorf("runner %s has no free slot of %d", r.ID, r.Slots))
		return
	}
	run := r.Ledger.Begin(r.entry(q))
	how := ledger.Lost
	// The slot is free before the client can know of the end, so that an exact
	// count of slots at the client never meets a refusal.
	leave := sync.OnceFunc(func() {
		r.Ledger.End(run, how)
		r.busy.Add(-1)
	})
	defer leave()
	if err := r.pass(work); err != nil {
		panic(http.ErrAbortHandler)
	}
	if err := r.awaitThaw(context.Background()); err != nil {
		panic(http.ErrAbortHandler)
	}
	how = ledger.Truncated
	atEnd := func() {
		how = ledger.Done
		leave()
	}
	if err := echo(w, q, atEnd); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// take claims a slot if one is free.
func (r *Runner) take() bool {
	for {
		n := r.busy.Load()
		if n >= int64(r.Slots) {
			return false
		}
		if r.busy.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

func workTime(q *http.Request) (time.Duration, error) {
	text := cmp.Or(q.Header.Get(WorkHeader), "0")
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil || ms < 0 {
		return 0, fmt.Errorf("header %s: %q is not a number of milliseconds", WorkHeader, text)
	}
	return time.Duration(ms) * time.Millisecond, nil
}

func (r *Runner) entry(q *http.Request) ledger.Entry {
	return ledger.Entry{
		Kind:           ledger.Request,
		Host:           r.ID,
		Request:        q.Header.Get(RequestHeader),
		IdempotencyKey: q.Header.Get(KeyHeader),
		NonIdempotent:  q.Header.Get(NonIdempotentHeader) == "true",
		Slots:          r.Slots,
	}
}

func (r *Runner) refuse(w http.ResponseWriter, q *http.Request, status int, err error) {
	r.Ledger.Refuse(r.entry(q))
	w.Header().Set(provider.OutcomeHeader, provider.OutcomeNotRun)
	http.Error(w, err.Error(), status)
}

// pass lets the work's time go by, unless the host is lost first.
func (r *Runner) pass(work time.Duration) error {
	timer := time.NewTimer(work)
	defer timer.Stop()
	for {
		changed := r.Faults.Changed()
		if r.Faults.Host(r.ID).Lost {
			return errGone
		}
		select {
		case <-timer.C:
			return nil
		case <-changed:
		case <-r.Stopping:
			return errGone
		}
	}
}

// awaitThaw blocks while the runner is frozen.
func (r *Runner) awaitThaw(ctx context.Context) error {
	for {
		changed := r.Faults.Changed()
		f := r.Faults.Host(r.ID)
		if f.Lost {
			return errGone
		}
		if !f.Frozen {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		case <-r.Stopping:
			return errGone
		}
	}
}

// echo streams the request's body back while it still arrives, one byte
// behind, and calls atEnd once the body has come whole and before the last
// byte of the answer leaves.
func echo(w http.ResponseWriter, q *http.Request, atEnd func()) error {
	control := http.NewResponseController(w)
	if err := supported(control.EnableFullDuplex()); err != nil {
		return err
	}
	if q.ContentLength >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(q.ContentLength, 10))
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	b := buffer.Get()
	defer b.Put()
	held := 0
	for {
		n, err := q.Body.Read(b[held:])
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		n += held
		if err != nil {
			atEnd()
			return send(w, control, b[:n])
		}
		if n == 0 {
			continue
		}
		if err := send(w, control, b[:n-1]); err != nil {
			return err
		}
		b[0], held = b[n-1], 1
	}
}

func send(w http.ResponseWriter, control *http.ResponseController, piece []byte) error {
	if _, err := w.Write(piece); err != nil {
		return err
	}
	return supported(control.Flush())
}

// supported drops the error of a writer that lacks a feature, as those of
// tests do.
func supported(err error) error {
	if errors.Is(err, http.ErrNotSupported) {
		return nil
	}
	return err
}
