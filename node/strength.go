package node

import (
	"context"
	"time"

	"persimmonworks.example/persimmonworks/changelog"
	"persimmonworks.example/persimmonworks/wire"
)

// Hosts differ in strength, and the owner of the docket carries most of the
// work. So weak hosts let strong ones go first, and give the docket to one that
// they have heard of for a while.
const (
	handicapUnit   = 150 * time.Millisecond // for a host half as strong as the strongest
	handicapMost   = 600 * time.Millisecond
	muchStronger   = 1.6 // times the own strength
	strengthCheck  = 500 * time.Millisecond
	strongerFor    = 2 * time.Second // so long a stronger host must have been there
	strongerSilent = 1 * time.Second // a peer not heard of for so long does not count
)

// handicap returns how much longer than the strongest host this one waits before
// it takes over.
func (n *Node) handicap(head *wire.DocketHead) time.Duration {
	most := head.GetStrongest()
	for _, p := range n.peerList() {
		most = max(most, p.Cores)
	}
	if most <= n.Identity.Cores || n.Identity.Cores <= 0 {
		return 0
	}
	return min(handicapMost, time.Duration((most/n.Identity.Cores-1)*float64(handicapUnit)))
}

// findStronger returns true once a much stronger host has been heard for a while,
// or false when ctx ends. The head is told how strong the strongest is.
func (n *Node) findStronger(ctx context.Context, w *changelog.Writer) bool {
	since := time.Now()
	for ctx.Err() == nil {
		sleep(ctx, strengthCheck)
		now := time.Now()
		strongest := n.strongestHeard(now)
		w.NoteStrongest(max(strongest, n.Identity.Cores))
		if strongest <= muchStronger*n.Identity.Cores || n.Identity.Cores <= 0 {
			since = now
		}
		if now.Sub(since) >= strongerFor {
			return true
		}
	}
	return false
}

// strongestHeard returns the cores of the strongest of the other hosts that were
// heard of lately.
func (n *Node) strongestHeard(now time.Time) float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	most := 0.0
	for _, p := range n.peers {
		if now.Sub(p.heard) < strongerSilent {
			most = max(most, p.cores)
		}
	}
	return most
}
