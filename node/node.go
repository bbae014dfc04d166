// Package node implements one process of the scheduler: it follows dockets, takes
// over those without a live owner, and sends callers' requests to the owners.
//
// The jobs and workers of a deployment are divided among dockets (package
// layout), which are partitions with one owner each. Any process may own any docket.
// The owner's heartbeat is the head row of the docket's changelog; a process that
// reads the store and sees no change of the head for some time takes the docket over.
// An owner whose commits stall asks other processes to take over. Safety does not
// depend on that timing: the store rejects commits of a deposed writer, and workers
// reject orders with a lower epoch.
//
// A few standby processes follow each docket, that is, keep a replica of it; the
// others do so only when its owner is unreachable. Processes also gossip the newest
// owners that they know of, so that a process without access to the store finds them.
//
// Usage:
//
//	n := &node.Node{Identity: i, Tables: t, Orders: o, Advisor: a, Fleet: f, Log: l, Limits: x}
//	n.Prepare()
//	group.Go(func() error { return n.Run(ctx) })
//	err := n.Submit(ctx, job)
package node

import (
	"context"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"persimmonworks.example/persimmonworks/advice"
	"persimmonworks.example/persimmonworks/cell"
	"persimmonworks.example/persimmonworks/changelog"
	"persimmonworks.example/persimmonworks/eligibility"
	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/exchange"
	"persimmonworks.example/persimmonworks/layout"
)

// Configuration is the operators' configuration in force in this process.
type Configuration interface {
	Version() uint64 // 0 if none is in force
	Value() []byte   // as it is stored
	// Announce notes that the process at an address has a version in force.
	Announce(version uint64, address string)
}

// Node is one process. Set the exported fields, then call Prepare and Run.
type Node struct {
	Identity exchange.Hello
	Tables   func(name string) changelog.Table
	Orders   cell.WorkerClient
	Advisor  advice.Advisor
	Fleet    cell.Fleet
	Log      event.Emitter
	Meter    cell.Meter
	Limits   cell.Limits
	// Configuration may be nil; then processes do not tell each other their versions.
	Configuration Configuration
	// Organisations may be nil; then no job belongs to one.
	Organisations cell.Organisations
	// Transport carries requests to other processes; nil means TCP.
	Transport http.RoundTripper
	WriteRate float64 // limit of write calls a second to the store, of all processes together; 0 means no limit

	client    exchange.Client
	leaving   chan struct{}
	startedAt time.Time
	claims    *workerClaims

	mu               sync.Mutex
	storedLayout     *layout.Layout
	layoutVersion    uint64                       // of the stored layout
	layoutUpdated    chan struct{}                // closed when the layout changes
	participants     []*participant               // by docket; empty until the layout is known
	workersByDocket  map[int][]eligibility.Worker // by the list, see listedWorkers
	peers            map[string]peer
	lastReleasedAt   time.Time // when this process last released a docket to a stronger host
	storeAnsweredAt  time.Time // time of the newest answer of the store
	storeUnavailable bool
}

// Prepare initialises the node. It must be called before any other method.
func (n *Node) Prepare() {
	n.leaving = make(chan struct{})
	n.layoutUpdated = make(chan struct{})
	n.peers = map[string]peer{}
	n.client.Transport = n.Transport
	n.startedAt = time.Now()
}

// Run runs the node until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	n.claims = newWorkerClaims(n.Tables(claimTable))
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		if err := n.initLayout(ctx); err != nil {
			return err
		}
		for _, p := range n.allParticipants() {
			group.Go(func() error { return p.follow(ctx) })
			group.Go(func() error { return p.requestTakeoverWhenStalled(ctx) })
		}
		return n.followLayout(ctx)
	})
	group.Go(func() error { return n.gossip(ctx) })
	return group.Wait()
}

// Leave makes the process release its dockets and never take one over again. It
// returns when all are released or ctx ends.
func (n *Node) Leave(ctx context.Context) {
	close(n.leaving)
	for _, p := range n.allParticipants() {
		select {
		case <-p.left:
		case <-ctx.Done():
		}
	}
}

func (n *Node) isLeaving() bool {
	select {
	case <-n.leaving:
		return true
	default:
		return false
	}
}

// Connected reports whether the process can serve callers: for at least half of the
// dockets it is the owner itself or the owner has answered lately.
func (n *Node) Connected() bool {
	participants, reached := n.allParticipants(), 0
	for _, p := range participants {
		if p.connected() {
			reached++
		}
	}
	return reached > 0 && 2*reached >= len(participants)
}

func (n *Node) allParticipants() []*participant {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.participants
}

// participant returns the participant for a docket, or nil if there is no such docket
// or the layout is not known yet.
func (n *Node) participant(docket int) *participant {
	participants := n.allParticipants()
	if docket < 0 || docket >= len(participants) {
		return nil
	}
	return participants[docket]
}

// participantForJob returns the participant for the docket of a job, or nil while the
// layout is not known.
func (n *Node) participantForJob(job string) *participant {
	l, _ := n.currentLayout()
	if l == nil {
		return nil
	}
	return n.participant(l.JobDocket(job))
}

// docketsByOwner returns the number of dockets of each known owner, by address.
func (n *Node) docketsByOwner() map[string]int {
	count := map[string]int{}
	for _, p := range n.allParticipants() {
		if v, _ := p.current(); v.address != "" {
			count[v.address]++
		}
	}
	return count
}

func (n *Node) recordStoreFailure(err error) {
	n.mu.Lock()
	wasUnavailable := n.storeUnavailable
	n.storeUnavailable = true
	n.mu.Unlock()
	if !wasUnavailable {
		n.Log.Emit(event.StoreLost, "error", err)
	}
}

func (n *Node) recordStoreAnswer(now time.Time) {
	n.mu.Lock()
	wasUnavailable := n.storeUnavailable
	n.storeUnavailable, n.storeAnsweredAt = false, now
	n.mu.Unlock()
	if wasUnavailable {
		n.Log.Emit(event.StoreRegained)
	}
}

// storeStatus returns the time of the store's newest answer, and false if a call has
// failed since.
func (n *Node) storeStatus() (time.Time, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.storeAnsweredAt, !n.storeUnavailable
}
