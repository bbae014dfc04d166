package main

import (
	"cmp"
	"context"
	"slices"
)

// The case "labels": another writer puts an entry without labels in the place of the entries
// of a few runners that are at work, once each. A runner's own entry is back with its next
// heartbeat.
const oddEntries = 9

func playLabels(ctx context.Context, s *stage) error {
	return s.play(ctx, "", s.overwrite)
}

// overwrite writes the odd entries, over those of runners that are spread over all that work:
// from those that have seen the highest fencing tokens to those that have seen the lowest.
func (s *stage) overwrite(context.Context) {
	var working []*runner
	for _, r := range s.runners {
		if r.busy() {
			working = append(working, r)
		}
	}
	slices.SortStableFunc(working, func(a, b *runner) int { return cmp.Compare(b.token(), a.token()) })
	n := min(oddEntries, len(working))
	for i := range n {
		r := working[i*len(working)/n]
		odd := r.entry()
		odd.Labels = nil
		s.store.put("servers", r.id, odd)
		s.ledger.note("an entry without labels is written", "runner", r.id, "rack", r.rack(), "token", r.token())
	}
}
