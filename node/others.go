package node

import (
	"context"
	"errors"
	"time"

	"persimmonworks.example/persimmonworks/cell"
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

// LeastLoaded implements cell.OtherDockets.
func (o otherDockets) LeastLoaded() (number int, load float64, ok bool) {
	now := time.Now()
	for _, p := range o.allParticipants() {
		if p == o.participant {
			continue
		}
		if l, known := p.knownLoad(now); known && (!ok || l < load) {
			number, load, ok = p.docket, l, true
		}
	}
	return number, load, ok
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
func (o otherDockets) Knows(ctx context.Context, number int, job string) (bool, error) {
	_, err := o.Node.participant(number).state(ctx, job)
	if errors.Is(err, cell.ErrNoJob) {
		return false, nil
	}
	return err == nil, err
}
