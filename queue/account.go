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
	claims  [classes]*claim // by rank; nil where nothing waits
	usage   float64         // as last counted
	changed bool            // since then
}

// usageAge is the age up to which a usage is not counted again if nothing
// started or ended. In that time it changes by less than a thousandth with
// half-lives above two minutes.
const usageAge = 100 * time.Millisecond

// refresh makes every usage be counted again if it has grown old.
func (q *Queue) refresh(now time.Time) {
	if age := now.Sub(q.refreshed); age < 0 || age > usageAge {
		q.allChanged()
		q.refreshed = now
	}
}

func (q *Queue) current(a *account, now time.Time) float64 {
	if a.changed {
		a.usage, a.changed = q.Usage(a.name, now), false
	}
	return a.usage
}

func (q *Queue) changed(organisation string) {
	if a, ok := q.accounts[organisation]; ok {
		a.changed = true
	}
}

func (q *Queue) allChanged() {
	for _, a := range q.order {
		a.changed = true
	}
}

func (q *Queue) account(organisation string) *account {
	if a, ok := q.accounts[organisation]; ok {
		return a
	}
	if q.accounts == nil {
		q.accounts = make(map[string]*account)
	}
	a := &account{name: organisation, ledger: &q.ledger, share: q.Shares[organisation], changed: true}
	q.accounts[organisation] = a
	q.order = append(q.order, a)
	return a
}

// Started reserves the demand of the task for its organisation.
func (q *Queue) Started(i Item, now time.Time) {
	q.books().Started(i.Organisation, i.Demand, now)
	q.changed(i.Organisation)
}

// Ended gives the demand of a task back that was reported as started.
func (q *Queue) Ended(i Item, now time.Time) {
	q.books().Ended(i.Organisation, i.Demand, now)
	q.changed(i.Organisation)
}

// Running returns what the tasks of an organisation that this process
// started reserve now.
func (q *Queue) Running(organisation string) resource.Vector { return q.ledger.Running(organisation) }

// PeerUsage replaces the summary of another process, see fairness.Ledger.
func (q *Queue) PeerUsage(process string, perOrganisation map[string]float64, now time.Time) {
	q.books().PeerUsage(process, perOrganisation, now)
	q.allChanged()
}

// ForgetPeer drops the summary of a process that has left.
func (q *Queue) ForgetPeer(process string) {
	q.books().ForgetPeer(process)
	q.allChanged()
}

// Usage returns the dominant share of an organisation, see fairness.Ledger.
func (q *Queue) Usage(organisation string, now time.Time) float64 {
	return q.books().Usage(organisation, now)
}

func (q *Queue) weightedUsage(a *account, now time.Time) float64 {
	return q.Usage(a.name, now) / a.weight()
}

func (a *account) weight() float64 { return float64(max(1, a.share.Weight)) }

// books returns the ledger with the current settings of the queue.
func (q *Queue) books() *fairness.Ledger {
	q.ledger.Pool, q.ledger.HalfLife = q.Pool, q.HalfLife
	return &q.ledger
}

// within reports whether the quota leaves room for the demand.
func (a *account) within(demand resource.Vector) bool {
	return a.share.Quota.IsZero() || a.share.Quota.Covers(a.ledger.Running(a.name).Add(demand))
}
