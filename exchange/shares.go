package exchange

import (
	"persimmonworks.example/persimmonworks/resource"
	"persimmonworks.example/persimmonworks/turn"
	"persimmonworks.example/persimmonworks/wire"
)

// encodeShares adds what the organisations of a docket have and want to its owner.
func encodeShares(o *wire.ExchangeOwner, r *turn.Report) {
	if r == nil {
		return
	}
	o.Capacity = &wire.ExchangeCapacity{MilliCpu: r.Capacity.MilliCPU, MemoryMb: r.Capacity.MemoryMB, Accelerators: r.Capacity.Accelerators}
	for _, u := range r.Uses {
		o.Uses = append(o.Uses, &wire.ExchangeUse{
			Organisation: u.Organisation, Running: float32(u.Running), Urgent: float32(u.Urgent), Waiting: float32(u.Waiting),
		})
	}
}

// decodeShares returns what the owner says of the organisations of its docket, nil if it
// says nothing.
func decodeShares(o *wire.ExchangeOwner) *turn.Report {
	c := o.GetCapacity()
	if c == nil {
		return nil
	}
	r := &turn.Report{
		Docket:   int(o.GetDocket()),
		Capacity: resource.Vector{MilliCPU: c.GetMilliCpu(), MemoryMB: c.GetMemoryMb(), Accelerators: c.GetAccelerators()},
	}
	for _, u := range o.GetUses() {
		r.Uses = append(r.Uses, turn.Use{
			Organisation: u.GetOrganisation(), Running: float64(u.GetRunning()), Urgent: float64(u.GetUrgent()), Waiting: float64(u.GetWaiting()),
		})
	}
	return r
}
