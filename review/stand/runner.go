package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	service        = "jobs"
	beatInterval   = 1500 * time.Millisecond
	missedBeats    = 3 // after which the store drops an entry
	longestLease   = 10 * time.Second
	stopTime       = 400 * time.Millisecond
	gangTimeout    = 3 * time.Second
	longestHold    = 2 * time.Second
	stepTime       = 10 * time.Millisecond   // between two looks at what runs
	tripTime       = 2800 * time.Microsecond // to another zone and back
	mostEnds       = 500                     // listed at once
	runnerCPU      = 16000
	runnerMemoryMB = 32768
)

// How a run ends.
const (
	done    = "done"
	failed  = "failed"
	stopped = "stopped"
	lapsed  = "lapsed"
	broken  = "broken"
	alone   = "alone"
)

// pool is all runners, with one lock for their state.
type pool struct {
	store  *store
	record *record
	group  *errgroup.Group

	mu      sync.Mutex
	jobs    map[string]*job
	runners []*runner
	events  []runEvent
}

// runEvent is the beginning or the end of a run, or that its end was taken note of.
type runEvent struct {
	at     time.Time
	what   string // "start", how the run ended, "noted", or "crash"
	task   taskName
	run    int
	runner *runner
	life   int
	labels []string
}

// runner is a stand-in of a runner that guards nothing (preconditions false).
type runner struct {
	pool    *pool
	id      string
	rack    string
	zone    string
	address string // ip:port, kept over restarts
	// late says how much later than it arrived a call is carried out, without an answer.
	late func() time.Duration

	kind     string
	server   *http.Server
	up       bool
	sick     bool // it fails what it runs and refuses what is new; it still sends heartbeats
	life     int  // starts so far
	began    time.Time
	born     int64
	fence    uint64
	deadline time.Time
	running  map[taskName]*run
	ended    []endRow
	number   uint64
	// lapsedThrough is the last end that was listed when the lease lapsed. Ends up to it
	// don't count as taken note of afterwards.
	lapsedThrough uint64
	barred        map[taskName]int // runs up to it are rejected
	lastBeat      time.Time
	listed        bool
	sequence      int
	news          chan struct{} // closed at the next end
}

type run struct {
	task      taskName
	number    int
	step      step
	began     time.Time
	worksFrom time.Time // zero while it waits for its gang
	stopAt    time.Time // zero unless it is being stopped
}

type endRow struct {
	number uint64
	task   taskName
	run    int
	how    string
}

type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline-ms"`
	Fence    uint64 `json:"fence-token"`
	Acked    uint64 `json:"ack-cursor"`
	Wait     int64  `json:"wait-ms"`
}

func newPool(s *store, r *record, g *errgroup.Group) *pool {
	return &pool{store: s, record: r, group: g, jobs: map[string]*job{}}
}

// add adds a runner at a free address and starts it.
func (p *pool) add(i int, kind string) (*runner, error) {
	l, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return nil, fmt.Errorf("runner %d: %w", i, err)
	}
	r := &runner{
		pool: p, id: fmt.Sprintf("i-%04d", i), rack: fmt.Sprintf("r1-%d", i/rackSize), zone: zones[i%len(zones)], address: l.Addr().String(), kind: kind,
	}
	p.runners = append(p.runners, r)
	r.serve(l)
	return r, nil
}

// restart starts the runner again at its address, under its id.
func (r *runner) restart(kind string) error {
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return fmt.Errorf("runner %s: %w", r.id, err)
	}
	r.kind = kind
	r.serve(l)
	return nil
}

func (r *runner) serve(l net.Listener) {
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	r.up, r.life, r.began, r.born = true, r.life+1, time.Now(), time.Now().UnixMilli()
	r.fence, r.deadline, r.number, r.lapsedThrough, r.ended = 0, time.Time{}, 0, 0, nil
	r.running, r.barred = map[taskName]*run{}, map[taskName]int{}
	r.news = make(chan struct{})
	r.lastBeat = time.Time{}
	s := &http.Server{Handler: r.handler(), ReadHeaderTimeout: longestHold}
	r.server = s
	r.pool.record.note("runner %s: life %d of kind %s begins", r.id, r.life, r.kind)
	r.pool.group.Go(func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("runner %s: %w", r.id, err)
		}
		return nil
	})
}

// crash ends the runner's process, with all that runs there.
func (r *runner) crash() {
	r.pool.mu.Lock()
	s := r.server
	r.up = false
	for _, x := range r.running {
		r.pool.event(r, "crash", x.task, x.number)
	}
	r.running = map[taskName]*run{}
	r.pool.record.note("runner %s: life %d crashes", r.id, r.life)
	r.pool.mu.Unlock()
	_ = s.Close() // its connections are reset
}

// event notes an event. The caller must hold p.mu.
func (p *pool) event(r *runner, what string, t taskName, run int) {
	p.events = append(p.events, runEvent{time.Now(), what, t, run, r, r.life, r.labels()})
	p.record.note("runner %s life %d: %s run %d: %s", r.id, r.life, t, run, what)
}

