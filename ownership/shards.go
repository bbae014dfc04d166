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

// Grant is the ownership of a shard by this process under one epoch.
type Grant struct {
	Shard string
	// Epoch is the fencing token, higher than that of any earlier owner.
	Epoch uint64
	// Previous is the latest earlier owner's session that some worker of the shard
	// may still obey, "" for none.
	Previous string
	WaitOut  WaitOut
}

// WaitOut reports whether an unreachable worker may be treated as free after
// waiting for its lease to expire: the longest lease that it can have received
// by From, extended by the maximum drift of its clock. While Allowed is false,
// an earlier owner may still act, and such a worker stays closed to new tasks.
type WaitOut struct {
	Allowed bool
	From    time.Time
}

// Shards acquires, keeps and releases shards for a session. The exported fields
// are set before Run and must not be changed afterwards. The callbacks run one
// at a time, in order, without mu held. They must not block.
type Shards struct {
	Session *Session
	// Table and DataCentre default to those of the session.
	Table      provider.Table
	DataCentre string
	// ListShards returns the names of all shards of the data centre.
	ListShards func() []string
	// OnTake is called with a new grant, OnLose when a grant must no longer be
	// used, OnWaitOutAllowed when the WaitOut of a held grant becomes allowed.
	OnTake           func(Grant)
	OnLose           func(shard string, epoch uint64)
	OnWaitOutAllowed func(Grant)
	// RoundInterval is the time between rounds. MinMemberAge is how long a member
	// must be live before shards that another member holds move to it. MaxTransit is
	// the upper bound on the delivery time of a message to a worker. CommitInterval
	// is the pause between two commits of a round.
	RoundInterval, MinMemberAge, MaxTransit, CommitInterval time.Duration
	// MaxHandOvers limits the voluntary releases per round, BatchSize the rows per
	// commit.
	MaxHandOvers, BatchSize int

	once         sync.Once
	callbackLock sync.Mutex // orders the callbacks

	mu            sync.Mutex
	grantsSession string // session that the grants belong to
	rows          map[string]*observedShard
	grants        map[string]Grant
	droppedEpochs map[string]uint64 // per shard, the highest epoch whose grant was dropped
	settled       map[string]bool   // held shards whose workers have all accepted the epoch; Unsettled of the row is to be cleared
}

// observedShard is a shard row as last read or written.
type observedShard struct {
	row         *shardRow
	version     uint64
	vacantSince time.Time // when this process first found the shard without an owner, zero while it has one
}

func (h *Shards) init() {
	h.once.Do(func() {
		h.Session.init()
		if h.Table == nil {
			h.Table = h.Session.Table
		}
		h.DataCentre = orDefault(h.DataCentre, h.Session.DataCentre)
		h.RoundInterval = orDefault(h.RoundInterval, h.Session.RenewEvery)
		h.MinMemberAge = orDefault(h.MinMemberAge, DefaultMinMemberAge)
		h.MaxTransit = orDefault(h.MaxTransit, DefaultMaxTransit)
		h.CommitInterval = orDefault(h.CommitInterval, DefaultCommitInterval)
		h.MaxHandOvers = orDefault(h.MaxHandOvers, DefaultMaxHandOvers)
		h.BatchSize = orDefault(h.BatchSize, DefaultBatchSize)
		h.rows = map[string]*observedShard{}
		h.grants = map[string]Grant{}
		h.droppedEpochs = map[string]uint64{}
		h.settled = map[string]bool{}
		h.Session.addLostListener(h.dropAllGrants)
	})
}

// Run takes, keeps and hands over shards until ctx is done. It releases no shard
// when it returns; call Release or Session.End for that.
func (h *Shards) Run(ctx context.Context) error {
	h.init()
	for {
		if err := h.round(ctx); err != nil && ctx.Err() == nil {
			h.Session.reportError(err)
		}
		if err := h.waitForNextRound(ctx); err != nil {
			return err
		}
	}
}

// waitForNextRound waits until the next round, which starts early if a read has
// shown that a session is no longer live.
func (h *Shards) waitForNextRound(ctx context.Context) error {
	t := time.NewTimer(h.Session.jitter(h.RoundInterval))
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-h.Session.memberEnded:
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
	if err := h.readRows(ctx); err != nil {
		return err
	}
	h.reconcile(id)
	if !h.Session.Valid(time.Now()) {
		return nil
	}
	if err := h.apply(ctx, id, h.plan(id, time.Now())); err != nil {
		return err
	}
	h.updateWaitOuts(ctx, id)
	return nil
}

