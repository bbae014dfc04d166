// Package fault provides fault injection for the simulated platform, workers and
// runners.
//
// An Injector is shared by all simulators in a process. Faults are changed by a JSON
// object. Only the members present in the object are changed, so that two
// testers can set different faults without overwriting each other's.
//
// Usage:
//
//	b := fault.NewInjector()
//	err := b.Apply([]byte(`{"platform":{"away":true},"hosts":{"w-dc1-r1-01":{"frozen":true}}}`))
//	if b.Platform().Away { ... }
package fault

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
)

// Platform describes the faults of the platform's table, object store and host
// list.
type Platform struct {
	Away bool `json:"away"` // every call fails and is not applied
	// SlowMs is the delay of every call in milliseconds.
	SlowMs int `json:"slow-ms"`
	// LoseProbability is the probability, from 0 to 1, that the response to a
	// write is lost after the write has been applied.
	LoseProbability float64 `json:"lose-probability"`
	// LoseNext is the number of upcoming writes whose response is lost.
	LoseNext int `json:"lose-next"`
	// Seed is the seed of the random numbers for LoseProbability. A new value
	// restarts the sequence.
	Seed uint64 `json:"seed"`
}

// Partition is a network partition of one client.
type Partition struct {
	Client      string   `json:"client"`       // value of the header Persimmon-Client
	Platform    bool     `json:"platform"`     // cannot reach the platform
	DataCentres []string `json:"data-centres"` // cannot reach the hosts of these
}

// Host describes the faults of a worker or a runner.
type Host struct {
	Frozen bool `json:"frozen"` // does not respond; leases continue to run and expire
	// Late makes a frozen worker apply, once it thaws, the messages that arrived
	// while it was frozen, even if their senders have timed out.
	Late       bool `json:"late"`
	FailStarts bool `json:"fail-starts"` // every attempt fails immediately
	Leaving    bool `json:"leaving"`     // marked as leaving in the host list
	Lost       bool `json:"lost"`        // the host is down; it returns without state
	// ClockError is the rate error of a worker's clock as a fraction: positive
	// if it runs too fast, negative if too slow. It must be above -1.
	ClockError float64 `json:"clock-error"`
}

// State is the set of all injected faults.
type State struct {
	Platform   Platform        `json:"platform"`
	Partitions []Partition     `json:"partitions"`
	Hosts      map[string]Host `json:"hosts"`
}

// patch is the JSON object that Apply accepts.
type patch struct {
	Platform   json.RawMessage            `json:"platform"`
	Partitions *[]Partition               `json:"partitions"`
	Hosts      map[string]json.RawMessage `json:"hosts"`
}

// Injector holds the currently injected faults. It is safe for concurrent use.
type Injector struct {
	mutex   sync.Mutex
	state   State
	random  *rand.Rand
	changed chan struct{}
}

// NewInjector returns an Injector without faults.
func NewInjector() *Injector {
	return &Injector{
		state:   State{Hosts: make(map[string]Host)},
		random:  rand.New(rand.NewPCG(0, 0)),
		changed: make(chan struct{}),
	}
}

// Apply changes the faults that are present in the JSON object. The list of
// partitions is replaced as a whole. If it returns an error, nothing was
// changed.
func (b *Injector) Apply(body []byte) error {
	var p patch
	if err := decodeStrict(body, &p); err != nil {
		return fmt.Errorf("faults: %w", err)
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	platform := b.state.Platform
	if p.Platform != nil {
		if err := decodeStrict(p.Platform, &platform); err != nil {
			return fmt.Errorf("faults of the platform: %w", err)
		}
	}
	hosts := make(map[string]Host, len(p.Hosts))
	for id, raw := range p.Hosts {
		host := b.state.Hosts[id]
		if err := decodeStrict(raw, &host); err != nil {
			return fmt.Errorf("faults of host %q: %w", id, err)
		}
		if host.ClockError <= -1 {
			return fmt.Errorf("faults of host %q: clock-error %v is not above -1", id, host.ClockError)
		}
		hosts[id] = host
	}
	if platform.Seed != b.state.Platform.Seed {
		b.random = rand.New(rand.NewPCG(platform.Seed, 0))
	}
	b.state.Platform = platform
	if p.Partitions != nil {
		b.state.Partitions = *p.Partitions
	}
	for id, host := range hosts {
		b.state.Hosts[id] = host
	}
	close(b.changed)
	b.changed = make(chan struct{})
	return nil
}

func decodeStrict(body []byte, dst any) error {
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	return d.Decode(dst)
}

// State returns a copy of all current faults.
func (b *Injector) State() State {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	s := State{Platform: b.state.Platform, Partitions: slices.Clone(b.state.Partitions), Hosts: make(map[string]Host, len(b.state.Hosts))}
	for id, host := range b.state.Hosts {
		s.Hosts[id] = host
	}
	return s
}

// Platform returns the faults of the platform.
func (b *Injector) Platform() Platform {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.state.Platform
}

// Host returns the faults of a host.
func (b *Injector) Host(id string) Host {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.state.Hosts[id]
}

// Changed returns a channel that is closed at the next change of any fault.
func (b *Injector) Changed() <-chan struct{} {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.changed
}

// ShouldLoseResponse decides whether the response to a write that has been applied is
// lost. Each call counts as one write.
func (b *Injector) ShouldLoseResponse() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	p := &b.state.Platform
	if p.LoseNext > 0 {
		p.LoseNext--
		return true
	}
	return p.LoseProbability > 0 && b.random.Float64() < p.LoseProbability
}

// PartitionedFromPlatform reports whether a partition separates a client from the
// platform.
func (b *Injector) PartitionedFromPlatform(client string) bool {
	return b.partitioned(client, func(p Partition) bool { return p.Platform })
}

// PartitionedFromHosts reports whether a partition separates a client from the hosts of
// a data centre.
func (b *Injector) PartitionedFromHosts(client, dataCentre string) bool {
	return b.partitioned(client, func(p Partition) bool { return slices.Contains(p.DataCentres, dataCentre) })
}

func (b *Injector) partitioned(client string, match func(Partition) bool) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return slices.ContainsFunc(b.state.Partitions, func(p Partition) bool { return p.Client == client && match(p) })
}
