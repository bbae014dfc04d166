// Package entry composes one entry process.
//
// A Process registers a session, takes shards, serves callers and peers, and
// leaves without cutting anything off. One control loop owns all control state
// (racks, queue, jobs, runners); the package's goroutines carry traffic and
// hand results to the loop. Nothing is kept on the host.
//
// Parts, each in a file of its own: hosts (the platform's list of hosts),
// racks (workers of owned rack shards), peers (status exchange and the inner
// protocol's calls), routes (who owns what), operators (the operators'
// interface), shutdown.
//
// Usage:
//
//	p := &entry.Process{Settings: s, Keys: store, Table: client, Objects: client.Objects(), Hosts: client, Log: log}
//	err := p.Run(ctx) // returns when ctx ends and everything in flight is done
package entry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"persimmonworks.example/persimmonworks/accounts"
	"persimmonworks.example/persimmonworks/admission"
	"persimmonworks.example/persimmonworks/archive"
	"persimmonworks.example/persimmonworks/burn"
	"persimmonworks.example/persimmonworks/chain"
	"persimmonworks.example/persimmonworks/confirmation"
	"persimmonworks.example/persimmonworks/control"
	"persimmonworks.example/persimmonworks/directory"
	"persimmonworks.example/persimmonworks/dispatch"
	"persimmonworks.example/persimmonworks/drain"
	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/forward"
	"persimmonworks.example/persimmonworks/gateway"
	"persimmonworks.example/persimmonworks/job"
	"persimmonworks.example/persimmonworks/meter"
	"persimmonworks.example/persimmonworks/ownership"
	"persimmonworks.example/persimmonworks/peer"
	"persimmonworks.example/persimmonworks/pool"
	"persimmonworks.example/persimmonworks/provider"
	"persimmonworks.example/persimmonworks/quarantine"
	"persimmonworks.example/persimmonworks/queue"
	"persimmonworks.example/persimmonworks/rack"
	"persimmonworks.example/persimmonworks/relay"
	"persimmonworks.example/persimmonworks/resource"
	"persimmonworks.example/persimmonworks/runner"
	"persimmonworks.example/persimmonworks/settings"
	"persimmonworks.example/persimmonworks/upkeep"
	"persimmonworks.example/persimmonworks/worker"
)

// Process is an entry process. Exported fields are set before Run.
type Process struct {
	Settings *settings.Settings
	Keys     relay.Keys
	Table    provider.Table
	Objects  provider.Objects
	Hosts    provider.HostLister
	// Agent returns the agent of a worker at an address; nil uses HTTP.
	Agent func(address string) worker.Agent
	Log   event.Emitter

	loop     *control.Loop
	node     *relay.Node
	session  *ownership.Session
	shards   *ownership.Shards
	follower *chain.Follower
	desk     *dispatch.Dispatcher
	forward  *forward.Forwarder
	meter    *meter.Meter
	books    *accounts.Keeper
	burn     *burn.Ledger
	burnKept *burn.Archive
	plans    *confirmation.Desk
	upkeep   *upkeep.Upkeep
	group    *errgroup.Group
	ctx      context.Context

	listener net.Listener
	leaving  atomic.Bool
	done     chan struct{}
	serving  atomic.Int64 // callers' requests
	once     sync.Once
	handler  http.Handler // of callers

	// Owned by the loop.
	racks     rack.Group
	runners   runner.Pool
	peerSlots runner.Directory
	directory directory.Directory
	queue     queue.Queue
	rng       *rand.Rand
	marked    map[string]time.Time // hosts heard to be leaving from peers
	departing map[string]bool      // runners that are leaving or drained, as last applied
	drains    drain.Pacer
	sequence  uint64 // of the last status

	// Shared with traffic goroutines.
	hosts atomic.Pointer[hostView]
	peers peer.Table
	agent sync.Map // address to worker.Agent
}

// Pace of an entry process.
const (
	hostsInterval = 500 * time.Millisecond
	workerTick    = 20 * time.Millisecond
	submitWait    = 15 * time.Second
	retention     = time.Hour
	longTime      = 10 * time.Second // expected run time above which work is long
	shortReserve  = 1.0 / 16         // of each worker, kept for short work
	wardShare     = 0.25             // of the workers of a process, at most in quarantine at once
	maxTransit    = 3 * time.Second  // longest time that a message to a worker is under way
	usageHalfLife = 10 * time.Minute
	sessionBudget = 6 << 10 // bytes a second for reading the sessions
	journalWrites = 150.0   // a second in all processes, half of the platform's 300
	maxSharers    = 150     // processes among which they are shared
)

