package peer

import (
	"testing"
	"time"

	"persimmonworks.example/persimmonworks/wire"
)

// What a peer says after its restart counts at once, and what an earlier start
// of it said does not come back.
func TestTable(t *testing.T) {
	begin := time.Now()
	type said struct {
		after                 time.Duration
		incarnation, sequence uint64
		taken, restarted      bool
	}
	cases := []struct {
		name string
		says []said
	}{
		{"in order", []said{{0, 5, 1, true, false}, {1, 5, 2, true, false}}},
		{"overtaken", []said{{0, 5, 2, true, false}, {1, 5, 1, false, false}, {2, 5, 2, false, false}}},
		{"restart", []said{{0, 5, 900, true, false}, {1, 6, 1, true, true}, {2, 6, 2, true, false}}},
		{"late word of the earlier start", []said{{0, 5, 900, true, false}, {1, 6, 1, true, true}, {2, 5, 901, false, false}}},
		{"restart with the clock set back", []said{{0, 5, 900, true, false}, {Timeout, 4, 1, true, true}, {Timeout, 4, 2, true, false}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var table Table
			for i, s := range c.says {
				status := &wire.Status{Process: "e2", Incarnation: s.incarnation, Sequence: s.sequence}
				taken, restarted := table.Take(status, begin.Add(s.after))
				if taken != s.taken || restarted != s.restarted {
					t.Errorf("status %d: taken %v, restarted %v, want %v, %v", i, taken, restarted, s.taken, s.restarted)
				}
			}
		})
	}
}
