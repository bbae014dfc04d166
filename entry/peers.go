package entry

import (
	"context"
	"fmt"
	"sync"
	"time"

	"persimmonworks.example/persimmonworks/directory"
	"persimmonworks.example/persimmonworks/ownership"
	"persimmonworks.example/persimmonworks/peer"
	"persimmonworks.example/persimmonworks/rack"
	"persimmonworks.example/persimmonworks/relay"
	"persimmonworks.example/persimmonworks/runner"
	"persimmonworks.example/persimmonworks/wire"
)

// runStatus sends this process's status to its peers until ctx ends.
func (p *Process) runStatus(ctx context.Context) error {
	ticker := time.NewTicker(peer.StatusInterval)
	defer ticker.Stop()
	var pace peer.Pacer
	busy := &sync.Map{}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		var s *wire.Status
		if p.loop.Do(ctx, func() { s = p.status() }) != nil {
			return nil
		}
		peers := p.peerAddresses()
		near, far := pace.Due(s, peers, time.Now())
		distant := peer.ForOtherDataCentres(s)
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

// peerAddresses returns the relay addresses of the other live processes, mapped to
// whether each is in this data centre. If none is known it returns the configured
// seeds.
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
	ctx, cancel := context.WithTimeout(p.ctx, peer.Timeout)
	defer cancel()
	reply, err := p.node.Call(ctx, address, &wire.Call{Body: &wire.Call_Status{Status: s}})
	p.meter.RelayCall(callResult(err))
	if err != nil {
		return
	}
	p.peers.MarkSent(address, time.Now())
	if reply.GetStatus() != nil {
		p.receiveStatus(reply.GetStatus())
	}
}

// status builds the status that describes this process to its peers. Every status,
// whether sent or returned in a reply, has a higher sequence number than the one
// before. It runs on the control loop.
func (p *Process) status() *wire.Status {
	now := time.Now()
	p.sequence++
	s := &wire.Status{
		Process: p.Settings.Process.Name, Incarnation: p.node.Incarnation, DataCentre: p.Settings.Process.DataCentre,
		Address: p.node.Addr(), CallerAddress: p.CallerAddress(), Sequence: p.sequence, ConfigNumber: p.follower.Number(),
		Leaving: p.leaving.Load(), PlatformReachable: p.session.PlatformReachable(), LeavingHosts: p.leavingHosts(),
	}
	valid := p.session.Valid(now)
	for r := range p.racks.All {
		if !valid {
			break
		}
		s.Shards = append(s.Shards, &wire.ShardStatus{
			Shard: r.Name, Epoch: r.Epoch, Free: rack.VectorToWire(r.Free()), Capacity: rack.VectorToWire(r.Capacity()),
			Largest: rack.VectorToWire(r.Largest()), LargestLong: rack.VectorToWire(r.LargestLong()), Ready: r.InventoryComplete(),
		})
		p.directory.Update(directory.Summary{
			Shard: r.Name, Rack: r.Name, DataCentre: s.DataCentre, Largest: r.Largest(), LargestLong: r.LargestLong(), Free: r.Free(),
		})
	}
	for name, open := range p.dispatcher.Shards() {
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

// receiveStatus handles a peer's status and ignores one that is out of date.
func (p *Process) receiveStatus(s *wire.Status) {
	if s.Process == p.Settings.Process.Name {
		return
	}
	p.follower.Announce(s.ConfigNumber)
	p.loop.Post(func() {
		now := time.Now()
		taken, restarted := p.peers.Update(s, now)
		if !taken {
			return
		}
		if restarted {
			p.peerSlots.Remove(s.Process) // the sequence restarts with the new incarnation
		}
		p.applyStatus(s, now)
	})
}

// applyStatus applies a peer's status. It runs on the control loop.
func (p *Process) applyStatus(s *wire.Status, now time.Time) {
	adverts := make([]runner.Advert, 0, len(s.Runners))
	for _, r := range s.Runners {
		adverts = append(adverts, runner.Advert{
			Runner: r.Runner, Service: r.Service, DataCentre: s.DataCentre, Free: int(r.FreeSlots), Slots: int(r.Slots),
			Leaving: r.Leaving || p.leavingRunners[r.Runner] || p.reportedLeaving(r.Runner, now), Open: r.OpenCircuit,
		})
	}
	p.peerSlots.Update(s.Process, s.Sequence, adverts, now)
	if s.DataCentre == p.Settings.Process.DataCentre {
		p.updateDirectory(s)
	}
	news := false
	for _, id := range s.LeavingHosts {
		news = news || !p.reportedLeaving(id, now)
		p.leavingReports[id] = now
	}
	if news {
		p.applyHosts()
	}
}

// updateDirectory updates the directory from a peer's rack shards.
func (p *Process) updateDirectory(s *wire.Status) {
	for _, x := range s.Shards {
		if x.Capacity == nil {
			continue // a job shard
		}
		p.directory.Update(directory.Summary{
			Shard: x.Shard, Rack: x.Shard, DataCentre: s.DataCentre, Largest: rack.VectorFromWire(x.Largest),
			LargestLong: rack.VectorFromWire(x.LargestLong), Free: rack.VectorFromWire(x.Free),
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
		p.receiveStatus(body.Status)
		if p.peers.SentRecently(body.Status.Address, time.Now()) {
			return &wire.Reply{} // the peer has a later status from a call of this process
		}
		var own *wire.Status
		if p.loop.Do(ctx, func() { own = p.status() }) != nil {
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
		return p.handleFetchConfig(peerName, body.FetchConfig)
	default:
		return refuse("unknown call")
	}
}

func refuse(reason string) *wire.Reply {
	return &wire.Reply{Refusal: &wire.Refusal{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Reason: reason}}
}

func (p *Process) handleTaskSync(ctx context.Context, m *wire.TaskSync) *wire.Reply {
	report, refused, err := p.syncLocal(ctx, m)
	switch {
	case err != nil:
		return refuse(err.Error())
	case refused != nil:
		return &wire.Reply{Refusal: refused}
	default:
		return &wire.Reply{Body: &wire.Reply_TaskReport{TaskReport: report}}
	}
}

// syncLocal applies a task message to the racks that this process owns.
func (p *Process) syncLocal(ctx context.Context, m *wire.TaskSync) (report *wire.TaskReport, refused *wire.Refusal, err error) {
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

// relayAddressOf returns the relay address of a process, or "" if it is unknown. A
// recent status of the process takes precedence over its session row in the table, which
// is that of an earlier start if the process restarted while the platform was
// unavailable.
func (p *Process) relayAddressOf(process string) string {
	said, recent := p.peers.RelayAddress(process, time.Now())
	if recent {
		return said
	}
	for _, m := range p.session.Members() {
		if m.Process == process {
			return m.RelayAddress
		}
	}
	return said
}
