// Package standin is a small stand-in of everything that the users run and the
// scheduler does not: the platform's table, object store and host list, and
// the workers and runners of several data centres, each on a path of its own
// of one listener.
//
// It keeps everything in memory and shows faults on demand (package fault,
// POST to PathFaults). What really ran is in its ledger (package ledger, GET
// PathLedger), which the scheduler neither writes nor reads. The platform and
// the hosts can live in processes of their own: give both the same Layout and
// faults, and the platform the hosts' address.
//
// A call that a fault makes fail is refused as not applied (platform away),
// breaks off after it took effect (a lost answer), breaks off before it has
// any effect (a partition), or is not answered at all (a frozen host).
//
// Usage:
//
//	p := standin.Platform{Listen: "127.0.0.1:0", Role: standin.All, Layout: layout}
//	group.Go(func() error { return p.Run(ctx) })
//	client := provider.Client{Address: p.Address()}
package standin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"persimmonworks.example/persimmonworks/agent"
	"persimmonworks.example/persimmonworks/fault"
	"persimmonworks.example/persimmonworks/ledger"
	"persimmonworks.example/persimmonworks/provider"
	"persimmonworks.example/persimmonworks/upstream"
)

// Role says which part of the outside world a process stands in for.
type Role string

// Roles.
const (
	All       Role = "all"
	Service   Role = "platform" // table, objects and host list
	HostsOnly Role = "hosts"    // workers and runners
)

// Paths below the address of a stand-in.
const (
	PathFaults   = "/faults"
	PathLedger   = "/ledger"
	PathCheck    = "/ledger/check"
	PathCounters = "/counters"

	workerPrefix = "/w/"
	runnerPrefix = "/r/"
)

const (
	shutdownGrace     = time.Second
	readHeaderTimeout = 10 * time.Second
)

// Platform is a stand-in process. Its exported fields are set before Run.
type Platform struct {
	Listen string // IP number and port; port 0 takes a free one
	Role   Role   // empty is All
	Layout Layout
	// HostsAddress is the base URL of the process that has the hosts; empty
	// is this one.
	HostsAddress string
	HostLag      time.Duration // age of the host list
	UsageLag     time.Duration // age of the usage that workers report

	once     sync.Once
	table    Table
	objects  Objects
	list     HostList
	ledger   ledger.Ledger
	faults   *fault.Injector
	reads    meter
	writes   meter
	agents   map[string]*agent.Agent
	runners  map[string]*upstream.Runner
	hosts    map[string]provider.Host
	order    []provider.Host
	marks    map[string]ledger.Run // hosts marked as leaving
	apply    sync.Mutex
	ready    chan struct{}
	address  string
	stopping chan struct{}
}

func (p *Platform) init() {
	p.once.Do(func() {
		p.faults = fault.NewInjector()
		p.ready = make(chan struct{})
		p.stopping = make(chan struct{})
		p.marks = make(map[string]ledger.Run)
		p.agents = make(map[string]*agent.Agent)
		p.runners = make(map[string]*upstream.Runner)
		p.hosts = make(map[string]provider.Host)
	})
}

// Run serves until ctx ends. It returns nil then, and an error when it cannot
// listen. A Platform runs once.
func (p *Platform) Run(ctx context.Context) error {
	p.init()
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", p.Listen)
	if err != nil {
		return fmt.Errorf("stand-in cannot listen on %q: %w", p.Listen, err)
	}
	p.address = "http://" + listener.Addr().String()
	p.build()
	close(p.ready)
	server := &http.Server{Handler: p.handler(), ReadHeaderTimeout: readHeaderTimeout}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("stand-in on %s: %w", p.address, err)
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		close(p.stopping)
		grace, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownGrace)
		defer cancel()
		if server.Shutdown(grace) != nil {
			_ = server.Close()
		}
		return nil
	})
	return group.Wait()
}

// build makes the hosts of the layout, once the address is known.
func (p *Platform) build() {
	base := p.HostsAddress
	if base == "" {
		base = p.address
	}
	p.order = p.Layout.Hosts(base)
	p.list.Lag = p.HostLag
	p.list.Set(p.order)
	for _, h := range p.order {
		p.hosts[h.ID] = h
		switch {
		case p.Role == Service:
		case h.Kind == provider.KindWorker:
			p.agents[h.ID] = &agent.Agent{ID: h.ID, Capacity: h.Capacity, UsageLag: p.UsageLag, Ledger: &p.ledger, Faults: p.faults, Stopping: p.stopping}
		default:
			p.runners[h.ID] = &upstream.Runner{ID: h.ID, Slots: h.Slots, Ledger: &p.ledger, Faults: p.faults, Stopping: p.stopping}
		}
	}
}

// Address returns the base URL, once Run listens; until then it blocks.
func (p *Platform) Address() string {
	p.init()
	<-p.ready
	return p.address
}

// Ledger returns the record of what ran here.
func (p *Platform) Ledger() *ledger.Ledger { return &p.ledger }

// Faults returns a copy of the present faults.
func (p *Platform) Faults() fault.State {
	p.init()
	return p.faults.State()
}

// Counters returns the rates of reads and writes.
func (p *Platform) Counters() Counters {
	return Counters{Reads: p.reads.rate(), Writes: p.writes.rate()}
}

// SetFaults applies a change in the form of package fault. Hosts must exist.
func (p *Platform) SetFaults(change []byte) error {
	<-p.Ready()
	p.apply.Lock()
	defer p.apply.Unlock()
	if err := p.faults.Apply(change); err != nil {
		return err
	}
	p.listHosts()
	return nil
}

// Ready returns a channel that is closed once Run listens.
func (p *Platform) Ready() <-chan struct{} {
	p.init()
	return p.ready
}

// listHosts brings the host list, the ledger and the agents in line with the
// faults.
func (p *Platform) listHosts() {
	state := p.faults.State()
	listed := make([]provider.Host, 0, len(p.order))
	for _, h := range p.order {
		f := state.Hosts[h.ID]
		p.mark(h.ID, f.Leaving)
		if f.Lost {
			if a := p.agents[h.ID]; a != nil {
				a.Crash()
			}
			continue
		}
		h.Leaving = f.Leaving
		listed = append(listed, h)
	}
	p.list.Set(listed)
}

func (p *Platform) mark(id string, leaving bool) {
	run, marked := p.marks[id]
	switch {
	case leaving && !marked:
		p.marks[id] = p.ledger.Begin(ledger.Entry{Kind: ledger.Leaving, Host: id})
	case marked && !leaving:
		p.ledger.End(run, ledger.Done)
		delete(p.marks, id)
	}
}
