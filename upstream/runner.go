// Package upstream simulates a runner, the upstream that answers the requests of a
// service.
//
// A Runner has a fixed number of slots. A request that finds no free slot is
// refused as not run. Any other request takes the time given in its WorkHeader and
// is then answered with its own body, streamed. Work that has started continues if
// the client disconnects, as it does in a real service.
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
	RequestHeader       = "Persimmon-Request"         // request ID, copied to the answer
	KeyHeader           = "Persimmon-Idempotency-Key" // the same for all attempts of a request
	NonIdempotentHeader = "Persimmon-Non-Idempotent"  // "true" or absent
	WorkHeader          = "Persimmon-Work-Ms"         // duration of the work in milliseconds
	RunnerHeader        = "Persimmon-Runner"          // in the answer: ID of the runner
)

// errUnavailable ends a request when the host is lost or the server is stopping.
var errUnavailable = errors.New("runner is lost or stopping")

// Runner simulates one runner. Its exported fields must be set before the first
// request.
type Runner struct {
	ID     string
	Slots  int
	Ledger *ledger.Ledger
	Faults *fault.Injector
	// Stopping ends all work early when it is closed. It may be nil.
	Stopping <-chan struct{}

	busy atomic.Int64
}

var _ http.Handler = (*Runner)(nil)

// Busy returns the number of slots in use.
func (r *Runner) Busy() int { return int(r.busy.Load()) }

// ServeHTTP runs one request.
func (r *Runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if err := r.waitWhileFrozen(q.Context()); err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(RequestHeader, q.Header.Get(RequestHeader))
	w.Header().Set(RunnerHeader, r.ID)
	work, err := workTime(q)
	if err != nil {
		r.refuse(w, q, http.StatusBadRequest, err)
		return
	}
	if !r.acquireSlot() {
		r.refuse(w, q, http.StatusServiceUnavailable, fmt.Errorf("runner %s has no free slot of %d", r.ID, r.Slots))
		return
	}
	run := r.Ledger.Begin(r.entry(q))
	result := ledger.Lost
	// The slot is released before the client can see the end of the answer.
	// Otherwise a client that counts slots exactly could send its next request
	// too early and be refused.
	finish := sync.OnceFunc(func() {
		r.Ledger.End(run, result)
		r.busy.Add(-1)
	})
	defer finish()
	if err := r.simulateWork(work); err != nil {
		panic(http.ErrAbortHandler)
	}
	if err := r.waitWhileFrozen(context.Background()); err != nil {
		panic(http.ErrAbortHandler)
	}
	result = ledger.Truncated
	atEnd := func() {
		result = ledger.Done
		finish()
	}
	if err := echo(w, q, atEnd); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// acquireSlot takes a slot and reports whether one was free.
func (r *Runner) acquireSlot() bool {
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

// simulateWork waits for the duration of the work. It returns an error if the host
// is lost or the server stops first.
func (r *Runner) simulateWork(work time.Duration) error {
	timer := time.NewTimer(work)
	defer timer.Stop()
	for {
		changed := r.Faults.Changed()
		if r.Faults.Host(r.ID).Lost {
			return errUnavailable
		}
		select {
		case <-timer.C:
			return nil
		case <-changed:
		case <-r.Stopping:
			return errUnavailable
		}
	}
}

// waitWhileFrozen blocks while the runner is frozen. It returns an error if the host
// is lost, the server stops or ctx ends.
func (r *Runner) waitWhileFrozen(ctx context.Context) error {
	for {
		changed := r.Faults.Changed()
		f := r.Faults.Host(r.ID)
		if f.Lost {
			return errUnavailable
		}
		if !f.Frozen {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		case <-r.Stopping:
			return errUnavailable
		}
	}
}

// echo streams the body of the request back while it is still being received. It
// holds back the last byte until it has read the whole body and called atEnd.
func echo(w http.ResponseWriter, q *http.Request, atEnd func()) error {
	control := http.NewResponseController(w)
	if err := ignoreNotSupported(control.EnableFullDuplex()); err != nil {
		return err
	}
	if q.ContentLength >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(q.ContentLength, 10))
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	b := buffer.Get()
	defer b.Put()
	carried := 0
	for {
		n, err := q.Body.Read(b[carried:])
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		n += carried
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
		b[0], carried = b[n-1], 1
	}
}

func send(w http.ResponseWriter, control *http.ResponseController, chunk []byte) error {
	if _, err := w.Write(chunk); err != nil {
		return err
	}
	return ignoreNotSupported(control.Flush())
}

// ignoreNotSupported drops the error of a writer that lacks a feature, such as the
// recorder that tests use.
func ignoreNotSupported(err error) error {
	if errors.Is(err, http.ErrNotSupported) {
		return nil
	}
	return err
}
