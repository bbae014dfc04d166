package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Figures of the runners of a small deployment, by the pages.
const (
	heartbeat    = 1500 * time.Millisecond
	holdMost     = 10 * time.Second
	stopTime     = 400 * time.Millisecond
	unlistedTime = 3 * heartbeat
	mostHoldWait = 2 * time.Second
	mostEnds     = 500
	drainTime    = 2 * time.Second        // drain-ms
	drainMore    = time.Second            // and a little longer
	startupTime  = 300 * time.Millisecond // until a task that lasts is at work
	leaseLook    = 20 * time.Millisecond
	wholePercent = 100
)

// capacity is the room of a runner.
type capacity struct {
	MilliCPU int64 `json:"cpu"`
	MemoryMB int64 `json:"mem-mb"`
	GPU      int64 `json:"gpu"`
}

// entry is what a runner says of itself in the store.
type entry struct {
	Service  string   `json:"service"`
	Address  string   `json:"address"`
	Zone     string   `json:"zone"`
	Version  string   `json:"version"`
	Slots    int      `json:"slots"`
	State    string   `json:"state"`
	ColdMS   int      `json:"cold-remaining-ms"`
	Seq      int      `json:"seq"`
	Born     int64    `json:"born"`
	Capacity capacity `json:"capacity"`
	Labels   []string `json:"labels"`
}

// work is a run on a runner.
type work struct {
	run      int
	shape    shape
	begun    time.Time
	timer    *time.Timer
	stopping bool
}

type end struct {
	number uint64
	task   string
	run    int
	how    string
}

// runner is one runner of the deployment, with one life after the other under its id.
type runner struct {
	world   *world
	id      string
	service string
	zone    string
	labels  []string
	room    capacity
	address string
	hangUp  func() // closes its listener and its connections

	mu       sync.Mutex
	up       bool
	draining bool
	seq      int
	born     int64
	started  time.Time
	fence    uint64
	deadline int64 // on its clock
	running  map[string]*work
	ended    []end
	number   uint64
	barred   map[string]int
	changed  chan struct{}
}

// order is a call to a runner.
type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline-ms"`
	Fence    uint64 `json:"fence-token"`
	Cursor   uint64 `json:"ack-cursor"`
	WaitMS   int64  `json:"wait-ms"`
}

// start begins a life of the runner and serves it until ctx ends.
func (r *runner) start(ctx context.Context) error {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return fmt.Errorf("runner %s: %w", r.id, err)
	}
	r.address = l.Addr().String()
	r.begin()
	life, hangUp := context.WithCancel(ctx)
	r.hangUp = hangUp
	r.world.serve(life, l, r.handler())
	r.world.group.Go(func() error { return r.beat(ctx) })
	r.world.group.Go(func() error { return r.watchLease(ctx) })
	return nil
}

func (r *runner) begin() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.up, r.started, r.born = true, time.Now(), time.Now().UnixMilli()
	r.fence, r.deadline, r.number, r.ended = 0, 0, 0, nil
	r.running, r.barred, r.changed = map[string]*work{}, map[string]int{}, make(chan struct{})
}

// entry returns what the runner says of itself now.
func (r *runner) entry() entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	state := "ready"
	if r.draining {
		state = "draining"
	}
	return entry{
		Service: r.service, Address: r.address, Zone: r.zone, Version: "1", Slots: 8, State: state, Seq: r.seq,
		Born: r.born, Capacity: r.room, Labels: r.labels,
	}
}

// beat writes the entry of the runner, as long as it lives.
func (r *runner) beat(ctx context.Context) error {
	for ctx.Err() == nil {
		if r.isUp() {
			value, err := json.Marshal(r.entry())
			if err != nil {
				return fmt.Errorf("runner %s: %w", r.id, err)
			}
			r.world.store.put(serversDB, r.id, value)
		}
		sleep(ctx, heartbeat)
	}
	return nil
}

func (r *runner) isUp() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.up
}

func (r *runner) clock() int64 { return time.Since(r.started).Milliseconds() }

// leave empties the runner and takes it away, as the pages say of a planned shutdown.
func (r *runner) leave(ctx context.Context) error {
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
	value, err := json.Marshal(r.entry())
	if err != nil {
		return fmt.Errorf("runner %s: %w", r.id, err)
	}
	r.world.store.put(serversDB, r.id, value)
	sleep(ctx, drainTime+drainMore)
	r.shutDown()
	r.world.store.drop(serversDB, r.id)
	r.world.record.write("runner %s of %s has left", r.id, r.service)
	return nil
}

// lose ends the runner for good. Its entry goes after three heartbeats.
func (r *runner) lose() {
	r.shutDown()
	time.AfterFunc(unlistedTime, func() { r.world.store.drop(serversDB, r.id) })
}

// shutDown ends the process of the runner and all that runs there.
func (r *runner) shutDown() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.up = false
	for task, x := range r.running {
		x.timer.Stop()
		r.world.note(event{kind: "crashed", task: task, run: x.run, runner: r.id})
	}
	r.running = map[string]*work{}
	r.wake()
	if r.hangUp != nil {
		r.hangUp()
	}
}

