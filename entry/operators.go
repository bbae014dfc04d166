package entry

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"time"

	"persimmonworks.example/persimmonworks/forward"

	"persimmonworks.example/persimmonworks/accounts"
	"persimmonworks.example/persimmonworks/burn"
	"persimmonworks.example/persimmonworks/chain"
	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/confirmation"
	"persimmonworks.example/persimmonworks/console"
	"persimmonworks.example/persimmonworks/drain"
	"persimmonworks.example/persimmonworks/gateway"
	"persimmonworks.example/persimmonworks/intent"
	"persimmonworks.example/persimmonworks/ownership"
	"persimmonworks.example/persimmonworks/provider"
	"persimmonworks.example/persimmonworks/rack"
	"persimmonworks.example/persimmonworks/upkeep"
	"persimmonworks.example/persimmonworks/usage"
)

var (
	_ console.Local    = (*Process)(nil)
	_ console.PoolView = (*poolView)(nil)
)

// composeConsole creates the components behind the operators' interface: usage
// accounts, burn report, plans and upkeep.
func (p *Process) composeConsole() {
	name := p.Settings.Process.Name
	p.accounts = &accounts.Recorder{Log: p.Log, Archive: &usage.Archive{
		Table: p.Table, Objects: p.Objects, Process: name, Incarnation: p.node.Incarnation,
	}}
	p.burn = &burn.Ledger{}
	p.burnArchive = &burn.Archive{Table: p.Table, Objects: p.Objects, RunID: p.runID()}
	publisher := &chain.Publisher{Table: p.Table}
	p.plans = &confirmation.PlanStore{Table: p.Table, Publisher: publisher}
	p.upkeep = &upkeep.Upkeep{Publisher: publisher, Plans: p.plans, Accounts: p.accounts.Archive, Jobs: p.dispatcher.Archive, Requests: &forward.IntentExpirer{Table: p.Table}, Responsible: p.runsUpkeep, Log: p.Log}
}

// operatorsHandler returns the HTTP handler of the operators' paths.
func (p *Process) operatorsHandler() http.Handler {
	s := &console.Server{
		Process: p.Settings.Process.Name, RunID: p.runID(), Access: &gateway.Access{Current: p.configuration, Log: p.Log},
		Router: p, Plans: p.plans, Chain: p.follower, Local: p, PoolView: &poolView{p}, Accounts: p.accounts,
		Archive: p.accounts.Archive, Burn: p.burn, BurnArchive: p.burnArchive, Log: p.Log,
	}
	return s.Handler()
}

// runsUpkeep reports whether this process deletes expired rows on behalf of all
// processes. That is the owner of the first job shard in the first data centre, by
// name, that has a live process.
func (p *Process) runsUpkeep(ctx context.Context) bool {
	first := p.Settings.Process.DataCentre
	for _, m := range p.session.Members() {
		if m.State == ownership.Live {
			first = min(first, m.DataCentre)
		}
	}
	owns := false
	err := p.loop.Do(ctx, func() { _, owns = p.dispatcher.Shards()[gateway.ShardName(0)] })
	return err == nil && owns && first == p.Settings.Process.DataCentre && p.session.Valid(time.Now())
}

// LocalState implements console.Local. It returns this process's part of the pool's
// state.
func (p *Process) LocalState(ctx context.Context) (console.LocalState, error) {
	part := console.LocalState{
		Process: p.Settings.Process.Name, Shards: []console.Shard{}, Running: []console.Running{}, Waiting: []intent.QueuedWork{},
	}
	held := p.shards.Held()
	err := p.loop.Do(ctx, func() {
		for _, g := range held {
			shard := console.Shard{Shard: g.Shard, Epoch: g.Epoch, Process: part.Process}
			if r, ok := p.racks.Rack(g.Shard); ok {
				p.rackPart(r, &shard)
				part.Running = append(part.Running, attemptsOf(r)...)
			}
			part.Shards = append(part.Shards, shard)
		}
		for _, o := range p.configuration().Organisations {
			tasks := 0
			for _, c := range class.All {
				tasks += p.queue.Waiting(o.Name, c)
			}
			if tasks > 0 {
				part.Waiting = append(part.Waiting, intent.QueuedWork{Organisation: o.Name, Tasks: tasks})
			}
		}
	})
	return part, err
}

func (p *Process) rackPart(r *rack.Rack, shard *console.Shard) {
	shard.Free, shard.Closed = r.Free().String(), map[string]string{}
	for _, id := range r.Workers() {
		shard.Workers++
		if why := r.Closed(id); why != "" {
			shard.Closed[id] = why
		}
	}
}

// attemptsOf returns the attempts on a rack that have not ended.
func attemptsOf(r *rack.Rack) []console.Running {
	var running []console.Running
	for _, a := range r.Attempts() {
		if a.Final() {
			continue
		}
		running = append(running, console.Running{
			Epoch: r.Epoch, Stopping: a.Stopping(),
			Attempt: intent.Attempt{
				Task: a.Task, Number: a.Ref.Attempt, Organisation: a.Organisation, Class: class.Class(a.Class),
				Host: a.Worker, Demand: a.Demand, Checkpointable: drain.Checkpointable(a),
			},
		})
	}
	return running
}

// poolView provides this process's knowledge of the rest of the pool.
type poolView struct{ p *Process }

// Hosts implements console.PoolView.
func (v *poolView) Hosts() []provider.Host {
	if known := v.p.hosts.Load(); known != nil {
		return known.hosts
	}
	return nil
}

// silentPeerRetention is how long a process that went silent without leaving is reported
// as cut off. Its session may have expired, but it may still be running with an old
// configuration.
const silentPeerRetention = 10 * time.Minute

// Processes implements console.PoolView. It lists the processes that have a live
// session or a recent status. One that went silent without leaving stays listed for
// silentPeerRetention.
func (v *poolView) Processes(now time.Time) []console.Standing {
	p := v.p
	all := map[string]console.Standing{}
	for _, m := range p.session.Members() {
		if m.State == ownership.Live {
			all[m.Process] = console.Standing{Process: m.Process, DataCentre: m.DataCentre}
		}
	}
	for _, x := range p.peers.All() {
		s := x.Status()
		_, live := all[s.Process]
		heard := x.Recent(now)
		if live || heard || !s.Leaving && x.Age(now) < silentPeerRetention {
			all[s.Process] = console.Standing{
				Process: s.Process, DataCentre: s.DataCentre, Number: s.ConfigNumber, Heard: heard, Leaving: s.Leaving,
				PlatformReachable: s.PlatformReachable, Shards: len(s.Shards),
			}
		}
	}
	all[p.Settings.Process.Name] = console.Standing{
		Process: p.Settings.Process.Name, DataCentre: p.Settings.Process.DataCentre, Number: p.follower.Number(), Heard: true,
		Leaving: p.leaving.Load(), PlatformReachable: p.session.PlatformReachable(), Shards: len(p.shards.Held()),
	}
	sorted := make([]console.Standing, 0, len(all))
	for _, s := range all {
		sorted = append(sorted, s)
	}
	slices.SortFunc(sorted, func(a, b console.Standing) int { return cmp.Compare(a.Process, b.Process) })
	return sorted
}
