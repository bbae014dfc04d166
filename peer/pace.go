package peer

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"persimmonworks.example/persimmonworks/wire"
)

// Bytes a second that a process spends on telling its state to peers. Within
// them the statuses go out each StatusInterval, above them less often, but
// never less often than each slowest interval, so that no peer counts as lost.
const (
	nearBudget  = 6 << 10 // to the peers of the data centre
	farBudget   = 3 << 10 // to those of others
	nearSlowest = time.Second
	farSlowest  = 1500 * time.Millisecond // below the age at which adverts stop being believed
	Packet      = 60                      // bytes of headers, keys and acknowledgements of a call
)

// Pace decides when the next status is due. What must be known in
// seconds (who owns which shard, what is leaving) goes out at once; free
// capacity, which changes all the time, at the pace that the budget allows.
type Pace struct {
	nearSent, farSent time.Time
	told              uint64 // urgent part of the last status
}

// Due reports whether a status goes now to the peers of the data centre and to
// those of others. peers maps addresses to whether they are near.
func (c *Pace) Due(s *wire.Status, peers map[string]bool, now time.Time) (near, far bool) {
	nearPeers := 0
	for _, isNear := range peers {
		if isNear {
			nearPeers++
		}
	}
	urgent := urgentSum(s)
	changed := urgent != c.told
	c.told = urgent
	near = changed || now.Sub(c.nearSent) >= interval(proto.Size(s), nearPeers, nearBudget, StatusInterval, nearSlowest)
	far = changed || now.Sub(c.farSent) >= interval(proto.Size(ForFar(s)), len(peers)-nearPeers, farBudget, FarInterval, farSlowest)
	if near {
		c.nearSent = now
	}
	if far {
		c.farSent = now
	}
	return near, far
}

// interval returns the time between messages of a size to so many peers that
// keeps to a budget in bytes a second, within bounds. Half a tick is taken off,
// so that a tick that comes early is not lost.
func interval(size, peers, budget int, shortest, longest time.Duration) time.Duration {
	d := time.Duration(float64((size+Packet)*peers) / float64(budget) * float64(time.Second))
	return min(max(d, shortest), longest) - StatusInterval/2
}

// urgentSum is a checksum of what peers must know in seconds.
func urgentSum(s *wire.Status) uint64 {
	h := xxhash.New()
	note := func(name string, n uint64, flags ...bool) {
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
	note("", s.ConfigNumber, s.Leaving, s.PlatformReachable)
	// Shards and runners come in no particular order.
	sum := h.Sum64()
	for _, x := range s.Shards {
		h.Reset()
		note(x.Shard, x.Epoch, x.Ready, true)
		sum += h.Sum64()
	}
	for _, x := range s.Runners {
		h.Reset()
		note(x.Runner, 0, x.Leaving, x.OpenCircuit)
		sum += h.Sum64()
	}
	for _, id := range s.LeavingHosts {
		h.Reset()
		note(id, 1)
		sum += h.Sum64()
	}
	return sum
}

// ForFar returns what processes of other data centres need: the job shards, and
// one sum of free slots for each service in place of the runners. They place
// nothing on the racks, and a request that names no runner gets any of its
// service.
func ForFar(s *wire.Status) *wire.Status {
	far := &wire.Status{
		Process: s.Process, Incarnation: s.Incarnation, DataCentre: s.DataCentre, Address: s.Address,
		CallerAddress: s.CallerAddress, Sequence: s.Sequence, ConfigNumber: s.ConfigNumber, Leaving: s.Leaving,
		PlatformReachable: s.PlatformReachable, LeavingHosts: s.LeavingHosts,
	}
	for _, x := range s.Shards {
		if x.Capacity == nil {
			far.Shards = append(far.Shards, x)
		}
	}
	services := map[string]*wire.RunnerStatus{}
	for _, r := range s.Runners {
		if r.Leaving || r.OpenCircuit {
			continue
		}
		sum, ok := services[r.Service]
		if !ok {
			sum = &wire.RunnerStatus{Service: r.Service}
			services[r.Service] = sum
			far.Runners = append(far.Runners, sum)
		}
		sum.FreeSlots += r.FreeSlots
		sum.Slots += r.Slots
	}
	return far
}
