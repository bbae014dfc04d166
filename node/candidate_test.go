package node

import (
	"fmt"
	"testing"
	"time"

	"persimmonworks.example/persimmonworks/changelog"
	"persimmonworks.example/persimmonworks/exchange"
	"persimmonworks.example/persimmonworks/fleettest"
)

// After a power failure of all hosts, those that do not own the docket must not all
// read its log at once. Few hosts all follow it, so that each can take over.
func TestWhoFollowsTheDocket(t *testing.T) {
	store := fleettest.NewStore().Path()
	for _, c := range []struct {
		name          string
		peers         int
		ownerKnown    bool
		fewest, most  int // of all hosts
		hostsCompared int
	}{
		{"no peer known yet", 0, true, 0, 0, 1},
		{"nothing known", 0, false, 1, 1, 1},
		{"few hosts", 8, true, 9, 9, 9},
		{"many hosts", 35, true, followersPerDocket, followersPerDocket, 36},
		{"hundreds of hosts", 146, true, followersPerDocket, followersPerDocket, 147},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Now()
			following := 0
			for host := range c.hostsCompared {
				n := &Node{Tables: func(string) changelog.Table { return store.Table("docket-0") }}
				n.Prepare()
				n.startedAt = now.Add(-time.Minute)
				n.Identity = exchange.Hello{Address: address(host), Cores: 0.5}
				for peerHost := range c.peers + 1 {
					if peerHost != host {
						n.recordCaller(exchange.Hello{Address: address(peerHost), Cores: 0.5}, now)
					}
				}
				p := newParticipant(n, 0)
				if c.ownerKnown {
					p.updateOwner(ownerView{address: "10.0.0.99:1", epoch: 1})
				}
				if p.shouldFollow(now) {
					following++
				}
			}
			if following < c.fewest || following > c.most {
				t.Errorf("%d of %d hosts follow, want %d to %d", following, c.hostsCompared, c.fewest, c.most)
			}
		})
	}
}

func address(host int) string { return fmt.Sprintf("10.0.%d.%d:1", host/200, host%200) }

// Where hosts differ, the strong ones follow: a docket that one of them owns is too
// much for a weak host.
func TestStrongHostsFollow(t *testing.T) {
	store := fleettest.NewStore().Path()
	const weak, strong, hosts, strongHosts = 0.192, 0.8, 36, 6
	cores := func(host int) float64 {
		if host < strongHosts {
			return strong
		}
		return weak
	}
	now := time.Now()
	for docket := range 4 {
		following := 0
		for host := range hosts {
			n := &Node{Tables: func(string) changelog.Table { return store.Table("docket-0") }}
			n.Prepare()
			n.startedAt = now.Add(-time.Minute)
			n.Identity = exchange.Hello{Address: address(host), Cores: cores(host)}
			for peerHost := range hosts {
				if peerHost != host {
					n.recordCaller(exchange.Hello{Address: address(peerHost), Cores: cores(peerHost)}, now)
				}
			}
			p := newParticipant(n, docket)
			p.updateOwner(ownerView{address: "10.0.0.99:1", epoch: 1})
			if !p.shouldFollow(now) {
				continue
			}
			following++
			if cores(host) == weak {
				t.Errorf("docket %d: weak host %d follows", docket, host)
			}
		}
		if following != followersPerDocket {
			t.Errorf("docket %d: %d hosts follow", docket, following)
		}
	}
}
