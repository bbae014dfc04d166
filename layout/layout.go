// Package layout divides the jobs and the workers of a deployment among dockets,
// each of which has an owner of its own.
//
// A job belongs to the docket that its name hashes to. A worker belongs to the
// docket of its rack, so that work that wants one rack finds it whole. The number
// of dockets is chosen once, from the number of workers; a rack that appears later
// goes to the docket with the fewest workers, and stays there.
//
// Usage:
//
//	l := layout.New(len(workers))
//	l, changed := l.Assign(racks)
//	docket := l.JobDocket(id)
//	docket, ok := l.RackDocket(rack)
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
	// workersEach is how many workers one owner serves well. Fewer would divide the
	// room for large gangs, of which each must fit into one docket.
	workersEach = 176
	// DocketsMost bounds the dockets, since the store bounds the tables.
	DocketsMost = 48
)

// Layout is a division. It does not change once made; the zero value is none.
type Layout struct {
	dockets int
	racks   map[string]int
}

// New returns a layout for about so many workers, without racks.
func New(workers int) *Layout {
	return &Layout{dockets: min(max(1, (workers+workersEach/2)/workersEach), DocketsMost)}
}

// Dockets returns how many dockets there are.
func (l *Layout) Dockets() int { return l.dockets }

// JobDocket returns the docket of a job.
func (l *Layout) JobDocket(id string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	return int(h.Sum32() % uint32(l.dockets))
}

// RackDocket returns the docket of the workers of a rack; false while the rack has
// none.
func (l *Layout) RackDocket(rack string) (int, bool) {
	if l.dockets == 1 {
		return 0, true
	}
	d, ok := l.racks[rack]
	return d, ok
}

// Assign gives every rack a docket, given the number of workers by rack. It
// reports whether that changes the layout.
func (l *Layout) Assign(workers map[string]int) (*Layout, bool) {
	next := &Layout{dockets: l.dockets, racks: maps.Clone(l.racks)}
	if next.racks == nil {
		next.racks = map[string]int{}
	}
	load := make([]int, l.dockets)
	var added []string
	for rack, n := range workers {
		if d, ok := l.RackDocket(rack); ok {
			load[d] += n
			continue
		}
		added = append(added, rack)
	}
	slices.SortFunc(added, func(a, b string) int {
		return cmp.Or(cmp.Compare(workers[b], workers[a]), cmp.Compare(a, b))
	})
	for _, rack := range added {
		least := 0
		for d := range load {
			if load[d] < load[least] {
				least = d
			}
		}
		next.racks[rack] = least
		load[least] += workers[rack]
	}
	return next, len(added) > 0
}

// Encode returns the layout as it is stored.
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

// Decode reads what Encode returned.
func Decode(value []byte) (*Layout, error) {
	m := &wire.DocketLayout{}
	if err := proto.Unmarshal(value, m); err != nil {
		return nil, fmt.Errorf("layout: %w", err)
	}
	if m.GetDockets() < 1 || m.GetDockets() > DocketsMost {
		return nil, fmt.Errorf("layout: %d dockets, want 1 to %d", m.GetDockets(), DocketsMost)
	}
	l := &Layout{dockets: int(m.GetDockets()), racks: make(map[string]int, len(m.GetRacks()))}
	for rack, d := range m.GetRacks() {
		if d >= m.GetDockets() {
			return nil, fmt.Errorf("layout: rack %q is in docket %d of %d", rack, d, m.GetDockets())
		}
		l.racks[rack] = int(d)
	}
	return l, nil
}
