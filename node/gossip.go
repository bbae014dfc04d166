package node

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"persimmonworks.example/persimmonworks/advice"
	"persimmonworks.example/persimmonworks/exchange"
	"persimmonworks.example/persimmonworks/pause"
)

const (
	minHelloInterval       = 400 * time.Millisecond
	maxHelloInterval       = time.Second // peers count as active for somewhat more than two of these
	maxHellosPerOwner      = 200.0       // a second, from all processes together
	roundsPerPeerList      = 8           // an owner sends the list of peers, which grows with the hosts, once in so many rounds
	otherOwnersPerRound    = 2           // owners besides those of the advised dockets that get a hello in a round
	helloTimeout           = 400 * time.Millisecond
	ownerAnswerTimeout     = 700 * time.Millisecond  // an owner that has not answered for this long is unreachable; callers are then refused at once
	peerExpiry             = 30 * time.Second        // a peer is removed after this long without contact or mention by another process
	peerActiveWindow       = 2500 * time.Millisecond // a peer is active if it has called this process within this time
	maxConcurrentHellos    = 8
	takeoverRequestTimeout = 250 * time.Millisecond
	storeAnswerMaxAge      = 900 * time.Millisecond // a requested takeover needs an answer of the store within this time
)

// peer is what is known of another process.
type peer struct {
	cores      float64
	lastKnown  time.Time // last contact, or last mention by another process
	lastCalled time.Time // when it last called this process
}

// gossip sends hellos in rounds: to the owners that ownersToGreet selects, and, while
// an owner or the store does not answer, to one other process in turn to learn of new
// owners.
func (n *Node) gossip(ctx context.Context) error {
	for round := 0; ctx.Err() == nil; round++ {
		n.helloOwners(ctx, round)
		for _, p := range n.allParticipants() {
			if p.needsOwnerLookup() {
				n.helloNextPeer(ctx, round)
				break
			}
		}
		pause.For(ctx, helloInterval(len(n.peerList()), len(n.docketsByOwner())))
	}
	return nil
}

// helloInterval returns the time between two rounds of hellos, so that an owner's work
// for them does not grow with the number of processes.
func helloInterval(peers, owners int) time.Duration {
	if owners == 0 {
		return minHelloInterval
	}
	hellos := float64(peers) * min(float64(owners), otherOwnersPerRound+1) / float64(owners)
	interval := time.Duration(hellos / maxHellosPerOwner * float64(time.Second))
	return min(max(minHelloInterval, interval), maxHelloInterval)
}

// ownersToGreet selects the owners that get a hello in a round: those of the advised
// dockets, which count on this process, and a few others in turn. Of the remaining ones
// the process learns from the answers.
func ownersToGreet(owners []string, advised map[string]bool, round int) []string {
	var greeted, others []string
	for _, address := range owners {
		if advised[address] {
			greeted = append(greeted, address)
		} else {
			others = append(others, address)
		}
	}
	for i := range min(otherOwnersPerRound, len(others)) {
		greeted = append(greeted, others[(round*otherOwnersPerRound+i)%len(others)])
	}
	return greeted
}

// helloOwners sends one hello to each process that the round selects of those that own
// a docket. An owner greets all others, since it hands jobs to them by their load.
func (n *Node) helloOwners(ctx context.Context, round int) {
	owners := map[string][]*participant{}
	owns := false
	for _, p := range n.allParticipants() {
		if v, _ := p.current(); v.cell == nil && v.address != "" {
			owners[v.address] = append(owners[v.address], p)
		} else if v.cell != nil {
			owns = true
		}
	}
	greeted := slices.Sorted(maps.Keys(owners))
	if !owns {
		greeted = ownersToGreet(greeted, n.advisedOwners(owners), round)
	}
	var group errgroup.Group
	group.SetLimit(maxConcurrentHellos)
	for _, address := range greeted {
		group.Go(func() error {
			n.helloOwner(ctx, address, owners[address], round%roundsPerPeerList != 0)
			return nil
		})
	}
	_ = group.Wait() // no function returns an error
}

// advisedOwners returns the owners of the dockets for which this process queries the
// advisory service, and of those whose owner does not answer.
func (n *Node) advisedOwners(owners map[string][]*participant) map[string]bool {
	dockets := n.advisedDockets()
	advised := map[string]bool{}
	for address, participants := range owners {
		for _, p := range participants {
			if slices.Contains(dockets, p.docket) || p.needsOwnerLookup() {
				advised[address] = true
			}
		}
	}
	return advised
}

