package entry

import (
	"context"
	"strings"
	"time"

	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/ownership"
	"persimmonworks.example/persimmonworks/rack"
	"persimmonworks.example/persimmonworks/transport"
	"persimmonworks.example/persimmonworks/worker"
)

// takeShard starts to manage a shard that this process has acquired.
func (p *Process) takeShard(g ownership.Grant) {
	p.Log.Emit(event.ShardTaken, "shard", g.Shard, "epoch", g.Epoch, "previous", g.Previous)
	p.loop.Post(func() {
		if !strings.HasPrefix(g.Shard, "rack-") {
			p.dispatcher.AddShard(g.Shard, g.Epoch)
			return
		}
		r := &rack.Rack{Name: g.Shard, Epoch: g.Epoch, Lease: p.Settings.Worker.Lease, MaxTransit: maxTransit, Reserve: shortTaskReserve}
		if g.WaitOut.Allowed {
			r.SetPreviousOwnerEnd(g.WaitOut.From)
		}
		p.racks.Add(r)
		p.applyHosts()
	})
}

// loseShard stops managing a shard that this process no longer owns.
func (p *Process) loseShard(shard string, epoch uint64) {
	p.Log.Emit(event.ShardReleased, "shard", shard, "epoch", epoch)
	p.loop.Post(func() {
		if !strings.HasPrefix(shard, "rack-") {
			p.dispatcher.RemoveShard(shard)
			return
		}
		if r, ok := p.racks.Rack(shard); ok && r.Epoch == epoch {
			p.racks.Remove(shard)
			p.applyHosts()
		}
	})
}

func (p *Process) allowWaitOut(g ownership.Grant) {
	p.loop.Post(func() {
		if r, ok := p.racks.Rack(g.Shard); ok && r.Epoch == g.Epoch {
			r.SetPreviousOwnerEnd(g.WaitOut.From)
		}
	})
}

// runWorkers synchronises with the workers of owned racks until ctx ends.
func (p *Process) runWorkers(ctx context.Context) error {
	return p.loop.Every(ctx, workerTick, p.syncWorkers)
}

func (p *Process) syncWorkers() {
	now := time.Now()
	if !p.session.Valid(now) {
		return
	}
	for r := range p.racks.All {
		for _, id := range r.DueWorkers(p.Settings.Worker.SyncEvery, now) {
			if s, ok := r.NextSync(id, now); ok {
				p.syncWorker(r, id, s)
			}
		}
	}
}

// syncWorker sends one message to a worker and posts the result to the control loop.
func (p *Process) syncWorker(r *rack.Rack, id string, s worker.Sync) {
	s.Acknowledged = p.accounts.Settled(id, s.Acknowledged) // reports not acknowledged are offered again with the next message
	agent := p.agentAt(r.Address(id))
	p.group.Go(func() error {
		ctx, cancel := context.WithTimeout(p.ctx, maxTransit)
		defer cancel()
		var report worker.Report
		err := error(worker.ErrUnreachable)
		if p.session.Valid(time.Now()) { // the last check before the send
			report, err = agent.Sync(ctx, s)
		}
		p.meter.WorkerSync(callResult(err))
		p.loop.Post(func() { p.handleSyncResult(r, id, s, report, err) })
		return nil
	})
}

func callResult(err error) string {
	if err == nil {
		return "ok"
	}
	return "failed"
}

func (p *Process) handleSyncResult(r *rack.Rack, id string, s worker.Sync, report worker.Report, err error) {
	if current, ok := p.racks.Rack(r.Name); !ok || current != r {
		return
	}
	before := r.Closed(id)
	changed, stale := r.HandleReport(id, s, report, err, time.Now())
	if stale != nil {
		p.Log.Emit(event.ShardStaleEpoch, "shard", r.Name, "epoch", r.Epoch, "worker", id)
		p.racks.Remove(r.Name)
		return
	}
	p.racks.QueueUpdates(r, changed, time.Now())
	p.racks.ApplyQuarantine(time.Now())
	p.racks.PlacePending(time.Now(), p.rng)
	if after := r.Closed(id); after != before {
		p.logWorker(id, after)
	}
	p.recordReport(r, id, report, changed, err)
	if r.AllWorkersAccepted() {
		p.shards.MarkFenced(r.Name, r.Epoch)
	}
}

func (p *Process) logWorker(id, closed string) {
	if strings.HasPrefix(closed, "quarantined") {
		p.Log.Emit(event.WorkerQuarantined, "worker", id, "reason", closed)
		return
	}
	if closed == "" {
		p.Log.Emit(event.WorkerOpened, "worker", id)
		return
	}
	p.Log.Emit(event.WorkerClosed, "worker", id, "reason", closed)
}

// workerClient keeps idle connections to all workers of the racks that a process may
// own. The default client keeps 100 in all and two per address.
var workerClient = (&transport.Transport{MaxIdleConns: 32, IdleTimeout: time.Minute}).Client()

func (p *Process) agentAt(address string) worker.Agent {
	if a, ok := p.agent.Load(address); ok {
		return a.(worker.Agent)
	}
	var a worker.Agent = &worker.Client{Address: address, Name: p.Settings.Process.Name, HTTP: workerClient}
	if p.Agent != nil {
		a = p.Agent(address)
	}
	p.agent.Store(address, a)
	return a
}
