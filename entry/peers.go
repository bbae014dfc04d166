package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"persimmonworks.example/persimmonworks/chain"
	"persimmonworks.example/persimmonworks/directory"
	"persimmonworks.example/persimmonworks/ownership"
	"persimmonworks.example/persimmonworks/platform"
	"persimmonworks.example/persimmonworks/rack"
	"persimmonworks.example/persimmonworks/relay"
	"persimmonworks.example/persimmonworks/runner"
	"persimmonworks.example/persimmonworks/wire"
)

// peer is what is known of another process.
type peer struct {
	status *wire.Status
	heard  time.Time
}

// peerTable holds the last status of each peer, by process.
type peerTable struct {
	mu     sync.Mutex
	known  map[string]*peer
	called map[string]time.Time // by address, when it last took a status from here
}

func (t *peerTable) init() { t.known, t.called = map[string]*peer{}, map[string]time.Time{} }

// take stores a status unless a later one is known.
func (t *peerTable) take(s *wire.Status, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, ok := t.known[s.Process]
	if ok && (s.Incarnation < old.status.Incarnation || s.Incarnation == old.status.Incarnation && s.Sequence <= old.status.Sequence) {
		return false
	}
	t.known[s.Process] = &peer{status: s, heard: now}
	return true
}

// live returns the last statuses of the peers heard lately.
func (t *peerTable) live(now time.Time) []*wire.Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []*wire.Status
	for _, x := range t.known {
		if now.Sub(x.heard) < peerTimeout {
			all = append(all, x.status)
		}
	}
	return all
}

// address returns the relay address of a process, "" if unknown.
func (p *Process) address(process string) string {
	for _, m := range p.session.Members() {
		if m.Process == process {
			return m.RelayAddress
		}
	}
	p.peers.mu.Lock()
	defer p.peers.mu.Unlock()
	if x, ok := p.peers.known[process]; ok {
		return x.status.Address
	}
	return ""
}

// runStatus tells peers the state of this process until ctx ends.
func (p *Process) runStatus(ctx context.Context) error {
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	var sequence uint64
	var pace statusPace
	busy := &sync.Map{}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		sequence++
		var s *wire.Status
		if p.loop.Do(ctx, func() { s = p.status(sequence) }) != nil {
			return nil
		}
		peers := p.peerAddresses()
		near, far := pace.due(s, peers, time.Now())
		distant := forFar(s)
		for address, isNear := range peers {
			told := distant
			if isNear {
				told = s
			}
			if isNear && !near || !isNear && !far {
				continue
			}
			if _, sending := busy.LoadOrStore(address, true); sending {
				continue
			}
			p.group.Go(func() error {
				defer busy.Delete(address)
				p.exchange(address, told)
				return nil
			})
		}
	}
}

// peerAddresses returns the relay addresses of other processes and whether
// each is in this data centre.
func (p *Process) peerAddresses() map[string]bool {
	all := map[string]bool{}
	for _, m := range p.session.Members() {
		if m.Process != p.Settings.Process.Name && m.State == ownership.Live {
			all[m.RelayAddress] = m.DataCentre == p.Settings.Process.DataCentre
		}
	}
	if len(all) == 0 {
		for _, seed := range p.Settings.Peers.Seeds {
			all[seed.String()] = true
		}
	}
	delete(all, p.node.Addr())
	return all
}

func (p *Process) exchange(address string, s *wire.Status) {
	ctx, cancel := context.WithTimeout(p.ctx, peerTimeout)
	defer cancel()
	reply, err := p.node.Call(ctx, address, &wire.Call{Body: &wire.Call_Status{Status: s}})
	p.meter.RelayCall(resultOf(err))
	if err != nil {
		return
	}
	p.peers.tell(address, time.Now())
	if reply.GetStatus() != nil {
		p.learn(reply.GetStatus())
	}
}

// status describes this process to its peers; called on the loop.
func (p *Process) status(sequence uint64) *wire.Status {
	now := time.Now()
	s := &wire.Status{
		Process: p.Settings.Process.Name, Incarnation: p.node.Incarnation, DataCentre: p.Settings.Process.DataCentre,
		Address: p.node.Addr(), CallerAddress: p.CallerAddress(), Sequence: sequence, ConfigNumber: p.follower.Number(),
		Leaving: p.leaving.Load(), PlatformReachable: p.session.Reachable(), LeavingHosts: p.leavingHosts(),
	}
	valid := p.session.Valid(now)
	for r := range p.racks.All {
		if !valid {
			break
		}
		s.Shards = append(s.Shards, &wire.ShardStatus{
			Shard: r.Name, Epoch: r.Epoch, Free: rack.WireOf(r.Free()), Capacity: rack.WireOf(r.Capacity()),
			Largest: rack.WireOf(r.Largest()), Ready: r.Complete(),
		})
		p.directory.Update(directory.Summary{
			Shard: r.Name, Rack: r.Name, DataCentre: s.DataCentre, Largest: r.Largest(), Long: r.LargestLong(), Free: r.Free(),
		})
	}
	for name, open := range p.desk.Shards() {
		s.Shards = append(s.Shards, &wire.ShardStatus{Shard: name, Ready: open && valid})
	}
	for _, r := range p.runners.All(now) {
		s.Runners = append(s.Runners, &wire.RunnerStatus{
			Runner: r.ID, Service: r.Service, FreeSlots: uint32(max(r.Slots-r.Busy, 0)), Slots: uint32(r.Slots),
			Leaving: r.Leaving || !valid || s.Leaving, OpenCircuit: r.Circuit == runner.Open,
		})
	}
	return s
}

