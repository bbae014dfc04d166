package dispatch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"persimmonworks.example/persimmonworks/agent"
	"persimmonworks.example/persimmonworks/archive"
	"persimmonworks.example/persimmonworks/control"
	"persimmonworks.example/persimmonworks/directory"
	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/fault"
	"persimmonworks.example/persimmonworks/ledger"
	"persimmonworks.example/persimmonworks/provider"
	"persimmonworks.example/persimmonworks/quarantine"
	"persimmonworks.example/persimmonworks/queue"
	"persimmonworks.example/persimmonworks/rack"
	"persimmonworks.example/persimmonworks/relay"
	"persimmonworks.example/persimmonworks/resource"
	"persimmonworks.example/persimmonworks/standin"
	"persimmonworks.example/persimmonworks/wire"
	"persimmonworks.example/persimmonworks/worker"
)

const (
	testLease          = 10 * time.Second
	testShard          = "jobs-1"
	rackTick           = 50 * time.Millisecond
	workerSyncInterval = time.Second
)

// discardEvents is an event.Emitter that does nothing.
type discardEvents struct{}

func (discardEvents) Emit(*event.Event, ...any) {}

var (
	_ event.Emitter = discardEvents{}
	_ RackClient    = (*testBed)(nil)
)

// testBed runs a Dispatcher together with processes that own racks of simulated
// workers. It must be used in a synctest bubble.
type testBed struct {
	ledger  ledger.Ledger
	faults  *fault.Injector
	objects standin.Objects
	table   *flakyTable
	agents  map[string]*agent.Agent
	hosts   map[string][]provider.Host // by rack
	group   sync.WaitGroup

	mutex  sync.Mutex // guards the fields below, in place of the control loops of the processes
	random *rand.Rand
	groups map[string]*rack.Group // by process
	owners map[string]string      // process by rack
	epochs map[string]uint64      // by rack
	racks  []string
	// Until lossyUntil, messages between processes may be lost, be delayed or lose
	// their answer.
	lossyUntil       time.Time
	shortReserve     float64 // share of each rack that is reserved for short tasks
	workerMessages   int     // messages to workers so far
	workerBytes      int
	unreachableUntil map[string]time.Time // by process

	dispatcher *Dispatcher
	valid      *bool
	cancel     context.CancelFunc
	stopped    chan struct{}
	epoch      uint64
}

// newTestBed returns a testBed with the given number of processes, which own one
// rack each, and of workers per rack.
func newTestBed(processes, workers int) *testBed {
	return newTestBedWithCapacity(processes, workers, resource.Vector{MilliCPU: 4000, MemoryMB: 4000})
}

func newTestBedWithCapacity(processes, workers int, capacity resource.Vector) *testBed {
	b := &testBed{
		faults: fault.NewInjector(), agents: map[string]*agent.Agent{}, hosts: map[string][]provider.Host{},
		random: rand.New(rand.NewPCG(1, 2)), groups: map[string]*rack.Group{}, owners: map[string]string{}, epochs: map[string]uint64{},
		unreachableUntil: map[string]time.Time{}, table: &flakyTable{Table: &standin.Table{}, random: rand.New(rand.NewPCG(3, 4))},
	}
	for i := range processes {
		name, process := fmt.Sprintf("rack-%d", i), fmt.Sprintf("e%d", i)
		b.groups[process] = newRackGroup()
		for j := range workers {
			id := fmt.Sprintf("w%d-%d", i, j)
			b.agents[id] = &agent.Agent{ID: id, Capacity: capacity, Ledger: &b.ledger, Faults: b.faults}
			b.hosts[name] = append(b.hosts[name], provider.Host{ID: id, Rack: name, DataCentre: "dc1", Address: id, Capacity: capacity})
		}
		b.racks = append(b.racks, name)
		b.assignRack(name, process)
	}
	b.startDispatcher()
	return b
}