func (r *runner) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// watchLease kills what runs when the lease has lapsed.
func (r *runner) watchLease(ctx context.Context) error {
	for ctx.Err() == nil {
		r.mu.Lock()
		if r.clock() >= r.deadline {
			for task, x := range r.running {
				r.end(task, x, "lapsed")
			}
		}
		r.mu.Unlock()
		sleep(ctx, leaseLook)
	}
	return nil
}

// end ends a run. The caller holds the lock.
func (r *runner) end(task string, x *work, how string) {
	if r.running[task] != x {
		return
	}
	x.timer.Stop()
	delete(r.running, task)
	r.number++
	r.ended = append(r.ended, end{r.number, task, x.run, how})
	r.barred[task] = max(r.barred[task], x.run)
	r.world.note(event{kind: how, task: task, run: x.run, runner: r.id})
	r.wake()
}

func (r *runner) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	for path, f := range map[string]func(context.Context, order) (int, map[string]any){
		"/-/run-start": r.runStart, "/-/run-stop": r.runStop, "/-/hold": r.hold,
	} {
		m.HandleFunc("POST "+path, func(w http.ResponseWriter, q *http.Request) {
			var o order
			if !r.isUp() {
				panic(http.ErrAbortHandler) // nobody listens there any more
			}
			if err := json.NewDecoder(q.Body).Decode(&o); err != nil {
				respond(w, http.StatusBadRequest, struct{}{})
				return
			}
			if q.Header.Get("Expect-Instance") != r.id {
				respond(w, http.StatusMisdirectedRequest, struct{}{})
				return
			}
			status, a := f(q.Context(), o)
			if status == 0 {
				panic(http.ErrAbortHandler)
			}
			respond(w, status, a)
		})
	}
	return m
}

// extend takes a deadline. The caller holds the lock.
func (r *runner) extend(deadline int64) {
	r.deadline = max(r.deadline, min(deadline, r.clock()+holdMost.Milliseconds()))
}

func (r *runner) answer(reason string) map[string]any {
	a := map[string]any{"clock-ms": r.clock()}
	if reason != "" {
		a["reason"] = reason
	}
	return a
}

func (r *runner) runStart(_ context.Context, o order) (int, map[string]any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.running[o.Task]
	switch {
	case !r.up:
		return 0, nil
	case o.Fence < r.fence:
		return http.StatusConflict, r.answer("fence")
	case x != nil && x.run == o.Run:
		return http.StatusOK, r.answer("")
	case x != nil || o.Run <= r.barred[o.Task]:
		r.extend(o.Deadline)
		return http.StatusConflict, r.answer("old")
	case o.Deadline <= r.clock():
		return http.StatusConflict, r.answer("late")
	}
	r.fence = o.Fence
	r.extend(o.Deadline)
	s, ok := r.world.shapeOf(o.Task)
	if !ok {
		r.world.note(event{kind: "unasked", task: o.Task, run: o.Run, runner: r.id})
	}
	x = &work{run: o.Run, shape: s, begun: time.Now()}
	r.running[o.Task] = x
	r.world.note(event{kind: "start", task: o.Task, run: o.Run, runner: r.id})
	x.timer = time.AfterFunc(max(s.takes, time.Millisecond), func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if !s.lasts {
			r.end(o.Task, x, "done")
		}
	})
	return http.StatusOK, r.answer("")
}

func (r *runner) runStop(_ context.Context, o order) (int, map[string]any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.up {
		return 0, nil
	}
	if o.Fence < r.fence {
		return http.StatusConflict, r.answer("fence")
	}
	r.fence = o.Fence
	r.barred[o.Task] = max(r.barred[o.Task], o.Run)
	if x := r.running[o.Task]; x != nil && x.run <= o.Run && !x.stopping {
		x.stopping = true
		r.world.note(event{kind: "stop", task: o.Task, run: x.run, runner: r.id})
		time.AfterFunc(stopTime, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.end(o.Task, x, "stopped")
		})
	}
	return http.StatusOK, r.answer("")
}

func (r *runner) hold(ctx context.Context, o order) (int, map[string]any) {
	r.mu.Lock()
	if o.Fence < r.fence {
		defer r.mu.Unlock()
		return http.StatusConflict, r.answer("fence")
	}
	r.fence = o.Fence
	r.extend(o.Deadline)
	for len(r.ended) > 0 && r.ended[0].number <= o.Cursor {
		r.ended = r.ended[1:]
	}
	changed, waits := r.changed, len(r.ended) == 0 && o.WaitMS > 0
	r.mu.Unlock()
	if waits {
		t := time.NewTimer(min(mostHoldWait, time.Duration(o.WaitMS)*time.Millisecond))
		defer t.Stop()
		select {
		case <-changed:
		case <-t.C:
		case <-ctx.Done():
			return 0, nil
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.up {
		return 0, nil
	}
	running, ended := [][]any{}, [][]any{}
	for task, x := range r.running {
		running = append(running, []any{task, x.run, "", x.percent(), 0})
	}
	for _, e := range r.ended[:min(mostEnds, len(r.ended))] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	a := r.answer("")
	a["born"], a["running"], a["ended"] = r.born, running, ended
	return http.StatusOK, a
}

// percent returns how far a run is; one that lasts is at work with 100.
func (x *work) percent() int {
	since := time.Since(x.begun)
	if x.shape.lasts {
		if since > startupTime {
			return wholePercent
		}
		return 0
	}
	return int(min(wholePercent-1, wholePercent*since/max(x.shape.takes, time.Millisecond)))
}
