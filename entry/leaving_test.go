package entry

import (
	"testing"
	"time"

	"persimmonworks.example/persimmonworks/chain"
	"persimmonworks.example/persimmonworks/pool"
	"persimmonworks.example/persimmonworks/wire"
)

// A peer's report of leaving hosts takes effect at once, also when a later report
// adds hosts. Hosts that the configuration drains take no requests but are not
// reported to peers.
func TestLeavingHosts(t *testing.T) {
	p := newComposedProcess(t, layoutOf(1, 2), 2)
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
		p.applyStatus(&wire.Status{Process: "e2", DataCentre: "dc2", Sequence: sequence, LeavingHosts: ids}, time.Now())
	}
	tell("u-dc1-r1-01")
	tell("u-dc1-r1-01")
	if free() != 1 {
		t.Errorf("%d runners take requests after one was reported as leaving", free())
	}
	tell("u-dc1-r1-01", "u-dc1-r2-01")
	if free() != 0 {
		t.Errorf("%d runners take requests after both were reported as leaving", free())
	}

	p = newComposedProcess(t, layoutOf(1, 2), 2)
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
		t.Errorf("hosts %v are reported to peers as leaving, want only the one marked in the list", told)
	}
}

// A runner that this process knows to be leaving is not chosen, even if its owner
// does not know it yet and advertises the runner again.
func TestLeavingHeardAlone(t *testing.T) {
	p := newComposedProcess(t, layoutOf(1, 2), 0)
	advert := func(sequence uint64) *wire.Status {
		return &wire.Status{Process: "e2", DataCentre: "dc1", Sequence: sequence, Runners: []*wire.RunnerStatus{
			{Runner: "u-dc1-r1-01", Service: "jobs", FreeSlots: 8, Slots: 8},
		}}
	}
	chosen := func() bool {
		_, _, ok := p.peerSlots.Choose("jobs", "dc1", time.Now(), p.rng)
		return ok
	}
	p.applyStatus(advert(1), time.Now())
	if !chosen() {
		t.Fatal("the runner is not chosen before it leaves")
	}
	for i, h := range p.hosts.Load().hosts {
		p.hosts.Load().hosts[i].Leaving = h.ID == "u-dc1-r1-01"
	}
	p.applyHosts()
	p.applyStatus(advert(2), time.Now())
	if chosen() {
		t.Error("a runner that is known to be leaving was chosen after its owner advertised it")
	}
	for i := range p.hosts.Load().hosts {
		p.hosts.Load().hosts[i].Leaving = false
	}
	p.applyHosts()
	p.applyStatus(advert(3), time.Now())
	if !chosen() {
		t.Error("the runner is not chosen although it is no longer leaving")
	}
}
