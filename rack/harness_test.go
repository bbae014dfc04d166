package rack

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"persimmonworks.example/persimmonworks/agent"
	"persimmonworks.example/persimmonworks/fault"
	"persimmonworks.example/persimmonworks/ledger"
	"persimmonworks.example/persimmonworks/provider"
	"persimmonworks.example/persimmonworks/resource"
	"persimmonworks.example/persimmonworks/worker"
)

const (
	testLease   = 10 * time.Second
	testTransit = 3 * time.Second
	testTick    = 250 * time.Millisecond
	testDemand  = 1000 // thousandths of a core of each task
)

// testCluster simulates a rack, the agents of its workers, and a job owner that
// starts attempt n + 1 of a task once the rack reports that attempt n has
// ended. It must run in a synctest bubble.
type testCluster struct {
	ledger ledger.Ledger
	faults *fault.Injector
	agents map[string]*agent.Agent
	hosts  []provider.Host
	stop   chan struct{}
	group  sync.WaitGroup
	random *rand.Rand

	mutex         sync.Mutex
	rack          *Rack
	paused        bool // the rack's owner sends no messages
	mustReconcile bool // a new owner has to look up the tasks on its rack
	tasks         map[string]*testTask
	order         []string
	violations    []string // found on the rack, in addition to those in the ledger

	// networkFault, if set, decides whether a request to a worker and its
	// response are lost, and by how much the request is delayed.
	networkFault func(id string) (request, response bool, delay time.Duration)
}

type testTask struct {
	work           string
	attempt        uint64
	placed         bool
	ended          bool
	unacknowledged bool // finished, and the result is not acknowledged yet
	done           bool
	worker         string
}

func newTestCluster(workers int) *testCluster {
	b := &testCluster{faults: fault.NewInjector(), agents: map[string]*agent.Agent{}, stop: make(chan struct{}), tasks: map[string]*testTask{}, random: rand.New(rand.NewPCG(1, 2))}
	capacity := resource.Vector{MilliCPU: 2 * testDemand, MemoryMB: 100}
	for i := range workers {
		id := fmt.Sprintf("w%d", i+1)
		b.agents[id] = &agent.Agent{ID: id, Capacity: capacity, Ledger: &b.ledger, Faults: b.faults, Stopping: b.stop}
		b.hosts = append(b.hosts, provider.Host{ID: id, Rack: "r1", DataCentre: "dc1", Address: id, Capacity: capacity})
	}
	b.takeOver(1)
	return b
}

// takeOver replaces the owner of the rack. The old owner has just sent its last
// message.
func (b *testCluster) takeOver(epoch uint64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.rack = &Rack{Name: "rack-r1", Epoch: epoch, Lease: testLease, MaxTransit: testTransit}
	b.rack.SetPreviousOwnerEnd(time.Now())
	b.rack.SetHosts(b.hosts, time.Now())
	b.mustReconcile = true
}

func (b *testCluster) applyFault(change string) {
	if err := b.faults.Apply([]byte(change)); err != nil {
		panic(err)
	}
}

func (b *testCluster) submit(id, work string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tasks[id] = &testTask{work: work, attempt: 1}
	b.order = append(b.order, id)
}

// run advances the simulation by the given duration.
func (b *testCluster) run(length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(testTick) {
		b.step()
	}
}

func (b *testCluster) step() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := time.Now()
	if b.paused {
		return
	}
	b.reconcile()
	b.place(now)
	for _, id := range b.rack.DueWorkers(time.Second, now) {
		if s, ok := b.rack.NextSync(id, now); ok {
			r := b.rack
			b.group.Go(func() { b.send(r, id, s) })
		}
	}
}

// reconcile looks up the tasks on a new owner's rack once its inventory is
// complete, and retries those whose attempt is missing.
func (b *testCluster) reconcile() {
	if !b.mustReconcile || !b.rack.InventoryComplete() {
		return
	}
	b.mustReconcile = false
	for _, id := range b.order {
		t := b.tasks[id]
		a, found := b.rack.Attempt(worker.Ref{Task: id, Attempt: t.attempt})
		switch {
		case !t.placed || t.ended:
		case !found:
			t.attempt, t.placed = t.attempt+1, false
		case a.Final():
			b.handleEnd(a)
		}
	}
}

func (b *testCluster) place(now time.Time) {
	if b.mustReconcile {
		return
	}
	for _, id := range b.order {
		t := b.tasks[id]
		if t.placed || t.ended {
			continue
		}
		s := worker.Start{Ref: worker.Ref{Task: id, Attempt: t.attempt}, JobShard: "j", Demand: resource.Vector{MilliCPU: testDemand, MemoryMB: 10}, Work: []byte(t.work)}
		if _, err := b.rack.Place(s, Preferences{}, now, b.random); err == nil {
			t.placed = true
		}
	}
}

// send delivers a message. The sender times out after testTransit, but the
// message may still arrive later.
func (b *testCluster) send(r *Rack, id string, s worker.Sync) {
	ctx, cancel := context.WithTimeout(context.Background(), testTransit)
	defer cancel()
	var lostRequest, lostResponse bool
	var delay time.Duration
	if b.networkFault != nil {
		b.mutex.Lock()
		lostRequest, lostResponse, delay = b.networkFault(id)
		b.mutex.Unlock()
	}
	type response struct {
		report worker.Report
		err    error
	}
	responses := make(chan response, 1)
	b.group.Go(func() {
		time.Sleep(delay)
		if lostRequest {
			return
		}
		report, err := b.agents[id].Sync(ctx, s)
		if !lostResponse {
			responses <- response{report, err}
		}
	})
	got := response{err: worker.ErrUnreachable}
	select {
	case got = <-responses:
	case <-ctx.Done():
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	changed, err := r.HandleReport(id, s, got.report, got.err, time.Now())
	if r != b.rack || err != nil {
		return
	}
	for _, a := range changed {
		if a.Final() {
			b.handleEnd(a)
		}
	}
}

// handleEnd updates a task after its attempt has ended, and retries the task
// unless it succeeded.
func (b *testCluster) handleEnd(a *Attempt) {
	t := b.tasks[a.Task]
	if t == nil || t.attempt != a.Ref.Attempt || t.ended || b.mustReconcile {
		return
	}
	if a.LastReport.State == worker.Refused {
		b.violations = append(b.violations, fmt.Sprintf("task %s attempt %d was refused by worker %s: %s", a.Task, a.Ref.Attempt, a.Worker, a.Reason))
	}
	if a.State == Ended && a.LastReport.State == worker.Done {
		t.ended, t.done, t.unacknowledged, t.worker = true, true, true, a.Worker
		return // acknowledged by a later "acknowledge" event
	}
	b.rack.Acknowledge(a.Ref)
	t.attempt, t.placed = t.attempt+1, false
}

// close stops all agents and returns the violations found.
func (b *testCluster) close() []string {
	close(b.stop)
	b.group.Wait()
	for _, a := range b.agents {
		a.Crash()
	}
	found := b.violations
	for _, v := range ledger.Check(b.ledger.Entries()) {
		found = append(found, v.String())
	}
	return found
}
