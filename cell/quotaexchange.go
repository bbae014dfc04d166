package cell

import (
	"context"
	"errors"
	"slices"
	"time"

	"persimmonworks.example/persimmonworks/docket"
	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/quota"
	"persimmonworks.example/persimmonworks/wire"
)

const (
	quotaAskInterval    = 150 * time.Millisecond // between two requests to a docket
	maxQuotaAskInterval = 600 * time.Millisecond // while the requests gain nothing
	quotaAskTimeout     = 500 * time.Millisecond
	// A claim that is not renewed within this time leaves nothing owed.
	quotaDebtTime = 800 * time.Millisecond
)

// errStoreStalled is the error for a claim while nothing can be stored.
var errStoreStalled = errors.New("the store does not answer")

// quotaPeer is the state of the requests to another docket.
type quotaPeer struct {
	asking   bool
	nextAt   time.Time
	interval time.Duration
	// The docket has told all that it ever gave to this one. Without that, what an
	// earlier owner was given, or an answer that was lost has told, would lie idle.
	synced bool
}

// claim returns what this docket has and wants.
func (c *Cell) claim(o *limited) quota.Claim {
	return quota.Claim{
		Share: c.share(o), Used: quota.PartsOf(c.quotas.used[o.name], o.limit),
		Wanted: quota.PartsOf(o.wanted.amount, o.limit), Gang: quota.PartsOf(o.wanted.gang, o.limit), Waited: o.wanted.waited,
	}
}

// askForQuota asks the other dockets for parts that are wanted here, and for reports without
// which nothing may start.
func (c *Cell) askForQuota(now time.Time) {
	q := &c.quotas
	if q.dockets < 2 || len(q.limited) == 0 || c.storeStalled(now) {
		return
	}
	claims := make([][]*wire.ExchangeQuotaClaim, q.dockets)
	for _, o := range q.limited {
		c.addClaims(o, claims, now)
	}
	for d := range q.peers {
		p := &q.peers[d]
		if d == q.number || p.asking || now.Before(p.nextAt) || len(claims[d]) == 0 && p.synced {
			continue
		}
		p.asking = true
		m := &wire.ExchangeQuotaClaims{Docket: uint32(d), From: uint32(q.number), Claims: claims[d], All: !p.synced}
		c.group.Go(func() error {
			call, cancel := context.WithTimeout(c.ctx, quotaAskTimeout)
			defer cancel()
			grants, err := c.OtherDockets.ClaimQuota(call, d, m)
			c.loop.Post(func() { c.handleGrants(d, m, grants, err) })
			return nil
		})
	}
}

// addClaims adds the claims to the limit of an organisation, by the docket that is asked.
func (c *Cell) addClaims(o *limited, claims [][]*wire.ExchangeQuotaClaim, now time.Time) {
	q := &c.quotas
	mine := c.claim(o)
	need := mine.Need()
	if need.IsZero() && !o.wanted.held {
		return
	}
	var others []int
	var milliCPU, memory, accelerators []int64
	for d, r := range o.reports {
		if d == q.number {
			continue
		}
		spare := r.spare
		if now.Sub(r.at) > quotaReportAge {
			spare = quota.Parts{}
		}
		others = append(others, d)
		milliCPU, memory, accelerators = append(milliCPU, spare.MilliCPU), append(memory, spare.MemoryMB), append(accelerators, spare.Accelerators)
	}
	milliCPU, memory, accelerators = quota.Split(need.MilliCPU, milliCPU), quota.Split(need.MemoryMB, memory), quota.Split(need.Accelerators, accelerators)
	for i, d := range others {
		asked := quota.Parts{MilliCPU: milliCPU[i], MemoryMB: memory[i], Accelerators: accelerators[i]}
		if asked.IsZero() && o.reports[d].settledAt >= o.since {
			continue
		}
		claims[d] = append(claims[d], encodeClaim(o.name, mine.Asking(asked)))
	}
}

// handleGrants processes the answer of another docket.
func (c *Cell) handleGrants(d int, m *wire.ExchangeQuotaClaims, grants *wire.ExchangeQuotaGrants, err error) {
	now := time.Now()
	p := &c.quotas.peers[d]
	p.asking = false
	if err != nil {
		p.synced = false // the answer may have told of parts
		p.wait(now)
		return
	}
	p.synced = p.synced || m.GetAll()
	gained := false
	for _, g := range grants.GetGrants() {
		gained = c.receive(d, g) || gained
		o := c.quotas.limited[g.GetOrganisation()]
		if o == nil {
			continue
		}
		r := quotaReport{used: decodeParts(g.GetUsed()), spare: decodeParts(g.GetSpare()), at: now}
		if g.GetSettled() {
			r.settledAt = grants.GetVersion()
		}
		gained = gained || o.reports[d].settledAt < o.since && r.settledAt >= o.since
		o.reports[d] = r
	}
	if gained {
		p.interval = 0
		c.requestPass()
	}
	p.wait(now)
}

// wait sets when the docket is asked next.
func (p *quotaPeer) wait(now time.Time) {
	p.interval = min(max(quotaAskInterval, 2*p.interval), maxQuotaAskInterval)
	p.nextAt = now.Add(p.interval)
}

