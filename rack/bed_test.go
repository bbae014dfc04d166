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

// bed is a rack with agents, and an owner of jobs that starts attempt n + 1 of
// a task once the rack has said that attempt n has ended. It runs in a
// synctest bubble.
type bed struct {
	ledger ledger.Ledger
	board  *fault.Board
	agents map[string]*agent.Agent
	hosts  []provider.Host
	stop   chan struct{}
	group  sync.WaitGroup
	random *rand.Rand

	mutex   sync.Mutex
	rack    *Rack
	paused  bool // the owner of the rack sends nothing
	missing bool // tasks are to be looked for on a new rack
	tasks   map[string]*testTask
	order   []string
	faults  []string // of the rack, beside what the ledger shows

	// dropped, when set, tells whether a request to a worker and its answer are
	// lost, and how late the request arrives.
	dropped func(id string) (request, answer bool, late time.Duration)
}

type testTask struct {
	work    string
	attempt uint64
	placed  bool
	ended   bool
	kept    bool // ended and not acknowledged yet
	done    bool
	worker  string
}

func newBed(workers int) *bed {
	b := &bed{board: fault.NewBoard(), agents: map[string]*agent.Agent{}, stop: make(chan struct{}), tasks: map[string]*testTask{}, random: rand.New(rand.NewPCG(1, 2))}
	capacity := resource.Vector{MilliCPU: 2 * testDemand, MemoryMB: 100}
	for i := range workers {
		id := fmt.Sprintf("w%d", i+1)
		b.agents[id] = &agent.Agent{ID: id, Capacity: capacity, Ledger: &b.ledger, Faults: b.board, Stopping: b.stop}
		b.hosts = append(b.hosts, provider.Host{ID: id, Rack: "r1", DataCentre: "dc1", Address: id, Capacity: capacity})
	}
	b.takeOver(1)
	return b
}

// takeOver puts a new owner in the place of the old one, which has just sent
// its last message.
func (b *bed) takeOver(epoch uint64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.rack = &Rack{Name: "rack-r1", Epoch: epoch, Lease: testLease, Transit: testTransit}
	b.rack.AllowWaitOut(time.Now())
	b.rack.SetHosts(b.hosts, time.Now())
	b.missing = true
}

func (b *bed) apply(change string) {
	if err := b.board.Apply([]byte(change)); err != nil {
		panic(err)
	}
}

func (b *bed) submit(id, work string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tasks[id] = &testTask{work: work, attempt: 1}
	b.order = append(b.order, id)
}

// run drives the bed for a while.
func (b *bed) run(length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(testTick) {
		b.step()
	}
}

func (b *bed) step() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := time.Now()
	if b.paused {
		return
	}
	b.search()
	b.place(now)
	for _, id := range b.rack.Due(time.Second, now) {
		if s, ok := b.rack.Outbox(id, now); ok {
			r := b.rack
			b.group.Go(func() { b.send(r, id, s) })
		}
	}
}

// search ends the attempts that a complete new rack does not have.
func (b *bed) search() {
	if !b.missing || !b.rack.Complete() {
		return
	}
	b.missing = false
	for _, id := range b.order {
		t := b.tasks[id]
		a, here := b.rack.Attempt(worker.Ref{Task: id, Attempt: t.attempt})
		switch {
		case !t.placed || t.ended:
		case !here:
			t.attempt, t.placed = t.attempt+1, false
		case a.Final():
			b.end(a)
		}
	}
}

func (b *bed) place(now time.Time) {
	if b.missing {
		return
	}
	for _, id := range b.order {
		t := b.tasks[id]
		if t.placed || t.ended {
			continue
		}
		s := worker.Start{Ref: worker.Ref{Task: id, Attempt: t.attempt}, JobShard: "j", Demand: resource.Vector{MilliCPU: testDemand, MemoryMB: 10}, Work: []byte(t.work)}
		if _, err := b.rack.Place(s, Wish{}, now, b.random); err == nil {
			t.placed = true
		}
	}
}

// send carries a message. Its sender gives up after the transit time, but the
// message may arrive later.
func (b *bed) send(r *Rack, id string, s worker.Sync) {
	ctx, cancel := context.WithTimeout(context.Background(), testTransit)
	defer cancel()
	var lostRequest, lostAnswer bool
	var late time.Duration
	if b.dropped != nil {
		b.mutex.Lock()
		lostRequest, lostAnswer, late = b.dropped(id)
		b.mutex.Unlock()
	}
	type answer struct {
		report worker.Report
		err    error
	}
	answers := make(chan answer, 1)
	b.group.Go(func() {
		time.Sleep(late)
		if lostRequest {
			return
		}
		report, err := b.agents[id].Sync(ctx, s)
		if !lostAnswer {
			answers <- answer{report, err}
		}
	})
	got := answer{err: worker.ErrUnreachable}
	select {
	case got = <-answers:
	case <-ctx.Done():
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	changed, err := r.Answer(id, s, got.report, got.err, time.Now())
	if r != b.rack || err != nil {
		return
	}
	for _, a := range changed {
		if a.Final() {
			b.end(a)
		}
	}
}

// end takes in that an attempt has ended.
func (b *bed) end(a *Attempt) {
	t := b.tasks[a.Task]
	if t == nil || t.attempt != a.Ref.Attempt || t.ended || b.missing {
		return
	}
	if a.End.State == worker.Refused {
		b.faults = append(b.faults, fmt.Sprintf("task %s attempt %d was refused by worker %s: %s", a.Task, a.Ref.Attempt, a.Worker, a.Reason))
	}
	if a.State == Ended && a.End.State == worker.Done {
		t.ended, t.done, t.kept, t.worker = true, true, true, a.Worker
		return // acknowledged when the schedule says so
	}
	b.rack.Acknowledge(a.Ref)
	t.attempt, t.placed = t.attempt+1, false
}

// close lets everything end, and returns what was broken.
func (b *bed) close() []string {
	close(b.stop)
	b.group.Wait()
	for _, a := range b.agents {
		a.Lose()
	}
	found := b.faults
	for _, v := range ledger.Check(b.ledger.Entries()) {
		found = append(found, v.String())
	}
	return found
}
