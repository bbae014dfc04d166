package ownership

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"persimmonworks.example/persimmonworks/pause"
)

// node is one start of a process.
type node struct {
	link    *link
	session *Session
	shards  *Shards
	cancel  context.CancelFunc
	dead    atomic.Bool
}

// cluster runs processes that share one table.
type cluster struct {
	table      *fakeTable
	shardNames []string
	noPeers    bool
	prepare    func(*node) // sets callbacks before Run
	running    sync.WaitGroup
	lateWrites sync.WaitGroup

	mu          sync.Mutex
	seed        uint64
	nodes       []*node
	current     map[string]*node
	partitioned map[[2]string]time.Time
	problems    []string
}

func newCluster(seed uint64, shards int) *cluster {
	c := &cluster{
		table: newFakeTable(), seed: seed, current: map[string]*node{},
		partitioned: map[[2]string]time.Time{},
	}
	for i := range shards {
		c.shardNames = append(c.shardNames, fmt.Sprintf("rack-%03d", i))
	}
	return c
}

func (c *cluster) start(process string) *node {
	c.mu.Lock()
	c.seed++
	src := func(k uint64) *rand.Rand { return rand.New(rand.NewPCG(c.seed, k)) }
	n := &node{link: &link{table: c.table, lateWrites: &c.lateWrites, rand: src(1)}}
	n.session = &Session{Table: n.link, Process: process, DataCentre: "pernik", Rand: src(2)}
	if !c.noPeers {
		n.session.Peers = &peerCalls{cluster: c, from: process, link: n.link}
	}
	n.shards = &Shards{
		Session:    n.session,
		ListShards: func() []string { return c.shardNames },
	}
	if c.prepare != nil {
		c.prepare(n)
	}
	n.session.init()
	n.shards.init()
	c.nodes = append(c.nodes, n)
	c.current[process] = n
	c.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	c.running.Go(func() { _ = n.session.Run(ctx) })
	c.running.Go(func() { _ = n.shards.Run(ctx) })
	return n
}

func (c *cluster) kill(n *node) {
	n.dead.Store(true)
	n.cancel()
}

func (c *cluster) stop() {
	for _, n := range c.nodes {
		c.kill(n)
	}
	c.running.Wait()
	c.lateWrites.Wait()
}

// peerCalls is a PeerClient that calls the processes of the cluster directly.
type peerCalls struct {
	cluster *cluster
	from    string
	link    *link
}

var _ PeerClient = (*peerCalls)(nil)

func (p *peerCalls) dial(ctx context.Context, peer string) (*node, error) {
	p.link.waitWhilePaused()
	if !pause.For(ctx, time.Millisecond) {
		return nil, ctx.Err()
	}
	p.cluster.mu.Lock()
	n := p.cluster.current[peer]
	pair := [2]string{min(p.from, peer), max(p.from, peer)}
	split := time.Now().Before(p.cluster.partitioned[pair])
	p.cluster.mu.Unlock()
	if n == nil || n.dead.Load() || split || n.link.active(&n.link.pauseUntil) {
		return nil, waitForCancel(ctx)
	}
	return n, nil
}

func waitForCancel(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

func (p *peerCalls) Renew(ctx context.Context, peer, session string, version uint64, value []byte) (uint64, error) {
	n, err := p.dial(ctx, peer)
	if err != nil {
		return 0, err
	}
	v, err := n.session.RelayRenewal(ctx, session, version, value)
	p.link.waitWhilePaused()
	return v, err
}

func (p *peerCalls) Promise(ctx context.Context, peer, session string, d time.Duration) (time.Duration, bool, error) {
	n, err := p.dial(ctx, peer)
	if err != nil {
		return 0, false, err
	}
	left, ok := n.session.GivePromise(session, d)
	p.link.waitWhilePaused()
	return left, ok, nil
}

// checkHolders checks that at this instant at most one process may act for each
// shard. Two may hold it under different epochs only while the later one must
// not wait out leases.
func (c *cluster) checkHolders() {
	now := time.Now()
	holders := map[string][]holder{}
	for _, n := range c.nodes {
		if n.dead.Load() || !n.session.Valid(now) {
			continue
		}
		for _, g := range n.shards.Held() {
			holders[g.Shard] = append(holders[g.Shard], holder{n, g})
		}
	}
	for shard, hs := range holders {
		slices.SortFunc(hs, func(a, b holder) int { return int(a.grant.Epoch) - int(b.grant.Epoch) })
		for i, h := range hs[1:] {
			// Without peers only a process that has no witness stays valid past its deadline.
			exclusive := c.noPeers && hs[i].node.session.hasWitnesses()
			if exclusive || h.grant.WaitOut.Allowed || hs[i].grant.Epoch == h.grant.Epoch {
				c.problems = append(c.problems, fmt.Sprintf("%v: shard %s held by %s epoch %d and %s epoch %d, wait-out %v",
					now.Format("05.000"), shard, hs[i].node.session.ID(), hs[i].grant.Epoch,
					h.node.session.ID(), h.grant.Epoch, h.grant.WaitOut))
			}
		}
	}
}

func (s *Session) hasWitnesses() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.witnesses) > 0
}

type holder struct {
	node  *node
	grant Grant
}

// checkFor calls checkHolders every 50 ms for the duration d.
func (c *cluster) checkFor(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(50 * time.Millisecond)
		c.checkHolders()
	}
}

// unowned returns the shards that no process with a valid session holds.
func (c *cluster) unowned() []string {
	owned := map[string]bool{}
	for _, n := range c.nodes {
		if n.dead.Load() || !n.session.Valid(time.Now()) {
			continue
		}
		for _, g := range n.shards.Held() {
			owned[g.Shard] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(c.shardNames), func(s string) bool { return owned[s] })
}
