package dispatch

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"persimmonworks.example/persimmonworks/control"
	"persimmonworks.example/persimmonworks/directory"
	"persimmonworks.example/persimmonworks/provider"
	"persimmonworks.example/persimmonworks/queue"
	"persimmonworks.example/persimmonworks/rack"
	"persimmonworks.example/persimmonworks/resource"
	"persimmonworks.example/persimmonworks/standin"
	"persimmonworks.example/persimmonworks/wire"
	"persimmonworks.example/persimmonworks/worker"
)

// localRackClient implements RackClient with racks whose state belongs to the same loop as
// the job shards.
type localRackClient struct {
	loop   *control.Loop
	group  *rack.Group
	random *rand.Rand
	owners map[string]RackOwner
}

var _ RackClient = (*localRackClient)(nil)

func (p *localRackClient) Owners() map[string]RackOwner { return p.owners }

func (p *localRackClient) Sync(ctx context.Context, _ string, s *wire.TaskSync) (report *wire.TaskReport, refused *wire.Refusal, err error) {
	err = p.loop.Do(ctx, func() { report, refused = p.group.Sync(s, time.Now(), p.random) })
	return report, refused, err
}

// BenchmarkDesk measures the path of a task from its submission to its placement
// on a worker: journal entry, queue, choice of a rack among 138 and of a worker
// among 8, all on one control loop. Workers are not called.
func BenchmarkDesk(b *testing.B) {
	const racks, workers, perJob = 138, 8, 500
	loop := control.New()
	p := &localRackClient{loop: loop, group: &rack.Group{}, random: rand.New(rand.NewPCG(1, 1)), owners: map[string]RackOwner{}}
	d := &Dispatcher{
		Loop: loop, Table: &standin.Table{}, Objects: &standin.Objects{}, Process: "e1", DataCentre: "dc1", Racks: p,
		Valid: func(time.Time) bool { return true }, Queue: &queue.Queue{}, Directory: &directory.Directory{}, Log: discardEvents{},
		Rand: rand.New(rand.NewPCG(2, 2)), Retention: time.Hour,
	}
	for i := range racks {
		p.addRack(d, i, workers)
	}
	var busy atomic.Int64
	loop.OnRun = func(t time.Duration) { busy.Add(int64(t)) }
	ctx, cancel := context.WithCancel(b.Context())
	var g errgroup.Group
	g.Go(func() error { return loop.Run(ctx) })
	g.Go(func() error { return d.Run(ctx) })
	loop.Post(func() { d.AddShard(testShard, 1) })
	s := newSpec(perJob, `{}`)
	for d.Submit(ctx, testShard, s).Refusal != nil {
		time.Sleep(time.Millisecond) // refused until the journal has been read
	}
	placed := func() (n int) {
		_ = loop.Do(ctx, func() { // fails only when the benchmark ends
			for r := range p.group.All {
				n += len(r.Attempts())
			}
		})
		return n
	}
	for placed() < perJob {
		time.Sleep(time.Millisecond)
	}
	busy.Store(0)
	b.ResetTimer()
	want := perJob
	for range b.N {
		if o := d.Submit(ctx, testShard, s); o.Refusal != nil {
			b.Fatal(o.Refusal)
		}
		want += perJob
	}
	for placed() < want {
		time.Sleep(10 * time.Millisecond)
	}
	b.StopTimer()
	tasks := float64(b.N * perJob)
	b.ReportMetric(tasks/b.Elapsed().Seconds(), "placements/s")
	b.ReportMetric(float64(busy.Load())/tasks, "loop-ns/placement")
	cancel()
	_ = g.Wait() // both functions return nil when ctx is done
}

// addRack adds a rack whose workers have reported and have ample capacity.
func (p *localRackClient) addRack(d *Dispatcher, i, workers int) {
	now := time.Now()
	name := "rack-" + string(rune('a'+i/26)) + string(rune('a'+i%26))
	r := &rack.Rack{Name: name, Epoch: 1, Lease: testLease}
	capacity := resource.Vector{MilliCPU: 1 << 40, MemoryMB: 1 << 40}
	var hosts []provider.Host
	for k := range workers {
		hosts = append(hosts, provider.Host{ID: name + "-" + string(rune('a'+k)), Rack: name, DataCentre: "dc1", Capacity: capacity})
	}
	r.SetHosts(hosts, now)
	for _, h := range hosts {
		s, _ := r.NextSync(h.ID, now)
		_, _ = r.HandleReport(h.ID, s, worker.Report{Epoch: 1, BootID: "b"}, nil, now) // HandleReport fails only if the worker did
	}
	p.group.Add(r)
	p.owners[name] = RackOwner{Process: "e1", Epoch: 1}
	d.Directory.Update(directory.Summary{Shard: name, Rack: name, DataCentre: "dc1", Largest: r.Largest(), LargestLong: r.LargestLong(), Free: r.Free()})
}
