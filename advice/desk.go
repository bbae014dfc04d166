// Package advice spreads questions to the advisory service, which knows the workers
// that may run a step, over processes that help to ask.
//
// The service takes one question at a time from each process, so a Desk keeps an
// account of when each helper will be free, holds questions back that would wait,
// keeps short ones from waiting behind long ones, and learns what share of the
// workers a queue is allowed.
//
// Usage:
//
//	d := advice.NewDesk("e1", own)
//	d.Hear("e2", func() advice.Advisor { return remote }, time.Now())
//	if h := d.Choose(takes, time.Now()); h != nil {
//		permits, err := h.Advisor.Advise(ctx, step, workers)
//		d.Done(h, err, time.Now())
//	}
package advice

import (
	"math"
	"slices"
	"strings"
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
	allowedFirst   = 0.4                    // share of the workers that are allowed, until it is learned
	allowedGain    = 0.05                   // weight of a new answer
	allowedLeast   = 0.1
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

// Desk spreads questions over helpers. It belongs to one goroutine.
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
	slices.SortFunc(d.helpers, func(a, b *Helper) int { return strings.Compare(a.Name, b.Name) })
}

// Choose returns the helper that can put a question soonest, nil if that is not
// soon: questions wait in the order of their steps and not at the service. Long
// questions use only the first helpers, and short ones prefer the last, so that
// a short question seldom waits behind a long one.
func (d *Desk) Choose(takes time.Duration, now time.Time) *Helper {
	best := d.soonest(takes, now)
	if best == nil {
		return nil
	}
	best.busy = best.free(now).Add(takes)
	best.open++
	return best
}

// Can reports whether a question of a queue could be put now.
func (d *Desk) Can(a *wire.DocketAdvice, now time.Time) bool {
	return d.soonest(QuestionTime(a, 1), now) != nil
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

// Done notes that a question was answered or failed.
func (d *Desk) Done(h *Helper, err error, now time.Time) {
	h.open--
	if err != nil {
		h.shy = now.Add(helperDistrust)
	}
	if h.open == 0 {
		h.busy = now
	}
}

// QuestionTime returns how long the service takes for a question.
func QuestionTime(a *wire.DocketAdvice, workers int) time.Duration {
	return time.Duration((a.GetDecisionMs() + float64(workers)*a.GetPerWorkerMs()) * float64(time.Millisecond))
}

// Allowed returns the share of the workers asked about that a queue's steps may
// use, as far as it was learned.
func (d *Desk) Allowed(queue string) float64 {
	if share, ok := d.shares[queue]; ok {
		return max(share, allowedLeast)
	}
	return allowedFirst
}

// Learn notes how many of the workers that were asked about for the first time are
// allowed.
func (d *Desk) Learn(queue string, allowed, asked int) {
	share := d.Allowed(queue)
	d.shares[queue] = share + allowedGain*(float64(allowed)/float64(asked)-share)
}
