package peer

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"persimmonworks.example/persimmonworks/wire"
)

// sampleStatus returns the status of a process with n racks and n runners.
func sampleStatus(n int) *wire.Status {
	s := &wire.Status{Process: "entry-07", Incarnation: 1 << 40, DataCentre: "dc1", Address: "10.1.2.3:7100", CallerAddress: "10.1.2.3:7080", Sequence: 1 << 20}
	v := &wire.Vector{MilliCpu: 128000, MemoryMb: 256 << 10}
	for i := range n {
		s.Shards = append(s.Shards, &wire.ShardStatus{Shard: fmt.Sprintf("rack-dc1-r%03d", i), Epoch: 12, Free: v, Capacity: v, Largest: v, Ready: true})
		s.Runners = append(s.Runners, &wire.RunnerStatus{Runner: fmt.Sprintf("u-dc1-r%03d-01", i), Service: "jobs", FreeSlots: 5, Slots: 8})
	}
	s.Shards = append(s.Shards, &wire.ShardStatus{Shard: "jobs-3", Ready: true})
	return s
}

func makePeers(local, remote int) map[string]bool {
	m := map[string]bool{}
	for i := range local + remote {
		m[fmt.Sprint("10.0.0.", i)] = i < local
	}
	return m
}

// A change of urgent state is sent with the next tick, and only once. A change of
// free capacity alone is sent within the budget, and every peer gets a status
// before Timeout has passed.
func TestStatusPace(t *testing.T) {
	for _, c := range []struct{ local, remote, maxLocal, maxRemote int }{
		{2, 5, 40, 10}, {7, 64, 10, 8},
	} {
		var pace Pacer
		peers := makePeers(c.local, c.remote)
		s := sampleStatus(17)
		start := time.Now()
		localSends, remoteSends := 0, 0
		lastLocal, lastRemote := start, start
		for tick := 0; tick < 40; tick++ { // 10 s
			now := start.Add(time.Duration(tick) * StatusInterval)
			s.Shards[0].Free = &wire.Vector{MilliCpu: int64(tick)}
			local, remote := pace.Due(s, peers, now)
			if local {
				localSends, lastLocal = localSends+1, now
			}
			if remote {
				remoteSends, lastRemote = remoteSends+1, now
			}
			if now.Sub(lastLocal) >= Timeout || now.Sub(lastRemote) >= Timeout {
				t.Fatalf("%+v: peers received no status for %v and %v", c, now.Sub(lastLocal), now.Sub(lastRemote))
			}
		}
		if localSends > c.maxLocal || remoteSends > c.maxRemote {
			t.Errorf("%+v: %d and %d statuses in 10 s", c, localSends, remoteSends)
		}
		now := start.Add(40 * StatusInterval)
		pace.Due(s, peers, now)
		for name, change := range map[string]func(){
			"leaving":       func() { s.Leaving = true },
			"host":          func() { s.LeavingHosts = append(s.LeavingHosts, "u-1") },
			"shard":         func() { s.Shards[1].Epoch++ },
			"ready":         func() { s.Shards[2].Ready = false },
			"gone":          func() { s.Shards = s.Shards[1:] },
			"runner":        func() { s.Runners[3].Leaving = true },
			"circuit":       func() { s.Runners[4].OpenCircuit = true },
			"configuration": func() { s.ConfigNumber++ },
			"platform":      func() { s.PlatformReachable = !s.PlatformReachable },
		} {
			change()
			now = now.Add(time.Millisecond)
			if local, remote := pace.Due(s, peers, now); !local || !remote {
				t.Errorf("%+v: a change of %s is not sent at once", c, name)
			}
			now = now.Add(time.Millisecond)
			if local, remote := pace.Due(s, peers, now); local || remote {
				t.Errorf("%+v: the change of %s is sent twice", c, name)
			}
		}
	}
}

// The status for other data centres has sums per service. Runners that accept no
// new requests, because they are leaving or their circuit is open, do not count.
func TestForFar(t *testing.T) {
	s := sampleStatus(17)
	s.Runners[0].Leaving, s.Runners[1].OpenCircuit = true, true
	s.Runners[2].Service = "other"
	summary := ForOtherDataCentres(s)
	if len(summary.Shards) != 1 || summary.Shards[0].Shard != "jobs-3" || len(summary.Runners) != 2 {
		t.Fatalf("status for other data centres: %v", summary)
	}
	if r := summary.Runners[1]; r.Service != "jobs" || r.FreeSlots != 14*5 || r.Slots != 14*8 || r.Runner != "" {
		t.Errorf("sum %v", r)
	}
	if summary.Process != s.Process || summary.Sequence != s.Sequence || summary.Address != s.Address || summary.Incarnation != s.Incarnation {
		t.Errorf("the status for other data centres is of another process: %v", summary)
	}
	t.Logf("17 racks and runners: %d bytes to the own data centre, %d to others", proto.Size(s), proto.Size(summary))
}

// SentRecently holds until Timeout after the last MarkSent of an address. A peer for which it
// does not hold gets this process's status in the answer to its own.
func TestTold(t *testing.T) {
	var peers Table
	now := time.Now()
	peers.MarkSent("10.0.0.1:1", now)
	if !peers.SentRecently("10.0.0.1:1", now.Add(Timeout/2)) || peers.SentRecently("10.0.0.1:1", now.Add(Timeout)) || peers.SentRecently("10.0.0.2:1", now) {
		t.Error("SentRecently does not follow the last MarkSent")
	}
}
