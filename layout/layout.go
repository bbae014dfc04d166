// Package layout partitions the jobs and workers of a deployment into dockets, each of
// which has its own owner.
//
// A job belongs to the docket that its name hashes to. A worker belongs to the docket
// of its rack; racks are never split, so that tasks that must share a rack can use all
// of it. The number of dockets is fixed once, from the number of workers and the
// strength of the hosts. A rack that appears later is assigned to the docket with the
// fewest workers and stays there.
//
// Usage:
//
//	l := layout.New(len(workers), cores)
//	l, changed := l.Assign(racks)
//	docket := l.OfJob(id)
//	docket, ok := l.OfRack(rack)
package layout

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"persimmonworks.example/persimmonworks/wire"
)

const (
	// maxWorkersPerDocket bounds what one process handles, and how many jobs wait for a
	// takeover when it fails.
	maxWorkersPerDocket = 550
	// minWorkersPerDocket leaves room for gangs, of whose workers a part may be allowed.
	minWorkersPerDocket = 60
	// A pool that gives each of two dockets so many workers is divided, so that work goes on
	// while an owner or the docket's part of the store does not respond.
	workersToDivide = 150
	// workersPerCore is how many workers a process handles for each core that its callers
	// leave.
	workersPerCore = 750
	callersCores   = 0.05
	// MaxDockets bounds the number of dockets, because the store bounds the number of
	// tables and each docket has one.
	MaxDockets = 48
)

// Layout assigns jobs and racks to dockets. It is immutable; the zero value is not
// valid.
type Layout struct {
	dockets int            // number of dockets
	racks   map[string]int // docket by rack
}

// New returns a layout without racks. It has as few dockets as the hosts can handle, since
// a gang has to fit into one docket, but two where both are large. Cores holds the processor cores of the known hosts
// in any order.
func New(workers int, cores []float64) *Layout {
	strongest := slices.Sorted(slices.Values(cores))
	slices.Reverse(strongest)
	dockets := max(1, (workers+maxWorkersPerDocket-1)/maxWorkersPerDocket)
	most := min(len(strongest), workers/minWorkersPerDocket, MaxDockets)
	for dockets < most && workers > handled(strongest[dockets-1])*dockets {
		dockets++
	}
	if half := (workers + 1) / 2; dockets == 1 && most > 1 && half >= workersToDivide && half <= handled(strongest[1]) {
		dockets = 2
	}
	return &Layout{dockets: min(dockets, MaxDockets)}
}

// handled returns how many workers the owner of one docket handles on a host with the
// given cores.
func handled(cores float64) int { return int(workersPerCore * max(0, cores-callersCores)) }

// Dockets returns the number of dockets.
func (l *Layout) Dockets() int { return l.dockets }

// JobDocket returns the docket that the job belongs to.
func (l *Layout) JobDocket(id string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	return int(h.Sum32() % uint32(l.dockets))
}

// RackDocket returns the docket that the workers of a rack belong to, and false if the
// rack is not assigned yet.
func (l *Layout) RackDocket(rack string) (int, bool) {
	if l.dockets == 1 {
		return 0, true
	}
	docket, ok := l.racks[rack]
	return docket, ok
}

// Assign returns a layout in which every rack has a docket, given the number of
// workers by rack. It reports whether any rack was newly assigned.
func (l *Layout) Assign(workers map[string]int) (*Layout, bool) {
	assigned := &Layout{dockets: l.dockets, racks: maps.Clone(l.racks)}
	if assigned.racks == nil {
		assigned.racks = map[string]int{}
	}
	load := make([]int, l.dockets)
	var newRacks []string
	for rack, n := range workers {
		if d, ok := l.RackDocket(rack); ok {
			load[d] += n
			continue
		}
		newRacks = append(newRacks, rack)
	}
	slices.SortFunc(newRacks, func(a, b string) int {
		return cmp.Or(cmp.Compare(workers[b], workers[a]), cmp.Compare(a, b))
	})
	for _, rack := range newRacks {
		leastLoaded := 0
		for d := range load {
			if load[d] < load[leastLoaded] {
				leastLoaded = d
			}
		}
		assigned.racks[rack] = leastLoaded
		load[leastLoaded] += workers[rack]
	}
	return assigned, len(newRacks) > 0
}

// Encode returns the stored form of the layout.
func (l *Layout) Encode() ([]byte, error) {
	m := &wire.DocketLayout{Dockets: uint32(l.dockets), Racks: map[string]uint32{}}
	for rack, d := range l.racks {
		m.Racks[rack] = uint32(d)
	}
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode layout: %w", err)
	}
	return value, nil
}

// Decode decodes and validates a layout that Encode returned.
func Decode(value []byte) (*Layout, error) {
	m := &wire.DocketLayout{}
	if err := proto.Unmarshal(value, m); err != nil {
		return nil, fmt.Errorf("decode layout: %w", err)
	}
	if m.GetDockets() < 1 || m.GetDockets() > MaxDockets {
		return nil, fmt.Errorf("decode layout: %d dockets, want 1 to %d", m.GetDockets(), MaxDockets)
	}
	l := &Layout{dockets: int(m.GetDockets()), racks: make(map[string]int, len(m.GetRacks()))}
	for rack, d := range m.GetRacks() {
		if d >= m.GetDockets() {
			return nil, fmt.Errorf("decode layout: rack %q is in docket %d of %d", rack, d, m.GetDockets())
		}
		l.racks[rack] = int(d)
	}
	return l, nil
}
