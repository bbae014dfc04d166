package node

import (
	"fmt"
	"io"
	"testing"
	"time"

	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/exchange"
)

// The hellos that an owner gets stay bounded as hosts and dockets grow, and every owner
// is greeted within few rounds.
func TestHellosDoNotGrowWithTheHosts(t *testing.T) {
	const manyTurns = 6 // over which the rate is averaged
	for _, c := range []struct{ hosts, owners int }{{9, 1}, {35, 1}, {147, 2}, {400, 18}, {1000, 48}} {
		t.Run(fmt.Sprintf("%d-hosts-%d-owners", c.hosts, c.owners), func(t *testing.T) {
			var owners []string
			for i := range c.owners {
				owners = append(owners, address(i))
			}
			interval := helloInterval(c.hosts-1, c.owners)
			rounds := (c.owners + otherOwnersPerRound - 1) / otherOwnersPerRound
			counts := map[string]int{}
			for host := range c.hosts {
				advised := map[string]bool{owners[host%c.owners]: true}
				greeted := map[string]bool{}
				for round := range manyTurns * rounds {
					for _, o := range ownersToGreet(owners, advised, round) {
						greeted[o] = greeted[o] || round < rounds
						counts[o]++
					}
				}
				for _, o := range owners {
					if !greeted[o] {
						t.Fatalf("owner %s was not greeted in %d rounds", o, rounds)
					}
				}
			}
			for o, n := range counts {
				rate := float64(n) / (float64(manyTurns*rounds) * interval.Seconds())
				if rate > 1.3*maxHellosPerOwner {
					t.Errorf("owner %s gets %.0f hellos a second", o, rate)
				}
			}
			if interval < minHelloInterval || 2*interval >= peerActiveWindow+500*time.Millisecond {
				t.Errorf("interval %v", interval)
			}
		})
	}
}

// The list of peers, which grows with the hosts, is only sent to who asks for it.
func TestPeersAreSentOnRequest(t *testing.T) {
	const hosts = 300
	n := &Node{Log: &event.Log{Writer: io.Discard}}
	n.Prepare()
	n.Identity = exchange.Hello{Address: address(0)}
	for host := 1; host < hosts; host++ {
		n.recordCaller(exchange.Hello{Address: address(host), Cores: 0.2}, time.Now())
	}
	for _, c := range []struct {
		skip  bool
		peers int
	}{{false, hosts - 1}, {true, 0}} {
		welcome, err := n.HandleHello(t.Context(), exchange.Hello{Address: address(1), Cores: 0.2, SkipPeers: c.skip}, nil)
		if err != nil || len(welcome.Peers) != c.peers {
			t.Errorf("skip %v: %d peers, %v, want %d", c.skip, len(welcome.Peers), err, c.peers)
		}
	}
}
