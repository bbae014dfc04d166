// Package fairness keeps what each organisation holds and has held, so that
// those that used less for their weight go first.
//
// The usage of an organisation is its dominant share of the pool: a mean of
// what it holds now and of its past, which fades with a half-life, and what
// other processes last reported about it.
//
// Usage:
//
//	l := fairness.Ledger{Pool: pool, HalfLife: 5 * time.Minute}
//	l.Started("prado", demand, now)
//	u := l.Usage("prado", now)
package fairness

import (
	"math"
	"time"

	"persimmonworks.example/persimmonworks/resource"
)

const (
	defaultHalfLife = 5 * time.Minute
	// RunningWeight is the part of the usage that is held now; the rest is
	// the decayed past, which keeps the long-run shares exact.
	RunningWeight = 0.25
)

// Ledger keeps the accounts of all organisations. The zero value is empty.
type Ledger struct {
	Pool     resource.Vector // capacity that shares are fractions of
	HalfLife time.Duration   // of the memory of the past

	accounts map[string]*account
	peers    map[string]summary
	peersAt  time.Time // of the last summary
}

// account is the usage of one organisation.
type account struct {
	running resource.Vector // reserved now, by this process
	decayed [3]float64      // exponentially weighted mean of running, at the time of updated
	updated time.Time
	peers   float64 // sum of the peers' reports, at the time of Ledger.peersAt
}

// summary is the last report of another process.
type summary struct {
	shares   map[string]float64
	received time.Time
}

func (l *Ledger) account(organisation string) *account {
	if a, ok := l.accounts[organisation]; ok {
		return a
	}
	if l.accounts == nil {
		l.accounts = make(map[string]*account)
	}
	a := &account{peers: l.reported(organisation)}
	l.accounts[organisation] = a
	return a
}

// Started reserves the demand of a task for its organisation.
func (l *Ledger) Started(organisation string, demand resource.Vector, now time.Time) {
	a := l.account(organisation)
	a.advance(now, l.halfLife())
	a.running = a.running.Add(demand)
}

// Ended gives the demand of a task back that was reported as started.
func (l *Ledger) Ended(organisation string, demand resource.Vector, now time.Time) {
	a := l.account(organisation)
	a.advance(now, l.halfLife())
	a.running = a.running.Sub(demand)
}

// Running returns what the started tasks of an organisation reserve now.
func (l *Ledger) Running(organisation string) resource.Vector {
	if a, ok := l.accounts[organisation]; ok {
		return a.running
	}
	return resource.Vector{}
}

// PeerUsage replaces the summary of another process: for each organisation
// the dominant share that its tasks there hold. An old summary fades with the
// half-life.
func (l *Ledger) PeerUsage(process string, perOrganisation map[string]float64, now time.Time) {
	if l.peers == nil {
		l.peers = make(map[string]summary)
	}
	l.peers[process] = summary{perOrganisation, now}
	if now.After(l.peersAt) {
		l.peersAt = now
	}
	l.sumPeers()
}

// ForgetPeer drops the summary of a process that has left.
func (l *Ledger) ForgetPeer(process string) {
	delete(l.peers, process)
	l.sumPeers()
}

func (l *Ledger) sumPeers() {
	for name, a := range l.accounts {
		a.peers = l.reported(name)
	}
}

// reported returns the sum of the peers' reports at the time of peersAt.
func (l *Ledger) reported(organisation string) float64 {
	sum := 0.0
	for _, p := range l.peers {
		sum += p.shares[organisation] * fade(l.peersAt.Sub(p.received), l.halfLife())
	}
	return sum
}

// Usage returns the usage of an organisation, 1 for the whole pool. It counts
// the present beside the past, so that many starts at one instant are already
// shared out.
func (l *Ledger) Usage(organisation string, now time.Time) float64 {
	a := l.account(organisation)
	past := a.mean(now, l.halfLife())
	own := (1-RunningWeight)*dominant(past, l.Pool) + RunningWeight*a.running.DominantShare(l.Pool)
	return own + a.peers*fade(now.Sub(l.peersAt), l.halfLife())
}

func (l *Ledger) halfLife() time.Duration {
	if l.HalfLife <= 0 {
		return defaultHalfLife
	}
	return l.HalfLife
}

func (a *account) advance(now time.Time, halfLife time.Duration) {
	a.decayed = a.mean(now, halfLife)
	if now.After(a.updated) {
		a.updated = now
	}
}

func (a *account) mean(now time.Time, halfLife time.Duration) [3]float64 {
	if a.updated.IsZero() || !now.After(a.updated) {
		return a.decayed
	}
	f := fade(now.Sub(a.updated), halfLife)
	return [3]float64{
		a.decayed[0]*f + float64(a.running.MilliCPU)*(1-f),
		a.decayed[1]*f + float64(a.running.MemoryMB)*(1-f),
		a.decayed[2]*f + float64(a.running.Accelerators)*(1-f),
	}
}

func fade(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}

func dominant(v [3]float64, pool resource.Vector) float64 {
	return max(ratio(v[0], pool.MilliCPU), ratio(v[1], pool.MemoryMB), ratio(v[2], pool.Accelerators))
}

func ratio(part float64, whole int64) float64 {
	if part <= 0 {
		return 0
	}
	if whole <= 0 {
		return 1
	}
	return part / float64(whole)
}
