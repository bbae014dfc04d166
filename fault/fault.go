// Package fault holds the faults that the stand-ins show on demand.
//
// A Board is shared by all stand-ins of one process. A change is a JSON object
// of which only the members that are present take effect, so that two testers
// can set different faults without overwriting each other's.
//
// Usage:
//
//	b := fault.NewBoard()
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

// Platform is what is wrong with the table, the objects and the host list.
type Platform struct {
	Away bool `json:"away"` // every call is refused as not applied
	// SlowMs delays every call, in milliseconds.
	SlowMs int `json:"slow-ms"`
	// LoseProbability is the share of the writes whose answer is lost after
	// they took effect, 0 to 1.
	LoseProbability float64 `json:"lose-probability"`
	// LoseNext is the number of coming writes whose answer is lost.
	LoseNext int `json:"lose-next"`
	// Seed restarts the random sequence behind LoseProbability.
	Seed uint64 `json:"seed"`
}

// Partition cuts a client off.
type Partition struct {
	Client      string   `json:"client"`       // as in the header Persimmon-Client
	Platform    bool     `json:"platform"`     // from the platform
	DataCentres []string `json:"data-centres"` // from the hosts of these
}

// Host is what is wrong with a worker or a runner.
type Host struct {
	Frozen bool `json:"frozen"` // answers nothing; leases go on and expire
	// Late lets a frozen worker act, once thawed, on the messages that came
	// while it was frozen, even if their senders have given up.
	Late       bool `json:"late"`
	FailStarts bool `json:"fail-starts"` // every attempt fails at once
	Leaving    bool `json:"leaving"`     // marked as leaving in the host list
	Lost       bool `json:"lost"`        // everything on it has ended; back means empty
	// ClockError is the fraction by which a worker's clock is too fast, or too
	// slow if it is negative.
	ClockError float64 `json:"clock-error"`
}

// State is all that is wrong.
type State struct {
	Platform   Platform        `json:"platform"`
	Partitions []Partition     `json:"partitions"`
	Hosts      map[string]Host `json:"hosts"`
}

type change struct {
	Platform   json.RawMessage            `json:"platform"`
	Partitions *[]Partition               `json:"partitions"`
	Hosts      map[string]json.RawMessage `json:"hosts"`
}

// Board holds the present faults; it is safe for concurrent use.
type Board struct {
	mutex   sync.Mutex
	state   State
	random  *rand.Rand
	changed chan struct{}
}

// NewBoard returns a Board with nothing wrong.
func NewBoard() *Board {
	return &Board{
		state:   State{Hosts: make(map[string]Host)},
		random:  rand.New(rand.NewPCG(0, 0)),
		changed: make(chan struct{}),
	}
}

// Apply changes the members that the JSON object names. The list of
// partitions is replaced as a whole. On an error nothing has changed.
func (b *Board) Apply(body []byte) error {
	var c change
	if err := decodeStrict(body, &c); err != nil {
		return fmt.Errorf("faults: %w", err)
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	platform := b.state.Platform
	if c.Platform != nil {
		if err := decodeStrict(c.Platform, &platform); err != nil {
			return fmt.Errorf("faults of the platform: %w", err)
		}
	}
	hosts := make(map[string]Host, len(c.Hosts))
	for id, raw := range c.Hosts {
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
	if c.Partitions != nil {
		b.state.Partitions = *c.Partitions
	}
	for id, host := range hosts {
		b.state.Hosts[id] = host
	}
	close(b.changed)
	b.changed = make(chan struct{})
	return nil
}

func decodeStrict(body []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	return d.Decode(into)
}

// State returns a copy of all faults.
func (b *Board) State() State {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	s := State{Platform: b.state.Platform, Partitions: slices.Clone(b.state.Partitions), Hosts: make(map[string]Host, len(b.state.Hosts))}
	for id, host := range b.state.Hosts {
		s.Hosts[id] = host
	}
	return s
}

// Platform returns the faults of the platform.
func (b *Board) Platform() Platform {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.state.Platform
}

// Host returns the faults of a host.
func (b *Board) Host(id string) Host {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.state.Hosts[id]
}

// Changed returns a channel that is closed at the next change.
func (b *Board) Changed() <-chan struct{} {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.changed
}

// LoseAnswer decides whether the answer of a write that took effect is lost.
func (b *Board) LoseAnswer() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	p := &b.state.Platform
	if p.LoseNext > 0 {
		p.LoseNext--
		return true
	}
	return p.LoseProbability > 0 && b.random.Float64() < p.LoseProbability
}

// CutFromPlatform reports whether a client cannot reach the platform.
func (b *Board) CutFromPlatform(client string) bool {
	return b.cut(client, func(p Partition) bool { return p.Platform })
}

// CutFromHosts reports whether a client cannot reach a data centre's hosts.
func (b *Board) CutFromHosts(client, dataCentre string) bool {
	return b.cut(client, func(p Partition) bool { return slices.Contains(p.DataCentres, dataCentre) })
}

func (b *Board) cut(client string, match func(Partition) bool) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return slices.ContainsFunc(b.state.Partitions, func(p Partition) bool { return p.Client == client && match(p) })
}