func (r *runner) labels() []string { return []string{r.kind, r.rack} }

func (r *runner) clock() int64 { return time.Since(r.began).Milliseconds() }

// beat writes the runner's entry. The caller must hold p.mu.
func (r *runner) beat() {
	r.lastBeat, r.listed = time.Now(), true
	r.sequence++
	entry := map[string]any{
		"service": service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 8, "state": "ready",
		"cold-remaining-ms": 0, "seq": r.sequence, "born": r.born, "clock-ms": r.clock(), "labels": r.labels(),
		"capacity": map[string]int{"cpu": runnerCPU, "mem-mb": runnerMemoryMB, "gpu": 0},
	}
	time.AfterFunc(transactionTime+tripTime, func() { r.pool.store.put("servers", r.id, entry) })
}

// advance lets time pass: heartbeats, leases, stops, gangs and work.
func (p *pool) advance() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, r := range p.runners {
		switch {
		case r.up && now.Sub(r.lastBeat) >= beatInterval:
			r.beat()
		case !r.up && r.listed && now.Sub(r.lastBeat) >= missedBeats*beatInterval:
			r.listed = false
			p.store.remove("servers", r.id)
		}
		if r.up {
			r.advance(now)
		}
	}
}

func (r *runner) advance(now time.Time) {
	if !r.deadline.IsZero() && now.After(r.deadline) {
		r.deadline = time.Time{}
		for _, x := range r.running {
			r.end(x, lapsed)
		}
		r.lapsedThrough = r.number
	}
	for _, x := range r.running {
		switch {
		case r.running[x.task] != x: // it has ended with its gang
		case r.sick:
			r.end(x, failed)
		case !x.stopAt.IsZero():
			if now.After(x.stopAt) {
				r.end(x, stopped)
			}
		case x.worksFrom.IsZero():
			if now.Sub(x.began) >= gangTimeout {
				r.end(x, alone)
			}
		case !x.step.LongRunning && now.Sub(x.worksFrom) >= x.step.work:
			r.end(x, done)
		}
	}
}

// end ends a run and, unless it was the runner's fault, tells the rest of its gang.
func (r *runner) end(x *run, how string) {
	r.list(x, how)
	if !x.step.Gang {
		return
	}
	others := broken
	if how == done {
		others = done
	}
	for _, m := range r.pool.gang(x) {
		if m.runner == r && r.sick {
			continue // this runner fails all that it runs
		}
		m.runner.list(m.run, others)
	}
}

// list adds a run to the ended ones.
func (r *runner) list(x *run, how string) {
	delete(r.running, x.task)
	r.number++
	r.ended = append(r.ended, endRow{r.number, x.task, x.number, how})
	r.barred[x.task] = max(r.barred[x.task], x.number)
	r.pool.event(r, how, x.task, x.number)
	close(r.news)
	r.news = make(chan struct{})
}

type member struct {
	runner *runner
	run    *run
}

// gang returns the members of a run of a gang that are there.
func (p *pool) gang(x *run) []member {
	var members []member
	for _, r := range p.runners {
		for _, y := range r.running {
			if r.up && y.number == x.number && y.task.job == x.task.job && y.task.occurrence == x.task.occurrence && y.task.step == x.task.step {
				members = append(members, member{r, y})
			}
		}
	}
	return members
}

func (r *runner) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /-/run-start", r.receive(r.start))
	m.HandleFunc("POST /-/run-stop", r.receive(r.stop))
	m.HandleFunc("POST /-/hold", r.hold)
	m.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { respond(w, http.StatusOK, struct{}{}) })
	return m
}

func (r *runner) decode(w http.ResponseWriter, q *http.Request) (order, taskName, bool) {
	var o order
	var t taskName
	err := json.NewDecoder(q.Body).Decode(&o)
	if err == nil && o.Task != "" {
		t, err = parseTask(o.Task)
	}
	if err != nil {
		respond(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return o, t, false
	}
	if expected := q.Header.Get("Expect-Instance"); expected != "" && expected != r.id {
		respond(w, http.StatusMisdirectedRequest, struct{}{})
		return o, t, false
	}
	return o, t, true
}

// receive carries an order out, at once or late.
func (r *runner) receive(do func(order, taskName) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		o, t, ok := r.decode(w, q)
		if !ok {
			return
		}
		if late := r.lateness(); late > 0 {
			r.pool.record.note("runner %s: %s of %s run %d gets no answer and is carried out %v later", r.id, q.URL.Path, t, o.Run, late)
			time.AfterFunc(late, func() { r.carryOut(do, o, t) })
			<-q.Context().Done()
			panic(http.ErrAbortHandler)
		}
		r.pool.mu.Lock()
		status, answer := do(o, t)
		r.pool.mu.Unlock()
		time.Sleep(tripTime)
		respond(w, status, answer)
	}
}

func (r *runner) lateness() time.Duration {
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	if r.late == nil {
		return 0
	}
	return r.late()
}

