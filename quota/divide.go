package quota

import (
	"cmp"
	"slices"
	"time"
)

// Claim is what one docket has and wants of an organisation's limit, in parts of it.
type Claim struct {
	Share  Parts
	Used   Parts // by what may be running
	Wanted Parts // by tasks that wait for nothing but the limit, besides Used
	// Gang is what a gang needs at the same time, contained in Wanted; zero if none waits.
	Gang   Parts
	Waited time.Duration // of that gang
}

// Divide returns what the giver gives to the taker at once, and what it owes besides: it
// should start nothing that takes of that, so that it can give more as its tasks end.
//
// It answers organisations whose work is unevenly spread over dockets. Of the shares of
// both, each gets what it needs, or an equal part if there is not enough. So two that are both
// short come to rest with equal shares instead of passing parts back and forth. A gang,
// which can do nothing with a part of its need, goes before plain tasks, and before a gang
// that has waited less. What runs is never given away.
func Divide(giver, taker Claim) (gift, owed Parts) {
	first := taker.goesBefore(giver)
	divide := func(g, t amounts) (gift, owed int64) {
		fair := fairShare(g, t, first)
		gift = min(max(0, fair-t.share), max(0, g.share-g.used))
		return gift, max(0, fair-t.share-gift)
	}
	g, t := giver.byResource(), taker.byResource()
	gift.MilliCPU, owed.MilliCPU = divide(g[0], t[0])
	gift.MemoryMB, owed.MemoryMB = divide(g[1], t[1])
	gift.Accelerators, owed.Accelerators = divide(g[2], t[2])
	return gift, owed
}

// amounts is a claim to one resource.
type amounts struct{ share, used, wanted, gang int64 }

func (c *Claim) byResource() [3]amounts {
	return [3]amounts{
		{c.Share.MilliCPU, c.Used.MilliCPU, c.Wanted.MilliCPU, c.Gang.MilliCPU},
		{c.Share.MemoryMB, c.Used.MemoryMB, c.Wanted.MemoryMB, c.Gang.MemoryMB},
		{c.Share.Accelerators, c.Used.Accelerators, c.Wanted.Accelerators, c.Gang.Accelerators},
	}
}

// goesBefore reports whether the gang of a claim goes before that of the other.
func (c *Claim) goesBefore(other Claim) bool {
	return !c.Gang.IsZero() && (other.Gang.IsZero() || c.Waited > other.Waited)
}

// fairShare returns the share that the taker should have.
func fairShare(g, t amounts, takerFirst bool) int64 {
	both := g.share + t.share
	fair := min(t.used+t.wanted, max(both/2, both-g.used-g.wanted))
	switch {
	case takerFirst:
		fair = max(fair, t.used+t.gang)
	case g.gang > 0:
		fair = min(fair, both-g.used-g.gang)
	}
	// What runs at the taker above its share cannot be taken back.
	return min(max(fair, t.used), both)
}

// Need returns by how much the docket's share falls short.
func (c *Claim) Need() Parts {
	return combine(c.Used.Add(c.Wanted), c.Share, func(want, share int64) int64 { return max(0, want-share) })
}

// Asking returns the claim with which a part of the need is asked for.
func (c *Claim) Asking(need Parts) Claim {
	idle := combine(c.Share, c.Used, func(share, used int64) int64 { return max(0, share-used) })
	wanted := combine(idle.Add(need), c.Wanted, func(a, b int64) int64 { return min(a, b) })
	gang := combine(wanted, c.Gang, func(a, b int64) int64 { return min(a, b) })
	return Claim{Share: c.Share, Used: c.Used, Wanted: wanted, Gang: gang, Waited: c.Waited}
}

// Spare returns what the docket has and does not need.
func (c *Claim) Spare() Parts {
	return combine(c.Share, c.Used.Add(c.Wanted), func(share, want int64) int64 { return max(0, share-want) })
}

// Split divides a need over the dockets that are asked, given what each has to spare as far
// as is known, 0 where it is not. Those with the most to spare are asked for it; the rest is
// asked of all equally, since a docket with nothing to spare may hold more than its fair share.
func Split(need int64, spare []int64) []int64 {
	asked := make([]int64, len(spare))
	if len(spare) == 0 {
		return asked
	}
	order := make([]int, len(spare))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(spare[b], spare[a]) })
	for _, i := range order {
		asked[i] = min(need, max(0, spare[i]))
		need -= asked[i]
	}
	each := (need + int64(len(spare)) - 1) / int64(len(spare))
	for i := range asked {
		asked[i] += each
	}
	return asked
}

const (
	maxGangHold = 10 * time.Second // that parts are kept for a gang
	// maxIdleHold is the same while less than half of the limit is in use, so that other
	// jobs do not stand still for long beside idle parts.
	maxIdleHold = 2 * time.Second
	gangRest    = 2 * time.Second // in which others may use them after that
)

// Hold bounds how long parts are kept for a gang that does not start. The zero value is one
// that has not begun.
type Hold struct {
	since, idleSince, restUntil time.Time
}

// Active reports whether parts are kept for the gang now. halfUsed says whether at least
// half of the limit is in use.
func (h *Hold) Active(now time.Time, halfUsed bool) bool {
	if now.Before(h.restUntil) {
		return false
	}
	if h.since.IsZero() {
		h.since = now
	}
	switch {
	case halfUsed:
		h.idleSince = time.Time{}
	case h.idleSince.IsZero():
		h.idleSince = now
	}
	idle := !h.idleSince.IsZero() && now.Sub(h.idleSince) > maxIdleHold
	if idle || now.Sub(h.since) > maxGangHold {
		*h = Hold{restUntil: now.Add(gangRest)}
		return false
	}
	return true
}
