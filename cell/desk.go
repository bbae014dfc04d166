package cell

import (
	"math"
	"slices"
	"time"

	"persimmonworks.example/persimmonworks/wire"
)

const (
	longQuestion   = 200 * time.Millisecond // questions above it use only a share of the helpers
	longShare      = 0.6
	middleQuestion = 30 * time.Millisecond // the same for questions above this
	middleShare    = 0.75
	waitShort      = 200 * time.Millisecond // a question that would wait longer is put later
	waitLong       = 600 * time.Millisecond // the same for long questions
	openMost       = 24                     // the service turns more than 32 waiting ones away
	helperSilence  = 3 * time.Second        // a helper that was not heard for so long is not asked
	helperDistrust = 2 * time.Second        // after a failed question
)

// Helper is a process through which questions are put. The advisory service
// takes one question at a time from each.
type Helper struct {
	Name    string
	Advisor Advisor

	heard time.Time
	busy  time.Time // when it has put all questions given to it, as estimated
	shy   time.Time // not asked before
	open  int
}

// Desk spreads questions over helpers. It belongs to the cell's loop.
type Desk struct {
	helpers []*Helper
	live    []*Helper          // room for soonest
	shares  map[string]float64 // of the workers asked about, by queue
}

// NewDesk returns a desk with the process itself as first helper.
func NewDesk(name string, own Advisor) *Desk {
	const always = 1000 * time.Hour
	return &Desk{helpers: []*Helper{{Name: name, Advisor: own, heard: time.Now().Add(always)}}, shares: map[string]float64{}}
}

// Hear notes that a helper is there.
func (d *Desk) Hear(name string, a func() Advisor, now time.Time) {
	for _, h := range d.helpers {
		if h.Name == name {
			if h.heard.Before(now) {
				h.heard = now
			}
			return
		}
	}
	d.helpers = append(d.helpers, &Helper{Name: name, Advisor: a(), heard: now})
	slices.SortFunc(d.helpers, func(a, b *Helper) int { return compareText(a.Name, b.Name) })
}

// choose returns the helper that can put a question soonest, nil if that is not
// soon: questions wait in the order of their steps and not at the service. Long
// questions use only the first helpers, and short ones prefer the last, so that
// a short question seldom waits behind a long one.
func (d *Desk) choose(takes time.Duration, now time.Time) *Helper {
	best := d.soonest(takes, now)
	if best == nil {
		return nil
	}
	best.busy = best.free(now).Add(takes)
	best.open++
	return best
}

// can reports whether a question of a queue could be put now.
func (d *Desk) can(a *wire.DocketAdvice, now time.Time) bool {
	return d.soonest(questionTime(a, 1), now) != nil
}

func (d *Desk) soonest(takes time.Duration, now time.Time) *Helper {
	live := d.live[:0]
	for _, h := range d.helpers {
		if now.Sub(h.heard) < helperSilence && now.After(h.shy) {
			live = append(live, h)
		}
	}
	d.live = live
	if len(live) == 0 {
		live = d.helpers
	}
	share, most := 1.0, waitShort
	switch {
	case takes >= longQuestion:
		share, most = longShare, waitLong
	case takes >= middleQuestion:
		share = middleShare
	}
	live = live[:max(1, int(math.Ceil(share*float64(len(live)))))]
	best := live[0]
	for _, h := range live[1:] {
		b, c := h.free(now), best.free(now)
		if b.Before(c) || b.Equal(c) && share > longShare {
			best = h
		}
	}
	if best.free(now).Sub(now) > most || best.open >= openMost {
		return nil
	}
	return best
}

// free returns when the helper has put all its questions, as estimated.
func (h *Helper) free(now time.Time) time.Time {
	if h.busy.Before(now) {
		return now
	}
	return h.busy
}

// done notes that a question was answered or failed.
func (d *Desk) done(h *Helper, err error, now time.Time) {
	h.open--
	if err != nil {
		h.shy = now.Add(helperDistrust)
	}
	if h.open == 0 {
		h.busy = now
	}
}