// readRows reads the shard rows of the data centre. The vacantSince of unchanged
// rows is kept.
func (h *Shards) readRows(ctx context.Context) error {
	prefix := shardPrefix(h.DataCentre)
	rows, err := readAll(ctx, h.Table, prefix, h.Session.RenewEvery/callTimeoutDivisor)
	h.Session.recordTableResult(err)
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
			h.Session.reportError(err)
			continue
		}
		h.rows[name] = &observedShard{row: row, version: r.Version}
	}
	return nil
}

// reconcile adds the grants of shards that a write with a lost answer has taken,
// and drops the grants of shards that belong to another owner by the table.
func (h *Shards) reconcile(id string) {
	var adopted []string
	lost := map[string]uint64{}
	h.mu.Lock()
	for name, e := range h.rows {
		g, holding := h.grants[name]
		mine := e.row.Session == id && !e.row.Released
		switch {
		case holding && (!mine || e.row.Epoch != g.Epoch):
			lost[name] = g.Epoch
		case !holding && mine && e.row.Epoch > h.droppedEpochs[name]:
			adopted = append(adopted, name)
		}
	}
	h.mu.Unlock()
	for name, epoch := range lost {
		h.dropGrant(name, epoch)
	}
	slices.Sort(adopted)
	for _, name := range adopted {
		h.addGrant(id, name)
	}
}

// addGrant adds the grant of a shard from its last known row and calls OnTake.
// It does nothing if the session is no longer id.
func (h *Shards) addGrant(id, name string) {
	h.callbackLock.Lock()
	defer h.callbackLock.Unlock()
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
		g.WaitOut = h.newWaitOut(time.Now())
	}
	h.grantsSession = id
	h.grants[name] = g
	delete(h.settled, name)
	h.mu.Unlock()
	if h.OnTake != nil {
		h.OnTake(g)
	}
}

func (h *Shards) newWaitOut(now time.Time) WaitOut {
	return WaitOut{Allowed: true, From: now.Add(h.MaxTransit)}
}

// dropGrant removes a grant and calls OnLose. It does not write the row.
func (h *Shards) dropGrant(name string, epoch uint64) {
	h.callbackLock.Lock()
	defer h.callbackLock.Unlock()
	h.mu.Lock()
	g, ok := h.grants[name]
	if !ok || g.Epoch != epoch {
		h.mu.Unlock()
		return
	}
	delete(h.grants, name)
	h.droppedEpochs[name] = max(h.droppedEpochs[name], epoch)
	h.mu.Unlock()
	if h.OnLose != nil {
		h.OnLose(name, epoch)
	}
}

// dropAllGrants drops every grant after the session was lost.
func (h *Shards) dropAllGrants() {
	for _, g := range h.Held() {
		h.dropGrant(g.Shard, g.Epoch)
	}
}

// Held returns the grants, sorted by shard name. The process may act under them
// only while Session.Valid reports true.
func (h *Shards) Held() []Grant {
	h.mu.Lock()
	defer h.mu.Unlock()
	gs := make([]Grant, 0, len(h.grants))
	for _, g := range h.grants {
		gs = append(gs, g)
	}
	slices.SortFunc(gs, func(a, b Grant) int { return cmp.Compare(a.Shard, b.Shard) })
	return gs
}

// Owner returns the last known owner of a shard of the data centre. ok is false
// if the shard was released or no owner is known.
func (h *Shards) Owner(shard string) (process string, epoch uint64, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e := h.rows[shard]
	if e == nil || e.row.Released {
		return "", 0, false
	}
	return processOf(e.row.Session), e.row.Epoch, true
}

// MarkFenced records that every worker of the shard has accepted the epoch, so that
// later owners need not wait for earlier ones. A later round clears Unsettled of
// the row.
func (h *Shards) MarkFenced(shard string, epoch uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if g, ok := h.grants[shard]; ok && g.Epoch == epoch {
		h.settled[shard] = true
	}
}

// Release releases a shard that is held. It drops the grant for good, calls
// OnLose and then writes the row. After an error the next rounds repeat the
// write.
func (h *Shards) Release(ctx context.Context, shard string) error {
	h.init()
	h.mu.Lock()
	g, ok := h.grants[shard]
	id := h.grantsSession
	h.mu.Unlock()
	if !ok {
		return fmt.Errorf("release shard %q, which this process does not hold: %w", shard, provider.ErrNotFound)
	}
	h.dropGrant(shard, g.Epoch)
	h.mu.Lock()
	c, ok := h.pendingRelease(shard, id)
	h.mu.Unlock()
	if !ok {
		return nil
	}
	err := h.writeRows(ctx, []rowChange{c})
	if errors.Is(err, provider.ErrConflict) {
		return fmt.Errorf("release shard %q: %w; the next round reads its row again", shard, err)
	}
	return err
}
