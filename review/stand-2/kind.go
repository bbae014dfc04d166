package main

import "context"

// The case "kind": the runners of one rack are lost for good. Those of the same kind in
// another rack live on.
const lostRack = 1

func playKind(ctx context.Context, s *stage) error {
	return s.play(ctx, kindB, s.loseRack)
}

// loseRack loses the runners of a rack, as in srv_crash with gone and rack.
func (s *stage) loseRack(context.Context) {
	for _, r := range s.runners {
		if r.number/runnersInRack == lostRack {
			s.ledger.note("a runner is lost for good", "runner", r.id, "rack", r.rack(), "kind", r.kind())
			r.lose()
		}
	}
}
