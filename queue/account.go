package queue

import (
	"math"
	"time"

	"persimmonworks.example/persimmonworks/resource"
)

// runningWeight is the part of the usage that is held now; the rest is the
// decayed past.
const runningWeight = 0.5

// account is the usage of one organisation and its waiting tasks.
type account struct {
	name    string
	share   Share
	buckets []*bucket
	running resource.Vector // reserved now, by this process
	decayed [3]float64      // exponentially weighted mean of running, at the time of updated
	updated time.Time
	peers   float64 // sum of the peers' reports, at the time of Queue.peersAt
	round   uint64  // call of Next that current belongs to
	current float64 // usage
}

// peerSummary is the last report of another process.
type peerSummary struct {
	shares   map[string]float64
	received time.Time
}

func (q *Queue) account(organisation string) *account {
	if a, ok := q.accounts[organisation]; ok {
		return a
	}
	if q.accounts == nil {
		q.accounts = make(map[string]*account)
	}
	a := &account{name: organisation, share: q.Shares[organisation]}
	a.peers = q.reported(organisation)
	q.accounts[organisation] = a
	q.order = append(q.order, a)
	return a
}

// Started reserves the demand of the task on the account of its organisation.
func (q *Queue) Started(i Item, now time.Time) {
	a := q.account(i.Organisation)
	a.advance(now, q.halfLife())
	a.running = a.running.Add(i.Demand)
}

// Ended gives the demand of a task back that was reported as started.
func (q *Queue) Ended(i Item, now time.Time) {
	a := q.account(i.Organisation)
	a.advance(now, q.halfLife())
	a.running = a.running.Sub(i.Demand)
}

// Running returns what the tasks of an organisation that this process
// started reserve now.
func (q *Queue) Running(organisation string) resource.Vector {
	if a, ok := q.accounts[organisation]; ok {
		return a.running
	}
	return resource.Vector{}
}

// PeerUsage replaces the summary of another process: for each organisation
// the dominant share that its tasks there hold. An old summary fades with the
// half-life.
func (q *Queue) PeerUsage(process string, perOrganisation map[string]float64, now time.Time) {
	if q.peers == nil {
		q.peers = make(map[string]peerSummary)
	}
	q.peers[process] = peerSummary{perOrganisation, now}
	if now.After(q.peersAt) {
		q.peersAt = now
	}
	q.sumPeers()
}

// ForgetPeer drops the summary of a process that has left.
func (q *Queue) ForgetPeer(process string) {
	delete(q.peers, process)
	q.sumPeers()
}

func (q *Queue) sumPeers() {
	for _, a := range q.order {
		a.peers = q.reported(a.name)
	}
}

// reported returns the sum of the peers' reports at the time of peersAt.
func (q *Queue) reported(organisation string) float64 {
	sum := 0.0
	for _, p := range q.peers {
		sum += p.shares[organisation] * fade(q.peersAt.Sub(p.received), q.halfLife())
	}
	return sum
}

// Usage returns the dominant share of an organisation: the mean of what it
// holds now and of its decayed past, and what its peers report.
func (q *Queue) Usage(organisation string, now time.Time) float64 {
	a, ok := q.accounts[organisation]
	if !ok {
		a = &account{name: organisation, peers: q.reported(organisation)}
	}
	return q.usage(a, now)
}

func (q *Queue) weightedUsage(a *account, now time.Time) float64 {
	return q.usage(a, now) / float64(max(1, a.share.Weight))
}

// usage counts the present beside the past, so that many starts at one
// instant are already shared out.
func (q *Queue) usage(a *account, now time.Time) float64 {
	past := a.mean(now, q.halfLife())
	own := (1-runningWeight)*dominant(past, q.Pool) + runningWeight*a.running.DominantShare(q.Pool)
	return own + a.peers*fade(now.Sub(q.peersAt), q.halfLife())
}

func (q *Queue) halfLife() time.Duration {
	if q.HalfLife <= 0 {
		return defaultHalfLife
	}
	return q.HalfLife
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

// within reports whether the quota leaves room for the demand.
func (a *account) within(demand resource.Vector) bool {
	return a.share.Quota.IsZero() || a.share.Quota.Covers(a.running.Add(demand))
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