// helloOwner sends a hello to the owner of the given dockets and records whether it
// answered.
func (n *Node) helloOwner(ctx context.Context, address string, participants []*participant, skipPeers bool) {
	welcome, known, err := n.helloWith(ctx, address, skipPeers, n.withShares(n.owners()))
	answered := map[int]exchange.Owner{}
	for _, o := range welcome.Owners {
		answered[o.Docket] = o
	}
	for _, p := range participants {
		v := known[p.docket]
		switch answer := answered[p.docket]; {
		case err == nil && (answer.Epoch < v.Epoch || answer.Epoch == v.Epoch && answer.Address != v.Address):
			p.markOwnerNotListening(v.Epoch) // the process at this address does not own the docket, for example after a restart
		case err == nil:
			p.recordOwnerAnswer(v.Epoch)
		case isConnectionRefused(err):
			p.markOwnerNotListening(v.Epoch)
			p.recordOwnerFailure(v.Epoch, err)
		default:
			p.recordOwnerFailure(v.Epoch, err)
		}
	}
}

// hello sends a hello to another process and applies its answer, which has no peers if
// skipPeers is set and some are known here. It also returns the owners that were known
// before the call, by docket.
func (n *Node) hello(ctx context.Context, address string, skipPeers bool) (exchange.Welcome, []exchange.Owner, error) {
	return n.helloWith(ctx, address, skipPeers, n.owners())
}

// helloWith is hello with the owners that are known here.
func (n *Node) helloWith(ctx context.Context, address string, skipPeers bool, known []exchange.Owner) (exchange.Welcome, []exchange.Owner, error) {
	hello := n.Identity
	hello.AdvisedDockets = n.advisedDockets()
	hello.Configuration = n.configurationVersion()
	hello.SkipPeers = skipPeers && len(n.peerList()) > followersPerDocket
	call, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	welcome, err := n.client.Hello(call, address, hello, known)
	if err != nil {
		if isConnectionRefused(err) {
			n.forgetPeer(address)
		}
		return welcome, known, err
	}
	n.handleWelcome(address, welcome)
	return welcome, known, nil
}

// owners returns the known owners by docket.
func (n *Node) owners() []exchange.Owner {
	participants := n.allParticipants()
	list := make([]exchange.Owner, len(participants))
	for d, p := range participants {
		list[d] = p.owner()
	}
	return list
}

// owner returns the known owner of the docket. The load is set only if that is this
// process.
func (p *participant) owner() exchange.Owner {
	v, _ := p.current()
	o := exchange.Owner{Docket: p.docket, Epoch: v.epoch, Address: v.address}
	if v.cell != nil {
		o.Load = v.cell.Load()
	}
	return o
}

// handleWelcome applies the answer to a hello.
func (n *Node) handleWelcome(address string, welcome exchange.Welcome) {
	now := time.Now()
	n.mu.Lock()
	n.updatePeer(exchange.Peer{Address: address}, now)
	for _, p := range welcome.Peers {
		n.updatePeer(p, now)
	}
	n.mu.Unlock()
	n.updateOwners(welcome.Owners)
	n.announceConfiguration(welcome.Configuration, address)
}

func (n *Node) updateOwners(owners []exchange.Owner) {
	for _, o := range owners {
		if p := n.participant(o.Docket); p != nil {
			p.updateOwner(ownerView{address: o.Address, epoch: o.Epoch})
			p.updateLoad(o)
			p.updateShares(o)
		}
	}
}

// updatePeer records a peer and removes those that have expired. The caller must hold
// n.mu.
func (n *Node) updatePeer(info exchange.Peer, now time.Time) {
	if info.Address != n.Identity.Address {
		old := n.peers[info.Address]
		n.peers[info.Address] = peer{max(info.Cores, old.cores), now, old.lastCalled}
	}
	for a, stored := range n.peers {
		if now.Sub(stored.lastKnown) > peerExpiry {
			delete(n.peers, a)
		}
	}
}

// recordCaller records a process that has sent a hello to this one.
func (n *Node) recordCaller(hello exchange.Hello, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.peers[hello.Address] = peer{hello.Cores, now, now}
}

func (n *Node) forgetPeer(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.peers, address)
}

// peerList returns all known peers, those with the most cores first.
func (n *Node) peerList() []exchange.Peer {
	return n.filterPeers(func(peer) bool { return true })
}

