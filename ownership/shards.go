package ownership

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"persimmonworks.example/persimmonworks/provider"
)

// Grant is a shard that this process holds.
type Grant struct {
	Shard string
	// Epoch is the fencing token, higher than that of any earlier owner.
	Epoch uint64
	// Previous is the session that owned the shard before, "" for none.
	Previous string
	WaitOut  WaitOut
}

// WaitOut tells whether an unreachable worker may be treated as free once the
// lease that it can have got by From, lengthened by the drift of its clock, has
// lapsed. While Allowed is false such a worker stays closed.
type WaitOut struct {
	Allowed bool
	From    time.Time
}

// Shards holds shards for a session. The exported fields are set before Run
// and not changed after. The callbacks run one at a time for each shard, in
// order, without locks held; they must not block.
type Shards struct {
	Session *Session
	// Table and DataCentre default to those of the session.
	Table      provider.Table
	DataCentre string
	// Known returns the names of all shards of the data centre.
	Known func() []string
	// OnTake is called with a new grant, OnLose once it must not be used any
	// more, OnWaitOut when WaitOut of a held grant becomes allowed.
	OnTake    func(Grant)
	OnLose    func(shard string, epoch uint64)
	OnWaitOut func(Grant)
	// Every is the time between rounds, Stable the age at which a member gets
	// shards that another one holds, Transit the longest time that a message
	// to a worker is under way, Pace the time between two commits.
	Every, Stable, Transit, Pace time.Duration
	// HandOvers bounds voluntary releases in a round, Batch the rows of a commit.
	HandOvers, Batch int

	once   sync.Once
	events sync.Mutex // orders the callbacks

	mu      sync.Mutex
	session string // the grants belong to it
	rows    map[string]*shardSeen
	held    map[string]Grant
	dropped map[string]uint64 // epoch up to which a shard was given up
	settled map[string]bool   // held shards whose row is to be cleared of earlier owners
}

// shardSeen is a shard row as last read or written.
type shardSeen struct {
	row     *shardRow
	version uint64
	vacant  time.Time // when this process first saw that nobody owns it
}

func (h *Shards) init() {
	h.once.Do(func() {
		h.Session.init()
		if h.Table == nil {
			h.Table = h.Session.Table
		}
		h.DataCentre = orDefault(h.DataCentre, h.Session.DataCentre)
		h.Every = orDefault(h.Every, h.Session.RenewEvery)
		h.Stable = orDefault(h.Stable, DefaultStable)
		h.Transit = orDefault(h.Transit, DefaultTransit)
		h.Pace = orDefault(h.Pace, DefaultPace)
		h.HandOvers = orDefault(h.HandOvers, DefaultHandOvers)
		h.Batch = orDefault(h.Batch, DefaultBatch)
		h.rows = map[string]*shardSeen{}
		h.held = map[string]Grant{}
		h.dropped = map[string]uint64{}
		h.settled = map[string]bool{}
		h.Session.whenLost(h.dropAll)
	})
}

// Run takes, keeps and hands over shards until ctx ends. It gives up nothing
// at its end; call Release or Session.End for that.
func (h *Shards) Run(ctx context.Context) error {
	h.init()
	for {
		if err := h.round(ctx); err != nil && ctx.Err() == nil {
			h.Session.report(err)
		}
		if err := h.rest(ctx); err != nil {
			return err
		}
	}
}

