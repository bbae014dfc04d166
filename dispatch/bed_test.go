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
	testLease = 10 * time.Second
	testShard = "jobs-1"
	rackTick  = 50 * time.Millisecond
	syncEvery = time.Second
)

type quiet struct{}

func (quiet) Emit(*event.Event, ...any) {}

var (
	_ event.Emitter = quiet{}
	_ Racks         = (*bed)(nil)
)

// bed is a Desk with processes that own racks of stand-in agents. It runs in
// a synctest bubble.
type bed struct {
	ledger  ledger.Ledger
	board   *fault.Board
	objects standin.Objects
	table   *bedTable
	agents  map[string]*agent.Agent
	hosts   map[string][]provider.Host // by rack
	group   sync.WaitGroup

	mutex  sync.Mutex // guards all below, as each process's control loop would
	random *rand.Rand
	groups map[string]*rack.Group // by process
	owners map[string]string      // process by rack
	epochs map[string]uint64      // by rack
	racks  []string
	// unfair holds until when messages between processes are dropped, late, or
	// answered in vain.
	unfairUntil time.Time
	reserve     float64 // of each worker for short work
	messages    int     // to workers
	bytes       int
	cut         map[string]time.Time // processes that cannot be reached

	desk  *Desk
	valid *bool
	end   context.CancelFunc
	done  chan struct{}
	epoch uint64
}

// newBed returns a bed with so many processes, each with one rack.
func newBed(processes, workers int) *bed {
	return newBedOf(processes, workers, resource.Vector{MilliCPU: 4000, MemoryMB: 4000})
}

func newBedOf(processes, workers int, capacity resource.Vector) *bed {
	b := &bed{
		board: fault.NewBoard(), agents: map[string]*agent.Agent{}, hosts: map[string][]provider.Host{},
		random: rand.New(rand.NewPCG(1, 2)), groups: map[string]*rack.Group{}, owners: map[string]string{}, epochs: map[string]uint64{},
		cut: map[string]time.Time{}, table: &bedTable{Table: &standin.Table{}, random: rand.New(rand.NewPCG(3, 4))},
	}
	for i := range processes {
		name, process := fmt.Sprintf("rack-%d", i), fmt.Sprintf("e%d", i)
		b.groups[process] = newGroup()
		for k := range workers {
			id := fmt.Sprintf("w%d-%d", i, k)
			b.agents[id] = &agent.Agent{ID: id, Capacity: capacity, Ledger: &b.ledger, Faults: b.board}
			b.hosts[name] = append(b.hosts[name], provider.Host{ID: id, Rack: name, DataCentre: "dc1", Address: id, Capacity: capacity})
		}
		b.racks = append(b.racks, name)
		b.give(name, process)
	}
	b.start()
	return b
}

func newGroup() *rack.Group {
	return &rack.Group{Ward: &quarantine.Ward{ShareLimit: 0.25, Pause: 2 * time.Minute}}
}

// give makes a process the owner of a rack. The earlier owner sends nothing
// any more.
func (b *bed) give(name, process string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if old, ok := b.groups[b.owners[name]]; ok {
		old.Remove(name)
	}
	b.epochs[name]++
	r := &rack.Rack{Name: name, Epoch: b.epochs[name], Lease: testLease, Transit: 3 * time.Second, Reserve: b.reserve}
	r.AllowWaitOut(time.Now())
	r.SetHosts(b.hosts[name], time.Now())
	b.owners[name] = process
	b.groups[process].Add(r)
}

// restart makes a process forget all that it knew; its racks get new owners.
func (b *bed) restart(process string, next func(string) string) {
	b.mutex.Lock()
	b.groups[process] = newGroup()
	var mine []string
	for name, owner := range b.owners {
		if owner == process {
			mine = append(mine, name)
		}
	}
	b.mutex.Unlock()
	for _, name := range mine {
		b.give(name, next(name))
	}
}

// start puts a new owner in the place of the desk, which has ended.
func (b *bed) start() {
	b.epoch++
	ctx, cancel := context.WithCancel(context.Background())
	loop, valid := control.New(), true
	d := &Desk{
		Loop: loop, Table: b.table, Objects: &b.objects, Process: fmt.Sprintf("d%d", b.epoch), DataCentre: "dc1", Racks: b,
		Valid: func(time.Time) bool { return valid }, Queue: &queue.Queue{}, Directory: &directory.Directory{}, Log: quiet{}, LongTime: 10 * time.Second,
		Rand: rand.New(rand.NewPCG(b.epoch, 0)), Retention: time.Hour,
		Archive: &archive.Store[Ended]{Table: b.table, Objects: &b.objects},
	}
	done := make(chan struct{})
	var g errgroup.Group
	g.Go(func() error { return loop.Run(ctx) })
	g.Go(func() error { return d.Run(ctx) })
	g.Go(func() error {
		return loop.Every(ctx, 250*time.Millisecond, func() { b.advertise(d) })
	})
	b.group.Go(func() {
		_ = g.Wait() // its functions return no errors
		close(done)
	})
	b.mutex.Lock()
	b.desk, b.valid, b.end, b.done = d, &valid, cancel, done
	b.mutex.Unlock()
	epoch := b.epoch
	loop.Post(func() { d.Take(testShard, epoch) })
}

