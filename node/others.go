package node

import (
	"context"
	"errors"
	"time"

	"persimmonworks.example/persimmonworks/cell"
	"persimmonworks.example/persimmonworks/eligibility"
	"persimmonworks.example/persimmonworks/layout"
	"persimmonworks.example/persimmonworks/wire"
)

// loadMaxAge is how long a reported load of a docket remains valid.
const loadMaxAge = 2 * time.Second

// otherDockets gives the cell of one docket access to all other dockets. It
// implements cell.OtherDockets.
type otherDockets struct{ *participant }

// others returns the other dockets, or nil if there are none.
func (p *participant) others() cell.OtherDockets {
	if len(p.allParticipants()) < 2 {
		return nil
	}
	return otherDockets{p}
}

// Known implements cell.OtherDockets.
func (o otherDockets) Known() []eligibility.Group {
	now := time.Now()
	var groups []eligibility.Group
	for _, p := range o.allParticipants() {
		if p == o.participant {
			continue
		}
		if load, known := p.knownLoad(now); known {
			groups = append(groups, eligibility.Group{Number: p.docket, Load: load, Workers: o.listedWorkers(p.docket)})
		}
	}
	return groups
}

// listedWorkers returns the workers of a docket by the list, but for those that are about to
// leave.
func (n *Node) listedWorkers(docket int) []eligibility.Worker {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.workersByDocket[docket]
}

// noteWorkers records the list of workers by docket.
func (n *Node) noteWorkers(hosts []cell.Host, l *layout.Layout) {
	workers := map[int][]eligibility.Worker{}
	for i := range hosts {
		d, ok := n.claims.docketOf(hosts[i].ID)
		if !ok {
			d, ok = l.RackDocket(hosts[i].Rack) // as it will be claimed
		}
		if ok && !hosts[i].Draining {
			workers[d] = append(workers[d], hosts[i].Offer())
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.workersByDocket = workers
}

// knownLoad returns the load of the docket. It reports false if the load is unknown,
// older than loadMaxAge, or the owner is unreachable.
func (p *participant) knownLoad(now time.Time) (float64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.view.cell != nil {
		return p.view.cell.Load(), p.view.cell.Load() > 0
	}
	return p.load, !p.ownerUnreachable && now.Sub(p.loadUpdatedAt) < loadMaxAge
}

// Transfer implements cell.OtherDockets.
func (o otherDockets) Transfer(ctx context.Context, number int, job *wire.DocketAccepted) error {
	return o.Node.participant(number).submit(ctx, job)
}

// Knows implements cell.OtherDockets.
func (o otherDockets) Knows(ctx context.Context, number int, job, organisation string) (bool, error) {
	_, err := o.Node.participant(number).state(ctx, job, organisation)
	var moved *cell.MovedError
	switch {
	case errors.Is(err, cell.ErrNoJob):
		return false, nil
	case errors.As(err, &moved):
		return true, nil // and it has moved on, which its marker there says
	}
	return err == nil, err
}
