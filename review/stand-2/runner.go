package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	heartbeat      = 1500 * time.Millisecond
	mostLease      = 10 * time.Second       // a longer one is shortened
	stopTime       = 700 * time.Millisecond // stop-ms is 900
	failTime       = 100 * time.Millisecond // until a run fails
	lastingStart   = 300 * time.Millisecond // until a task that lasts is at work
	leaseLook      = 20 * time.Millisecond
	mostEndsListed = 500
	runnerMilliCPU = 16000
	runnerMemoryMB = 32768
	runnersInRack  = 8
	serviceName    = "checks"
	kindA          = "a"
	kindB          = "b"
	lostWithRunner = "lost with its runner"
	silentBeats    = 3 // heartbeats of silence after which an entry is removed
)

// capacity is what a runner holds.
type capacity struct {
	MilliCPU     int64 `json:"cpu"`
	MemoryMB     int64 `json:"mem-mb"`
	Accelerators int64 `json:"gpu"`
}

// runnerEntry is what a runner says of itself.
type runnerEntry struct {
	Service  string   `json:"service"`
	Address  string   `json:"address"`
	Zone     string   `json:"zone"`
	Version  string   `json:"version"`
	Slots    int      `json:"slots"`
	State    string   `json:"state"`
	Cold     int      `json:"cold-remaining-ms"`
	Capacity capacity `json:"capacity"`
	Labels   []string `json:"labels,omitempty"`
	Born     int64    `json:"born"`
	Sequence int      `json:"seq"`
}

// order is any call to a runner.
type order struct {
	Task     string `json:"task"`
	Run      uint32 `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline-ms"`
	Fence    uint64 `json:"fence-token"`
	Ack      uint64 `json:"ack-cursor"`
	Wait     int64  `json:"wait-ms"`
}

type runnerAnswer struct {
	Clock   int64   `json:"clock-ms"`
	Born    int64   `json:"born"`
	Reason  string  `json:"reason,omitempty"`
	Running [][]any `json:"running,omitempty"`
	Ended   [][]any `json:"ended,omitempty"`
}

// execution is one run of a task on a runner.
type execution struct {
	lasts bool // until it is stopped
	task  string
	run   uint32
	began time.Time
	timer *time.Timer
}

// ending is an end that a runner lists until it is acknowledged.
type ending struct {
	number uint64
	task   string
	run    uint32
	how    string
	lapsed bool // the lease has lapsed since
}

// runner executes tasks under a lease. Its state is guarded by its lock.
type runner struct {
	id      string
	number  int
	isB     bool // of kind b, else of kind a
	store   *store
	ledger  *ledger
	address string // ip:port
	listen  net.Listener
	server  *http.Server

	mu       sync.Mutex
	fails    bool      // all that it starts
	goneAt   time.Time // when it was lost for good, zero while it lives
	started  time.Time
	born     int64
	sequence int
	fence    uint64
	deadline time.Time // zero if it holds no lease
	running  map[string]*execution
	ends     []ending
	counter  uint64
	barred   map[string]uint32 // runs up to it are refused
	wake     chan struct{}     // closed at an end
}

func newRunner(number int, isB bool, s *store, l *ledger) (*runner, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("runner %d: %w", number, err)
	}
	now := time.Now()
	return &runner{
		id: fmt.Sprintf("i-%04d", number), number: number, isB: isB, store: s, ledger: l, address: listener.Addr().String(), listen: listener, started: now, born: now.UnixMilli(),
		running: map[string]*execution{}, barred: map[string]uint32{}, wake: make(chan struct{}),
	}, nil
}

// entry returns what the runner says of itself.
func (r *runner) entry() runnerEntry {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	zones := []string{"zone-a", "zone-b", "zone-c"}
	return runnerEntry{
		Service: serviceName, Address: r.address, Zone: zones[r.number%len(zones)], Version: "v1", Slots: 8, State: "ready",
		Capacity: capacity{MilliCPU: runnerMilliCPU, MemoryMB: runnerMemoryMB},
		Labels:   []string{r.kind(), r.rack()}, Born: r.born, Sequence: r.sequence,
	}
}

