package entry

import (
	"context"
	"time"

	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/provider"
	"persimmonworks.example/persimmonworks/runner"
	"persimmonworks.example/persimmonworks/watch"
)

const (
	watchInterval = 500 * time.Millisecond
	slowStep      = 100 * time.Millisecond // steps of the control loop that take longer are logged
)

// recordLoopStep records the duration of a step of the control loop and logs slow steps.
func (p *Process) recordLoopStep(took time.Duration) {
	p.meter.LoopBusy(took)
	if took > slowStep {
		p.Log.Emit(event.ControlLoopSlow, "ms", took.Milliseconds())
	}
}

// runWatch logs changes in the state of the platform, peers and hosts until ctx
// ends.
func (p *Process) runWatch(ctx context.Context) error {
	w := watch.Monitor{Log: p.Log}
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if p.leaving.Load() {
			continue // changes during a shutdown are expected
		}
		s := p.watchState(time.Now())
		if p.loop.Do(ctx, func() { p.watchHosts(&s) }) != nil {
			return nil
		}
		w.Observe(s)
	}
}

func (p *Process) watchState(now time.Time) watch.State {
	s := watch.State{Ready: p.notReady() == "", PlatformReachable: p.session.PlatformReachable(), Peers: map[string]bool{}}
	if p.session.Valid(now) {
		s.Session = p.session.ID()
	}
	for _, x := range p.peers.All() {
		if !x.Status().Leaving && x.Age(now) < silentPeerRetention {
			s.Peers[x.Status().Process] = x.Recent(now)
		}
	}
	return s
}

// watchHosts adds the state of the hosts of owned racks. It runs on the control
// loop.
func (p *Process) watchHosts(s *watch.State) {
	s.Leaving, s.OpenCircuits = map[string]int{}, map[string]bool{}
	busy := map[string]int{}
	for _, r := range p.runners.All(time.Now()) {
		busy[r.ID] = r.Busy
		if r.Circuit == runner.Open {
			s.OpenCircuits[r.ID] = true
		}
	}
	for r := range p.racks.All {
		for _, a := range r.Attempts() {
			if !a.Final() {
				busy[a.Worker]++
			}
		}
	}
	v := p.hosts.Load()
	if v == nil {
		return
	}
	c := p.configuration()
	for _, h := range v.hosts {
		if !p.ownsRackOf(h) {
			continue
		}
		if _, drained := c.Drained(h.ID, h.Rack, h.DataCentre); drained || h.Leaving {
			s.Leaving[h.ID] = busy[h.ID]
		}
	}
}

func (p *Process) ownsRackOf(h provider.Host) bool {
	_, owned := p.racks.Rack(rackShard(h.Rack))
	return owned && h.DataCentre == p.Settings.Process.DataCentre
}
