package node

import (
	"context"
	"hash/fnv"
	"math"
	"slices"
	"time"

	"persimmonworks.example/persimmonworks/changelog"
	"persimmonworks.example/persimmonworks/wire"
)

// Hosts differ in strength, and an owner carries most of the work. So weak hosts
// and those that own much let others go first, and give dockets to a stronger one
// that they have heard of for a while.
const (
	handicapUnit  = 150 * time.Millisecond // for a host with half of what the best one offers
	handicapFirst = 100 * time.Millisecond // for a host of one core that knows of no other
	handicapMost  = 600 * time.Millisecond
	muchStronger  = 1.6 // times what the docket has here
	strengthCheck = 500 * time.Millisecond
	strongerFor   = 2 * time.Second         // so long a stronger host must have been there
	releasePause  = 3 * time.Second         // between two dockets that are given away
	followers     = 3                       // processes that follow each docket, to be ready
	rankAfter     = 1500 * time.Millisecond // from the start of a process until it knows the others
	fallbackAfter = 1500 * time.Millisecond // a docket whose owner stays away so long is followed by more processes
	fallbackStep  = 120 * time.Millisecond  // longer for each better candidate
	engagement    = 4 * time.Second
)

// offers returns what a host with so many cores has for one more docket.
func offers(cores float64, owned int) float64 { return cores / float64(owned+1) }

// bestOffer returns what the best of the other hosts that were heard of lately
// has for one more docket.
func (n *Node) bestOffer() float64 {
	owned, best := n.owned(), 0.0
	for _, p := range n.freshPeers() {
		best = max(best, offers(p.Cores, owned[p.Address]))
	}
	return best
}

// handicap returns how much longer than the best host this one waits before it
// takes the docket over.
func (s *seat) handicap(head *wire.DocketHead) time.Duration {
	cores := s.Identity.Cores
	if cores <= 0 {
		return 0
	}
	mine, best := offers(cores, s.owned()[s.Identity.Address]), s.bestOffer()
	if best == 0 {
		best = head.GetStrongest()
	}
	late := time.Duration((best/mine - 1) * float64(handicapUnit))
	if best == 0 {
		late = time.Duration(float64(handicapFirst) / mine)
	}
	return min(max(0, late), handicapMost)
}

// findStronger returns true once another host has offered much more for a while
// than the docket has here, or false when ctx ends. The head is told how strong
// the strongest host is.
func (s *seat) findStronger(ctx context.Context, w *changelog.Writer) bool {
	since := time.Now()
	for ctx.Err() == nil {
		sleep(ctx, strengthCheck)
		now, cores := time.Now(), s.Identity.Cores
		strongest := cores
		for _, p := range s.freshPeers() {
			strongest = max(strongest, p.Cores)
		}
		w.NoteStrongest(strongest)
		has := offers(cores, s.owned()[s.Identity.Address]-1)
		if cores <= 0 || s.bestOffer() <= muchStronger*has {
			since = now
		}
		if now.Sub(since) >= strongerFor && s.mayRelease(now) {
			return true
		}
	}
	return false
}

// mayRelease reports whether the process may give a docket away now.
func (n *Node) mayRelease(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if now.Sub(n.released) < releasePause {
		return false
	}
	n.released = now
	return true
}

// follows reports whether the process follows the docket now.
func (s *seat) follows(now time.Time) bool {
	if l, _ := s.layout(); l.Dockets() == 1 {
		return true
	}
	s.mu.Lock()
	engaged := now.Before(s.engaged) || s.yielded != 0
	away := time.Duration(0)
	if s.ownerBad {
		away = now.Sub(s.ownerOK)
	}
	s.mu.Unlock()
	if engaged {
		return true
	}
	if now.Sub(s.begun) < rankAfter {
		return false
	}
	rank := s.rank()
	return rank < followers || away > fallbackAfter+time.Duration(rank)*fallbackStep
}

// engage makes the process follow the docket for a while.
func (s *seat) engage(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engaged = now.Add(engagement)
}

// rank returns how many of the other processes are better candidates for the
// docket. Every process that knows of the same ones computes the same.
func (s *seat) rank() int {
	mine, rank := s.weight(s.Identity.Address, s.Identity.Cores), 0
	for _, p := range s.peerList() {
		if s.weight(p.Address, p.Cores) > mine {
			rank++
		}
	}
	return rank
}

// weight draws a number for a process and the docket, mostly higher for a
// stronger host.
func (s *seat) weight(address string, cores float64) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte{byte(s.docket), byte(s.docket >> 8)}) // never fails
	_, _ = h.Write([]byte(address))                             // never fails
	// The low bits of this hash are mixed best.
	const bits = 1 << 20
	drawn := (float64(h.Sum64()%bits) + 1) / (bits + 1)
	return -cores * cores / math.Log(drawn)
}

// helps returns the dockets for whose owners this process asks for advice. Owners
// ask for themselves; the other processes are spread over the dockets.
func (n *Node) helps() []int {
	l, _ := n.layout()
	if l == nil {
		return nil
	}
	if l.Dockets() == 1 {
		return []int{0}
	}
	owned := n.owned()
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
