package node_test

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"persimmonworks.example/persimmonworks/wire"
)

var (
	firstPlay = flag.Int("owners.first", 1, "seed of the first play of each test of several owners")
	playCount = flag.Int("owners.plays", 2, "number of plays of each test of several owners")
)

func cloneJob(j *wire.DocketAccepted) *wire.DocketAccepted { return proto.CloneOf(j) }

// Several processes own two dockets by turns while machines, links, the store and the
// workers fail. No promise may be broken, and each job that was accepted must end.
func TestSeveralOwners(t *testing.T) { playAll(t, plays) }

// A job that moves to another docket while the owners change, and is submitted again
// meanwhile, remains one job.
func TestJobsMoveWhileOwnersChange(t *testing.T) { playAll(t, moves) }

// A process that loses a docket and gets it back under a newer epoch waits for the leases
// that it granted before.
func TestOwnerTakesDocketBack(t *testing.T) { playAll(t, returns) }

// playAll plays the days that the seeds stand for. Processes wait for random times, so a
// play is not repeated exactly by its seed.
func playAll(t *testing.T, days *rapid.Generator[play]) {
	for seed := *firstPlay; seed < *firstPlay+*playCount; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			p := days.Example(seed)
			synctest.Test(t, func(t *testing.T) {
				s, broken := p.run()
				t.Logf("%d starts, events %v", s.fleet.Starts(), s.countEvents())
				for _, b := range broken {
					t.Error(b)
				}
				if len(broken) > 0 {
					t.Log(s.trace(broken))
				}
			})
		})
	}
}
