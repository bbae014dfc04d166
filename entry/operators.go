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
	_ console.Local        = (*Process)(nil)
	_ console.Surroundings = (*view)(nil)
)

// composeConsole makes what the operators see and confirm.
func (p *Process) composeConsole() {
	name := p.Settings.Process.Name
	p.books = &accounts.Keeper{Log: p.Log, Archive: &usage.Archive{
		Table: p.Table, Objects: p.Objects, Process: name, Incarnation: p.node.Incarnation,
	}}
	p.burn = &burn.Ledger{}
	p.burnKept = &burn.Archive{Table: p.Table, Objects: p.Objects, Start: p.startName()}
	publisher := &chain.Publisher{Table: p.Table}
	p.plans = &confirmation.Desk{Table: p.Table, Publisher: publisher}
	p.upkeep = &upkeep.Upkeep{Publisher: publisher, Plans: p.plans, Accounts: p.books.Archive, Jobs: p.desk.Archive, Requests: &forward.Intents{Table: p.Table}, Mine: p.keepsUp, Log: p.Log}
}

// operators returns the handler of the operators' paths.
func (p *Process) operators() http.Handler {
	s := &console.Server{
		Process: p.Settings.Process.Name, Start: p.startName(), Access: &gateway.Access{Current: p.configuration, Log: p.Log},
		Router: p, Plans: p.plans, Chain: p.follower, Local: p, Surroundings: &view{p}, Accounts: p.books,
		Archive: p.books.Archive, Burn: p.burn, BurnArchive: p.burnKept, Log: p.Log,
	}
	return s.Handler()
}

// keepsUp reports whether this process deletes old rows for all: the owner of
// the first job shard, in the first data centre that has a live process.
func (p *Process) keepsUp(ctx context.Context) bool {
	first := p.Settings.Process.DataCentre
	for _, m := range p.session.Members() {
		if m.State == ownership.Live {
			first = min(first, m.DataCentre)
		}
	}
	owns := false
	err := p.loop.Do(ctx, func() { _, owns = p.desk.Shards()[gateway.ShardName(0)] })
	return err == nil && owns && first == p.Settings.Process.DataCentre && p.session.Valid(time.Now())
}

// Part implements console.Local.
func (p *Process) Part(ctx context.Context) (console.Part, error) {
	part := console.Part{
		Process: p.Settings.Process.Name, Shards: []console.Shard{}, Running: []console.Running{}, Waiting: []intent.Waiting{},
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
				part.Waiting = append(part.Waiting, intent.Waiting{Organisation: o.Name, Tasks: tasks})
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

// attemptsOf lists what may be running on a rack.
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

// view shows what this process knows of the rest of the pool.
type view struct{ p *Process }

// Hosts implements console.Surroundings.
func (v *view) Hosts() []provider.Host {
	if known := v.p.hosts.Load(); known != nil {
		return known.hosts
	}
	return nil
}

// rememberPeers is how long a process that fell silent without leaving is named
// as cut off. Its session may be over, but it may still run and have an old
// configuration.
const rememberPeers = 10 * time.Minute

// Standings implements console.Surroundings. A process is known by its session
// until that ends, and by its status, which is remembered for a time.
func (v *view) Standings(now time.Time) []console.Standing {
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
		if live || heard || !s.Leaving && x.Age(now) < rememberPeers {
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
