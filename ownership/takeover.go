package ownership

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"persimmonworks.example/persimmonworks/pause"
	"persimmonworks.example/persimmonworks/provider"
)

// rowChange is one write of a shard row.
type rowChange struct {
	shard    string
	row      shardRow
	version  uint64 // version of the row that it replaces, 0 for none
	takeover bool
}

// plan returns the writes of this round: takeovers, releases that have to be
// repeated, rows to be cleared of earlier owners, and voluntary releases to
// members that are preferred owners.
func (h *Shards) plan(id string, now time.Time) []rowChange {
	known := h.ListShards()
	live := h.Session.liveProcesses()
	processes := slices.Sorted(maps.Keys(live))
	if _, ok := live[h.Session.Process]; !ok {
		return nil // the row of this session was not read yet, or is not live
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	var cs []rowChange
	handOvers := 0
	for _, name := range known {
		if _, ok := h.grants[name]; ok {
			if c, ok := h.planClearUnsettled(name); ok {
				cs = append(cs, c)
			}
			continue
		}
		if c, ok := h.pendingRelease(name, id); ok {
			cs = append(cs, c)
		} else if c, ok := h.planTakeover(name, id, processes, now); ok {
			cs = append(cs, c)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(h.grants)) {
		best := rank(name, processes)[0]
		if best == h.Session.Process || now.Sub(live[best]) < h.MinMemberAge || handOvers == h.MaxHandOvers {
			continue
		}
		e := h.rows[name]
		row := *e.row
		row.Released = true
		cs = append(cs, rowChange{shard: name, row: row, version: e.version})
		handOvers++
	}
	return cs
}

// pendingRelease returns the release of a shard whose grant was dropped but whose
// row still names the session as owner. The caller holds mu.
func (h *Shards) pendingRelease(name, id string) (rowChange, bool) {
	e := h.rows[name]
	if e == nil || e.row.Session != id || e.row.Released || e.row.Epoch > h.droppedEpochs[name] {
		return rowChange{}, false
	}
	row := *e.row
	row.Released = true
	return rowChange{shard: name, row: row, version: e.version}, true
}

// planClearUnsettled returns the write that clears Unsettled in the row of a held
// shard, if every worker of the shard has accepted its epoch. The caller holds mu.
func (h *Shards) planClearUnsettled(name string) (rowChange, bool) {
	e := h.rows[name]
	if !h.settled[name] || len(e.row.Unsettled) == 0 {
		return rowChange{}, false
	}
	row := *e.row
	row.Unsettled = nil
	return rowChange{shard: name, row: row, version: e.version}, true
}

// planTakeover returns the takeover of a vacant shard, if it is the turn of this
// process: the preferred member takes the shard at once, each lower ranked one
// roundsPerRank rounds later. The caller holds mu.
func (h *Shards) planTakeover(name, id string, processes []string, now time.Time) (rowChange, bool) {
	e := h.rows[name]
	if e == nil {
		e = &observedShard{row: &shardRow{Released: true}}
		h.rows[name] = e
	}
	if !e.row.Released && (e.row.Session == id || !h.Session.isTerminated(e.row.Session, now)) {
		e.vacantSince = time.Time{}
		return rowChange{}, false
	}
	if e.vacantSince.IsZero() {
		e.vacantSince = now
	}
	rankIndex := slices.Index(rank(name, processes), h.Session.Process)
	if rankIndex < 0 || now.Sub(e.vacantSince) < time.Duration(rankIndex)*roundsPerRank*h.RoundInterval {
		return rowChange{}, false
	}
	row := shardRow{Session: id, Epoch: e.row.Epoch + 1, Unsettled: slices.Clone(e.row.Unsettled)}
	if !e.row.Released && !h.Session.endedGracefully(e.row.Session) {
		row.Unsettled = append(row.Unsettled, e.row.Session)
	}
	return rowChange{shard: name, row: row, version: e.version, takeover: true}, true
}

// endedGracefully reports whether the session was ended by itself rather than
// expired.
func (s *Session) endedGracefully(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.recordOf(id)
	return p != nil && p.State == Ended
}

// apply writes the changes in batches. The grants of released shards are dropped
// before the write is sent.
func (h *Shards) apply(ctx context.Context, id string, cs []rowChange) error {
	var errs []error
	first := true
	for batch := range slices.Chunk(cs, h.BatchSize) {
		if !first {
			if !pause.For(ctx, h.CommitInterval) {
				return ctx.Err()
			}
		}
		first = false
		for _, c := range batch {
			if c.row.Released {
				h.dropGrant(c.shard, c.row.Epoch)
			}
		}
		if err := h.writeRows(ctx, batch); err != nil {
			errs = append(errs, err)
			continue
		}
		for _, c := range batch {
			if c.takeover {
				h.addGrant(id, c.shard)
			}
		}
	}
	return errors.Join(errs...)
}

// writeRows commits the changes on the condition that the session row has not
// changed, and records the shard rows. After a lost answer the next readRows
// shows whether they were applied.
func (h *Shards) writeRows(ctx context.Context, cs []rowChange) error {
	ops := make([]provider.Op, 0, len(cs)+1)
	for _, c := range cs {
		key := shardPrefix(h.DataCentre) + c.shard
		ops = append(ops, provider.Op{Key: key, Value: encode(&c.row), Expect: c.version})
	}
	vs, err := h.Session.commit(ctx, ops...)
	if err != nil {
		return fmt.Errorf("write %d shard rows of data centre %q, the first of shard %q: %w", len(cs), h.DataCentre, cs[0].shard, err)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, c := range cs {
		if old := h.rows[c.shard]; old == nil || old.version < vs[i] {
			h.rows[c.shard] = &observedShard{row: &c.row, version: vs[i]}
		}
	}
	return nil
}

// updateWaitOuts checks the grants whose WaitOut is not allowed, and allows it if
// no earlier owner can act any more.
func (h *Shards) updateWaitOuts(ctx context.Context, id string) {
	answers := map[string]bool{}
	for _, g := range h.Held() {
		if g.WaitOut.Allowed {
			continue
		}
		earlier, known := h.earlierOwners(g, id)
		allowed := known
		for _, owner := range earlier {
			if _, asked := answers[owner]; !asked {
				answers[owner] = h.Session.isCertainlyStopped(ctx, owner)
			}
			allowed = allowed && answers[owner]
		}
		if allowed {
			h.allowWaitOut(g)
		}
	}
}

// earlierOwners returns the sessions whose commands unreachable workers of a held
// shard may still accept. known is false if the last row read does not belong to
// the grant.
func (h *Shards) earlierOwners(g Grant, id string) (sessions []string, known bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e := h.rows[g.Shard]
	if e == nil || e.row.Session != id || e.row.Epoch != g.Epoch {
		return nil, false
	}
	return e.row.Unsettled, true
}

func (h *Shards) allowWaitOut(g Grant) {
	h.callbackLock.Lock()
	defer h.callbackLock.Unlock()
	h.mu.Lock()
	current, ok := h.grants[g.Shard]
	ok = ok && current.Epoch == g.Epoch
	if ok {
		current.WaitOut = h.newWaitOut(time.Now())
		h.grants[g.Shard] = current
	}
	h.mu.Unlock()
	if ok && h.OnWaitOutAllowed != nil {
		h.OnWaitOutAllowed(current)
	}
}

// isCertainlyStopped reports whether a terminated session cannot act on promises
// of its witnesses either. Its deadline can be extended only if every witness
// promises, so one witness that has given no promise is enough.
func (s *Session) isCertainlyStopped(ctx context.Context, id string) bool {
	s.mu.Lock()
	p := s.recordOf(id)
	self := s.ownRow.id()
	s.mu.Unlock()
	switch {
	case p == nil:
		return false
	case p.State == Ended, p.State == Expired && slices.Contains(p.Witnesses, p.ExpiredBy):
		return true
	}
	if slices.Contains(p.Witnesses, self) {
		_, promised := s.GivePromise(id, 0)
		return !promised
	}
	return s.anyWitnessDenies(ctx, id, p.Witnesses)
}

// anyWitnessDenies asks the witnesses one after the other whether a promise is in
// force, until one denies it.
func (s *Session) anyWitnessDenies(ctx context.Context, id string, witnesses []string) bool {
	ctx, cancel := context.WithTimeout(ctx, s.RenewEvery/callTimeoutDivisor)
	defer cancel()
	current := map[string]bool{}
	s.mu.Lock()
	for _, w := range s.currentWitnesses() {
		current[w] = true
	}
	s.mu.Unlock()
	for _, w := range witnesses {
		if !current[w] {
			continue // a later start of the process would answer, which cannot know of the promise
		}
		if _, promised, err := s.Peers.Promise(ctx, processOf(w), id, 0); err == nil && !promised {
			return true
		}
	}
	return false
}
