package cell

import (
	"fmt"
	"time"

	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/organisation"
	"persimmonworks.example/persimmonworks/quota"
	"persimmonworks.example/persimmonworks/wire"
)

const (
	quotaLogAfter   = 500 * time.Millisecond // that a step waits for the limit before that is logged
	quotaReportAge  = 2 * time.Second        // after which another docket is no longer thought to have parts to spare
	quotaRefuseTime = 30 * time.Second       // for callers whose jobs exceed the limit by themselves
)

// quotas is what the cell knows of the limits of organisations, and how much of them it uses.
// It is empty while the configuration limits nobody.
type quotas struct {
	version uint64 // of the configuration that limited follows
	set     *organisation.Set
	adopted bool                // the runs of earlier owners are counted in used
	used    map[string]vector   // what the runs of an organisation take, those that may be running included
	limited map[string]*limited // organisations with a limit, by name
	number  int                 // of this docket
	dockets int
	peers   []quotaPeer // by docket
}

// limited is an organisation with a limit.
type limited struct {
	name  string
	limit vector
	// Version of the latest configuration that may have lowered the limit. Tasks start only
	// when all other dockets have reported, by it or a later one, that what runs there is
	// within their shares.
	since    uint64
	wanted   want         // of the last pass
	counting want         // of the pass that goes on
	holder   *readyStep   // the gang for which room is kept, nil if there is none
	kept     vector       // for it
	seen     bool         // it was considered in this pass
	owed     map[int]debt // by docket
	reports  []quotaReport
}

// want is what steps need that wait for nothing but the limit.
type want struct {
	amount vector
	gang   vector // of the first gang
	waited time.Duration
	held   bool // some step is held back
}

// debt is what should be left for another docket.
type debt struct {
	parts quota.Parts
	until time.Time
}

// quotaReport is what another docket has said of an organisation.
type quotaReport struct {
	settledAt uint64 // version by which its use was within its share, 0 if it is not
	used      quota.Parts
	spare     quota.Parts
	at        time.Time
}

func (q *quotas) init(other OtherDockets) {
	q.dockets = 1
	if other != nil {
		q.number, q.dockets = other.Numbers()
	}
	q.peers = make([]quotaPeer, q.dockets)
}

// readLimits takes over the limits of the configuration in force.
func (c *Cell) readLimits() {
	if c.Organisations == nil {
		return
	}
	q := &c.quotas
	version := c.Organisations.Version()
	set := c.Organisations.Organisations()
	if c.Organisations.Version() != version {
		return // it changes just now; the set may be of either version, and is read at the next look
	}
	if version == q.version && set == q.set {
		return
	}
	next := version == q.version+1
	known := q.limited
	q.limited = map[string]*limited{}
	for _, name := range set.Names() {
		x, _ := set.ByName(name)
		if !x.Limited() {
			continue
		}
		o, ok := known[name]
		if !ok {
			o = &limited{name: name, since: version, owed: map[int]debt{}, reports: make([]quotaReport, q.dockets)}
		}
		if !next || quota.Lowered(o.limit, x.Limit()) {
			o.since = version
		}
		o.limit = x.Limit()
		q.limited[name] = o
	}
	q.version, q.set = version, set
}

// quotaDemand returns what a task counts against the limit of its organisation: what it was
// declared with, also if it fills idle processor time.
func quotaDemand(s *wire.DocketStep) vector {
	return vector{MilliCPU: s.GetMilliCpu(), MemoryMB: s.GetMemoryMb(), Accelerators: s.GetAccelerators()}
}

// countForQuota counts a run, or takes it back with a sign of -1.
func (c *Cell) countForQuota(x *run, sign int64) {
	if x.organisation == "" {
		return
	}
	used := c.quotas.used[x.organisation].Add(quotaDemand(x.shape).Scale(sign))
	if used.IsZero() {
		delete(c.quotas.used, x.organisation)
		return
	}
	c.quotas.used[x.organisation] = used
}