func (r *runner) rack() string { return fmt.Sprintf("r1-%d", r.number/runnersInRack) }

func (r *runner) kind() string {
	if r.isB {
		return kindB
	}
	return kindA
}

// beat writes the runner's entry, or removes it if the runner is gone for long enough.
func (r *runner) beat() {
	r.mu.Lock()
	gone := r.goneAt
	r.mu.Unlock()
	switch {
	case gone.IsZero():
		r.store.put("servers", r.id, r.entry())
	case time.Since(gone) > silentBeats*heartbeat:
		r.store.drop("servers", r.id)
	}
}

// failAll makes the runner fail all that it starts, or work again.
func (r *runner) failAll(fails bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fails = fails
}

// lose ends the runner, with all that runs there. Its connections are reset.
func (r *runner) lose() {
	r.mu.Lock()
	r.goneAt = time.Now()
	for _, x := range r.running {
		x.timer.Stop()
		r.ledger.ended(r.id, x.task, x.run, lostWithRunner)
	}
	r.running, r.deadline = map[string]*execution{}, time.Time{}
	r.mu.Unlock()
	_ = r.server.Close() // no call is answered any more
}

// restart begins another life of a runner that was lost, under its name and at its address.
func (r *runner) restart(ctx context.Context, group *errgroup.Group) error {
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return fmt.Errorf("runner %s: %w", r.id, err)
	}
	r.mu.Lock()
	now := time.Now()
	r.goneAt, r.started, r.born = time.Time{}, now, now.UnixMilli()
	r.fence, r.counter, r.sequence = 0, 0, 0
	r.ends, r.barred = nil, map[string]uint32{}
	r.server = serveOn(ctx, group, listener, r.handler())
	r.mu.Unlock()
	r.beat()
	return nil
}

func (r *runner) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /-/run-start", r.handle(r.start))
	m.HandleFunc("POST /-/run-stop", r.handle(r.stop))
	m.HandleFunc("POST /-/hold", r.handle(r.hold))
	m.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	return m
}

func (r *runner) handle(do func(q *http.Request, o order) (int, runnerAnswer)) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		var o order
		if err := json.NewDecoder(q.Body).Decode(&o); err != nil {
			respond(w, http.StatusBadRequest, runnerAnswer{Clock: r.clock(), Reason: err.Error()})
			return
		}
		if named := q.Header.Get("Expect-Instance"); named != "" && named != r.id {
			respond(w, http.StatusMisdirectedRequest, runnerAnswer{Clock: r.clock()})
			return
		}
		status, a := do(q, o)
		respond(w, status, a)
	}
}

func (r *runner) clock() int64 { return time.Since(r.started).Milliseconds() }

func (r *runner) answer() runnerAnswer { return runnerAnswer{Clock: r.clock(), Born: r.born} }

// refuses reports whether an order has a lower token than one before. It needs the lock.
func (r *runner) refuses(o order) bool {
	if o.Fence < r.fence {
		return true
	}
	r.fence = o.Fence
	return false
}

// extend takes a deadline on the runner's clock, which never shortens. It needs the lock.
func (r *runner) extend(deadlineMS int64) {
	r.checkLease()
	if deadlineMS == 0 {
		return
	}
	at := r.started.Add(time.Duration(deadlineMS) * time.Millisecond)
	if most := time.Now().Add(mostLease); at.After(most) {
		at = most
	}
	if at.After(r.deadline) {
		r.deadline = at
	}
}

// checkLease kills all that runs once the lease has lapsed. It needs the lock.
func (r *runner) checkLease() {
	if r.deadline.IsZero() || time.Now().Before(r.deadline) {
		return
	}
	r.deadline = time.Time{}
	for i := range r.ends {
		r.ends[i].lapsed = true
	}
	for _, x := range r.running {
		r.end(x, "lapsed")
	}
}

