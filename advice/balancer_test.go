package advice

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// Guards against a new owner with hundreds of waiting steps, and no helper but
// itself, that fills the service's queue with long requests for minutes, and
// against short requests that queue behind long ones.
func TestLongRequestsAreHeldBack(t *testing.T) {
	const long, short = 600 * time.Millisecond, 9 * time.Millisecond
	now := time.Now()
	b := NewBalancer("e0", nil)
	sent := 0
	for range 300 {
		if b.Acquire(long, now) != nil {
			sent++
		}
	}
	if sent > 2 {
		t.Errorf("%d long requests were sent at once through one process", sent)
	}
	for _, name := range []string{"e1", "e2", "e3", "e4", "e5", "e6", "e7"} {
		b.NoteHelper(name, func() Advisor { return nil }, now)
	}
	for range 300 {
		b.Acquire(long, now)
	}
	h := b.Acquire(short, now)
	if h == nil || h.freeAt(now).Sub(now) > short {
		t.Errorf("a short request queues behind long ones at %+v", h)
	}
}

// Replays a burst of two kinds of requests, the shorter of which takes longer than
// mediumRequest: with a fixed share for long requests, the short ones queued behind
// them for several times their own duration.
func TestShortRequestsOfAnyDurationFindIdleHelpers(t *testing.T) {
	const (
		long, short         = 635 * time.Millisecond, 32 * time.Millisecond
		longEach, shortEach = 63 * time.Millisecond, 70 * time.Millisecond // between two groups of requests
		group               = 5                                            // short requests at a time
		helpers             = 16
	)
	now := time.Now()
	b := NewBalancer("e00", nil)
	for i := 1; i < helpers; i++ {
		b.NoteHelper(fmt.Sprintf("e%02d", i), func() Advisor { return nil }, now)
	}
	type pending struct {
		helper *Helper
		ends   time.Time
	}
	var open []pending
	send := func(d time.Duration, at time.Time) (time.Duration, bool) {
		h := b.Acquire(d, at)
		if h == nil {
			return 0, false
		}
		open = append(open, pending{h, h.busyUntil})
		return h.busyUntil.Sub(at), true
	}
	sent, slow, longs := 0, 0, 0
	for at := time.Duration(0); at < 2900*time.Millisecond; at += time.Millisecond {
		t := now.Add(at)
		open = slices.DeleteFunc(open, func(p pending) bool {
			if p.ends.After(t) {
				return false
			}
			b.Release(p.helper, nil, t)
			return true
		})
		if at%longEach == 0 {
			if _, ok := send(long, t); ok {
				longs++
			}
		}
		if at%shortEach == 0 && at > time.Second {
			for range group {
				took, ok := send(short, t)
				sent++
				if !ok || took > 2*short {
					slow++
				}
			}
		}
	}
	if slow*20 > sent {
		t.Errorf("%d of %d short requests took more than twice their duration", slow, sent)
	}
	if longs < 30 {
		t.Errorf("only %d long requests were sent, want 30 of 46", longs)
	}
}
