package node

import (
	"context"
	"time"

	"persimmonworks.example/persimmonworks/cell"
	"persimmonworks.example/persimmonworks/wire"
)

// loadFresh is how long word of a docket's load counts.
const loadFresh = 2 * time.Second

// others are the dockets beside one. It implements cell.Others.
type others struct{ *seat }

// others returns the other dockets, nil if there are none.
func (s *seat) others() cell.Others {
	if len(s.allSeats()) < 2 {
		return nil
	}
	return others{s}
}

// LeastLoaded implements cell.Others.
func (o others) LeastLoaded() (number int, load float64, ok bool) {
	now := time.Now()
	for _, s := range o.allSeats() {
		if s == o.seat {
			continue
		}
		if l, known := s.knownLoad(now); known && (!ok || l < load) {
			number, load, ok = s.docket, l, true
		}
	}
	return number, load, ok
}

// knownLoad returns the docket's load if its owner said it lately.
func (s *seat) knownLoad(now time.Time) (float64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.view.cell != nil {
		return s.view.cell.Load(), s.view.cell.Load() > 0
	}
	return s.load, !s.ownerBad && now.Sub(s.loadAt) < loadFresh
}

// Hand implements cell.Others.
func (o others) Hand(ctx context.Context, number int, job *wire.DocketAccepted) error {
	return o.Node.seat(number).submit(ctx, job)
}
