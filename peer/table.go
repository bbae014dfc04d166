// Package peer stores the statuses received from other processes and schedules
// the sending of this process's own status.
//
// A Table stores the last status of each process. A Pacer decides when the next
// status is sent: at once if urgent state has changed, which peers must know
// within seconds, and otherwise as often as a budget in bytes per second allows.
//
// Usage:
//
//	var t peer.Table
//	if taken, restarted := t.Update(status, now); taken { ... }
//	for _, s := range t.Live(now) { ... }
//
//	var p peer.Pacer
//	local, remote := p.Due(status, addresses, now)
package peer

import (
	"sync"
	"time"

	"persimmonworks.example/persimmonworks/wire"
)

// Timing of the status exchange.
const (
	Timeout        = 2 * time.Second        // a peer's last status is ignored this long after its receipt
	StatusInterval = 250 * time.Millisecond // shortest interval between statuses to peers of the own data centre, unless urgent state changes
	RemoteInterval = time.Second            // shortest interval between statuses to other data centres, unless urgent state changes
)

// Peer is the last status of another process and the time of its receipt.
type Peer struct {
	status     *wire.Status
	receivedAt time.Time
}

// Status returns the last status of the process. The caller must not change it.
func (p *Peer) Status() *wire.Status { return p.status }

// Age returns the time since the last status was received.
func (p *Peer) Age(now time.Time) time.Duration { return now.Sub(p.receivedAt) }

// Recent reports whether the last status was received less than Timeout ago.
func (p *Peer) Recent(now time.Time) bool { return p.Age(now) < Timeout }

// Table stores the last status of each peer, by process. The zero value is an
// empty table. A Table is safe for concurrent use.
type Table struct {
	mu     sync.Mutex
	peers  map[string]*Peer
	sentAt map[string]time.Time // by address, when the peer last accepted a status of this process
}

const maxSentAddresses = 1024 // sentAt is cleared when it has more addresses than this

// MarkSent records that the process at an address has accepted a status of this
// process.
func (t *Table) MarkSent(address string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sentAt == nil || len(t.sentAt) > maxSentAddresses {
		t.sentAt = map[string]time.Time{} // also drops the addresses of processes that no longer exist
	}
	t.sentAt[address] = now
}

// SentRecently reports whether the process at an address has accepted a status of this
// process less than Timeout ago.
func (t *Table) SentRecently(address string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, ok := t.sentAt[address]
	return ok && now.Sub(at) < Timeout
}

// Update stores a status unless a later one is stored. It reports whether it has
// stored the status, and whether the process has restarted since the one before.
// A status with a lower incarnation is accepted as a later start if nothing was
// received from the process for Timeout, because the clock of its host may have
// been set back.
func (t *Table) Update(s *wire.Status, now time.Time) (taken, restarted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, ok := t.peers[s.Process]
	same := ok && s.Incarnation == old.status.Incarnation
	switch {
	case same && s.Sequence <= old.status.Sequence:
		return false, false
	case ok && s.Incarnation < old.status.Incarnation && now.Sub(old.receivedAt) < Timeout:
		return false, false
	}
	if t.peers == nil {
		t.peers = map[string]*Peer{}
	}
	t.peers[s.Process] = &Peer{status: s, receivedAt: now}
	return true, ok && !same
}

// ConfigNumber returns the number of the configuration in force in the last
// status of a process, 0 if there is no status.
func (t *Table) ConfigNumber(process string) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if x, ok := t.peers[process]; ok {
		return x.status.ConfigNumber
	}
	return 0
}

// Live returns the recent statuses of all peers.
func (t *Table) Live(now time.Time) []*wire.Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []*wire.Status
	for _, x := range t.peers {
		if x.Recent(now) {
			all = append(all, x.status)
		}
	}
	return all
}

// RelayAddress returns the relay address in the last status of a process, "" if there is
// none, and whether the status is recent.
func (t *Table) RelayAddress(process string, now time.Time) (address string, recent bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x, ok := t.peers[process]
	if !ok {
		return "", false
	}
	return x.status.Address, x.Recent(now)
}

// All returns every peer with a stored status, recent or not.
func (t *Table) All() []Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]Peer, 0, len(t.peers))
	for _, x := range t.peers {
		all = append(all, *x)
	}
	return all
}