func newRackGroup() *rack.Group {
	return &rack.Group{Quarantine: &quarantine.Tracker{ShareLimit: 0.25, InitialQuarantine: 2 * time.Minute}}
}

// assignRack makes a process the owner of a rack, under a new epoch. The previous
// owner sends no messages to the rack any more.
func (b *testBed) assignRack(name, process string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if old, ok := b.groups[b.owners[name]]; ok {
		old.Remove(name)
	}
	b.epochs[name]++
	r := &rack.Rack{Name: name, Epoch: b.epochs[name], Lease: testLease, MaxTransit: 3 * time.Second, Reserve: b.shortReserve}
	r.SetPreviousOwnerEnd(time.Now())
	r.SetHosts(b.hosts[name], time.Now())
	b.owners[name] = process
	b.groups[process].Add(r)
}

// restartProcess discards the state of a process. Each of its racks is assigned
// to the process that next returns for it.
func (b *testBed) restartProcess(process string, next func(string) string) {
	b.mutex.Lock()
	b.groups[process] = newRackGroup()
	var owned []string
	for name, owner := range b.owners {
		if owner == process {
			owned = append(owned, name)
		}
	}
	b.mutex.Unlock()
	for _, name := range owned {
		b.assignRack(name, next(name))
	}
}

// startDispatcher starts a new owner of the job shard, under a new epoch. The
// previous one must have ended.
func (b *testBed) startDispatcher() {
	b.epoch++
	ctx, cancel := context.WithCancel(context.Background())
	loop, valid := control.New(), true
	d := &Dispatcher{
		Loop: loop, Table: b.table, Objects: &b.objects, Process: fmt.Sprintf("d%d", b.epoch), DataCentre: "dc1", Racks: b,
		Valid: func(time.Time) bool { return valid }, Queue: &queue.Queue{}, Directory: &directory.Directory{}, Log: discardEvents{}, LongTaskThreshold: 10 * time.Second,
		Rand: rand.New(rand.NewPCG(b.epoch, 0)), Retention: time.Hour,
		Archive: &archive.Store[ArchivedJob]{Table: b.table, Objects: &b.objects},
	}
	done := make(chan struct{})
	var g errgroup.Group
	g.Go(func() error { return loop.Run(ctx) })
	g.Go(func() error { return d.Run(ctx) })
	g.Go(func() error {
		return loop.Every(ctx, 250*time.Millisecond, func() { b.advertise(d) })
	})
	b.group.Go(func() {
		_ = g.Wait() // all functions return nil when ctx is done
		close(done)
	})
	b.mutex.Lock()
	b.dispatcher, b.valid, b.cancel, b.stopped = d, &valid, cancel, done
	b.mutex.Unlock()
	epoch := b.epoch
	loop.Post(func() { d.AddShard(testShard, epoch) })
}

// killDispatcher stops the owner of the job shard without a shutdown.
func (b *testBed) killDispatcher() {
	b.cancel()
	<-b.stopped
}

// advertise updates the directory of d with the free capacity of all racks.
func (b *testBed) advertise(d *Dispatcher) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, g := range b.groups {
		for r := range g.All {
			d.Directory.Update(directory.Summary{Shard: r.Name, Rack: r.Name, DataCentre: "dc1", Largest: r.Largest(), LargestLong: r.LargestLong(), Free: r.Free()})
		}
	}
}

// Owners implements RackClient.
func (b *testBed) Owners() map[string]RackOwner {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	all := make(map[string]RackOwner, len(b.owners))
	for name, process := range b.owners {
		all[name] = RackOwner{Process: process, Epoch: b.epochs[name]}
		if time.Now().Before(b.unreachableUntil[process]) && b.random.IntN(2) == 0 {
			all[name] = RackOwner{} // as if the end of its session had been noticed
		}
	}
	return all
}

