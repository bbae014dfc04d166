package entry

import (
	"context"
	"fmt"
	"time"

	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/gateway"
	"persimmonworks.example/persimmonworks/provider"
	"persimmonworks.example/persimmonworks/resource"
	"persimmonworks.example/persimmonworks/runner"
)

// hostView holds the platform's list of hosts as last read.
type hostView struct {
	hosts []provider.Host
	read  time.Time
	racks []string // rack shards of this data centre
}

// rackShard returns the name of a rack's shard.
func rackShard(rackName string) string { return "rack-" + rackName }

// runHosts polls the platform's list of hosts until ctx ends.
func (p *Process) runHosts(ctx context.Context) error {
	ticker := time.NewTicker(hostsInterval)
	defer ticker.Stop()
	failing := false
	for {
		hosts, err := p.Hosts.Hosts(ctx)
		switch {
		case err == nil:
			p.hosts.Store(p.viewOf(hosts))
			p.loop.Post(p.applyHosts)
		case !failing && ctx.Err() == nil:
			p.Log.Emit(event.HostListStale, "error", err)
		}
		failing = err != nil
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (p *Process) viewOf(hosts []provider.Host) *hostView {
	v := &hostView{hosts: hosts, read: time.Now()}
	seen := map[string]bool{}
	for _, h := range hosts {
		if h.DataCentre == p.Settings.Process.DataCentre && !seen[h.Rack] {
			seen[h.Rack] = true
			v.racks = append(v.racks, rackShard(h.Rack))
		}
	}
	return v
}

// knownShards returns the names of all shards of the data centre, or nil before the
// list of hosts is known.
func (p *Process) knownShards() []string {
	v := p.hosts.Load()
	if v == nil {
		return nil
	}
	names := append([]string(nil), v.racks...)
	for n := range p.Settings.Limits.JobShards {
		names = append(names, gateway.ShardName(uint64(n)))
	}
	return names
}

// applyHosts updates racks, runners, queue and admission from the list of hosts,
// the configured drains and the peers' reports of leaving hosts. It runs on the
// control loop.
func (p *Process) applyHosts() {
	v := p.hosts.Load()
	if v == nil {
		return
	}
	now := time.Now()
	c := p.configuration()
	var poolSize resource.Vector
	slots := map[string]int{}
	p.leavingRunners = map[string]bool{}
	workers := map[string][]provider.Host{}
	for _, h := range v.hosts {
		if _, drained := c.Drained(h.ID, h.Rack, h.DataCentre); drained || p.reportedLeaving(h.ID, now) {
			h.Leaving = true
		}
		shard := rackShard(h.Rack)
		_, owned := p.racks.Rack(shard)
		owned = owned && h.DataCentre == p.Settings.Process.DataCentre
		switch h.Kind {
		case provider.KindWorker:
			if h.DataCentre == p.Settings.Process.DataCentre {
				poolSize = poolSize.Add(h.Capacity)
			}
			if owned {
				workers[shard] = append(workers[shard], h)
			}
		case provider.KindRunner:
			slots[h.Service] += h.Slots
			p.applyRunner(h, owned, now)
		}
	}
	for shard, hosts := range workers {
		r, _ := p.racks.Rack(shard)
		r.SetHosts(hosts, now)
		for _, h := range hosts {
			r.SetLeaving(h.ID, h.Leaving)
		}
	}
	p.queue.SetPool(poolSize)
	for service, n := range slots {
		p.forward.Gate.SetSlots(service, n)
	}
}

func (p *Process) applyRunner(h provider.Host, owned bool, now time.Time) {
	if h.Leaving {
		p.leavingRunners[h.ID] = true // holds even if its owner still advertises it as available
		p.peerSlots.SetLeaving(h.ID)
	}
	if !owned {
		p.runners.Remove(h.ID)
		return
	}
	p.runners.Upsert(runner.Runner{
		ID: h.ID, Service: h.Service, DataCentre: h.DataCentre, Rack: h.Rack, Address: h.Address, Slots: h.Slots, Leaving: h.Leaving,
	}, now)
	p.runners.SetLeaving(h.ID, h.Leaving)
}

// leavingReportTTL is how long a peer's report that a host is leaving is valid. The peer
// repeats the report while the host is leaving.
const leavingReportTTL = 10 * time.Second

func (p *Process) reportedLeaving(id string, now time.Time) bool {
	at, ok := p.leavingReports[id]
	return ok && now.Sub(at) < leavingReportTTL
}

// leavingHosts returns the hosts that the platform's list marks as leaving. It
// leaves out hosts reported only by peers, and hosts that the configuration drains:
// every process knows those from the configuration, and a drained data centre would
// fill each status with its hosts.
func (p *Process) leavingHosts() []string {
	v := p.hosts.Load()
	if v == nil {
		return nil
	}
	var list []string
	for i := range v.hosts {
		if v.hosts[i].Leaving {
			list = append(list, v.hosts[i].ID)
		}
	}
	return list
}

func (v *hostView) String() string { return fmt.Sprintf("%d hosts", len(v.hosts)) }
