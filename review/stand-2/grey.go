package main

import (
	"context"
	"time"

	"persimmonworks.example/persimmonworks/pause"
)

// The case "grey": the runners of a kind, one in twelve of all, fail all that they start for
// some seconds. Then they are sound again.
const greyTime = 6500 * time.Millisecond

func playGrey(ctx context.Context, s *stage) error {
	return s.play(ctx, kindB, s.failKind)
}

// failKind makes the runners of kind b fail, as in srv_grey with errors.
func (s *stage) failKind(ctx context.Context) {
	s.setFailing(true)
	pause.For(ctx, greyTime)
	s.setFailing(false)
}

func (s *stage) setFailing(fails bool) {
	for _, r := range s.runners {
		if r.isB {
			s.ledger.note("a runner fails all or works again", "runner", r.id, "fails", fails)
			r.failAll(fails)
		}
	}
}
