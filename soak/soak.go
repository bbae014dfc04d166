// Package soak runs whole processes of the scheduler against stand-ins of the
// platform and breaks things from outside, by a plan drawn from a seed: processes
// are killed, stopped, paused and restarted, connections to the store delayed,
// reset, silenced or cut one way, workers cut off, restarted, or made to carry
// orders out late or to lose answers, and the operator adds and drops queues.
//
// What callers and workers see is judged while it runs: an accepted job is never
// unknown and ends, a refused one never runs, no task runs twice at a time or after
// its end was confirmed, no worker holds more than it has room for, steps keep
// their order, gangs are whole, a configuration is in force in time wherever nothing is
// broken, and no process goes back to an older one.
//
// Usage:
//
//	r, err := soak.Soak{Binary: path, Seed: 7, Processes: 6, Workers: 24, Length: 20 * time.Second, Directory: dir}.Run(ctx)
//	for _, b := range r.Broken { fmt.Println(b) }
package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"persimmonworks.example/persimmonworks/docket"
	"persimmonworks.example/persimmonworks/fleettest"
	"persimmonworks.example/persimmonworks/pause"
	"persimmonworks.example/persimmonworks/platform/counterpart"
)

const (
	workerMilliCPU = 16000
	workerMemoryMB = 32768
	taskLeast      = 100 * time.Millisecond
	taskMost       = 1500 * time.Millisecond
	longEvery      = 12 // one task in so many outlasts leases
	longLeast      = 3 * time.Second
	longMost       = 8 * time.Second
	startUp        = 4 * time.Second  // until the processes have divided the workers
	settle         = 40 * time.Second // for all jobs to end once nothing is broken any more
	look           = 200 * time.Millisecond
	crashEvery     = 80                     // one task in so many crashes each worker that starts it
	crashMost      = 500 * time.Millisecond // after the start
	failEvery      = 40                     // one run in so many fails
)

// Soak is one run. All fields must be set.
type Soak struct {
	Binary    string // the program
	Seed      uint64
	Processes int
	Workers   int
	Length    time.Duration // while things are broken
	Directory string        // for settings and logs of the processes
}

// Report says what a run did.
type Report struct {
	Seed                          uint64
	Accepted, Refused, Unanswered int // jobs
	Starts                        int // of tasks
	Probes                        int // answers that were judged by the configuration
	Faults                        []string
	Broken                        []string // promises, empty if all were kept
}

// run is the state of a run.
type run struct {
	Soak
	store    *fleettest.Store
	fleet    *fleettest.Fleet
	platform *counterpart.Platform
	hosts    []*host
	clients  []*client
	operator *operator
	stuck    bool // an accepted job has not ended

	mu     sync.Mutex
	faults []string
	broken []string
}

// Run runs it. The error is not nil if the run could not be made; broken promises
// are in the report.
func (s Soak) Run(ctx context.Context) (Report, error) {
	records := fleettest.NewStore()
	r := &run{Soak: s, store: records.Path(), fleet: fleettest.New(s.Workers, workerMilliCPU, workerMemoryMB)}
	r.fleet.Takes = r.takes
	r.fleet.Fails, r.fleet.Crashes, r.fleet.KeepNames = r.fails, r.crashes, s.Seed%2 == 0
	r.platform = &counterpart.Platform{Records: records, Store: r.store, Fleet: r.fleet}
	if err := os.MkdirAll(s.Directory, 0o755); err != nil {
		return Report{}, fmt.Errorf("soak: %w", err)
	}
	if err := r.platform.Listen(); err != nil {
		return Report{}, err
	}
	for i := range s.Workers {
		r.fleet.Worker(i).RestartAs(usualKind)
		r.fleet.Worker(i).Overwrite(nil)
	}
	err := r.play(ctx)
	return r.report(), err
}

