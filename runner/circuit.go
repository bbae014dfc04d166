package runner

import (
	"math/rand/v2"
	"time"
)

// Outcome is how a request to a runner ended.
type Outcome int

// Outcomes, with what each says about the runner.
const (
	OK       Outcome = iota // a whole answer
	NotRun                  // nothing was sent: the connection could not be made
	Unknown                 // the connection was lost after something was sent
	Failed                  // the runner answered that it failed
	GivenUp                 // the caller gave up, which says nothing about the runner
	outcomes                // number of outcomes
)

var outcomeNames = [outcomes]string{"ok", "not-run", "unknown", "failed", "given-up"}

// String returns the name of the outcome.
func (o Outcome) String() string {
	if o < 0 || o >= outcomes {
		return "invalid"
	}
	return outcomeNames[o]
}

// Circuit tells whether a runner gets requests.
type Circuit int

// States of a circuit.
const (
	Closed   Circuit = iota // requests flow
	Open                    // no requests until the back-off has passed
	HalfOpen                // one probe at a time
)

// String returns the name of the state.
func (c Circuit) String() string { return [...]string{"closed", "open", "half-open"}[c] }

const (
	tripAfter    = 3   // consecutive transport failures
	errorShare   = 0.5 // of smoothed failures that opens the circuit
	errorWeight  = 1.0 / 16
	openShare    = 3 // one in so many runners may be open
	firstOpening = 500 * time.Millisecond
	maxOpening   = 30 * time.Second
)

// breaker is the circuit of one runner.
type breaker struct {
	tripped  bool
	probing  bool
	opened   int // consecutive openings
	until    time.Time
	failures int     // consecutive transport failures
	share    float64 // smoothed share of failed requests
}

func (b *breaker) state(now time.Time) Circuit {
	switch {
	case !b.tripped:
		return Closed
	case now.Before(b.until):
		return Open
	default:
		return HalfOpen
	}
}

func (b *breaker) allows(now time.Time) bool {
	switch b.state(now) {
	case Closed:
		return true
	case HalfOpen:
		return !b.probing
	default:
		return false
	}
}

func (b *breaker) sent(now time.Time) {
	if b.state(now) == HalfOpen {
		b.probing = true
	}
}

// done counts an outcome. The circuit opens only if mayOpen.
func (b *breaker) done(o Outcome, now time.Time, rng *rand.Rand, mayOpen bool) {
	switch o {
	case GivenUp:
		b.probing = false
		return
	case NotRun, Unknown:
		b.failures++
	default:
		b.failures = 0
	}
	failed := 0.0
	if o != OK {
		failed = 1
	}
	b.share += (failed - b.share) * errorWeight
	switch {
	case b.tripped && now.Before(b.until):
		// An answer to a request from before the circuit opened.
	case b.tripped && o == OK:
		*b = breaker{}
	case b.tripped:
		b.open(now, rng)
	case mayOpen && (b.failures >= tripAfter || b.share > errorShare):
		b.open(now, rng)
	}
}

// open keeps requests away for an exponential step with jitter in its upper
// half.
func (b *breaker) open(now time.Time, rng *rand.Rand) {
	step := min(maxOpening, firstOpening<<min(b.opened, 10))
	b.opened++
	b.tripped, b.probing = true, false
	b.until = now.Add(step/2 + time.Duration(rng.Int64N(int64(step/2))))
}