// Prepare opens the listeners, so that the addresses are known before Run.
func (p *Process) Prepare() error {
	if p.listener != nil {
		return nil
	}
	s := p.Settings
	p.node = &relay.Node{
		Process: s.Process.Name, Incarnation: uint64(time.Now().UnixMilli()), Address: s.Process.RelayAddress.String(),
		Keys: p.Keys, Handler: p, Forwarder: p,
	}
	if err := p.node.Listen(); err != nil {
		return fmt.Errorf("process %s: %w", s.Process.Name, err)
	}
	l, err := net.Listen("tcp", s.Process.CallerAddress.String())
	if err != nil {
		return fmt.Errorf("process %s, callers' address: %w", s.Process.Name, err)
	}
	p.listener = l
	return nil
}

// CallerAddress returns the address that callers reach, after Prepare.
func (p *Process) CallerAddress() string { return p.listener.Addr().String() }

// Done returns a channel that is closed when Run has returned.
func (p *Process) Done() <-chan struct{} {
	p.once.Do(func() { p.done = make(chan struct{}) })
	return p.done
}

// InFlight returns the number of requests and calls that are being served.
func (p *Process) InFlight() int { return int(p.serving.Load()) + p.node.InFlight() }

// Run serves until ctx ends, then shuts down gracefully.
func (p *Process) Run(ctx context.Context) error {
	p.Done()
	defer close(p.done)
	if err := p.Prepare(); err != nil {
		return err
	}
	p.Log.Emit(event.ProcessStarting, "process", p.Settings.Process.Name, "data-centre", p.Settings.Process.DataCentre, "callers", p.CallerAddress(), "relay", p.node.Addr())
	if err := p.compose(); err != nil {
		return err
	}
	// The parts outlive ctx until the shutdown is done.
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	p.group, p.ctx = errgroup.WithContext(inner)
	p.handler = p.callers()
	server := &http.Server{
		Handler: p.counted(p.handler), MaxHeaderBytes: p.Settings.Limits.MaxHeaderBytes,
		ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 2 * time.Minute,
	}
	for _, part := range []func(context.Context) error{
		p.loop.Run, p.node.Run, p.session.Run, p.shards.Run, p.follower.Run, p.desk.Run, p.forward.Run,
		p.runHosts, p.runWorkers, p.runStatus, p.books.Run, p.runBurn, p.runGauges, p.runDrains, p.runWatch, p.upkeep.Run,
	} {
		p.group.Go(func() error { return part(p.ctx) })
	}
	p.group.Go(func() error {
		if err := server.Serve(p.listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	p.group.Go(func() error {
		select {
		case <-ctx.Done():
			p.shutdown(server)
		case <-p.ctx.Done(): // a part has failed
			_ = server.Close()
		}
		stop()
		return nil
	})
	err := p.group.Wait()
	if err != nil && !errors.Is(err, context.Canceled) {
		p.Log.Emit(event.ProcessFailed, "error", err)
		return err
	}
	p.Log.Emit(event.ProcessStopped, "process", p.Settings.Process.Name)
	return nil
}

// compose makes the parts and ties them together.
func (p *Process) compose() error {
	s := p.Settings
	name, dataCentre := s.Process.Name, s.Process.DataCentre
	p.rng = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	p.meter = &meter.Meter{Process: name, DataCentre: dataCentre}
	if err := p.meter.Open(); err != nil {
		return err
	}
	p.metered()
	p.loop = control.New()
	p.loop.OnRun = p.busy
	p.marked = map[string]time.Time{}
	p.session = &ownership.Session{
		Table: p.Table, Process: name, DataCentre: dataCentre, RelayAddress: p.node.Addr(), CallerAddress: p.CallerAddress(),
		RenewEvery: s.Session.RenewEvery, TTL: s.Session.TTL, Margin: s.Session.Margin, Peers: &witness{p}, ReadBudget: sessionBudget,
		OnLost:  func(id string) { p.Log.Emit(event.SessionLost, "session", id) },
		OnError: func(err error) { p.Log.Emit(event.SessionLate, "error", err) },
	}
	p.shards = &ownership.Shards{
		Session: p.session, ListShards: p.knownShards, MaxTransit: maxTransit,
		OnTake: p.take, OnLose: p.lose, OnWaitOutAllowed: p.waitOut,
	}
	p.follower = &chain.Follower{Reader: p.Table, Peers: &configPeers{p}, Log: p.Log}
	p.follower.Subscribe(func(e *chain.Entry) { p.loop.Post(func() { p.configured(e) }) })
	p.queue = queue.Queue{HalfLife: usageHalfLife}
	p.racks.Quarantine = &quarantine.Tracker{ShareLimit: wardShare}
	p.desk = &dispatch.Dispatcher{
		Loop: p.loop, Table: p.Table, Objects: p.Objects, Process: name, DataCentre: dataCentre, Racks: &rackOwners{p: p},
		Valid: p.session.Valid, Queue: &p.queue, Directory: &p.directory, Log: p.Log, Rand: p.rng, CommitRate: p.commitRate, Retention: retention,
		Archive:      &archive.Store[dispatch.ArchivedJob]{Table: p.Table, Objects: p.Objects},
		OnTaskPlaced: p.meter.Placed, OnAttemptEnded: p.attemptEnded,
		LongTaskThreshold: longTime,
	}
	p.forward = &forward.Forwarder{
		Process: name, DataCentre: dataCentre, Loop: p.loop, Gate: &admission.Controller{MaxQueued: s.Limits.MaxQueue},
		Pool: &p.runners, Peers: &p.peerSlots, Budget: &runner.RetryBudget{}, Remote: &remote{p},
		Runners: runnerClient(&http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Minute, DisableCompression: true}),
		Table:   p.Table, PlatformReachable: p.session.PlatformReachable, Current: p.configuration, Valid: p.session.Valid,
		Log: p.Log, Rand: p.rng, MaxBody: s.Limits.MaxBodyBytes, Observer: &observer{p},
	}
	p.composeConsole()
	return nil
}

// runnerClient returns a client that passes redirects on as they are.
func runnerClient(t *http.Transport) *http.Client {
	return &http.Client{Transport: t, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
}

// commitRate is this process's share of the journal's writes. It falls with the
// number of processes that are known to live, never below the share of so many
// that a wrong count stalls nobody.
func (p *Process) commitRate() float64 {
	return journalWrites / float64(min(max(p.session.LiveCount(), 1), maxSharers))
}

func (p *Process) configuration() *pool.Configuration { return &p.follower.Current().Configuration }

// configured brings a configuration into force on the loop.
func (p *Process) configured(e *chain.Entry) {
	p.meter.SetConfiguration(e.Number)
	shares, weights := map[string]queue.Share{}, map[string]int{}
	for _, o := range e.Configuration.Organisations {
		shares[o.Name] = queue.Share{Weight: o.Weight, Quota: o.Quota}
		weights[o.Name] = o.Weight
	}
	p.queue.SetShares(shares)
	p.forward.Gate.Weights = weights
	p.burn.SetObjectives(e.Configuration.Objectives)
	p.applyHosts()
}

// callers returns the handler of the callers' address.
func (p *Process) callers() http.Handler {
	s := &gateway.Server{
		Process: p.Settings.Process.Name, DataCentre: p.Settings.Process.DataCentre,
		Access: gateway.Access{Current: p.configuration, Log: p.Log},
		Jobs:   p.desk, Router: p, Requests: p.forward, Operators: p.operators(), Metrics: p.meter.Handler(),
		Limits: p.jobLimits, JobShards: p.Settings.Limits.JobShards, Ready: p.notReady,
		MaxBodyBytes: p.Settings.Limits.MaxBodyBytes, SubmitWait: submitWait, Log: p.Log,
	}
	return s.Handler()
}

// counted counts the requests that are being served.
func (p *Process) counted(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.serving.Add(1)
		defer p.serving.Add(-1)
		h.ServeHTTP(w, r)
	})
}

func (p *Process) jobLimits() job.Limits {
	l := job.DefaultLimits()
	l.MaxTasks, l.MaxNameLength = p.Settings.Limits.MaxTasks, p.Settings.Limits.MaxNameLength
	var largest resource.Vector
	if v := p.hosts.Load(); v != nil {
		for _, h := range v.hosts {
			if h.Kind == provider.KindWorker && h.DataCentre == p.Settings.Process.DataCentre {
				largest = largest.Max(h.Capacity)
			}
		}
	}
	l.LargestWorker = largest
	return l
}

// notReady returns why the balancer should send nobody here, "" if it may.
func (p *Process) notReady() string {
	switch {
	case p.leaving.Load():
		return "leaving"
	case p.follower.Number() == 0:
		return "no configuration is in force yet"
	case len(p.peers.Live(time.Now())) > 0:
		return "" // can forward, whatever it can do itself
	case !p.session.Valid(time.Now()):
		return "no session, and no peer to forward to"
	case p.hosts.Load() == nil:
		return "the list of hosts is not known yet, and no peer to forward to"
	default:
		return ""
	}
}
