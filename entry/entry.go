// Package entry assembles and runs one entry process.
//
// A Process registers a session, acquires shards, serves callers and peers, and
// shuts down gracefully without aborting requests in flight. One control loop
// owns all control state (racks, queue, jobs, runners); the package's goroutines
// do network I/O and post their results to the loop. Nothing is stored on the
// host.
//
// The components are in files of their own: hosts (the platform's list of
// hosts), racks (workers of owned rack shards), peers (status exchange and calls
// of the internal protocol), routes (lookup of shard owners), operators (the
// operators' interface), shutdown.
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
	"persimmonworks.example/persimmonworks/ingress"
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
	"persimmonworks.example/persimmonworks/transport"
	"persimmonworks.example/persimmonworks/upkeep"
	"persimmonworks.example/persimmonworks/worker"
)

// Process is an entry process. Exported fields must be set before Run is called.
type Process struct {
	Settings *settings.Settings
	Keys     relay.Keys
	Table    provider.Table
	Objects  provider.Objects
	Hosts    provider.HostLister
	// Agent returns the client of the worker agent at an address. If it is nil,
	// agents are reached over HTTP.
	Agent func(address string) worker.Agent
	Log   event.Emitter

	loop        *control.Loop
	node        *relay.Node
	session     *ownership.Session
	shards      *ownership.Shards
	follower    *chain.Follower
	dispatcher  *dispatch.Dispatcher
	forward     *forward.Forwarder
	meter       *meter.Meter
	accounts    *accounts.Recorder
	burn        *burn.Ledger
	burnArchive *burn.Archive
	plans       *confirmation.PlanStore
	upkeep      *upkeep.Upkeep
	group       *errgroup.Group
	ctx         context.Context

	listener       net.Listener
	intake         *ingress.Interface // what callers hold
	leaving        atomic.Bool
	done           chan struct{}
	activeRequests atomic.Int64 // callers' requests in flight
	once           sync.Once
	handler        http.Handler // serves the callers' address

	// Accessed only on the control loop.
	racks          rack.Group
	runners        runner.Pool
	peerSlots      runner.Directory
	directory      directory.Directory
	queue          queue.Queue
	rng            *rand.Rand
	leavingReports map[string]time.Time // when a peer last reported the host as leaving
	leavingRunners map[string]bool      // runners that applyHosts found leaving or drained
	drains         drain.Pacer
	sequence       uint64 // sequence number of the last status

	// Safe for concurrent use.
	hosts atomic.Pointer[hostView]
	peers peer.Table
	agent sync.Map // address to worker.Agent
}

// Intervals, limits and shares of an entry process.
const (
	hostsInterval       = 500 * time.Millisecond
	workerTick          = 20 * time.Millisecond
	submitWait          = 15 * time.Second
	retention           = time.Hour
	longTaskThreshold   = 10 * time.Second // tasks with a longer expected run time count as long
	shortTaskReserve    = 1.0 / 16         // fraction of each worker reserved for short tasks
	maxQuarantineShare  = 0.25             // maximum fraction of a process's workers in quarantine at once
	maxTransit          = 3 * time.Second  // timeout of a message to a worker, hence its longest transit time
	usageHalfLife       = 10 * time.Minute
	sessionReadRate     = 6 << 10 // bytes per second for reading session rows
	journalWriteRate    = 150.0   // per second over all processes: half of the platform's limit of 300
	maxWritingProcesses = 150     // upper bound on the number of processes that share journalWriteRate
)

// Prepare opens the listeners, so that their addresses are known before Run is
// called. Run calls it if it was not called.
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

// CallerAddress returns the listen address for callers. Prepare must have been
// called.
func (p *Process) CallerAddress() string { return p.listener.Addr().String() }

// Done returns a channel that is closed when Run has returned.
func (p *Process) Done() <-chan struct{} {
	p.once.Do(func() { p.done = make(chan struct{}) })
	return p.done
}