func (r *runner) look() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checkLease()
}

// end needs the lock.
func (r *runner) end(x *execution, how string) {
	if r.running[x.task] != x {
		return
	}
	x.timer.Stop()
	delete(r.running, x.task)
	r.barred[x.task] = max(r.barred[x.task], x.run)
	r.counter++
	r.ends = append(r.ends, ending{number: r.counter, task: x.task, run: x.run, how: how})
	r.ledger.ended(r.id, x.task, x.run, how)
	close(r.wake)
	r.wake = make(chan struct{})
}

func (r *runner) start(_ *http.Request, o order) (int, runnerAnswer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.answer()
	if r.refuses(o) {
		a.Reason = "fence"
		return http.StatusConflict, a
	}
	x := r.running[o.Task]
	switch {
	case x != nil && x.run == o.Run:
		return http.StatusOK, a
	case x != nil || o.Run <= r.barred[o.Task]:
		r.extend(o.Deadline)
		a.Reason = "old"
		return http.StatusConflict, a
	case o.Deadline <= a.Clock:
		a.Reason = "late"
		return http.StatusConflict, a
	}
	r.extend(o.Deadline)
	takes, lasts := r.ledger.begun(r.id, o)
	how := "done"
	x = &execution{lasts: lasts, task: o.Task, run: o.Run, began: time.Now()}
	if r.fails {
		takes, how = failTime, "failed"
	}
	x.timer = time.AfterFunc(takes, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.checkLease()
		r.end(x, how)
	})
	r.running[o.Task] = x
	return http.StatusOK, a
}

func (r *runner) stop(_ *http.Request, o order) (int, runnerAnswer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.answer()
	if r.refuses(o) {
		a.Reason = "fence"
		return http.StatusConflict, a
	}
	r.barred[o.Task] = max(r.barred[o.Task], o.Run)
	if x := r.running[o.Task]; x != nil && x.run <= o.Run {
		r.ledger.note("stop ordered", "runner", r.id, "task", o.Task, "run", o.Run, "fence", o.Fence)
		time.AfterFunc(stopTime, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.end(x, "stopped")
		})
	}
	return http.StatusOK, a
}

func (r *runner) hold(q *http.Request, o order) (int, runnerAnswer) {
	r.mu.Lock()
	if r.refuses(o) {
		a := r.answer()
		r.mu.Unlock()
		a.Reason = "fence"
		return http.StatusConflict, a
	}
	r.extend(o.Deadline)
	r.acknowledge(o)
	wake, listed := r.wake, len(r.ends) > 0
	r.mu.Unlock()
	if !listed && o.Wait > 0 {
		select {
		case <-wake:
		case <-time.After(time.Duration(o.Wait) * time.Millisecond):
		case <-q.Context().Done():
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return http.StatusOK, r.report()
}

// acknowledge forgets ends up to the cursor. It needs the lock.
func (r *runner) acknowledge(o order) {
	for len(r.ends) > 0 && r.ends[0].number <= o.Ack {
		r.ledger.acknowledged(r.id, r.ends[0], o.Fence)
		r.ends = r.ends[1:]
	}
}

// report lists what runs and what has ended. It needs the lock.
func (r *runner) report() runnerAnswer {
	a := r.answer()
	a.Running, a.Ended = [][]any{}, [][]any{}
	for _, x := range r.running {
		percent := 1 + min(98, int(time.Since(x.began).Milliseconds()/100))
		if x.lasts && time.Since(x.began) > lastingStart {
			percent = 100
		}
		a.Running = append(a.Running, []any{x.task, x.run, "", percent, 0})
	}
	for _, e := range r.ends[:min(len(r.ends), mostEndsListed)] {
		a.Ended = append(a.Ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	return a
}

// busy reports whether anything runs on the runner.
func (r *runner) busy() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.running) > 0
}

// lives reports whether the runner is there.
func (r *runner) lives() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.goneAt.IsZero()
}

// token returns the highest fencing token that the runner has seen.
func (r *runner) token() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fence
}
