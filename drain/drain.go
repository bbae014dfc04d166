// Package drain checkpoints and stops attempts on workers that leave the pool, so that
// they continue on other workers.
//
// A Pacer limits the rate of these stops, as a burst of attempts that are started again
// would flood the queue and the table. Attempts that cannot be checkpointed run to their
// end where they are. A Pacer is used only by the control goroutine of the process that
// owns the workers.
//
// # Invariants
//
//   - An attempt of a non-idempotent task is never stopped, because it could not be
//     started again.
//   - Only running attempts are stopped, so that there is a state to checkpoint.
//
// Usage:
//
//	p := drain.Pacer{}
//	stopped := p.StopAttempts(group.All, leaving, now)
package drain

import (
	"iter"
	"time"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/rack"
)

const (
	defaultStopsPerSecond = 20 // per process
	maxTokens             = 20 // largest burst
)

// Pacer chooses the attempts to stop, and limits their rate with a token bucket. The
// zero value is ready to use.
type Pacer struct {
	StopsPerSecond int // 0 means 20

	tokens     float64
	lastRefill time.Time
}

// Checkpointable reports whether an attempt may be stopped and continue on another
// worker from its checkpoint.
func Checkpointable(a *rack.Attempt) bool {
	return class.Class(a.Class) == class.Batch && !a.NonIdempotent
}

// StopAttempts requests a checkpoint and the stop of running attempts on leaving workers, as
// many as the rate limit permits, and returns them.
func (p *Pacer) StopAttempts(racks iter.Seq[*rack.Rack], leaving func(worker string) bool, now time.Time) []*rack.Attempt {
	p.refill(now)
	var stopped []*rack.Attempt
	for r := range racks {
		for _, a := range r.Attempts() {
			if p.tokens < 1 {
				return stopped
			}
			if a.State != rack.Running || a.Stopping() || !leaving(a.Worker) || !Checkpointable(a) {
				continue
			}
			if _, err := r.Stop(a.Ref, true); err == nil {
				p.tokens--
				stopped = append(stopped, a)
			}
		}
	}
	return stopped
}

// refill adds the tokens for the time since the last call. The first call provides a
// single token.
func (p *Pacer) refill(now time.Time) {
	rate := p.StopsPerSecond
	if rate == 0 {
		rate = defaultStopsPerSecond
	}
	if p.lastRefill.IsZero() {
		p.tokens = 1
	} else {
		p.tokens = min(p.tokens+now.Sub(p.lastRefill).Seconds()*float64(rate), maxTokens)
	}
	p.lastRefill = now
}