// learn takes in a peer's status.
func (p *Process) learn(s *wire.Status) {
	now := time.Now()
	if s.Process == p.Settings.Process.Name || !p.peers.take(s, now) {
		return
	}
	p.follower.Heard(s.ConfigNumber)
	p.loop.Post(func() { p.learned(s, now) })
}

// learned brings a peer's status into force on the loop.
func (p *Process) learned(s *wire.Status, now time.Time) {
	adverts := make([]runner.Advert, 0, len(s.Runners))
	for _, r := range s.Runners {
		adverts = append(adverts, runner.Advert{
			Runner: r.Runner, Service: r.Service, DataCentre: s.DataCentre, Free: int(r.FreeSlots), Slots: int(r.Slots),
			Leaving: r.Leaving || p.departing[r.Runner] || p.markedLeaving(r.Runner, now), Open: r.OpenCircuit,
		})
	}
	p.peerSlots.Update(s.Process, s.Sequence, adverts, now)
	if s.DataCentre == p.Settings.Process.DataCentre {
		p.learnShards(s)
	}
	news := false
	for _, id := range s.LeavingHosts {
		news = news || !p.markedLeaving(id, now)
		p.marked[id] = now
	}
	if news {
		p.applyHosts()
	}
}

func (p *Process) learnShards(s *wire.Status) {
	for _, x := range s.Shards {
		if x.Capacity == nil {
			continue // a job shard
		}
		p.directory.Update(directory.Summary{
			Shard: x.Shard, Rack: x.Shard, DataCentre: s.DataCentre, Largest: rack.VectorOf(x.Largest),
			Long: rack.VectorOf(x.Largest), Free: rack.VectorOf(x.Free),
		})
	}
}

// Handle implements relay.Handler.
func (p *Process) Handle(ctx context.Context, peerName string, c *wire.Call) *wire.Reply {
	switch body := c.Body.(type) {
	case *wire.Call_Status:
		if body.Status.GetProcess() != peerName {
			return refuse("a status of another process")
		}
		p.learn(body.Status)
		if p.peers.told(body.Status.Address, time.Now()) {
			return &wire.Reply{} // it has a later status from a call of this process
		}
		var own *wire.Status
		if p.loop.Do(ctx, func() { own = p.status(0) }) != nil {
			return refuse("stopping")
		}
		return &wire.Reply{Body: &wire.Reply_Status{Status: own}}
	case *wire.Call_TaskSync:
		return p.handleTaskSync(ctx, body.TaskSync)
	case *wire.Call_RenewSession:
		m := body.RenewSession
		version, err := p.session.RelayRenewal(ctx, m.Session, m.Version, m.Value)
		if err != nil {
			return &wire.Reply{Refusal: &wire.Refusal{Outcome: platformOutcome(err), Reason: err.Error()}}
		}
		return &wire.Reply{Body: &wire.Reply_SessionRenewed{SessionRenewed: &wire.SessionRenewed{Version: version}}}
	case *wire.Call_Promise:
		d, given := p.session.GivePromise(body.Promise.Session, time.Duration(body.Promise.ForMs)*time.Millisecond)
		return &wire.Reply{Body: &wire.Reply_PromiseGiven{PromiseGiven: &wire.PromiseGiven{Given: given, ForMs: uint64(d.Milliseconds())}}}
	case *wire.Call_FetchConfig:
		return p.handleFetchConfig(body.FetchConfig)
	default:
		return refuse("unknown call")
	}
}

func refuse(reason string) *wire.Reply {
	return &wire.Reply{Refusal: &wire.Refusal{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Reason: reason}}
}

func (p *Process) handleTaskSync(ctx context.Context, m *wire.TaskSync) *wire.Reply {
	report, refused, err := p.syncHere(ctx, m)
	switch {
	case err != nil:
		return refuse(err.Error())
	case refused != nil:
		return &wire.Reply{Refusal: refused}
	default:
		return &wire.Reply{Body: &wire.Reply_TaskReport{TaskReport: report}}
	}
}

