package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	loopback      = "127.0.0.1:0"
	headerTimeout = 5 * time.Second
	queueHost     = "jobs.example"
	queuePath     = "/batch/"
	urgentPath    = "/urgent/"
	serviceName   = "jobs-a"
	otherService  = "jobs-b"
	runnersARack  = 8
	bodyBytes     = 262144 // of a call, by the configuration
)

// record is the file of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	return &record{file: f, begun: time.Now()}, nil
}

// write adds a line with the time since the record was begun.
func (r *record) write(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(line) // a record that cannot be written shows itself
	fmt.Print(line)
}

// shape is what the runners have to know of a step's tasks.
type shape struct {
	takes time.Duration
	lasts bool
}

// event is something that happened on a runner.
type event struct {
	at     time.Time
	kind   string // start, stop, unasked, crashed, or how a run ended
	task   string
	run    int
	runner string
}

// world is the platform: store, runners and what they have seen.
type world struct {
	record  *record
	group   *errgroup.Group
	store   *store
	address string // of the store
	runners []*runner
	// secondFrom is the number of the first runner of the other service, 0 for none.
	secondFrom int

	mu     sync.Mutex
	shapes map[string][]shape // by job
	events []event
}

func newWorld(r *record, group *errgroup.Group) *world {
	return &world{record: r, group: group, store: newStore(r), shapes: map[string][]shape{}}
}

// run starts the store, writes the first configuration and starts the runners.
func (w *world) run(ctx context.Context, runners int) error {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	w.address = l.Addr().String()
	w.serve(ctx, l, w.store.handler())
	if err := w.configure(1, serviceName); err != nil {
		return err
	}
	zones := []string{"zone-a", "zone-b", "zone-c"}
	for i := range runners {
		service := serviceName
		if w.secondFrom > 0 && i >= w.secondFrom {
			service = otherService
		}
		rack := fmt.Sprintf("r%d-%d", i%len(zones), i/len(zones)/runnersARack)
		r := &runner{
			world: w, id: fmt.Sprintf("runner-%02d", i), service: service, zone: zones[i%len(zones)],
			labels: []string{"a", rack}, room: capacity{MilliCPU: 16000, MemoryMB: 32768},
		}
		w.runners = append(w.runners, r)
		if err := r.start(ctx); err != nil {
			return err
		}
	}
	return nil
}

// configure writes a configuration as the operator does, in which the queues go to a service.
func (w *world) configure(version int, service string) error {
	route := func(name, path string, priority int) map[string]any {
		return map[string]any{
			"name": name, "host": queueHost, "path-prefix": path, "priority": priority, "service": service,
			"max-attempts": 4, "dilation": 3.0, "target-latency-ms": 1000,
		}
	}
	value, err := json.Marshal(map[string]any{
		"version":  version,
		"routes":   []any{route("batch", queuePath, 1), route("urgent", urgentPath, 0)},
		"services": []any{map[string]any{"name": serviceName, "preconditions": false}, map[string]any{"name": otherService, "preconditions": false}},
		"limits":   map[string]any{"max-body-bytes": bodyBytes},
	})
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	w.store.put(operatorDB, "config", value)
	return nil
}

// serve serves a listener until ctx ends.
func (w *world) serve(ctx context.Context, l net.Listener, h http.Handler) {
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	w.group.Go(func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve %s: %w", l.Addr(), err)
		}
		return nil
	})
	w.group.Go(func() error {
		<-ctx.Done()
		return s.Close()
	})
}

// expect tells the runners what the tasks of a job are like.
func (w *world) expect(job string, shapes ...shape) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.shapes[job] = shapes
}

// shapeOf returns what a task is like, or false if no client has sent it.
func (w *world) shapeOf(task string) (shape, bool) {
	job, rest, _ := strings.Cut(task, ".")
	fields := strings.Split(rest, ".")
	w.mu.Lock()
	defer w.mu.Unlock()
	shapes := w.shapes[job]
	if len(fields) < 3 {
		return shape{takes: time.Second}, false
	}
	step, err := strconv.Atoi(fields[1])
	if err != nil || step >= len(shapes) {
		return shape{takes: time.Second}, false
	}
	return shapes[step], true
}

func (w *world) note(e event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e.at = time.Now()
	w.events = append(w.events, e)
}

// eventsOf returns what has happened to the tasks whose names begin so.
func (w *world) eventsOf(prefix string) []event {
	w.mu.Lock()
	defer w.mu.Unlock()
	var found []event
	for _, e := range w.events {
		if strings.HasPrefix(e.task, prefix) {
			found = append(found, e)
		}
	}
	return found
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
