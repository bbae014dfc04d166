package peer

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"persimmonworks.example/persimmonworks/wire"
)

// Limits of the traffic that a process causes by sending its status to peers.
// Budgets are in bytes per second. Within the budget a status is sent every
// StatusInterval or RemoteInterval. Where this would exceed the budget it is sent
// less often, but at least once per maximum interval, so that the peers do not
// consider this process lost.
const (
	localBudget       = 6 << 10 // to the peers of the own data centre
	remoteBudget      = 3 << 10 // to the peers of other data centres
	localMaxInterval  = time.Second
	remoteMaxInterval = 1500 * time.Millisecond // below the age from which runner.Directory ignores advertised free slots
	callOverhead      = 60                      // bytes of headers, keys and acknowledgements per call
)

// Pacer decides when the next status is sent. A change of urgent state, which
// peers must know within seconds (the owners of shards, what is leaving), is sent
// at once. Free capacity, which changes all the time, is sent as often as the
// budget allows.
type Pacer struct {
	localSentAt, remoteSentAt time.Time
	urgentSent                uint64 // checksum of the urgent state in the last status
}

// Due reports whether the status s is to be sent now to the peers of the own data
// centre and to those of others. peers maps the address of each peer to whether
// the peer is in the own data centre.
func (c *Pacer) Due(s *wire.Status, peers map[string]bool, now time.Time) (local, remote bool) {
	localPeers := 0
	for _, isLocal := range peers {
		if isLocal {
			localPeers++
		}
	}
	urgentNow := urgentChecksum(s)
	changed := urgentNow != c.urgentSent
	c.urgentSent = urgentNow
	local = changed || now.Sub(c.localSentAt) >= interval(proto.Size(s), localPeers, localBudget, StatusInterval, localMaxInterval)
	remote = changed || now.Sub(c.remoteSentAt) >= interval(proto.Size(ForOtherDataCentres(s)), len(peers)-localPeers, remoteBudget, RemoteInterval, remoteMaxInterval)
	if local {
		c.localSentAt = now
	}
	if remote {
		c.remoteSentAt = now
	}
	return local, remote
}

// interval returns the time between messages of size bytes to a number of peers
// that keeps to a budget in bytes per second, clamped to shortest and longest.
// Half a StatusInterval is subtracted, so that a tick of the caller that comes
// slightly early does not skip a message.
func interval(size, peers, budget int, shortest, longest time.Duration) time.Duration {
	d := time.Duration(float64((size+callOverhead)*peers) / float64(budget) * float64(time.Second))
	return min(max(d, shortest), longest) - StatusInterval/2
}

// urgentChecksum returns a checksum of the state that peers must know within
// seconds.
func urgentChecksum(s *wire.Status) uint64 {
	h := xxhash.New()
	hash := func(name string, n uint64, flags ...bool) {
		_, _ = h.WriteString(name)
		var b [10]byte
		binary.LittleEndian.PutUint64(b[:8], n)
		for i, f := range flags {
			if f {
				b[8] |= 1 << i
			}
		}
		_, _ = h.Write(b[:])
	}
	hash("", s.ConfigNumber, s.Leaving, s.PlatformReachable)
	// Shards, runners and hosts are in no particular order, so the checksums of the
	// entries are added.
	sum := h.Sum64()
	for _, x := range s.Shards {
		h.Reset()
		hash(x.Shard, x.Epoch, x.Ready, true)
		sum += h.Sum64()
	}
	for _, x := range s.Runners {
		h.Reset()
		hash(x.Runner, 0, x.Leaving, x.OpenCircuit)
		sum += h.Sum64()
	}
	for _, id := range s.LeavingHosts {
		h.Reset()
		hash(id, 1)
		sum += h.Sum64()
	}
	return sum
}

// ForOtherDataCentres returns the status for processes of other data centres. It has the job
// shards without the rack shards, because other data centres place nothing on the
// racks. It has one entry per service with the sums of slots in place of the
// runners, because a request that names no runner can go to any runner of its
// service.
func ForOtherDataCentres(s *wire.Status) *wire.Status {
	summary := &wire.Status{
		Process: s.Process, Incarnation: s.Incarnation, DataCentre: s.DataCentre, Address: s.Address,
		CallerAddress: s.CallerAddress, Sequence: s.Sequence, ConfigNumber: s.ConfigNumber, Leaving: s.Leaving,
		PlatformReachable: s.PlatformReachable, LeavingHosts: s.LeavingHosts,
	}
	for _, x := range s.Shards {
		if x.Capacity == nil {
			summary.Shards = append(summary.Shards, x)
		}
	}
	byService := map[string]*wire.RunnerStatus{}
	for _, r := range s.Runners {
		if r.Leaving || r.OpenCircuit {
			continue
		}
		sum, ok := byService[r.Service]
		if !ok {
			sum = &wire.RunnerStatus{Service: r.Service}
			byService[r.Service] = sum
			summary.Runners = append(summary.Runners, sum)
		}
		sum.FreeSlots += r.FreeSlots
		sum.Slots += r.Slots
	}
	return summary
}