// carryOut carries a late order out, in whatever life the runner is by then.
func (r *runner) carryOut(do func(order, taskName) (int, map[string]any), o order, t taskName) {
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	if !r.up {
		r.pool.record.note("runner %s: is down, the late order for %s run %d is lost", r.id, t, o.Run)
		return
	}
	status, answer := do(o, t)
	r.pool.record.note("runner %s life %d: late order for %s run %d: %d %v", r.id, r.life, t, o.Run, status, answer["reason"])
}

// fenced reports whether a fencing token is too low, and keeps it otherwise.
func (r *runner) fenced(token uint64) bool {
	if token < r.fence {
		return true
	}
	r.fence = token
	return false
}

func (r *runner) refuse(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"clock-ms": r.clock(), "reason": reason}
}

// extend takes a deadline on the runner's clock. It never shortens a lease.
func (r *runner) extend(deadlineMS int64) {
	if deadlineMS == 0 {
		return
	}
	at := r.began.Add(time.Duration(deadlineMS) * time.Millisecond)
	if most := time.Now().Add(longestLease); at.After(most) {
		at = most
	}
	if at.After(r.deadline) {
		r.deadline = at
	}
}

func (r *runner) start(o order, t taskName) (int, map[string]any) {
	x := r.running[t]
	accepted := map[string]any{"clock-ms": r.clock()}
	switch {
	case r.fenced(o.Fence):
		return r.refuse("fence")
	case x != nil && x.number == o.Run:
		return http.StatusOK, accepted
	case o.Run <= r.barred[t] || x != nil:
		r.extend(o.Deadline)
		return r.refuse("old")
	case o.Deadline <= r.clock():
		return r.refuse("late")
	case r.sick:
		return http.StatusServiceUnavailable, accepted
	}
	r.extend(o.Deadline)
	x = &run{task: t, number: o.Run, began: time.Now()}
	if j := r.pool.jobs[t.job]; j != nil && t.step < len(j.Steps) {
		x.step = j.Steps[t.step]
	}
	r.running[t] = x
	r.pool.event(r, "start", t, o.Run)
	if !x.step.Gang {
		x.worksFrom = x.began
	} else if members := r.pool.gang(x); len(members) == x.step.Count {
		for _, m := range members {
			m.run.worksFrom = x.began
		}
	}
	return http.StatusOK, accepted
}

func (r *runner) stop(o order, t taskName) (int, map[string]any) {
	if r.fenced(o.Fence) {
		return r.refuse("fence")
	}
	r.barred[t] = max(r.barred[t], o.Run)
	if x := r.running[t]; x != nil && x.number <= o.Run && x.stopAt.IsZero() {
		x.stopAt = time.Now().Add(stopTime / 2)
	}
	return http.StatusOK, map[string]any{"clock-ms": r.clock()}
}

func (r *runner) hold(w http.ResponseWriter, q *http.Request) {
	o, _, ok := r.decode(w, q)
	if !ok {
		return
	}
	r.pool.mu.Lock()
	if r.fenced(o.Fence) {
		status, answer := r.refuse("fence")
		r.pool.mu.Unlock()
		respond(w, status, answer)
		return
	}
	r.extend(o.Deadline)
	r.forget(o.Acked)
	news, life, pending := r.news, r.life, len(r.ended) > 0
	r.pool.mu.Unlock()
	wait := min(time.Duration(o.Wait)*time.Millisecond, longestHold)
	if !pending && wait > 0 {
		select {
		case <-news:
		case <-time.After(wait):
		case <-q.Context().Done():
		}
	}
	r.pool.mu.Lock()
	current, answer := r.life == life && r.up, r.lists()
	r.pool.mu.Unlock()
	if !current {
		panic(http.ErrAbortHandler) // the process that was asked has ended
	}
	time.Sleep(tripTime)
	if r.lateness() > 0 {
		r.pool.record.note("runner %s: the answer to /-/hold is lost", r.id)
		<-q.Context().Done()
		panic(http.ErrAbortHandler)
	}
	respond(w, http.StatusOK, answer)
}

// forget drops the ends that were taken note of.
func (r *runner) forget(acked uint64) {
	r.ended = slices.DeleteFunc(r.ended, func(e endRow) bool {
		if e.number > acked {
			return false
		}
		if e.number > r.lapsedThrough {
			r.pool.event(r, "noted", e.task, e.run)
		}
		return true
	})
}

func (r *runner) lists() map[string]any {
	running, ended := [][]any{}, [][]any{}
	for t, x := range r.running {
		percent := 0
		if !x.worksFrom.IsZero() {
			percent = 100
			if !x.step.LongRunning && x.step.work > 0 {
				percent = int(min(99, 1+100*time.Since(x.worksFrom)/x.step.work))
			}
		}
		load := x.step.MilliCPU
		if x.step.TargetMS > 0 {
			load = x.step.TargetMS / 2
		}
		running = append(running, []any{t.String(), x.number, "", percent, load})
	}
	for _, e := range r.ended[:min(len(r.ended), mostEnds)] {
		ended = append(ended, []any{e.number, e.task.String(), e.run, e.how, ""})
	}
	return map[string]any{"clock-ms": r.clock(), "born": r.born, "running": running, "ended": ended}
}
