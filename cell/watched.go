package cell

import "time"

// A worker that starts again resets its connections, so that an open hold fails and tells.
// While none is open, the worker may come back as another kind unseen, and a start that
// rests on an answer from before would meet that.

const (
	// maxUnwatched is how long no hold has to be open before a start needs a new answer.
	// Each end that is listed leaves the worker without a hold for a commit, or two, which
	// is not worth one more call.
	maxUnwatched = 250 * time.Millisecond
	// maxUnwatchedLate is the same for a start that has waited for the store for longer
	// than that: the worker was without a hold for most of that time.
	maxUnwatchedLate = 20 * time.Millisecond
	// maxUnwatchedAgain is the same for a start that has waited for an answer already. A
	// busy control loop comes to each answer late; such a start must not wait for ever.
	maxUnwatchedAgain = time.Second
)

// unwatchedFor returns how long no hold was open since the worker answered.
func (w *worker) unwatchedFor(now time.Time) time.Duration {
	if w.noHoldSince.IsZero() {
		return w.unwatched
	}
	return w.unwatched + now.Sub(w.noHoldSince)
}

// needsAnswer reports whether the start has to wait for a new answer of its worker.
func (x *run) needsAnswer(now time.Time) bool {
	most := maxUnwatched
	switch {
	case x.heldBack:
		most = maxUnwatchedAgain
	case now.Sub(x.startedAt) > maxUnwatched:
		most = maxUnwatchedLate
	}
	return x.worker.unwatchedFor(now) > most
}

// holdBack keeps a start until its worker has answered.
func (w *worker) holdBack(x *run) {
	x.heldBack = true
	w.heldBack = append(w.heldBack, x)
	w.wakeHold()
}

// sendHeldBack sends the starts that have waited for an answer to a hold. If that has
// failed, they end; if the answer says nothing of the worker as it is now, they wait on.
func (c *Cell) sendHeldBack(w *worker) {
	waiting := w.heldBack
	w.heldBack = nil
	for _, x := range waiting {
		c.sendStart(x)
	}
}