// beginQuotaPass prepares a placement pass.
func (c *Cell) beginQuotaPass() {
	c.readLimits()
	for _, o := range c.quotas.limited {
		o.counting, o.seen = want{}, false
	}
}

// endQuotaPass keeps what the pass has found wanted, and asks for it.
func (c *Cell) endQuotaPass(now time.Time) {
	for _, o := range c.quotas.limited {
		o.wanted = o.counting
		if o.holder != nil && !o.seen && len(o.holder.reservations) == 0 {
			o.holder = nil
		}
	}
	c.askForQuota(now)
}

// tickQuota asks what does not need a pass: for reports after a takeover, and for parts while
// more runs here than the share admits.
func (c *Cell) tickQuota(now time.Time) {
	c.readLimits()
	if len(c.readySteps) == 0 {
		for _, o := range c.quotas.limited {
			o.wanted = want{}
		}
	}
	c.askForQuota(now)
}

// share returns the share of the limit that this docket has.
func (c *Cell) share(o *limited) quota.Parts {
	return c.Docket.Ledger(o.name).Share(c.quotas.number, c.quotas.dockets)
}

// quotaRoom returns what further tasks of the step may take here. More urgent steps do not
// heed what is kept for a gang.
func (c *Cell) quotaRoom(o *limited, s *readyStep, now time.Time) vector {
	share := c.share(o)
	for docket, d := range o.owed {
		if now.After(d.until) {
			delete(o.owed, docket)
			continue
		}
		share = share.Sub(d.parts)
	}
	room := quota.Allowance(share, o.limit).Sub(c.quotas.used[o.name])
	if o.holder != nil && o.holder != s && s.queue.GetPriority() >= o.holder.queue.GetPriority() {
		room = room.Sub(o.kept)
	}
	return room
}

// quotaBlocked returns why no task of the organisation may start here at present, whatever
// the share, or "".
func (c *Cell) quotaBlocked(o *limited) string {
	if c.quotas.version < c.Docket.LimitsVersion() {
		return fmt.Sprintf("an earlier owner has reported by version %d", c.Docket.LimitsVersion())
	}
	for d, r := range o.reports {
		if d != c.quotas.number && r.settledAt < o.since {
			return fmt.Sprintf("docket %d has not reported that its tasks are within the limit", d)
		}
	}
	return ""
}

// overQuota reports whether the limit was lowered since a run was placed, so that it may not
// start any more.
func (c *Cell) overQuota(x *run) bool {
	c.readLimits()
	o := c.quotas.limited[x.organisation]
	return o != nil && (c.quotaBlocked(o) != "" || !quota.Settled(c.share(o), o.limit, c.quotas.used[o.name]))
}

// withinQuota returns those of the tasks that the limit of the step's organisation admits;
// of a gang all or none.
func (c *Cell) withinQuota(s *readyStep, indices []uint32, workers []*worker, now time.Time) []uint32 {
	o := c.quotas.limited[s.organisation()]
	if o == nil {
		s.heldByQuota, s.heldSince = false, time.Time{}
		return indices
	}
	blocked := c.quotaBlocked(o)
	admitted := 0
	if blocked == "" {
		admitted = quota.Fits(c.quotaRoom(o, s, now), o.limit, quotaDemand(s.shape), len(indices))
	}
	if s.shape.GetGang() {
		if admitted < len(indices) {
			admitted = 0
		}
		c.keepForGang(o, s, len(indices), now)
	} else if admitted < len(indices) {
		c.countWanted(o, s, admitted, len(indices)-admitted, workers)
	}
	c.noteHeld(o, s, admitted, len(indices), blocked, now)
	return indices[:admitted]
}

