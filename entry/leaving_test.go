package entry

import (
	"testing"
	"time"

	"persimmonworks.example/persimmonworks/chain"
	"persimmonworks.example/persimmonworks/pool"
	"persimmonworks.example/persimmonworks/wire"
)

// What a peer says is leaving is in force at once, also when it says more later;
// what the configuration drains is closed here but not told to peers.
func TestLeavingHosts(t *testing.T) {
	p := composed(t, layoutOf(1, 2), 2)
	free := func() int {
		n := 0
		for _, r := range p.runners.All(time.Now()) {
			if !r.Leaving {
				n++
			}
		}
		return n
	}
	if free() != 2 || len(p.leavingHosts()) != 0 {
		t.Fatalf("%d runners take requests, %v leaving, want 2 and none", free(), p.leavingHosts())
	}
	sequence := uint64(0)
	tell := func(ids ...string) {
		sequence++
		p.learned(&wire.Status{Process: "e2", DataCentre: "dc2", Sequence: sequence, LeavingHosts: ids}, time.Now())
	}
	tell("u-dc1-r1-01")
	tell("u-dc1-r1-01")
	if free() != 1 {
		t.Errorf("%d runners take requests after one was said to leave", free())
	}
	tell("u-dc1-r1-01", "u-dc1-r2-01")
	if free() != 0 {
		t.Errorf("%d runners take requests after both were said to leave", free())
	}

	p = composed(t, layoutOf(1, 2), 2)
	p.hosts.Load().hosts[0].Leaving = true
	drained := pool.Configuration{Drains: []pool.Drain{{DataCentre: "dc1", By: "operator", Since: time.Now()}}}
	if ok, err := p.follower.Apply(&chain.Entry{Number: 1, Configuration: drained}); !ok {
		t.Fatalf("configuration was not applied: %v", err)
	}
	p.applyHosts()
	if free() != 0 {
		t.Errorf("%d runners of a drained data centre take requests", free())
	}
	if told := p.leavingHosts(); len(told) != 1 || told[0] != p.hosts.Load().hosts[0].ID {
		t.Errorf("peers are told that %v leave, want the one of the list", told)
	}
}

// A runner that only this process has heard to be leaving stays closed for it
// when its owner, which has not heard, advertises it again.
func TestLeavingHeardAlone(t *testing.T) {
	p := composed(t, layoutOf(1, 2), 0)
	advert := func(sequence uint64) *wire.Status {
		return &wire.Status{Process: "e2", DataCentre: "dc1", Sequence: sequence, Runners: []*wire.RunnerStatus{
			{Runner: "u-dc1-r1-01", Service: "jobs", FreeSlots: 8, Slots: 8},
		}}
	}
	chosen := func() bool {
		_, _, ok := p.peerSlots.Choose("jobs", "dc1", time.Now(), p.rng)
		return ok
	}
	p.learned(advert(1), time.Now())
	if !chosen() {
		t.Fatal("the runner is not chosen before it leaves")
	}
	for i, h := range p.hosts.Load().hosts {
		p.hosts.Load().hosts[i].Leaving = h.ID == "u-dc1-r1-01"
	}
	p.applyHosts()
	p.learned(advert(2), time.Now())
	if chosen() {
		t.Error("an advert opened a runner that is known to be leaving")
	}
	for i := range p.hosts.Load().hosts {
		p.hosts.Load().hosts[i].Leaving = false
	}
	p.applyHosts()
	p.learned(advert(3), time.Now())
	if !chosen() {
		t.Error("the runner stays closed though nobody says any more that it leaves")
	}
}