// kill ends the desk at once.
func (b *bed) kill() {
	b.end()
	<-b.done
}

func (b *bed) advertise(d *Desk) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, g := range b.groups {
		for r := range g.All {
			d.Directory.Update(directory.Summary{Shard: r.Name, Rack: r.Name, DataCentre: "dc1", Largest: r.Largest(), Long: r.LargestLong(), Free: r.Free()})
		}
	}
}

// Owners implements Racks.
func (b *bed) Owners() map[string]Owner {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	all := make(map[string]Owner, len(b.owners))
	for name, process := range b.owners {
		all[name] = Owner{Process: process, Epoch: b.epochs[name]}
		if time.Now().Before(b.cut[process]) && b.random.IntN(2) == 0 {
			all[name] = Owner{} // its session may or may not have been seen to end
		}
	}
	return all
}

// Sync implements Racks. In unfair times a message may get lost, arrive long
// after its sender gave up, or be answered in vain.
func (b *bed) Sync(ctx context.Context, process string, s *wire.TaskSync) (*wire.TaskReport, *wire.Refusal, error) {
	b.mutex.Lock()
	fate, late := 0, time.Duration(b.random.Int64N(int64(20*time.Second)))
	if time.Now().Before(b.unfairUntil) {
		fate = b.random.IntN(6)
	}
	if time.Now().Before(b.cut[process]) {
		fate = 1
	}
	b.mutex.Unlock()
	switch fate {
	case 1:
		return nil, nil, relay.ErrNotSent
	case 2:
		<-ctx.Done()
		return nil, nil, ctx.Err()
	case 3:
		b.group.Go(func() {
			time.Sleep(late)
			b.serve(process, s)
		})
		<-ctx.Done()
		return nil, nil, ctx.Err()
	case 4:
		b.serve(process, s)
		<-ctx.Done()
		return nil, nil, ctx.Err()
	}
	time.Sleep(time.Millisecond)
	report, refused := b.serve(process, s)
	return report, refused, nil
}

func (b *bed) serve(process string, s *wire.TaskSync) (*wire.TaskReport, *wire.Refusal) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.groups[process].Sync(s, time.Now(), b.random)
}

// run drives the racks for a while.
func (b *bed) run(length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(rackTick) {
		b.syncWorkers()
	}
}

func (b *bed) syncWorkers() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := time.Now()
	for _, g := range b.groups {
		for r := range g.All {
			for _, id := range r.Due(syncEvery, now) {
				if s, ok := r.Outbox(id, now); ok {
					b.group.Go(func() { b.syncWorker(g, r, id, s) })
				}
			}
		}
	}
}

func (b *bed) syncWorker(g *rack.Group, r *rack.Rack, id string, s worker.Sync) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	report, err := b.agents[id].Sync(ctx, s)
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.messages, b.bytes = b.messages+1, b.bytes+size(s)+size(report)+headerBytes
	if current, ok := g.Rack(r.Name); !ok || current != r {
		return
	}
	changed, stale := r.Answer(id, s, report, err, time.Now())
	if stale == nil {
		g.Changed(r, changed, time.Now())
		g.Guard(time.Now())
		g.Seat(time.Now(), b.random)
	}
}

// headerBytes is about what a call and its answer need besides their bodies.
const headerBytes = 400

func size(v any) int {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return len(body)
}

// counted returns the messages to workers so far, and their bytes.
func (b *bed) counted() (messages, bytes int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.messages, b.bytes
}

func (b *bed) apply(change string) {
	if err := b.board.Apply([]byte(change)); err != nil {
		panic(err)
	}
}

// job returns what the desk knows of a job.
func (b *bed) job(id string) (v JobView, tasks []TaskView, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	v, here, err := b.desk.View(ctx, id)
	if err == nil && !here {
		err = errors.New("job is not known")
	}
	if err == nil {
		tasks, _, err = b.desk.Tasks(ctx, id, 0, 1000)
	}
	return v, tasks, err
}

// close ends everything and returns what the ledger shows.
func (b *bed) close() (found []string) {
	b.kill()
	b.apply(`{}`)
	for _, a := range b.agents {
		a.Lose()
	}
	b.group.Wait()
	for _, v := range ledger.Check(b.ledger.Entries()) {
		found = append(found, v.String())
	}
	return found
}
