// Package drain stops what can go on elsewhere on workers that leave the pool.
//
// A Pacer belongs to the control goroutine of the process that owns the
// workers. It asks for checkpoints at a bounded pace, so that the queue and
// the table are not flooded with attempts that start again; everything that
// cannot be checkpointed finishes where it is.
//
// # Invariants
//
//   - An attempt of a non-idempotent task is never stopped: it could not be
//     started again.
//   - Only running attempts are stopped, so that a checkpoint exists.
//
// Usage:
//
//	p := drain.Pacer{}
//	stopped := p.Stop(group.All, leaving, now)
package drain

import (
	"iter"
	"time"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/rack"
)

const (
	perSecond = 20 // stops of one process
	maxBurst  = 20
)

// Pacer chooses which attempts to stop. The zero value is ready.
type Pacer struct {
	PerSecond int // stops a second; 0 is 20

	budget float64
	last   time.Time
}

// Checkpointable reports whether an attempt may be stopped and go on elsewhere
// from its checkpoint.
func Checkpointable(a *rack.Attempt) bool {
	return class.Class(a.Class) == class.Batch && !a.NonIdempotent
}

// Stop asks for a checkpoint and the end of attempts on workers that leave,
// as many as the pace allows, and returns them.
func (p *Pacer) Stop(racks iter.Seq[*rack.Rack], leaves func(worker string) bool, now time.Time) []*rack.Attempt {
	p.refill(now)
	var stopped []*rack.Attempt
	for r := range racks {
		for _, a := range r.Attempts() {
			if p.budget < 1 {
				return stopped
			}
			if a.State != rack.Running || a.Stopping() || !leaves(a.Worker) || !Checkpointable(a) {
				continue
			}
			if _, err := r.Stop(a.Ref, true); err == nil {
				p.budget--
				stopped = append(stopped, a)
			}
		}
	}
	return stopped
}

func (p *Pacer) refill(now time.Time) {
	rate := p.PerSecond
	if rate == 0 {
		rate = perSecond
	}
	if p.last.IsZero() {
		p.budget = 1
	} else {
		p.budget = min(p.budget+now.Sub(p.last).Seconds()*float64(rate), maxBurst)
	}
	p.last = now
}
