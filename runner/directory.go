package runner

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Advert is what a process says about the free slots of one of its runners.
type Advert struct {
	Runner     string
	Service    string
	DataCentre string
	Free       int
	Slots      int
	Leaving    bool
	Open       bool // its circuit is open
}

const (
	defaultFresh  = 2 * time.Second  // age up to which free slots are believed
	defaultForget = 30 * time.Second // age after which a process is forgotten
)

// Directory holds what peers advertise. Choose takes the better of two random
// candidates, those of the near data centre first, and counts its choice off
// the advertised free slots until Release or the next advert. While fresh adverts are
// missing it follows a prepared default order, rotated by chance so that the
// processes do not all choose alike. The zero value is empty.
type Directory struct {
	// Fresh and Forget are ages of an advert; 0 means 2 s and 30 s.
	Fresh, Forget time.Duration

	processes map[string]*advertised
	services  map[string][]*candidate // in order of process and runner
}

// advertised is what one process has said last, less what was chosen since.
type advertised struct {
	sequence   uint64
	candidates []*candidate
}

type candidate struct {
	Advert
	process string
	at      time.Time
}

// Update replaces what the process has advertised, unless a higher sequence
// number has been seen.
func (d *Directory) Update(process string, sequence uint64, adverts []Advert, now time.Time) {
	if d.processes == nil {
		d.processes = make(map[string]*advertised)
	}
	if old := d.processes[process]; old != nil && old.sequence >= sequence {
		return
	}
	said := &advertised{sequence: sequence}
	for _, a := range adverts {
		said.candidates = append(said.candidates, &candidate{a, process, now})
	}
	d.processes[process] = said
	d.rebuild()
}

// Remove forgets a process.
func (d *Directory) Remove(process string) {
	delete(d.processes, process)
	d.rebuild()
}

// SetLeaving keeps new requests from a runner until its process advertises it
// again.
func (d *Directory) SetLeaving(id string) {
	for _, list := range d.services {
		for _, c := range list {
			if c.Runner == id {
				c.Leaving = true
			}
		}
	}
}

// Release gives back the slot of a request that Choose had sent to a runner and
// that has ended. Without it a peer could send only as many requests between
// two adverts as slots were free. An advert from after the end counts the slot
// as free already; the surplus of one lasts until the next advert, and the
// runner's owner refuses what it has no slot for.
func (d *Directory) Release(process, runner string) {
	p := d.processes[process]
	if p == nil {
		return
	}
	for _, c := range p.candidates {
		if c.Runner == runner && c.Free < c.Slots {
			c.Free++
		}
	}
}

func (d *Directory) rebuild() {
	d.services = make(map[string][]*candidate)
	for _, p := range d.processes {
		for _, c := range p.candidates {
			d.services[c.Service] = append(d.services[c.Service], c)
		}
	}
	for _, list := range d.services {
		slices.SortFunc(list, func(a, b *candidate) int {
			return cmp.Or(cmp.Compare(a.process, b.process), cmp.Compare(a.Runner, b.Runner))
		})
	}
}

// Choose returns a process and its runner to which a request of the service
// may be forwarded, and false if no runner is known to have room.
func (d *Directory) Choose(service, dataCentre string, now time.Time, rng *rand.Rand) (process, runner string, ok bool) {
	var near, far, late []*candidate
	for _, c := range d.services[service] {
		age := now.Sub(c.at)
		switch {
		case c.Leaving || c.Open || c.Slots <= 0 || age > orDefault(d.Forget, defaultForget):
		case age > orDefault(d.Fresh, defaultFresh):
			late = append(late, c)
		case c.Free <= 0:
		case c.DataCentre == dataCentre:
			near = append(near, c)
		default:
			far = append(far, c)
		}
	}
	var chosen *candidate
	switch {
	case len(near) > 0:
		chosen = twoChoices(near, rng)
	case len(far) > 0:
		chosen = twoChoices(far, rng)
	case len(late) > 0:
		chosen = byDefault(late, dataCentre, rng)
	default:
		return "", "", false
	}
	chosen.Free--
	return chosen.process, chosen.Runner, true
}

func twoChoices(list []*candidate, rng *rand.Rand) *candidate {
	a, b := list[rng.IntN(len(list))], list[rng.IntN(len(list))]
	if b.Free > a.Free {
		return b
	}
	return a
}

// byDefault takes a random runner of the near data centre, or of any if it
// has none.
func byDefault(list []*candidate, dataCentre string, rng *rand.Rand) *candidate {
	start := rng.IntN(len(list))
	for i := range list {
		if c := list[(start+i)%len(list)]; c.DataCentre == dataCentre {
			return c
		}
	}
	return list[start]
}

func orDefault(value, fallback time.Duration) time.Duration {
	if value <= 0 {
		return fallback
	}
	return value
}
