package turn

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"persimmonworks.example/persimmonworks/fairness"
	"persimmonworks.example/persimmonworks/organisation"
	"persimmonworks.example/persimmonworks/resource"
)

const (
	// usageHalfLife is that of what an organisation had. Tasks take seconds, so what runs
	// at a moment says little of what an organisation gets.
	usageHalfLife = 2 * time.Second
	// usableShare is the part of the pool that tasks can take; the rest is left over beside
	// tasks of unlike sizes.
	usableShare = 0.9
	// wideStep is the part of the pool that a wide step takes at once. An organisation is not
	// over its share because of one such step, as far as that is no more than the share itself.
	wideStep = 0.01
	// An organisation has much more than its share beyond farOver times the share, and two
	// wide steps.
	farOver = 1.25
	// undeclaredWeight is that of jobs that belong to no organisation, or to one that the
	// configuration does not know any more.
	undeclaredWeight = 1
	maxReported      = 256    // organisations in a report
	minReported      = 0.0002 // of the pool; less is left out of reports
)

// Use is what one organisation has and wants at one owner, as dominant shares of the
// deployment.
type Use struct {
	Organisation string
	Running      float64
	Urgent       float64 // part of Running that is urgent work
	Waiting      float64 // what its waiting tasks would take
}

// Report is what one owner tells the others.
type Report struct {
	Docket   int
	Capacity resource.Vector // of the workers that the owner can use
	Uses     []Use
	At       time.Time // when it was received
}

// Accounts holds what the organisations of a deployment have and want, as one owner knows
// it. The zero value is empty. It is not safe for concurrent use.
type Accounts struct {
	all, urgent fairness.UsageTracker // of this owner's runs, and of the reports
	set         *organisation.Set
	pool        resource.Vector
	waiting     map[string]float64 // at this owner
	reports     map[int]Report     // by docket
	perWeight   float64            // share of the pool for each unit of weight
	scarce      bool               // more is wanted than there is
	changes     uint64             // number of changes of all this
}

// Started notes that a task of an organisation has got its room.
func (a *Accounts) Started(name string, demand resource.Vector, urgent bool, now time.Time) {
	a.prepare()
	a.all.Started(name, demand, now)
	if urgent {
		a.urgent.Started(name, demand, now)
	}
}

// Ended notes that a task for which Started was called has given its room back.
func (a *Accounts) Ended(name string, demand resource.Vector, urgent bool, now time.Time) {
	a.prepare()
	a.all.Ended(name, demand, now)
	if urgent {
		a.urgent.Ended(name, demand, now)
	}
}

// prepare begins a change of the accounts.
func (a *Accounts) prepare() {
	a.changes++
	a.all.HalfLife, a.urgent.HalfLife = usageHalfLife, usageHalfLife
}

// Receive notes what another owner has told. Its uses fade with usageHalfLife unless it tells
// them again; its capacity stays part of the pool.
func (a *Accounts) Receive(r Report) {
	if old, ok := a.reports[r.Docket]; ok && !r.At.After(old.At) {
		return
	}
	a.prepare()
	if a.reports == nil {
		a.reports = map[int]Report{}
	}
	a.reports[r.Docket] = r
	running, urgent := make(map[string]float64, len(r.Uses)), make(map[string]float64, len(r.Uses))
	for _, u := range r.Uses {
		running[u.Organisation], urgent[u.Organisation] = u.Running, u.Urgent
	}
	source := strconv.Itoa(r.Docket)
	a.all.SetPeerUsage(source, running, r.At)
	a.urgent.SetPeerUsage(source, urgent, r.At)
}

// Update works out the shares again. capacity is that of the workers of this owner, and
// waiting what the tasks that wait at this owner would take.
func (a *Accounts) Update(set *organisation.Set, capacity resource.Vector, waiting map[string]resource.Vector, now time.Time) {
	a.prepare()
	a.set, a.pool = set, capacity
	for _, r := range a.reports {
		a.pool = a.pool.Add(r.Capacity)
	}
	a.all.Pool, a.urgent.Pool = a.pool, a.pool
	a.waiting = make(map[string]float64, len(waiting))
	for name, v := range waiting {
		a.waiting[name] = v.DominantShare(a.pool)
	}
	wanted := a.wanted(now)
	claims := make([]fairness.Claim, 0, len(wanted))
	for _, name := range slices.Sorted(maps.Keys(wanted)) {
		claims = append(claims, fairness.Claim{Weight: a.weight(name), Wanted: min(wanted[name], a.limit(name))})
	}
	a.perWeight, a.scarce = fairness.PerWeight(claims, usableShare)
	if !a.scarce {
		a.forgive(now)
	}
}