// syncHere serves a message to the racks of this process.
func (p *Process) syncHere(ctx context.Context, m *wire.TaskSync) (report *wire.TaskReport, refused *wire.Refusal, err error) {
	err = p.loop.Do(ctx, func() {
		now := time.Now()
		if !p.session.Valid(now) {
			refused = &wire.Refusal{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Reason: "process " + p.Settings.Process.Name + " has no valid session"}
			return
		}
		report, refused = p.racks.Sync(m, now, p.rng)
	})
	if err != nil {
		return nil, nil, fmt.Errorf("%v: %w", err, relay.ErrNotSent)
	}
	return report, refused, nil
}

func (p *Process) handleFetchConfig(m *wire.FetchConfig) *wire.Reply {
	e := p.follower.Current()
	answer := &wire.ConfigChain{Head: e.Number}
	if e.Number > m.After {
		if body, err := json.Marshal(e); err == nil {
			answer.Entries = append(answer.Entries, &wire.ConfigEntry{Number: e.Number, Body: body})
		}
	}
	return &wire.Reply{Body: &wire.Reply_ConfigChain{ConfigChain: answer}}
}

// configPeers asks peers for the newest configuration.
type configPeers struct{ p *Process }

var _ chain.Peers = (*configPeers)(nil)

// Newest implements chain.Peers.
func (c *configPeers) Newest(ctx context.Context, above uint64) (*chain.Entry, error) {
	var best *chain.Entry
	var failure error
	for address := range c.p.peerAddresses() {
		reply, err := c.p.node.Call(ctx, address, &wire.Call{Body: &wire.Call_FetchConfig{FetchConfig: &wire.FetchConfig{After: above}}})
		if err != nil {
			failure = err
			continue
		}
		for _, x := range reply.GetConfigChain().GetEntries() {
			var e chain.Entry
			if err := json.Unmarshal(x.Body, &e); err != nil {
				failure = fmt.Errorf("configuration %d from %s: %w", x.Number, address, err)
				continue
			}
			if e.Number > above && (best == nil || e.Number > best.Number) {
				best = &e
			}
		}
	}
	if best == nil {
		return nil, failure
	}
	return best, nil
}

// witness carries the calls of package ownership.
type witness struct{ p *Process }

var _ ownership.Witness = (*witness)(nil)

// Renew implements ownership.Witness.
func (w *witness) Renew(ctx context.Context, peerName, session string, version uint64, value []byte) (uint64, error) {
	reply, err := w.call(ctx, peerName, &wire.Call{Body: &wire.Call_RenewSession{RenewSession: &wire.RenewSession{Session: session, Version: version, Value: value}}})
	if err != nil {
		return 0, err
	}
	return reply.GetSessionRenewed().GetVersion(), nil
}

// Promise implements ownership.Witness.
func (w *witness) Promise(ctx context.Context, peerName, session string, d time.Duration) (time.Duration, bool, error) {
	reply, err := w.call(ctx, peerName, &wire.Call{Body: &wire.Call_Promise{Promise: &wire.Promise{Session: session, ForMs: uint64(d.Milliseconds())}}})
	if err != nil {
		return 0, false, err
	}
	g := reply.GetPromiseGiven()
	if g == nil {
		return 0, false, fmt.Errorf("promise of %s: the answer holds none: %w", peerName, platform.ErrUnavailable)
	}
	return time.Duration(g.ForMs) * time.Millisecond, g.Given, nil
}

func (w *witness) call(ctx context.Context, peerName string, c *wire.Call) (*wire.Reply, error) {
	address := w.p.address(peerName)
	if address == "" {
		return nil, fmt.Errorf("process %s has no known address: %w", peerName, platform.ErrUnavailable)
	}
	reply, err := w.p.node.Call(ctx, address, c)
	switch {
	case errors.Is(err, relay.ErrNotSent):
		return nil, fmt.Errorf("%v: %w", err, platform.ErrUnavailable)
	case err != nil:
		return nil, fmt.Errorf("%v: %w", err, platform.ErrUnknown)
	case reply.Refusal != nil && reply.Refusal.Outcome == wire.Outcome_OUTCOME_UNKNOWN:
		return nil, fmt.Errorf("process %s: %s: %w", peerName, reply.Refusal.Reason, platform.ErrUnknown)
	case reply.Refusal != nil && reply.Refusal.Outcome == wire.Outcome_OUTCOME_FAILED:
		return nil, fmt.Errorf("process %s: %s: %w", peerName, reply.Refusal.Reason, platform.ErrConflict)
	case reply.Refusal != nil:
		return nil, fmt.Errorf("process %s: %s: %w", peerName, reply.Refusal.Reason, platform.ErrUnavailable)
	}
	return reply, nil
}

// platformOutcome carries a platform failure over the inner protocol; a
// conflict travels as failed.
func platformOutcome(err error) wire.Outcome {
	switch {
	case errors.Is(err, platform.ErrConflict):
		return wire.Outcome_OUTCOME_FAILED
	case errors.Is(err, platform.ErrUnknown):
		return wire.Outcome_OUTCOME_UNKNOWN
	default:
		return wire.Outcome_OUTCOME_NOT_RUN
	}
}