// InFlight returns the number of callers' requests and peers' calls in flight.
func (p *Process) InFlight() int { return int(p.activeRequests.Load()) + p.node.InFlight() }

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
	// The components run on a context of their own, which is cancelled only after
	// the shutdown that the end of ctx starts.
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	p.group, p.ctx = errgroup.WithContext(inner)
	p.handler = p.callersHandler()
	server := &http.Server{
		Handler: p.countRequests(p.handler), MaxHeaderBytes: p.Settings.Limits.MaxHeaderBytes,
		ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 2 * time.Minute,
	}
	p.intake = &ingress.Interface{Name: "callers", Limits: callerLimits(p.Settings), Refuse: http.HandlerFunc(gateway.RefuseForRoom), Log: p.Log, Meter: callerMeter{p.meter}}
	p.intake.Attach(server)
	listener := p.intake.Listen(p.listener)
	p.group.Go(func() error { return ingress.Sweep(p.ctx, p.intake) })
	for _, part := range []func(context.Context) error{
		p.loop.Run, p.node.Run, p.session.Run, p.shards.Run, p.follower.Run, p.dispatcher.Run, p.forward.Run,
		p.runHosts, p.runWorkers, p.runStatus, p.accounts.Run, p.runBurnArchive, p.runGauges, p.runDrains, p.runWatch, p.upkeep.Run,
	} {
		p.group.Go(func() error { return part(p.ctx) })
	}
	p.group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	p.group.Go(func() error {
		select {
		case <-ctx.Done():
			p.shutdown(server)
		case <-p.ctx.Done(): // a component has failed
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

// compose creates the components and connects them.
func (p *Process) compose() error {
	s := p.Settings
	name, dataCentre := s.Process.Name, s.Process.DataCentre
	p.rng = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	p.meter = &meter.Meter{Process: name, DataCentre: dataCentre}
	if err := p.meter.Open(); err != nil {
		return err
	}
	p.countPlatformCalls()
	p.loop = control.New()
	p.loop.OnRun = p.recordLoopStep
	p.leavingReports = map[string]time.Time{}
	p.session = &ownership.Session{
		Table: p.Table, Process: name, DataCentre: dataCentre, RelayAddress: p.node.Addr(), CallerAddress: p.CallerAddress(),
		RenewEvery: s.Session.RenewEvery, TTL: s.Session.TTL, Margin: s.Session.Margin, Peers: &witness{p}, ReadBudget: sessionReadRate,
		OnLost:  func(id string) { p.Log.Emit(event.SessionLost, "session", id) },
		OnError: func(err error) { p.Log.Emit(event.SessionLate, "error", err) },
	}
	p.shards = &ownership.Shards{
		Session: p.session, ListShards: p.knownShards, MaxTransit: maxTransit,
		OnTake: p.takeShard, OnLose: p.loseShard, OnWaitOutAllowed: p.allowWaitOut,
	}
	p.follower = &chain.Follower{Reader: p.Table, Peers: &configPeers{p}, Log: p.Log}
	p.follower.Subscribe(func(e *chain.Entry) { p.loop.Post(func() { p.applyConfiguration(e) }) })
	p.queue = queue.Queue{HalfLife: usageHalfLife}
	p.racks.Quarantine = &quarantine.Tracker{ShareLimit: maxQuarantineShare}
	p.dispatcher = &dispatch.Dispatcher{
		Loop: p.loop, Table: p.Table, Objects: p.Objects, Process: name, DataCentre: dataCentre, Racks: &rackOwners{p: p},
		Valid: p.session.Valid, Queue: &p.queue, Directory: &p.directory, Log: p.Log, Rand: p.rng, CommitRate: p.commitRate, Retention: retention,
		Archive:      &archive.Store[dispatch.ArchivedJob]{Table: p.Table, Objects: p.Objects},
		OnTaskPlaced: p.meter.Placed, OnAttemptEnded: p.attemptEnded,
		LongTaskThreshold: longTaskThreshold,
	}
	p.forward = &forward.Forwarder{
		Process: name, DataCentre: dataCentre, Loop: p.loop, Gate: &admission.Controller{MaxQueued: s.Limits.MaxQueue},
		Pool: &p.runners, PeerRunners: &p.peerSlots, Budget: &runner.RetryBudget{}, PeerForwarder: &peerForwarder{p},
		RunnerClient: (&transport.Transport{MaxIdleConns: 64, IdleTimeout: time.Minute}).Client(),
		Table:        p.Table, PlatformReachable: p.session.PlatformReachable, Configuration: p.configuration, SessionValid: p.session.Valid,
		Log: p.Log, Rand: p.rng, MaxBody: s.Limits.MaxBodyBytes, Observer: &requestObserver{p},
	}
	p.composeConsole()
	return nil
}

// commitRate returns this process's share of the journal's write rate. The rate is
// divided among the live processes, but at most among maxWritingProcesses, so
// that a count that is too high does not stall this process.
func (p *Process) commitRate() float64 {
	return journalWriteRate / float64(min(max(p.session.LiveCount(), 1), maxWritingProcesses))
}

func (p *Process) configuration() *pool.Configuration { return &p.follower.Current().Configuration }

// applyConfiguration applies a configuration. It runs on the control loop.
func (p *Process) applyConfiguration(e *chain.Entry) {
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

// callersHandler returns the HTTP handler of the callers' address.
func (p *Process) callersHandler() http.Handler {
	s := &gateway.Server{
		Process: p.Settings.Process.Name, DataCentre: p.Settings.Process.DataCentre,
		Access: gateway.Access{Current: p.configuration, Log: p.Log},
		Jobs:   p.dispatcher, Router: p, Requests: p.forward, Operators: p.operatorsHandler(), Metrics: p.meter.Handler(),
		Limits: p.jobLimits, JobShards: p.Settings.Limits.JobShards, Ready: p.notReady,
		MaxBodyBytes: p.Settings.Limits.MaxBodyBytes, SubmitWait: submitWait, Log: p.Log,
	}
	return s.Handler()
}

// countRequests wraps h to count the requests in flight.
func (p *Process) countRequests(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.activeRequests.Add(1)
		defer p.activeRequests.Add(-1)
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

// notReady returns why the load balancer should send no requests to this process,
// or "" if the process is ready.
func (p *Process) notReady() string {
	switch {
	case p.leaving.Load():
		return "leaving"
	case p.follower.Number() == 0:
		return "no configuration is in force yet"
	case len(p.peers.Live(time.Now())) > 0:
		return "" // requests can be forwarded to a peer
	case !p.session.Valid(time.Now()):
		return "no session, and no peer to forward to"
	case p.hosts.Load() == nil:
		return "the list of hosts is not known yet, and no peer to forward to"
	default:
		return ""
	}
}