// keepForGang keeps what a gang needs, for a bounded time, so that other steps do not take
// what comes free one by one.
func (c *Cell) keepForGang(o *limited, s *readyStep, members int, now time.Time) {
	if o.holder != nil && o.holder != s {
		return
	}
	o.holder = nil
	need := quotaDemand(s.shape).Scale(int64(members))
	if quota.Exceeds(need, o.limit) || !s.quotaHold.Active(now, c.halfUsed(o)) {
		return
	}
	o.holder, o.kept, o.seen = s, need, true
	o.counting.amount = o.counting.amount.Add(need)
	o.counting.gang, o.counting.waited = need, now.Sub(s.readyAt)
}

// halfUsed reports whether at least half of the limit is in use, as far as is known.
func (c *Cell) halfUsed(o *limited) bool {
	used := quota.PartsOf(c.quotas.used[o.name], o.limit)
	for _, r := range o.reports {
		used = used.Add(r.used)
	}
	return max(used.MilliCPU, used.MemoryMB, used.Accelerators) >= quota.Whole/2
}

// countWanted counts tasks that are held back and for which there is room on the workers, so
// that no docket collects parts that it cannot use.
func (c *Cell) countWanted(o *limited, s *readyStep, admitted, held int, workers []*worker) {
	amount := quotaDemand(s.shape)
	if quota.Exceeds(c.quotas.used[o.name].Add(o.counting.amount).Add(amount), o.limit) {
		return // there is no more to get
	}
	fits := -admitted
	for _, w := range c.workersWithRoom(s, c.workersFor(s, workers)) {
		b := c.workerBin(s, w)
		fits += b.Fits(demand(s.shape), held)
		if fits >= held {
			break
		}
	}
	o.counting.amount = o.counting.amount.Add(amount.Scale(int64(max(0, min(fits, held)))))
}

// noteHeld records, and after a while logs, that a step waits for the limit.
func (c *Cell) noteHeld(o *limited, s *readyStep, admitted, tasks int, blocked string, now time.Time) {
	if admitted == tasks {
		if !s.heldSince.IsZero() {
			c.Meter.Observe("quota-held", now.Sub(s.heldSince))
		}
		s.heldByQuota, s.heldSince = false, time.Time{}
		return
	}
	o.counting.held = true
	s.heldByQuota = true
	if s.heldSince.IsZero() {
		s.heldSince = now
	}
	if s.heldLogged || now.Sub(s.heldSince) < quotaLogAfter {
		return
	}
	s.heldLogged = true
	if blocked == "" && quota.Exceeds(quotaDemand(s.shape).Scale(leastTasks(s.shape)), o.limit) {
		blocked = "it needs more than the limit"
	}
	used := c.quotas.used[o.name]
	c.Log.Emit(event.StepHeldByQuota, "job", s.id.Job, "step", s.id.String(), "organisation", o.name, "tasks", tasks, "admitted", admitted,
		"limit", quota.Describe(quota.All, o.limit), "used-here", used.String(), "allowed-here", quota.Describe(c.share(o), o.limit),
		"version", c.quotas.version, "reason", blocked, "for-ms", now.Sub(s.heldSince).Milliseconds())
	c.Meter.Count("quota", "step-held")
}

// leastTasks returns how many tasks of a step have to run at the same time.
func leastTasks(s *wire.DocketStep) int64 {
	if s.GetGang() {
		return int64(s.GetCount())
	}
	return 1
}

// exceedsQuota returns why a job could never run within the limit of its organisation, or "".
// A job from another docket was accepted already.
func (c *Cell) exceedsQuota(job *wire.DocketAccepted) string {
	x, ok := c.organisations().ByName(job.GetOrganisation())
	if !ok || !x.Limited() || job.GetMoved() {
		return ""
	}
	for i, s := range job.GetSteps() {
		if need := quotaDemand(s).Scale(leastTasks(s)); quota.Exceeds(need, x.Limit()) {
			return fmt.Sprintf("step %d needs %v at once, and its organisation may run %v", i, need, x.Limit())
		}
	}
	return ""
}