// Sync implements RackClient. Until lossyUntil, a message may be lost, arrive long
// after its sender has timed out, or arrive while its answer is lost.
func (b *testBed) Sync(ctx context.Context, process string, s *wire.TaskSync) (*wire.TaskReport, *wire.Refusal, error) {
	b.mutex.Lock()
	failure, delay := 0, time.Duration(b.random.Int64N(int64(20*time.Second)))
	if time.Now().Before(b.lossyUntil) {
		failure = b.random.IntN(6)
	}
	if time.Now().Before(b.unreachableUntil[process]) {
		failure = 1
	}
	b.mutex.Unlock()
	switch failure {
	case 1:
		return nil, nil, relay.ErrNotSent
	case 2:
		<-ctx.Done()
		return nil, nil, ctx.Err()
	case 3:
		b.group.Go(func() {
			time.Sleep(delay)
			b.deliver(process, s)
		})
		<-ctx.Done()
		return nil, nil, ctx.Err()
	case 4:
		b.deliver(process, s)
		<-ctx.Done()
		return nil, nil, ctx.Err()
	}
	time.Sleep(time.Millisecond)
	report, refused := b.deliver(process, s)
	return report, refused, nil
}

// deliver passes a message to the racks of a process.
func (b *testBed) deliver(process string, s *wire.TaskSync) (*wire.TaskReport, *wire.Refusal) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.groups[process].Sync(s, time.Now(), b.random)
}

// runFor exchanges messages between racks and workers for the given time.
func (b *testBed) runFor(length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(rackTick) {
		b.syncWorkers()
	}
}

// syncWorkers starts the messages to all workers that are due for one.
func (b *testBed) syncWorkers() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := time.Now()
	for _, g := range b.groups {
		for r := range g.All {
			for _, id := range r.DueWorkers(workerSyncInterval, now) {
				if s, ok := r.NextSync(id, now); ok {
					b.group.Go(func() { b.syncWorker(g, r, id, s) })
				}
			}
		}
	}
}

// syncWorker sends a message to a worker and handles the answer.
func (b *testBed) syncWorker(g *rack.Group, r *rack.Rack, id string, s worker.Sync) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	report, err := b.agents[id].Sync(ctx, s)
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.workerMessages, b.workerBytes = b.workerMessages+1, b.workerBytes+jsonSize(s)+jsonSize(report)+headerBytes
	if current, ok := g.Rack(r.Name); !ok || current != r {
		return
	}
	changed, stale := r.HandleReport(id, s, report, err, time.Now())
	if stale == nil {
		g.QueueUpdates(r, changed, time.Now())
		g.ApplyQuarantine(time.Now())
		g.PlacePending(time.Now(), b.random)
	}
}

// headerBytes approximates the size of the headers of a request and its response.
const headerBytes = 400

func jsonSize(v any) int {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return len(body)
}

// workerTraffic returns the number of messages to workers so far and their total
// size with answers.
func (b *testBed) workerTraffic() (messages, bytes int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.workerMessages, b.workerBytes
}

// setFaults applies a change to the injected faults, given as JSON.
func (b *testBed) setFaults(change string) {
	if err := b.faults.Apply([]byte(change)); err != nil {
		panic(err)
	}
}

// jobAndTasks returns the views of a job and of its tasks.
func (b *testBed) jobAndTasks(id string) (v JobView, tasks []TaskView, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	v, here, err := b.dispatcher.Job(ctx, id)
	if err == nil && !here {
		err = errors.New("job not found")
	}
	if err == nil {
		tasks, _, err = b.dispatcher.Tasks(ctx, id, 0, 1000)
	}
	return v, tasks, err
}

// shutDown stops the dispatcher and the workers. It returns the violations that
// the ledger of all runs shows.
func (b *testBed) shutDown() (violations []string) {
	b.killDispatcher()
	b.setFaults(`{}`)
	for _, a := range b.agents {
		a.Crash()
	}
	b.group.Wait()
	for _, v := range ledger.Check(b.ledger.Entries()) {
		violations = append(violations, v.String())
	}
	return violations
}
