// Command stand runs one case of the review: processes of the scheduler on loopback,
// against stand-ins of the platform's store, the operator, the runners and a client.
//
// It exits with 1 if the rule of the case was broken, 0 if it held and 2 if the case could
// not run.
//
// Usage:
//
//	stand -case NAME -root REPOSITORY -record FILE [-trouble=false]
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"runtime"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2

	longestCase = 108 * time.Second // without the end of the processes
	hostCount   = 3
	rackSize    = 8
	// leadTime is how long the hosts run before the client begins.
	leadTime = 10 * time.Second
)

// world is everything of a case.
type world struct {
	record  *record
	store   *store
	pool    *pool
	hosts   []*host
	client  *client
	trouble bool
	root    string
	logs    string // directory
	address string // of the store
}

// scene is a case: what it needs and what happens. run returns what was broken, "" if
// nothing was.
type scene struct {
	kinds    []string // of the runners
	attempts int
	run      func(context.Context, *world) (string, error)
}

var scenes = map[string]scene{}

func main() {
	runtime.LockOSThread() // the processes end with the thread that started them
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", ".", "the repository")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "with the disruption")
	flag.Parse()
	broken, err := play(*name, *root, *path, *trouble)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "stand:", err)
		os.Exit(exitNotRun)
	case broken != "":
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}

func play(name, root, path string, trouble bool) (string, error) {
	s, ok := scenes[name]
	if !ok {
		return "", fmt.Errorf("no case %q", name)
	}
	r, err := newRecord(path)
	if err != nil {
		return "", err
	}
	logs, err := os.MkdirTemp("", "review-"+name+"-")
	if err != nil {
		return "", fmt.Errorf("directory for logs: %w", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), longestCase)
	defer cancel()
	group, groupCtx := errgroup.WithContext(ctx)
	w := &world{record: r, store: newStore(), trouble: trouble, root: root, logs: logs}
	w.pool = newPool(w.store, r, group)
	broken, err := w.play(groupCtx, group, s)
	err = errors.Join(err, w.endHosts())
	switch {
	case err != nil:
		r.verdict("NOT RUN: %v", err)
	case broken != "":
		r.verdict("BROKEN %s", broken)
	default:
		r.verdict("HELD")
		return "", os.RemoveAll(logs)
	}
	fmt.Println("logs:", logs)
	return broken, err
}

// endHosts ends the processes of the scheduler, all at once.
func (w *world) endHosts() error {
	var group errgroup.Group
	for _, h := range w.hosts {
		group.Go(func() error { return h.end(syscall.SIGTERM) })
	}
	return group.Wait()
}

func (w *world) play(ctx context.Context, group *errgroup.Group, s scene) (string, error) {
	if err := w.open(ctx, group, s); err != nil {
		return "", err
	}
	pause(ctx, leadTime)
	broken, err := s.run(ctx, w)
	if err == nil && ctx.Err() != nil {
		err = fmt.Errorf("the case took too long or a stand-in ended: %w", context.Cause(ctx))
	}
	return broken, err
}

// open starts the stand-ins and then the hosts.
func (w *world) open(ctx context.Context, group *errgroup.Group, s scene) error {
	l, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	w.address = l.Addr().String()
	w.store.put("op", "config", configuration(s.attempts))
	server := &http.Server{Handler: w.store.handler(), ReadHeaderTimeout: longestHold}
	group.Go(func() error {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("store: %w", err)
		}
		return nil
	})
	for i, kind := range s.kinds {
		if _, err := w.pool.add(i, kind); err != nil {
			return err
		}
	}
	group.Go(func() error {
		for ctx.Err() == nil {
			w.pool.advance()
			pause(ctx, stepTime)
		}
		return nil
	})
	w.client = &client{record: w.record}
	for i := range hostCount {
		h, err := newHost(i)
		if err != nil {
			return err
		}
		if err := h.start(w.root, w.logs, w.address, ""); err != nil {
			return err
		}
		w.hosts = append(w.hosts, h)
		w.client.fronts = append(w.client.fronts, h.front)
	}
	return nil
}

// configuration is what the operator writes: one queue without advice.
func configuration(attempts int) map[string]any {
	return map[string]any{
		"version": 4,
		"routes": []map[string]any{{
			"name": queueName, "host": queueHost, "path-prefix": queuePath, "type": "non_idempotent", "timeout-ms": 3000,
			"target-latency-ms": 1000, "priority": 1, "service": service, "max-attempts": attempts, "dilation": 3.0,
		}},
		"services": []map[string]any{{
			"name": service, "health-path": "/health", "max-conns": 64, "protocol": "h1", "tls": false, "preconditions": false, "standby": false,
		}},
		"limits": map[string]int{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}

// submit tells the runners of a job, which is how they know what its tasks do, and hands
// it in.
func (w *world) submit(ctx context.Context, j *job) error {
	w.pool.mu.Lock()
	w.pool.jobs[j.id] = j
	w.pool.mu.Unlock()
	return w.client.submit(ctx, j)
}

// where returns the runners on which a task of a step runs.
func (p *pool) where(id string, step int) []*runner {
	p.mu.Lock()
	defer p.mu.Unlock()
	var at []*runner
	for _, r := range p.runners {
		for t := range r.running {
			if r.up && t.job == id && t.step == step {
				at = append(at, r)
			}
		}
	}
	return at
}

// awaitRunning waits until that many tasks of a job's first step run.
func (w *world) awaitRunning(ctx context.Context, id string, tasks int, most time.Duration) ([]*runner, error) {
	for end := time.Now().Add(most); time.Now().Before(end); pause(ctx, stepTime) {
		if at := w.pool.where(id, 0); len(at) >= tasks {
			return at, nil
		}
	}
	return nil, fmt.Errorf("job %s: %d tasks run after %v, want %d", id, len(w.pool.where(id, 0)), most, tasks)
}

// history returns the events of a job so far.
func (p *pool) history(id string) []runEvent {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(p.events), func(e runEvent) bool { return e.task.job != id })
}
