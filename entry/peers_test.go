package entry

import (
	"math/rand/v2"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"persimmonworks.example/persimmonworks/chain"
	"persimmonworks.example/persimmonworks/control"
	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/ownership"
	"persimmonworks.example/persimmonworks/settings"
	"persimmonworks.example/persimmonworks/wire"
)

var testRand = rand.New(rand.NewPCG(1, 1))

// newPeer returns a process of which only the control loop runs.
func newPeer(t *testing.T) *Process {
	p := &Process{Settings: &settings.Settings{}, Log: &event.Log{}, loop: control.New(), session: &ownership.Session{}, follower: &chain.Follower{}}
	p.Settings.Process.Name, p.Settings.Process.DataCentre = "e1", "dc1"
	p.leavingReports = map[string]time.Time{}
	var group errgroup.Group
	group.Go(func() error { return p.loop.Run(t.Context()) })
	t.Cleanup(func() { _ = group.Wait() }) // the loop returns nil
	return p
}

// chosenRunner returns the address and runner to which p would forward a request.
func (p *Process) chosenRunner(t *testing.T) (address, runner string) {
	var process string
	if err := p.loop.Do(t.Context(), func() { process, runner, _ = p.peerSlots.Choose("jobs", "dc1", time.Now(), testRand) }); err != nil {
		t.Fatal(err)
	}
	return p.relayAddressOf(process), runner
}

// When a peer restarts at another address, its sequence numbers start again. Its
// first status must replace the runners and the address of the earlier start at
// once, although its sequence number is lower. A status in a reply takes the same path.
func TestRestartedPeer(t *testing.T) {
	p := newPeer(t)
	advert := func(incarnation, sequence uint64, address, runner string) *wire.Status {
		return &wire.Status{
			Process: "e2", Incarnation: incarnation, Sequence: sequence, Address: address, DataCentre: "dc2",
			Runners: []*wire.RunnerStatus{{Runner: runner, Service: "jobs", FreeSlots: 8, Slots: 8}},
		}
	}
	p.receiveStatus(advert(5, 10_000, "127.0.0.1:1", "u-1"))
	p.receiveStatus(advert(6, 1, "127.0.0.1:2", "u-2"))
	if address, runner := p.chosenRunner(t); address != "127.0.0.1:2" || runner != "u-2" {
		t.Errorf("after the restart %s at %s is chosen, want u-2 at 127.0.0.1:2", runner, address)
	}
}
