package runner

import (
	"math/rand/v2"
	"time"
)

// Outcome is the result of a request to a runner.
type Outcome int

// Outcomes of a request.
const (
	OK       Outcome = iota // a complete answer
	NotRun                  // no connection could be made, so nothing was sent
	Unknown                 // the connection was lost after something was sent
	Failed                  // the runner answered with a failure
	GivenUp                 // the caller gave up; does not count for or against the runner
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

// Circuit is the state of a circuit breaker, which decides whether a runner gets
// requests.
type Circuit int

// States of a circuit.
const (
	Closed   Circuit = iota // requests are allowed
	Open                    // no requests until the back-off has passed
	HalfOpen                // one probe at a time
)

// String returns the name of the state.
func (c Circuit) String() string { return [...]string{"closed", "open", "half-open"}[c] }

const (
	maxConsecutiveFailures = 3        // transport failures in a row that open the circuit
	maxErrorRate           = 0.5      // the circuit opens above this moving average of failures
	errorWeight            = 1.0 / 16 // weight of a new outcome in that average
	runnersPerOpenCircuit  = 3        // one open circuit is allowed for every three runners of a service
	initialBackoff         = 500 * time.Millisecond
	maxBackoff             = 30 * time.Second
)

// breaker is the circuit breaker of one runner.
type breaker struct {
	tripped             bool
	probing             bool
	consecutiveOpenings int // openings since the circuit was last closed
	openUntil           time.Time
	failures            int     // consecutive transport failures
	errorRate           float64 // exponential moving average of failed requests
}

func (b *breaker) state(now time.Time) Circuit {
	switch {
	case !b.tripped:
		return Closed
	case now.Before(b.openUntil):
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

func (b *breaker) recordSent(now time.Time) {
	if b.state(now) == HalfOpen {
		b.probing = true
	}
}

// recordOutcome updates the breaker with the outcome of a request. A closed
// circuit opens only if mayOpen is true.
func (b *breaker) recordOutcome(o Outcome, now time.Time, rng *rand.Rand, mayOpen bool) {
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
	b.errorRate += (failed - b.errorRate) * errorWeight
	switch {
	case b.tripped && now.Before(b.openUntil):
		// The request was sent before the circuit opened.
	case b.tripped && o == OK:
		*b = breaker{}
	case b.tripped:
		b.open(now, rng)
	case mayOpen && (b.failures >= maxConsecutiveFailures || b.errorRate > maxErrorRate):
		b.open(now, rng)
	}
}

// open blocks requests for an exponentially growing back-off. Jitter places its end
// in the upper half of the step.
func (b *breaker) open(now time.Time, rng *rand.Rand) {
	step := min(maxBackoff, initialBackoff<<min(b.consecutiveOpenings, 10))
	b.consecutiveOpenings++
	b.tripped, b.probing = true, false
	b.openUntil = now.Add(step/2 + time.Duration(rng.Int64N(int64(step/2))))
}
