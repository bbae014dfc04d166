package ownership

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"persimmonworks.example/persimmonworks/provider"
)

// change is one write of a shard row.
type change struct {
	shard   string
	row     shardRow
	version uint64 // that it replaces, 0 for none
	take    bool
}

// plan decides this round's writes: takeovers, repeated and voluntary
// releases, and rows to be cleared of earlier owners.
func (h *Shards) plan(id string, now time.Time) []change {
	known := h.Known()
	live := h.Session.liveProcesses()
	processes := slices.Sorted(maps.Keys(live))
	if _, ok := live[h.Session.Process]; !ok {
		return nil // the row of this session was seen ended, expired or not at all
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	var cs []change
	handOvers := 0
	for _, name := range known {
		if _, ok := h.held[name]; ok {
			if c, ok := h.clearing(name); ok {
				cs = append(cs, c)
			}
			continue
		}
		if c, ok := h.releaseOf(name, id); ok {
			cs = append(cs, c)
		} else if c, ok := h.taking(name, id, processes, now); ok {
			cs = append(cs, c)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(h.held)) {
		best := rank(name, processes)[0]
		if best == h.Session.Process || now.Sub(live[best]) < h.Stable || handOvers == h.HandOvers {
			continue
		}
		e := h.rows[name]
		row := *e.row
		row.Released = true
		cs = append(cs, change{shard: name, row: row, version: e.version})
		handOvers++
	}
	return cs
}

// releaseOf returns the release of a shard that was given up but whose row
// still names the session; mu is held.
func (h *Shards) releaseOf(name, id string) (change, bool) {
	e := h.rows[name]
	if e == nil || e.row.Session != id || e.row.Released || e.row.Epoch > h.dropped[name] {
		return change{}, false
	}
	row := *e.row
	row.Released = true
	return change{shard: name, row: row, version: e.version}, true
}

// clearing returns the write that forgets the earlier owners of a held shard.
func (h *Shards) clearing(name string) (change, bool) {
	e := h.rows[name]
	if !h.settled[name] || len(e.row.Unsettled) == 0 {
		return change{}, false
	}
	row := *e.row
	row.Unsettled = nil
	return change{shard: name, row: row, version: e.version}, true
}

// taking returns the takeover of a vacant shard, if it is this process's turn:
// the preferred member goes first, each further one after some rounds more.
func (h *Shards) taking(name, id string, processes []string, now time.Time) (change, bool) {
	e := h.rows[name]
	if e == nil {
		e = &shardSeen{row: &shardRow{Released: true}}
		h.rows[name] = e
	}
	if !e.row.Released && (e.row.Session == id || !h.Session.gone(e.row.Session, now)) {
		e.vacant = time.Time{}
		return change{}, false
	}
	if e.vacant.IsZero() {
		e.vacant = now
	}
	place := slices.Index(rank(name, processes), h.Session.Process)
	if place < 0 || now.Sub(e.vacant) < time.Duration(place)*rankRounds*h.Every {
		return change{}, false
	}
	row := shardRow{Session: id, Epoch: e.row.Epoch + 1, Unsettled: slices.Clone(e.row.Unsettled)}
	if !e.row.Released && !h.Session.endedGracefully(e.row.Session) {
		row.Unsettled = append(row.Unsettled, e.row.Session)
	}
	return change{shard: name, row: row, version: e.version, take: true}, true
}

// endedGracefully reports whether the session stopped acting by itself.
func (s *Session) endedGracefully(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pastOf(id)
	return p != nil && p.State == Ended
}

// apply writes the changes in batches. Grants that are released are dropped
// before the write is sent.
func (h *Shards) apply(ctx context.Context, id string, cs []change) error {
	var errs []error
	first := true
	for batch := range slices.Chunk(cs, h.Batch) {
		if !first {
			if err := sleep(ctx, h.Pace); err != nil {
				return err
			}
		}
		first = false
		for _, c := range batch {
			if c.row.Released {
				h.drop(c.shard, c.row.Epoch)
			}
		}
		if err := h.write(ctx, batch); err != nil {
			errs = append(errs, err)
			continue
		}
		for _, c := range batch {
			if c.take {
				h.hold(id, c.shard)
			}
		}
	}
	return errors.Join(errs...)
}

// write commits the changes under the session and records them. After a lost
// answer the next refresh shows what happened.
func (h *Shards) write(ctx context.Context, cs []change) error {
	ops := make([]provider.Op, 0, len(cs)+1)
	for _, c := range cs {
		key := shardPrefix(h.DataCentre) + c.shard
		ops = append(ops, provider.Op{Key: key, Value: encode(&c.row), Expect: c.version})
	}
	vs, err := h.Session.commit(ctx, ops...)
	if err != nil {
		return fmt.Errorf("write %d shards of data centre %q, first %q: %w", len(cs), h.DataCentre, cs[0].shard, err)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, c := range cs {
		if old := h.rows[c.shard]; old == nil || old.version < vs[i] {
			h.rows[c.shard] = &shardSeen{row: &c.row, version: vs[i]}
		}
	}
	return nil
}

// reviewWaitOuts asks again for grants whose earlier owners may still act.
func (h *Shards) reviewWaitOuts(ctx context.Context, id string) {
	answers := map[string]bool{}
	for _, g := range h.Held() {
		if g.WaitOut.Allowed {
			continue
		}
		earlier, known := h.earlierOwners(g, id)
		allowed := known
		for _, o := range earlier {
			if _, asked := answers[o]; !asked {
				answers[o] = h.Session.certainlyStopped(ctx, o)
			}
			allowed = allowed && answers[o]
		}
		if allowed {
			h.allowWaitOut(g)
		}
	}
}

// earlierOwners returns the sessions that unreachable workers of a held shard
// may still obey. known is false while the last row read is not the grant's.
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
	h.events.Lock()
	defer h.events.Unlock()
	h.mu.Lock()
	current, ok := h.held[g.Shard]
	ok = ok && current.Epoch == g.Epoch
	if ok {
		current.WaitOut = h.allow(time.Now())
		h.held[g.Shard] = current
	}
	h.mu.Unlock()
	if ok && h.OnWaitOut != nil {
		h.OnWaitOut(current)
	}
}

// certainlyStopped reports whether a session that is gone cannot act by the
// promises of its witnesses either.
func (s *Session) certainlyStopped(ctx context.Context, id string) bool {
	s.mu.Lock()
	p := s.pastOf(id)
	self := s.self.id()
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
	return s.denied(ctx, id, p.Witnesses)
}

// denied asks the witnesses until one denies having promised.
func (s *Session) denied(ctx context.Context, id string, witnesses []string) bool {
	ctx, cancel := context.WithTimeout(ctx, s.RenewEvery/callsPerRenewal)
	defer cancel()
	current := map[string]bool{}
	s.mu.Lock()
	for _, w := range s.witnessesNow() {
		current[w] = true
	}
	s.mu.Unlock()
	for _, w := range witnesses {
		if !current[w] {
			continue // another start of the process would answer
		}
		if _, promised, err := s.Peers.Promise(ctx, processOf(w), id, 0); err == nil && !promised {
			return true
		}
	}
	return false
}