// receive stores what another docket has given, and reports whether that is more than was
// known. What is started with it is stored after it.
func (c *Cell) receive(from int, g *wire.ExchangeQuotaGrant) bool {
	total, before := decodeParts(g.GetGiven()), c.Docket.Ledger(g.GetOrganisation()).Received(from)
	if total == before || !total.Covers(before) {
		return false
	}
	if !c.append(docket.Receive(g.GetOrganisation(), from, total), nil) {
		return false
	}
	c.Meter.Count("quota", "received")
	return true
}

// ClaimQuota answers a claim of another docket with what it is given, once that is stored.
func (c *Cell) ClaimQuota(ctx context.Context, m *wire.ExchangeQuotaClaims) (*wire.ExchangeQuotaGrants, error) {
	grants, err := await(ctx, c, func(done func(*wire.ExchangeQuotaGrants)) { c.grantQuota(m, done) })
	if err == nil && grants == nil {
		err = errStoreStalled
	}
	return grants, err
}

func (c *Cell) grantQuota(m *wire.ExchangeQuotaClaims, done func(*wire.ExchangeQuotaGrants)) {
	now := time.Now()
	c.readLimits()
	q := &c.quotas
	from := int(m.GetFrom())
	if !q.adopted || c.storeStalled(now) || from >= q.dockets || from == q.number {
		done(nil)
		return
	}
	if q.version > c.Docket.LimitsVersion() && !c.append(docket.ReportLimits(q.version), nil) {
		done(nil)
		return
	}
	grants := &wire.ExchangeQuotaGrants{Result: wire.ExchangeResult_EXCHANGE_RESULT_DONE, Version: q.version}
	told := map[string]bool{}
	for _, x := range m.GetClaims() {
		told[x.GetOrganisation()] = true
		c.give(from, x, now)
		grants.Grants = append(grants.Grants, c.grant(from, x.GetOrganisation()))
	}
	if m.GetAll() {
		for _, name := range c.organisationsOf(from) {
			if !told[name] {
				grants.Grants = append(grants.Grants, c.grant(from, name))
			}
		}
	}
	c.afterDurable(c.commits.applied, func() { done(grants) })
}

// give gives another docket what it claims and can be spared here.
func (c *Cell) give(to int, x *wire.ExchangeQuotaClaim, now time.Time) {
	o := c.quotas.limited[x.GetOrganisation()]
	// By an older configuration more might seem to be within the share than was reported.
	if o == nil || c.quotas.version < c.Docket.LimitsVersion() {
		return
	}
	gift, owed := quota.Divide(c.claim(o), decodeClaim(x))
	delete(o.owed, to)
	if !owed.IsZero() {
		o.owed[to] = debt{owed, now.Add(quotaDebtTime)}
	}
	if gift.IsZero() || !c.append(docket.Give(o.name, to, c.Docket.Ledger(o.name).Given(to).Add(gift)), nil) {
		return
	}
	c.Meter.Count("quota", "given")
	c.Log.Emit(event.QuotaGiven, "organisation", o.name, "to-docket", to, "amount", quota.Describe(gift, o.limit),
		"left", quota.Describe(c.share(o), o.limit), "used-here", c.quotas.used[o.name].String())
}

// grant returns what another docket was given of an organisation's limit, with a report of
// what is used here.
func (c *Cell) grant(to int, name string) *wire.ExchangeQuotaGrant {
	g := &wire.ExchangeQuotaGrant{Organisation: name, Given: encodeParts(c.Docket.Ledger(name).Given(to))}
	current := c.quotas.version >= c.Docket.LimitsVersion()
	o := c.quotas.limited[name]
	if o == nil {
		g.Settled = current // nothing limits it
		return g
	}
	mine := c.claim(o)
	g.Used, g.Spare = encodeParts(mine.Used), encodeParts(mine.Spare())
	g.Settled = current && quota.Settled(mine.Share, o.limit, c.quotas.used[name])
	return g
}

// organisationsOf returns the organisations with a limit, and those of whose limits another
// docket was given something.
func (c *Cell) organisationsOf(to int) []string {
	var names []string
	for name := range c.quotas.limited {
		names = append(names, name)
	}
	c.Docket.ForEachLedger(func(name string, l *quota.Ledger) {
		if c.quotas.limited[name] == nil && !l.Given(to).IsZero() {
			names = append(names, name)
		}
	})
	slices.Sort(names)
	return names
}

func encodeClaim(name string, x quota.Claim) *wire.ExchangeQuotaClaim {
	return &wire.ExchangeQuotaClaim{
		Organisation: name, Share: encodeParts(x.Share), Used: encodeParts(x.Used), Wanted: encodeParts(x.Wanted),
		Gang: encodeParts(x.Gang), GangWaitedMs: uint32(x.Waited.Milliseconds()),
	}
}

func decodeClaim(m *wire.ExchangeQuotaClaim) quota.Claim {
	return quota.Claim{
		Share: decodeParts(m.GetShare()), Used: decodeParts(m.GetUsed()), Wanted: decodeParts(m.GetWanted()),
		Gang: decodeParts(m.GetGang()), Waited: time.Duration(m.GetGangWaitedMs()) * time.Millisecond,
	}
}

func encodeParts(p quota.Parts) *wire.QuotaParts {
	if p.IsZero() {
		return nil
	}
	return &wire.QuotaParts{MilliCpu: p.MilliCPU, MemoryMb: p.MemoryMB, Accelerators: p.Accelerators}
}

func decodeParts(m *wire.QuotaParts) quota.Parts {
	return quota.Parts{MilliCPU: m.GetMilliCpu(), MemoryMB: m.GetMemoryMb(), Accelerators: m.GetAccelerators()}
}
