package node

import (
	"context"
	"hash/fnv"
	"math"
	"slices"
	"time"

	"persimmonworks.example/persimmonworks/changelog"
	"persimmonworks.example/persimmonworks/pause"
	"persimmonworks.example/persimmonworks/wire"
)

// An owner does most of the work, and hosts differ in processor cores. Hosts with
// few cores, or with many dockets already, therefore delay a takeover so that
// better hosts go first, and release dockets to a host that has had clearly more
// cores to spare for some time.
const (
	takeoverDelayUnit     = 150 * time.Millisecond // delay of a host with half the cores per docket of the best peer
	soleHostDelayUnit     = 100 * time.Millisecond // delay of a host with one core that knows of no other host
	maxTakeoverDelay      = 600 * time.Millisecond
	strongerRatio         = 1.6 // a peer must have this many times the cores per docket of this host
	strongerCheckInterval = 500 * time.Millisecond
	strongerMinDuration   = 2 * time.Second         // a stronger host must have been present this long before a release
	minReleaseInterval    = 3 * time.Second         // between two releases by one process
	followersPerDocket    = 5                       // standby processes that keep a replica of each docket
	fewHosts              = 12                      // with fewer hosts, all of them do
	rankWarmup            = 1500 * time.Millisecond // time after start until a process knows its peers well enough to rank itself
	fallbackDelay         = 1500 * time.Millisecond // once the owner has been unreachable this long, lower-ranked processes follow the docket too
	fallbackDelayPerRank  = 120 * time.Millisecond  // added to fallbackDelay for each better-ranked process
	forcedFollowDuration  = 4 * time.Second
)

// coresPerDocket returns the cores per docket of a host that owns the given number
// of dockets and takes one more.
func coresPerDocket(cores float64, owned int) float64 { return cores / float64(owned+1) }

// maxPeerCoresPerDocket returns the highest coresPerDocket of the active peers, or
// 0 if there are none.
func (n *Node) maxPeerCoresPerDocket() float64 {
	owned, best := n.docketsByOwner(), 0.0
	for _, p := range n.activePeers() {
		best = max(best, coresPerDocket(p.Cores, owned[p.Address]))
	}
	return best
}

// takeoverDelay returns how much longer than the best host this host waits before
// it takes the docket over.
func (p *participant) takeoverDelay(head *wire.DocketHead) time.Duration {
	cores := p.Identity.Cores
	if cores <= 0 {
		return 0
	}
	own, best := coresPerDocket(cores, p.docketsByOwner()[p.Identity.Address]), p.maxPeerCoresPerDocket()
	if best == 0 {
		best = head.GetStrongest()
	}
	delay := time.Duration((best/own - 1) * float64(takeoverDelayUnit))
	if best == 0 {
		delay = time.Duration(float64(soleHostDelayUnit) / own)
	}
	return min(max(0, delay), maxTakeoverDelay)
}

// waitForStrongerHost returns true once some peer has had strongerRatio times the
// cores per docket of this host for strongerMinDuration and a release is allowed, or
// false when ctx ends. It also keeps the cores of the strongest host in the changelog
// head up to date.
func (p *participant) waitForStrongerHost(ctx context.Context, w *changelog.Writer) bool {
	since := time.Now()
	for ctx.Err() == nil {
		pause.For(ctx, strongerCheckInterval)
		now, cores := time.Now(), p.Identity.Cores
		strongest := cores
		for _, other := range p.activePeers() {
			strongest = max(strongest, other.Cores)
		}
		w.SetStrongestCores(strongest)
		current := coresPerDocket(cores, p.docketsByOwner()[p.Identity.Address]-1)
		if cores <= 0 || p.maxPeerCoresPerDocket() <= strongerRatio*current {
			since = now
		}
		if now.Sub(since) >= strongerMinDuration && p.tryRelease(now) {
			return true
		}
	}
	return false
}

// tryRelease reports whether the process may release a docket now. If so, it starts
// a new minReleaseInterval.
func (n *Node) tryRelease(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if now.Sub(n.lastReleasedAt) < minReleaseInterval {
		return false
	}
	n.lastReleasedAt = now
	return true
}

// shouldFollow reports whether the process should keep a replica of the docket now.
func (p *participant) shouldFollow(now time.Time) bool {
	p.mu.Lock()
	forced := now.Before(p.followUntil) || p.takeoverRequest != 0
	unreachable := time.Duration(0)
	if p.ownerUnreachable {
		unreachable = now.Sub(p.ownerAnsweredAt)
	}
	p.mu.Unlock()
	if forced {
		return true
	}
	if now.Sub(p.startedAt) < rankWarmup {
		return false
	}
	peers, rank := len(p.peerList()), p.rank()
	v, _ := p.current()
	switch {
	case peers == 0 && v.address != "":
		// It cannot rank itself. After a restart of all hosts, weak ones would read
		// the whole log over their links to no purpose.
		return unreachable > fallbackDelay
	case rank < followersPerDocket || peers < fewHosts:
		return true
	}
	return unreachable > fallbackDelay+time.Duration(rank)*fallbackDelayPerRank
}

// forceFollow makes the process follow the docket for forcedFollowDuration,
// whatever its rank.
func (p *participant) forceFollow(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.followUntil = now.Add(forcedFollowDuration)
}

// rank returns how many peers are better candidates for the docket: hosts that are
// clearly stronger come first, since a weak one may not manage a docket that was made
// for strong ones. Processes that know the same peers compute the same order.
func (p *participant) rank() int {
	own, ownWeight, rank := p.Identity.Cores, p.rendezvousWeight(p.Identity.Address, p.Identity.Cores), 0
	for _, other := range p.peerList() {
		switch {
		case other.Cores > strongerRatio*own:
			rank++
		case own > strongerRatio*other.Cores:
		case p.rendezvousWeight(other.Address, other.Cores) > ownWeight:
			rank++
		}
	}
	return rank
}

// rendezvousWeight returns the weight of a process for the docket, as in weighted
// rendezvous hashing. The weight of a host is the square of its cores.
func (p *participant) rendezvousWeight(address string, cores float64) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte{byte(p.docket), byte(p.docket >> 8)}) // never fails
	_, _ = h.Write([]byte(address))                             // never fails
	// Only the low bits are used, because FNV-1a mixes them best.
	const bits = 1 << 20
	uniform := (float64(h.Sum64()%bits) + 1) / (bits + 1)
	return -cores * cores / math.Log(uniform)
}

// advisedDockets returns the dockets for whose owners this process queries the
// advisory service. Owners query it themselves; the other processes are distributed
// over the dockets.
func (n *Node) advisedDockets() []int {
	l, _ := n.currentLayout()
	if l == nil {
		return nil
	}
	if l.Dockets() == 1 {
		return []int{0}
	}
	owned := n.docketsByOwner()
	if owned[n.Identity.Address] > 0 {
		return nil
	}
	others := []string{n.Identity.Address}
	for _, p := range n.peerList() {
		if owned[p.Address] == 0 {
			others = append(others, p.Address)
		}
	}
	slices.Sort(others)
	var dockets []int
	for d := slices.Index(others, n.Identity.Address); d < l.Dockets(); d += len(others) {
		dockets = append(dockets, d)
	}
	if len(dockets) == 0 {
		dockets = append(dockets, slices.Index(others, n.Identity.Address)%l.Dockets())
	}
	return dockets
}
