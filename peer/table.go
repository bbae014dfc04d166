// Package peer holds what a process knows of the others and decides when it
// tells them about itself.
//
// Processes exchange statuses. A Table keeps the last one of each process; a
// Pace lets what must be known in seconds go out at once, and free capacity,
// which changes all the time, at the pace that a budget of bytes allows.
//
// Usage:
//
//	var t peer.Table
//	if taken, restarted := t.Take(status, now); taken { ... }
//	for _, s := range t.Live(now) { ... }
//
//	var p peer.Pace
//	near, far := p.Due(status, addresses, now)
package peer

import (
	"sync"
	"time"

	"persimmonworks.example/persimmonworks/wire"
)

// Pace of the exchange.
const (
	Timeout        = 2 * time.Second        // silence after which a peer's adverts are dropped
	StatusInterval = 250 * time.Millisecond // between statuses to peers of the data centre
	FarInterval    = time.Second            // between statuses to other data centres
)

// Peer is what is known of another process.
type Peer struct {
	status *wire.Status
	heard  time.Time
}

// Status returns the last status of the process; not to be changed.
func (p *Peer) Status() *wire.Status { return p.status }

// Age returns the time since the process was heard last.
func (p *Peer) Age(now time.Time) time.Duration { return now.Sub(p.heard) }

// Recent reports whether the process was heard lately.
func (p *Peer) Recent(now time.Time) bool { return p.Age(now) < Timeout }

// Table holds the last status of each peer, by process. The zero value is
// empty; it may be used from any goroutine.
type Table struct {
	mu     sync.Mutex
	known  map[string]*Peer
	called map[string]time.Time // by address, when it last took a status from here
}

const maxCalled = 1024 // addresses that are remembered

// Tell notes that the process at an address has taken a status from here.
func (t *Table) Tell(address string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.called == nil || len(t.called) > maxCalled {
		t.called = map[string]time.Time{} // drops processes long gone
	}
	t.called[address] = now
}

// Told reports whether the process at an address takes statuses from here.
func (t *Table) Told(address string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, ok := t.called[address]
	return ok && now.Sub(at) < Timeout
}

// Take stores a status unless a later one is known, and tells whether it is
// the first of a start of the process. A lower incarnation counts as a later
// start once the other has been silent: its host's clock may have been set back.
func (t *Table) Take(s *wire.Status, now time.Time) (taken, restarted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, ok := t.known[s.Process]
	same := ok && s.Incarnation == old.status.Incarnation
	switch {
	case same && s.Sequence <= old.status.Sequence:
		return false, false
	case ok && s.Incarnation < old.status.Incarnation && now.Sub(old.heard) < Timeout:
		return false, false
	}
	if t.known == nil {
		t.known = map[string]*Peer{}
	}
	t.known[s.Process] = &Peer{status: s, heard: now}
	return true, ok && !same
}

// ConfigNumber returns the number of the configuration that a process had in
// force when it was last heard, 0 if it was not.
func (t *Table) ConfigNumber(process string) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if x, ok := t.known[process]; ok {
		return x.status.ConfigNumber
	}
	return 0
}

// Live returns the last statuses of the peers heard lately.
func (t *Table) Live(now time.Time) []*wire.Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []*wire.Status
	for _, x := range t.known {
		if x.Recent(now) {
			all = append(all, x.status)
		}
	}
	return all
}

// Heard returns the relay address in the last status of a process, and whether
// the status is recent.
func (t *Table) Heard(process string, now time.Time) (address string, recent bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x, ok := t.known[process]
	if !ok {
		return "", false
	}
	return x.status.Address, x.Recent(now)
}

// All returns what is known of every peer, heard lately or not.
func (t *Table) All() []Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]Peer, 0, len(t.known))
	for _, x := range t.known {
		all = append(all, *x)
	}
	return all
}