// activePeers returns the peers that have called this process lately. Only those are
// sent to other processes; otherwise processes would keep telling each other of a peer
// that is gone and it would never expire.
func (n *Node) activePeers() []exchange.Peer {
	now := time.Now()
	return n.filterPeers(func(p peer) bool { return now.Sub(p.lastCalled) < peerActiveWindow })
}

func (n *Node) filterPeers(keep func(peer) bool) []exchange.Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	list := make([]exchange.Peer, 0, len(n.peers))
	for a, stored := range n.peers {
		if keep(stored) {
			list = append(list, exchange.Peer{Address: a, Cores: stored.cores})
		}
	}
	slices.SortFunc(list, func(a, b exchange.Peer) int {
		return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(a.Address, b.Address))
	})
	return list
}

// helloNextPeer sends a hello to one peer, another one each round, to learn of new
// owners.
func (n *Node) helloNextPeer(ctx context.Context, round int) {
	if list := n.peerList(); len(list) > 0 {
		_, _, _ = n.hello(ctx, list[round%len(list)].Address, false) // the next round tries another peer
	}
}

// announceOwnership sends a hello, with the owners known here, to all peers.
func (n *Node) announceOwnership(ctx context.Context) {
	var group errgroup.Group
	group.SetLimit(maxConcurrentHellos)
	for _, p := range n.peerList() {
		group.Go(func() error {
			_, _, _ = n.hello(ctx, p.Address, true) // a peer that misses it learns the owner from others
			return nil
		})
	}
	_ = group.Wait() // no function returns an error
}

// requestTakeoverWhenStalled asks peers to take over whenever this process owns the
// docket and its commits stall.
func (p *participant) requestTakeoverWhenStalled(ctx context.Context) error {
	for {
		select {
		case epoch := <-p.stalled:
			p.requestTakeover(ctx, epoch)
		case <-ctx.Done():
			return nil
		}
	}
}

// requestTakeover asks peers to take over, the best candidate first, until one agrees
// or the owner of the epoch is superseded.
func (p *participant) requestTakeover(ctx context.Context, epoch uint64) {
	list, owned := p.peerList(), p.docketsByOwner()
	slices.SortStableFunc(list, func(a, b exchange.Peer) int {
		return cmp.Or(
			cmp.Compare(coresPerDocket(b.Cores, owned[b.Address]), coresPerDocket(a.Cores, owned[a.Address])),
			cmp.Compare(p.rendezvousWeight(b.Address, b.Cores), p.rendezvousWeight(a.Address, a.Cores)),
		)
	})
	for _, other := range list {
		if v, _ := p.current(); v.epoch != epoch {
			return
		}
		call, cancel := context.WithTimeout(ctx, takeoverRequestTimeout)
		err := p.client.RequestTakeover(call, other.Address, p.docket, epoch)
		cancel()
		if err == nil {
			return
		}
		_, _, _ = p.hello(ctx, other.Address, true) // it may know of a newer owner
	}
}

// HandleHello implements exchange.Service.
func (n *Node) HandleHello(ctx context.Context, hello exchange.Hello, known []exchange.Owner) (exchange.Welcome, error) {
	n.recordCaller(hello, time.Now())
	n.updateOwners(known)
	n.announceConfiguration(hello.Configuration, hello.Address)
	welcome := exchange.Welcome{Configuration: n.configurationVersion()}
	if !hello.SkipPeers {
		welcome.Peers = n.activePeers()
	}
	for _, p := range n.allParticipants() {
		v, _ := p.current()
		if v.cell == nil && v.address == n.Identity.Address {
			continue // an earlier incarnation of this process owned it
		}
		welcome.Owners = append(welcome.Owners, p.owner())
		if v.cell == nil || !slices.Contains(hello.AdvisedDockets, p.docket) {
			continue
		}
		err := v.cell.NoteHelper(ctx, hello.Name, func() advice.Advisor { return n.client.Advisor(hello.Address) })
		if err != nil && !errors.Is(err, context.Canceled) {
			return welcome, err
		}
	}
	return welcome, nil
}

// HandleTakeoverRequest implements exchange.Service.
func (n *Node) HandleTakeoverRequest(docket int, epoch uint64) bool {
	p := n.participant(docket)
	answered, available := n.storeStatus()
	if p == nil || !available || time.Since(answered) > storeAnswerMaxAge || n.isLeaving() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.view.cell != nil || p.view.epoch != epoch {
		return false
	}
	p.takeoverRequest = epoch
	p.wakeFollower()
	return true
}