// wanted returns what each organisation has and wants besides, at all owners.
func (a *Accounts) wanted(now time.Time) map[string]float64 {
	wanted := map[string]float64{}
	for name := range a.all.Organisations() {
		if v := a.all.Running(name); !v.IsZero() {
			wanted[name] += v.DominantShare(a.pool)
		}
	}
	for name, share := range a.waiting {
		wanted[name] += share
	}
	for _, r := range a.reports {
		left := math.Exp2(-max(0, now.Sub(r.At).Seconds()) / usageHalfLife.Seconds())
		for _, u := range r.Uses {
			wanted[u.Organisation] += left * (u.Running + u.Waiting)
		}
	}
	return wanted
}

// forgive forgets what organisations took in the past, beyond what they have now.
func (a *Accounts) forgive(now time.Time) {
	for name := range a.all.Organisations() {
		a.all.Forgive(name, a.all.Running(name).DominantShare(a.pool), now)
	}
	for name := range a.urgent.Organisations() {
		a.urgent.Forgive(name, a.urgent.Running(name).DominantShare(a.pool), now)
	}
}

func (a *Accounts) weight(name string) float64 {
	if o, ok := a.set.ByName(name); ok {
		return o.Weight()
	}
	return undeclaredWeight
}

// limit returns the share of the pool that an organisation may have at most.
func (a *Accounts) limit(name string) float64 {
	if o, ok := a.set.ByName(name); ok && o.Limited() {
		return o.Limit().DominantShare(a.pool)
	}
	return 1
}

// Scarce reports whether more was wanted at the last update than there is room for.
func (a *Accounts) Scarce() bool { return a.scarce }

// Share returns what an organisation may have while room is scarce, as a share of the pool.
func (a *Accounts) Share(name string) float64 {
	if !a.scarce {
		return 1
	}
	return a.perWeight * a.weight(name)
}

// Taken returns what an organisation has of the pool, or has had on the mean of the last
// seconds if that is more.
func (a *Accounts) Taken(name string, now time.Time) float64 { return a.all.Taken(name, now) }

// Standing compares what an organisation has with its share. For urgent steps only its
// urgent work counts, and any that is beyond the share is far beyond it: urgent work goes
// before that of other organisations only within the share.
func (a *Accounts) Standing(name string, urgent bool, now time.Time) Standing {
	if !a.scarce {
		return Within
	}
	share := a.Share(name)
	if urgent {
		if a.urgent.Taken(name, now) > share {
			return FarOver
		}
		return Within
	}
	step := min(wideStep, share)
	switch taken := a.all.Taken(name, now); {
	case taken > farOver*share+2*step:
		return FarOver
	case taken > share+step:
		return Over
	}
	return Within
}

// Report returns what to tell the other owners: the organisations with the most first, and
// none that has and wants next to nothing.
func (a *Accounts) Report(capacity resource.Vector, now time.Time) Report {
	r := Report{Capacity: capacity, At: now}
	for name := range a.all.Organisations() {
		u := Use{
			Organisation: name, Waiting: a.waiting[name],
			Running: a.all.Running(name).DominantShare(a.pool), Urgent: a.urgent.Running(name).DominantShare(a.pool),
		}
		r.add(u)
	}
	for name, waiting := range a.waiting {
		if !a.all.Known(name) {
			r.add(Use{Organisation: name, Waiting: waiting})
		}
	}
	slices.SortFunc(r.Uses, func(u, v Use) int {
		return cmp.Or(cmp.Compare(v.Running+v.Waiting, u.Running+u.Waiting), cmp.Compare(u.Organisation, v.Organisation))
	})
	r.Uses = r.Uses[:min(len(r.Uses), maxReported)]
	return r
}

func (r *Report) add(u Use) {
	if u.Running+u.Waiting >= minReported {
		r.Uses = append(r.Uses, u)
	}
}
