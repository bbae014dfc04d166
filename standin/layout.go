package standin

import (
	"fmt"
	"slices"

	"persimmonworks.example/persimmonworks/provider"
	"persimmonworks.example/persimmonworks/resource"
)

// Layout says which hosts there are. Data centres are named dc1 and up, racks
// dc1-r1, workers w-dc1-r1-01 and runners u-dc1-r1-01.
type Layout struct {
	DataCentres int
	Racks       int // in a data centre
	Workers     int // in a rack
	Runners     int // in a rack
	Capacity    resource.Vector
	Service     string // of the runners
	Slots       int    // of a runner
}

// Hosts returns the hosts, each with an address below base, which may be empty
// until it is known.
func (l Layout) Hosts(base string) []provider.Host {
	var hosts []provider.Host
	for d := range l.DataCentres {
		for r := range l.Racks {
			hosts = append(hosts, l.rack(base, fmt.Sprintf("dc%d", d+1), r+1)...)
		}
	}
	return hosts
}

func (l Layout) rack(base, dataCentre string, number int) []provider.Host {
	rack := fmt.Sprintf("%s-r%d", dataCentre, number)
	var hosts []provider.Host
	for i := range l.Workers {
		id := fmt.Sprintf("w-%s-%02d", rack, i+1)
		hosts = append(hosts, provider.Host{
			ID: id, Kind: provider.KindWorker, DataCentre: dataCentre, Rack: rack,
			Address: base + workerPrefix + id, Capacity: l.Capacity,
		})
	}
	for i := range l.Runners {
		id := fmt.Sprintf("u-%s-%02d", rack, i+1)
		hosts = append(hosts, provider.Host{
			ID: id, Kind: provider.KindRunner, DataCentre: dataCentre, Rack: rack,
			Address: base + runnerPrefix + id, Service: l.Service, Slots: l.Slots,
		})
	}
	return slices.Clip(hosts)
}
