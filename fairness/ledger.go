// Package fairness tracks the resource usage of each organisation, so that the
// scheduler can put organisations with a low usage for their weight first.
//
// The usage of an organisation is its dominant share of the pool: a weighted
// mean of what its tasks reserve now and of past reservations, which decay with
// a half-life, plus the usage that other processes last reported.
//
// Usage:
//
//	t := fairness.UsageTracker{Pool: pool, HalfLife: 5 * time.Minute}
//	t.Started("prado", demand, now)
//	u := t.Usage("prado", now)
package fairness

import (
	"iter"
	"maps"
	"math"
	"time"

	"persimmonworks.example/persimmonworks/resource"
)

const (
	defaultHalfLife = 5 * time.Minute
	// RunningWeight is the weight of current reservations in the usage. The
	// rest is the weight of the decayed mean of past reservations, which keeps
	// long-run shares exact.
	RunningWeight = 0.25
)

// UsageTracker tracks the usage of all organisations. The zero value is empty.
type UsageTracker struct {
	Pool     resource.Vector // capacity that shares are fractions of
	HalfLife time.Duration   // half-life of past reservations and of peers' reports; 0 means 5 minutes

	orgs         map[string]*orgUsage
	peers        map[string]peerReport // by process
	peersUpdated time.Time             // time of the latest report
}

// orgUsage is the usage of one organisation.
type orgUsage struct {
	running   resource.Vector // reserved now, by this process
	decayed   [3]float64      // exponentially weighted mean of running, as of updated
	updated   time.Time
	peerUsage float64 // sum of the decayed reports of peers, as of UsageTracker.peersUpdated
}

// peerReport is the last report of another process.
type peerReport struct {
	shares   map[string]float64
	received time.Time
}

// org returns the usage of an organisation, which it creates if needed.
func (t *UsageTracker) org(organisation string) *orgUsage {
	if o, ok := t.orgs[organisation]; ok {
		return o
	}
	if t.orgs == nil {
		t.orgs = make(map[string]*orgUsage)
	}
	o := &orgUsage{peerUsage: t.peerUsage(organisation)}
	t.orgs[organisation] = o
	return o
}

// Started reserves the demand of a task for its organisation.
func (t *UsageTracker) Started(organisation string, demand resource.Vector, now time.Time) {
	o := t.org(organisation)
	o.advance(now, t.halfLife())
	o.running = o.running.Add(demand)
}

// Ended releases the demand of a task that was reserved by Started.
func (t *UsageTracker) Ended(organisation string, demand resource.Vector, now time.Time) {
	o := t.org(organisation)
	o.advance(now, t.halfLife())
	o.running = o.running.Sub(demand)
}

// Running returns what the tasks of an organisation that this process started
// reserve now.
func (t *UsageTracker) Running(organisation string) resource.Vector {
	if o, ok := t.orgs[organisation]; ok {
		return o.running
	}
	return resource.Vector{}
}

// SetPeerUsage replaces the report of another process, which holds the dominant
// share of each organisation's tasks on that process. Reports decay with the
// half-life.
func (t *UsageTracker) SetPeerUsage(process string, perOrganisation map[string]float64, now time.Time) {
	if t.peers == nil {
		t.peers = make(map[string]peerReport)
	}
	t.peers[process] = peerReport{perOrganisation, now}
	if now.After(t.peersUpdated) {
		t.peersUpdated = now
	}
	t.updatePeerUsage()
}

// ForgetPeer drops the report of a process that has left.
func (t *UsageTracker) ForgetPeer(process string) {
	delete(t.peers, process)
	t.updatePeerUsage()
}

// updatePeerUsage computes the peerUsage of all organisations again.
func (t *UsageTracker) updatePeerUsage() {
	for name, o := range t.orgs {
		o.peerUsage = t.peerUsage(name)
	}
}

// peerUsage returns the sum of the peers' reports on an organisation, decayed to
// the time peersUpdated.
func (t *UsageTracker) peerUsage(organisation string) float64 {
	sum := 0.0
	for _, report := range t.peers {
		sum += report.shares[organisation] * decay(t.peersUpdated.Sub(report.received), t.halfLife())
	}
	return sum
}

// Usage returns the usage of an organisation, where 1 is the whole pool. It
// includes current reservations, so that several starts at the same instant are
// also divided fairly.
func (t *UsageTracker) Usage(organisation string, now time.Time) float64 {
	o := t.org(organisation)
	past := o.mean(now, t.halfLife())
	own := (1-RunningWeight)*dominantShare(past, t.Pool) + RunningWeight*o.running.DominantShare(t.Pool)
	return own + o.peerUsage*decay(now.Sub(t.peersUpdated), t.halfLife())
}

// Taken returns the larger of what an organisation has reserved now and the decayed mean of
// its past reservations, where 1 is the whole pool. Other than Usage it does not let an
// organisation without a past take several times its share at once, so it suits short
// half-lives.
func (t *UsageTracker) Taken(organisation string, now time.Time) float64 {
	o := t.org(organisation)
	past := o.mean(now, t.halfLife())
	return max(dominantShare(past, t.Pool), o.running.DominantShare(t.Pool)) + o.peerUsage*decay(now.Sub(t.peersUpdated), t.halfLife())
}

// Forgive lowers the decayed mean of an organisation's past reservations so that it is at
// most the given share of the pool. Room that nobody else wanted leaves no debt that way.
func (t *UsageTracker) Forgive(organisation string, share float64, now time.Time) {
	o := t.org(organisation)
	o.advance(now, t.halfLife())
	past := dominantShare(o.decayed, t.Pool)
	if past <= share {
		return
	}
	for i := range o.decayed {
		o.decayed[i] *= share / past
	}
}

// Organisations returns the names of all organisations that the tracker knows of, in no
// particular order.
func (t *UsageTracker) Organisations() iter.Seq[string] { return maps.Keys(t.orgs) }

// Known reports whether Organisations has the organisation.
func (t *UsageTracker) Known(organisation string) bool {
	_, ok := t.orgs[organisation]
	return ok
}

func (t *UsageTracker) halfLife() time.Duration {
	if t.HalfLife <= 0 {
		return defaultHalfLife
	}
	return t.HalfLife
}

// advance updates the decayed mean to now.
func (o *orgUsage) advance(now time.Time, halfLife time.Duration) {
	o.decayed = o.mean(now, halfLife)
	if now.After(o.updated) {
		o.updated = now
	}
}

// mean returns the decayed mean as of now.
func (o *orgUsage) mean(now time.Time, halfLife time.Duration) [3]float64 {
	if o.updated.IsZero() || !now.After(o.updated) {
		return o.decayed
	}
	factor := decay(now.Sub(o.updated), halfLife)
	return [3]float64{
		o.decayed[0]*factor + float64(o.running.MilliCPU)*(1-factor),
		o.decayed[1]*factor + float64(o.running.MemoryMB)*(1-factor),
		o.decayed[2]*factor + float64(o.running.Accelerators)*(1-factor),
	}
}

// decay returns the factor by which a value of the given age has decayed.
func decay(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}

// dominantShare returns the largest of the shares of the pool.
func dominantShare(v [3]float64, pool resource.Vector) float64 {
	return max(ratio(v[0], pool.MilliCPU), ratio(v[1], pool.MemoryMB), ratio(v[2], pool.Accelerators))
}

// ratio returns the share that part is of whole: 1 if whole is zero and part is
// not.
func ratio(part float64, whole int64) float64 {
	if part <= 0 {
		return 0
	}
	if whole <= 0 {
		return 1
	}
	return part / float64(whole)
}
