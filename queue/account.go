package queue

import (
	"time"

	"persimmonworks.example/persimmonworks/fairness"
	"persimmonworks.example/persimmonworks/resource"
)

// account is the waiting tasks of one organisation.
type account struct {
	name    string
	ledger  *fairness.Ledger
	share   Share
	buckets []*bucket
	round   uint64  // call of Next that current belongs to
	current float64 // usage
}

func (q *Queue) account(organisation string) *account {
	if a, ok := q.accounts[organisation]; ok {
		return a
	}
	if q.accounts == nil {
		q.accounts = make(map[string]*account)
	}
	a := &account{name: organisation, ledger: &q.ledger, share: q.Shares[organisation]}
	q.accounts[organisation] = a
	q.order = append(q.order, a)
	return a
}

// Started reserves the demand of the task for its organisation.
func (q *Queue) Started(i Item, now time.Time) { q.books().Started(i.Organisation, i.Demand, now) }

// Ended gives the demand of a task back that was reported as started.
func (q *Queue) Ended(i Item, now time.Time) { q.books().Ended(i.Organisation, i.Demand, now) }

// Running returns what the tasks of an organisation that this process
// started reserve now.
func (q *Queue) Running(organisation string) resource.Vector { return q.ledger.Running(organisation) }

// PeerUsage replaces the summary of another process, see fairness.Ledger.
func (q *Queue) PeerUsage(process string, perOrganisation map[string]float64, now time.Time) {
	q.books().PeerUsage(process, perOrganisation, now)
}

// ForgetPeer drops the summary of a process that has left.
func (q *Queue) ForgetPeer(process string) { q.books().ForgetPeer(process) }

// Usage returns the dominant share of an organisation, see fairness.Ledger.
func (q *Queue) Usage(organisation string, now time.Time) float64 {
	return q.books().Usage(organisation, now)
}

func (q *Queue) weightedUsage(a *account, now time.Time) float64 {
	return q.Usage(a.name, now) / float64(max(1, a.share.Weight))
}

// books returns the ledger with the current settings of the queue.
func (q *Queue) books() *fairness.Ledger {
	q.ledger.Pool, q.ledger.HalfLife = q.Pool, q.HalfLife
	return &q.ledger
}

// within reports whether the quota leaves room for the demand.
func (a *account) within(demand resource.Vector) bool {
	return a.share.Quota.IsZero() || a.share.Quota.Covers(a.ledger.Running(a.name).Add(demand))
}