// rest waits for the next round, which is early when a session has ended.
func (h *Shards) rest(ctx context.Context) error {
	t := time.NewTimer(h.Session.jitter(h.Every))
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-h.Session.ends:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (h *Shards) round(ctx context.Context) error {
	id := h.Session.ID()
	if id == "" {
		return nil
	}
	if err := h.refresh(ctx); err != nil {
		return err
	}
	h.reconcile(id)
	if !h.Session.Valid(time.Now()) {
		return nil
	}
	if err := h.apply(ctx, id, h.plan(id, time.Now())); err != nil {
		return err
	}
	h.reviewWaitOuts(ctx, id)
	return nil
}

// refresh reads the rows of the data centre; unchanged ones keep their state.
func (h *Shards) refresh(ctx context.Context) error {
	prefix := shardPrefix(h.DataCentre)
	rows, err := readAll(ctx, h.Table, prefix, h.Session.RenewEvery/callsPerRenewal)
	h.Session.noteTable(err)
	if err != nil {
		return fmt.Errorf("read shards of data centre %q: %w", h.DataCentre, err)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range rows {
		name := r.Key[len(prefix):]
		if old := h.rows[name]; old != nil && old.version >= r.Version {
			continue
		}
		row, err := decode[shardRow](r)
		if err != nil {
			h.Session.report(err)
			continue
		}
		h.rows[name] = &shardSeen{row: row, version: r.Version}
	}
	return nil
}

// reconcile adopts shards that a write with a lost answer has taken, and drops
// those that the table gives to another owner.
func (h *Shards) reconcile(id string) {
	var adopted []string
	lost := map[string]uint64{}
	h.mu.Lock()
	for name, e := range h.rows {
		g, holding := h.held[name]
		mine := e.row.Session == id && !e.row.Released
		switch {
		case holding && (!mine || e.row.Epoch != g.Epoch):
			lost[name] = g.Epoch
		case !holding && mine && e.row.Epoch > h.dropped[name]:
			adopted = append(adopted, name)
		}
	}
	h.mu.Unlock()
	for name, epoch := range lost {
		h.drop(name, epoch)
	}
	slices.Sort(adopted)
	for _, name := range adopted {
		h.hold(id, name)
	}
}

// hold adds a grant for the row that was last seen.
func (h *Shards) hold(id, name string) {
	h.events.Lock()
	defer h.events.Unlock()
	h.mu.Lock()
	e := h.rows[name]
	if h.Session.ID() != id {
		h.mu.Unlock()
		return
	}
	g := Grant{Shard: name, Epoch: e.row.Epoch}
	if n := len(e.row.Unsettled); n > 0 {
		g.Previous = e.row.Unsettled[n-1]
	} else {
		g.WaitOut = h.allow(time.Now())
	}
	h.session = id
	h.held[name] = g
	delete(h.settled, name)
	h.mu.Unlock()
	if h.OnTake != nil {
		h.OnTake(g)
	}
}

func (h *Shards) allow(now time.Time) WaitOut {
	return WaitOut{Allowed: true, From: now.Add(h.Transit)}
}

// drop gives a grant up, in memory only.
func (h *Shards) drop(name string, epoch uint64) {
	h.events.Lock()
	defer h.events.Unlock()
	h.mu.Lock()
	g, ok := h.held[name]
	if !ok || g.Epoch != epoch {
		h.mu.Unlock()
		return
	}
	delete(h.held, name)
	h.dropped[name] = max(h.dropped[name], epoch)
	h.mu.Unlock()
	if h.OnLose != nil {
		h.OnLose(name, epoch)
	}
}

// dropAll gives up every grant of a lost session.
func (h *Shards) dropAll() {
	for _, g := range h.Held() {
		h.drop(g.Shard, g.Epoch)
	}
}

// Held returns the grants by shard name. It does not tell whether the session
// may act; see Session.Valid.
func (h *Shards) Held() []Grant {
	h.mu.Lock()
	defer h.mu.Unlock()
	gs := make([]Grant, 0, len(h.held))
	for _, g := range h.held {
		gs = append(gs, g)
	}
	slices.SortFunc(gs, func(a, b Grant) int { return cmp.Compare(a.Shard, b.Shard) })
	return gs
}

// Owner returns the last known owner of a shard of the data centre. ok is
// false while nobody is known to own it.
func (h *Shards) Owner(shard string) (process string, epoch uint64, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e := h.rows[shard]
	if e == nil || e.row.Released {
		return "", 0, false
	}
	return processOf(e.row.Session), e.row.Epoch, true
}

// Settled tells that every worker of the shard has accepted the epoch, so that
// later owners need not care for earlier ones. It is written with a later round.
func (h *Shards) Settled(shard string, epoch uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if g, ok := h.held[shard]; ok && g.Epoch == epoch {
		h.settled[shard] = true
	}
}

// Release gives a shard up for good under this epoch: OnLose is called first,
// then the row is written. After an error the next rounds repeat the write.
func (h *Shards) Release(ctx context.Context, shard string) error {
	h.init()
	h.mu.Lock()
	g, ok := h.held[shard]
	id := h.session
	h.mu.Unlock()
	if !ok {
		return fmt.Errorf("release shard %q: %w; it is not held", shard, provider.ErrNotFound)
	}
	h.drop(shard, g.Epoch)
	h.mu.Lock()
	c, ok := h.releaseOf(shard, id)
	h.mu.Unlock()
	if !ok {
		return nil
	}
	err := h.write(ctx, []change{c})
	if errors.Is(err, provider.ErrConflict) {
		return fmt.Errorf("release shard %q: %w; the next round reads it again", shard, err)
	}
	return err
}
