package entry

import (
	"sync"
	"time"

	"persimmonworks.example/persimmonworks/wire"
)

// peer is what is known of another process.
type peer struct {
	status *wire.Status
	heard  time.Time
}

// peerTable holds the last status of each peer, by process.
type peerTable struct {
	mu     sync.Mutex
	known  map[string]*peer
	called map[string]time.Time // by address, when it last took a status from here
}

func (t *peerTable) init() { t.known, t.called = map[string]*peer{}, map[string]time.Time{} }

const maxCalled = 1024 // addresses that are remembered

// tell notes that the process at an address has taken a status from here.
func (t *peerTable) tell(address string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.called) > maxCalled {
		clear(t.called) // of processes long gone
	}
	t.called[address] = now
}

// told reports whether the process at an address takes statuses from here.
func (t *peerTable) told(address string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, ok := t.called[address]
	return ok && now.Sub(at) < peerTimeout
}

// take stores a status unless a later one is known, and tells whether it is
// the first of a start of the process. A lower incarnation counts as a later
// start once the other has been silent: its host's clock may have been set back.
func (t *peerTable) take(s *wire.Status, now time.Time) (taken, restarted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, ok := t.known[s.Process]
	same := ok && s.Incarnation == old.status.Incarnation
	switch {
	case same && s.Sequence <= old.status.Sequence:
		return false, false
	case ok && s.Incarnation < old.status.Incarnation && now.Sub(old.heard) < peerTimeout:
		return false, false
	}
	t.known[s.Process] = &peer{status: s, heard: now}
	return true, ok && !same
}

// configNumber returns the number of the configuration that a process had in
// force when it was last heard, 0 if it was not.
func (t *peerTable) configNumber(process string) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if x, ok := t.known[process]; ok {
		return x.status.ConfigNumber
	}
	return 0
}

// live returns the last statuses of the peers heard lately.
func (t *peerTable) live(now time.Time) []*wire.Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []*wire.Status
	for _, x := range t.known {
		if now.Sub(x.heard) < peerTimeout {
			all = append(all, x.status)
		}
	}
	return all
}

// heard returns the relay address in the last status of a process, and whether
// the status is recent.
func (t *peerTable) heard(process string, now time.Time) (address string, recent bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x, ok := t.known[process]
	if !ok {
		return "", false
	}
	return x.status.Address, now.Sub(x.heard) < peerTimeout
}

// address returns the relay address of a process, "" if unknown. What the
// process itself has said lately goes before the table's last known row, which
// is of an earlier start if it restarted while the platform was away.
func (p *Process) address(process string) string {
	said, recent := p.peers.heard(process, time.Now())
	if recent {
		return said
	}
	for _, m := range p.session.Members() {
		if m.Process == process {
			return m.RelayAddress
		}
	}
	return said
}

// all returns what is known of every peer, heard lately or not.
func (t *peerTable) all() []peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]peer, 0, len(t.known))
	for _, x := range t.known {
		all = append(all, *x)
	}
	return all
}
