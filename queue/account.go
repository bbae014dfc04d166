package queue

import (
	"time"

	"persimmonworks.example/persimmonworks/fairness"
	"persimmonworks.example/persimmonworks/resource"
)

// orgState holds the waiting tasks, the share and the cached usage of one
// organisation.
type orgState struct {
	name       string
	tracker    *fairness.UsageTracker
	share      Share
	orgQueues  [numRanks]*orgQueue // by rank of the class; nil if no task waits
	usage      float64             // cached result of Queue.Usage
	usageStale bool                // whether usage must be computed again
}

// maxUsageAge is how long a cached usage is used if no task of the organisation
// starts or ends. In that time it changes by less than 0.1 % if the half-life is
// above two minutes.
const maxUsageAge = 100 * time.Millisecond

// refreshUsage invalidates all cached usages once they are older than
// maxUsageAge.
func (q *Queue) refreshUsage(now time.Time) {
	if age := now.Sub(q.usageRefreshed); age < 0 || age > maxUsageAge {
		q.invalidateAllUsage()
		q.usageRefreshed = now
	}
}

// currentUsage returns the cached usage, which it computes again if it is stale.
func (q *Queue) currentUsage(o *orgState, now time.Time) float64 {
	if o.usageStale {
		o.usage, o.usageStale = q.Usage(o.name, now), false
	}
	return o.usage
}

func (q *Queue) invalidateUsage(organisation string) {
	if o, ok := q.orgs[organisation]; ok {
		o.usageStale = true
	}
}

func (q *Queue) invalidateAllUsage() {
	for _, o := range q.orgList {
		o.usageStale = true
	}
}

// orgState returns the state of an organisation, which it creates if needed.
func (q *Queue) orgState(organisation string) *orgState {
	if o, ok := q.orgs[organisation]; ok {
		return o
	}
	if q.orgs == nil {
		q.orgs = make(map[string]*orgState)
	}
	o := &orgState{name: organisation, tracker: &q.tracker, share: q.Shares[organisation], usageStale: true}
	q.orgs[organisation] = o
	q.orgList = append(q.orgList, o)
	return o
}

// Started adds the demand of a started task to the usage of its organisation.
func (q *Queue) Started(i Item, now time.Time) {
	q.usageTracker().Started(i.Organisation, i.Demand, now)
	q.invalidateUsage(i.Organisation)
}

// Ended releases the demand of a task that was added by Started.
func (q *Queue) Ended(i Item, now time.Time) {
	q.usageTracker().Ended(i.Organisation, i.Demand, now)
	q.invalidateUsage(i.Organisation)
}

// Running returns the sum of the demands of the organisation's running tasks that
// this process started.
func (q *Queue) Running(organisation string) resource.Vector { return q.tracker.Running(organisation) }

// SetPeerUsage replaces the usage reported by another process, see
// fairness.UsageTracker.
func (q *Queue) SetPeerUsage(process string, perOrganisation map[string]float64, now time.Time) {
	q.usageTracker().SetPeerUsage(process, perOrganisation, now)
	q.invalidateAllUsage()
}

// ForgetPeer drops the usage reported by a process that has left.
func (q *Queue) ForgetPeer(process string) {
	q.usageTracker().ForgetPeer(process)
	q.invalidateAllUsage()
}

// Usage returns the decayed dominant share of an organisation, see
// fairness.UsageTracker.
func (q *Queue) Usage(organisation string, now time.Time) float64 {
	return q.usageTracker().Usage(organisation, now)
}

// weightedUsage returns the usage of an organisation divided by its weight.
func (q *Queue) weightedUsage(o *orgState, now time.Time) float64 {
	return q.Usage(o.name, now) / o.weight()
}

func (o *orgState) weight() float64 { return float64(max(1, o.share.Weight)) }

// usageTracker returns the tracker, configured with the current Pool and
// HalfLife.
func (q *Queue) usageTracker() *fairness.UsageTracker {
	q.tracker.Pool, q.tracker.HalfLife = q.Pool, q.HalfLife
	return &q.tracker
}

// withinQuota reports whether the organisation may start a task with the demand
// without exceeding its quota.
func (o *orgState) withinQuota(demand resource.Vector) bool {
	return o.share.Quota.IsZero() || o.share.Quota.Covers(o.tracker.Running(o.name).Add(demand))
}