// play runs the platform, the processes, the faults and the callers.
func (r *run) play(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.platform.Run(ctx) })
	const each = 3
	ports, err := freePorts(each * r.Processes)
	if err != nil {
		return err
	}
	for i := range r.Processes {
		h, err := newHost(r, i, ports[each*i:])
		if err != nil {
			return err
		}
		r.hosts = append(r.hosts, h)
		group.Go(func() error { return h.proxy.Run(ctx) })
		if err := h.start(); err != nil {
			return err
		}
	}
	group.Go(func() error {
		defer cancel()
		return r.story(ctx)
	})
	err = group.Wait()
	for _, h := range r.hosts {
		if r.stuck {
			h.dump()
		}
		h.kill()
	}
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// story lets the processes start, breaks things while callers call, and waits for
// all that was accepted.
func (r *run) story(ctx context.Context) error {
	pause.For(ctx, startUp)
	calling, stop := context.WithTimeout(ctx, r.Length)
	defer stop()
	var group errgroup.Group
	for i := range r.Processes {
		c := newClient(r, i)
		r.clients = append(r.clients, c)
		group.Go(func() error { return c.call(calling) })
	}
	r.operator = newOperator(r)
	group.Go(func() error { return r.operator.change(calling) })
	group.Go(func() error { return r.operator.probe(calling) })
	group.Go(func() error { return r.breakThings(calling) })
	if err := group.Wait(); err != nil {
		return err
	}
	r.awaitEnds(ctx)
	return nil
}

// awaitEnds waits until every accepted job has ended.
func (r *run) awaitEnds(ctx context.Context) {
	end := time.Now().Add(settle)
	for _, c := range r.clients {
		for _, j := range c.accepted {
			for ctx.Err() == nil {
				state := docket.State(c.ask(ctx, j))
				if state == docket.Failed && !r.fleet.HasFailed(j.GetJob()) {
					r.fault("job %s is shown as failed without a cause", j.GetJob())
				}
				if state == docket.Completed || state == docket.Failed || state == docket.Cancelled {
					break
				}
				if time.Now().After(end) {
					r.stuck = true
					r.fault("job %s was accepted and is %q %v after the last fault", j.GetJob(), state, settle)
					break
				}
				pause.For(ctx, look)
			}
		}
	}
}

// takes and fails depend on the task alone, so that a seed gives the same work. A worker
// that fails a run of a step fails it for all its tasks, so also for all members of a gang.
func (r *run) takes(t docket.TaskID) time.Duration {
	if rng := r.draw("long " + t.String()); rng.IntN(longEvery) == 0 {
		return longLeast + time.Duration(rng.Int64N(int64(longMost-longLeast)))
	}
	return taskLeast + time.Duration(r.draw(t.String()).Int64N(int64(taskMost-taskLeast)))
}

func (r *run) fails(t docket.TaskID, worker string, number uint32) bool {
	return r.draw(fmt.Sprint(t.StepID(), worker, number)).IntN(failEvery) == 0
}

// crashes says how long after its start a task crashes its worker.
func (r *run) crashes(t docket.TaskID) time.Duration {
	rng := r.draw("crash " + t.String())
	if rng.IntN(crashEvery) > 0 {
		return 0
	}
	return time.Duration(1 + rng.Int64N(int64(crashMost)))
}

func (r *run) draw(name string) *rand.Rand {
	sum := r.Seed
	for _, b := range []byte(name) {
		sum = sum*1099511628211 ^ uint64(b)
	}
	return rand.New(rand.NewPCG(r.Seed, sum))
}

func (r *run) fault(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, fmt.Sprintf(format, args...))
}

func (r *run) report() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := Report{Seed: r.Seed, Starts: r.fleet.Starts(), Faults: r.faults, Broken: append(r.broken, r.fleet.Broken()...)}
	for _, c := range r.clients {
		report.Accepted += len(c.accepted)
		report.Refused += c.refused
		report.Unanswered += c.unanswered
	}
	if r.operator != nil {
		report.Probes = r.operator.probes
	}
	return report
}
