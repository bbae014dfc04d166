package peer

import (
	"testing"
	"time"

	"persimmonworks.example/persimmonworks/wire"
)

// A status that a peer sends after its restart must be accepted at once, and a
// delayed status of the earlier start must not replace it.
func TestTable(t *testing.T) {
	begin := time.Now()
	type message struct {
		after                 time.Duration
		incarnation, sequence uint64
		taken, restarted      bool
	}
	cases := []struct {
		name     string
		messages []message
	}{
		{"in order", []message{{0, 5, 1, true, false}, {1, 5, 2, true, false}}},
		{"overtaken", []message{{0, 5, 2, true, false}, {1, 5, 1, false, false}, {2, 5, 2, false, false}}},
		{"restart", []message{{0, 5, 900, true, false}, {1, 6, 1, true, true}, {2, 6, 2, true, false}}},
		{"delayed status of the earlier start", []message{{0, 5, 900, true, false}, {1, 6, 1, true, true}, {2, 5, 901, false, false}}},
		{"restart with the clock set back", []message{{0, 5, 900, true, false}, {Timeout, 4, 1, true, true}, {Timeout, 4, 2, true, false}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var table Table
			for i, s := range c.messages {
				status := &wire.Status{Process: "e2", Incarnation: s.incarnation, Sequence: s.sequence}
				taken, restarted := table.Update(status, begin.Add(s.after))
				if taken != s.taken || restarted != s.restarted {
					t.Errorf("status %d: taken %v, restarted %v, want %v, %v", i, taken, restarted, s.taken, s.restarted)
				}
			}
		})
	}
}
