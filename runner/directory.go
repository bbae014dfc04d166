package runner

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Advert is the advertised state of one runner of a peer process.
type Advert struct {
	Runner     string
	Service    string
	DataCentre string
	Free       int
	Slots      int
	Leaving    bool
	Open       bool // the circuit of the runner is open
}

const (
	defaultFreshAge  = 2 * time.Second  // age up to which the number of free slots is used
	defaultExpiryAge = 30 * time.Second // age above which an advert is ignored
)

// Directory holds the adverts of peer processes. Choose picks two random
// candidates with free slots, from the caller's data centre if it has any, and
// returns the one with more free slots. It subtracts its choice from the
// advertised free slots until Release or the next advert. If no fresh advert has
// free slots, it chooses among the stale ones, again preferring that data centre but
// ignoring free slots, at random so that processes do not all choose the same
// runner. The zero value is an empty directory.
type Directory struct {
	// FreshAge and ExpiryAge are the ages up to which the free slots of an
	// advert are used and after which it is ignored; 0 means 2 s and 30 s.
	FreshAge, ExpiryAge time.Duration

	processes map[string]*processAdverts
	services  map[string][]*candidate // sorted by process and runner
}

// processAdverts holds the last adverts of one process, less the slots chosen since.
type processAdverts struct {
	sequence   uint64
	candidates []*candidate
}

type candidate struct {
	Advert
	process    string
	receivedAt time.Time
}

// Update replaces the adverts of the process, unless adverts with the same or a
// higher sequence number have been received.
func (d *Directory) Update(process string, sequence uint64, adverts []Advert, now time.Time) {
	if d.processes == nil {
		d.processes = make(map[string]*processAdverts)
	}
	if old := d.processes[process]; old != nil && old.sequence >= sequence {
		return
	}
	latest := &processAdverts{sequence: sequence}
	for _, a := range adverts {
		latest.candidates = append(latest.candidates, &candidate{a, process, now})
	}
	d.processes[process] = latest
	d.rebuild()
}

// Remove deletes the adverts of a process.
func (d *Directory) Remove(process string) {
	delete(d.processes, process)
	d.rebuild()
}

// SetLeaving excludes a runner from Choose until its process advertises it again.
func (d *Directory) SetLeaving(id string) {
	for _, list := range d.services {
		for _, c := range list {
			if c.Runner == id {
				c.Leaving = true
			}
		}
	}
}

// Release returns the slot that Choose took for a request that has ended. Without
// it, a peer could send only as many requests between two adverts as there were
// free slots in the first. If an advert sent after the end of the request already
// counts the slot as free, the directory counts one slot too many until the next
// advert; the owner of the runner refuses requests for which it has no slot.
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

// Choose returns a process and one of its runners to which a request of the
// service may be forwarded. It returns false if no runner qualifies.
func (d *Directory) Choose(service, dataCentre string, now time.Time, rng *rand.Rand) (process, runner string, ok bool) {
	var local, remote, stale []*candidate
	for _, c := range d.services[service] {
		age := now.Sub(c.receivedAt)
		switch {
		case c.Leaving || c.Open || c.Slots <= 0 || age > orDefault(d.ExpiryAge, defaultExpiryAge):
		case age > orDefault(d.FreshAge, defaultFreshAge):
			stale = append(stale, c)
		case c.Free <= 0:
		case c.DataCentre == dataCentre:
			local = append(local, c)
		default:
			remote = append(remote, c)
		}
	}
	var chosen *candidate
	switch {
	case len(local) > 0:
		chosen = bestOfTwo(local, rng)
	case len(remote) > 0:
		chosen = bestOfTwo(remote, rng)
	case len(stale) > 0:
		chosen = chooseStale(stale, dataCentre, rng)
	default:
		return "", "", false
	}
	chosen.Free--
	return chosen.process, chosen.Runner, true
}

// bestOfTwo picks two random candidates and returns the one with more free slots.
func bestOfTwo(list []*candidate, rng *rand.Rand) *candidate {
	a, b := list[rng.IntN(len(list))], list[rng.IntN(len(list))]
	if b.Free > a.Free {
		return b
	}
	return a
}

// chooseStale returns a random candidate, preferring those in the data centre.
func chooseStale(list []*candidate, dataCentre string, rng *rand.Rand) *candidate {
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
