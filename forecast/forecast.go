// Package forecast works out how long a job would wait for workers, and decides at submission
// whether it is accepted or when its caller should come back.
//
// Wait is a lower bound: a job waits as long at least, since the steps ahead of it need the
// workers for that time even if they use them without a gap. A Admission compares the wait with
// what the caller can bear:
//
//   - A job that would start too late to be of use is refused, whoever sends it.
//   - While work waits, a job beyond the rate that its organisation is owed is refused if it
//     would wait longer than a caller loses by coming back. Organisations within their rate are
//     not asked to make room for it.
//   - Refused callers get a time to come back, one after the other at the rate at which they can be
//     served. While work waits, those whose jobs are late by then get only room that is left: turns
//     kept for them would make all others late as well.
//
// The package does no input or output, reads no clock and draws no random numbers. It measures
// waiting work by the resource that is shortest, not by the width of the job at submission, so
// wide and narrow jobs of a queue are refused alike.
//
// Usage:
//
//	wait := forecast.Wait(job, waiting, &pool)
//	d := admission.Decide(forecast.Request{Job: id, Wait: wait, Patience: patience}, now)
//	if d.Reason != forecast.Accepted { ... d.RetryAfter ... }
package forecast

import (
	"time"

	"persimmonworks.example/persimmonworks/resource"
)

// Step is a step that waits, or the first step of a job at submission.
type Step struct {
	Priority     uint32    // 0 is the most urgent
	LatestStart  time.Time // steps of one priority go in this order
	Service      string
	Requires     string // label that its workers need, empty for none
	Organisation string
	Demand       resource.Vector // of all tasks that have not started
	Lasts        time.Duration   // expected time of a task
}

// EndInterval is the length of an interval of Pool.Ends, and Horizon that of all of them.
const (
	EndInterval  = 250 * time.Millisecond
	EndIntervals = 64
	Horizon      = EndIntervals * EndInterval
)

// Pool is what the workers in touch that can run a step have, and what is free of it.
type Pool struct {
	Capacity, Free resource.Vector
	// Ends is what runs hold that are expected to end in each interval from now on. What runs hold
	// beyond the last one is in that.
	Ends [EndIntervals]resource.Vector
	// Limit is what the organisation may have running, with 0 for no limit.
	Limit resource.Vector
}

// Add notes that a run holds resources of the pool for a time from now on.
func (p *Pool) Add(held resource.Vector, left time.Duration) {
	i := min(max(0, int(left/EndInterval)), EndIntervals-1)
	p.Ends[i] = p.Ends[i].Add(held)
}

// Wait returns how long a step waits at least: until the steps ahead of it that need the same
// workers have used what runs leave of them, or those that count against the same limit have
// used that. It is 0 while there is room.
func Wait(s Step, waiting []Step, p *Pool) time.Duration {
	pool := load{}
	for i := range waiting {
		w := &waiting[i]
		if w.Service == s.Service && goesBefore(w, &s) && (s.Requires == "" || w.Requires == s.Requires) {
			pool.add(w)
		}
	}
	wait := WaitForLimit(s, waiting, p)
	if !p.Free.Covers(pool.demand.Add(s.Demand)) {
		wait = max(wait, p.doneAfter(&pool))
	}
	return wait
}

// WaitForLimit returns how long a step waits at least for the limit of its organisation, however
// many workers are free.
func WaitForLimit(s Step, waiting []Step, p *Pool) time.Duration {
	own := load{}
	for i := range waiting {
		w := &waiting[i]
		if w.Service == s.Service && w.Organisation == s.Organisation && goesBefore(w, &s) {
			own.add(w)
		}
	}
	return own.drainedIn(p.Limit)
}

// doneAfter returns how long the workers need for waiting work, in what runs leave free.
func (p *Pool) doneAfter(l *load) time.Duration {
	return max(
		p.usedUpAfter(l.milliCPU, func(v *resource.Vector) int64 { return v.MilliCPU }),
		p.usedUpAfter(l.memoryMB, func(v *resource.Vector) int64 { return v.MemoryMB }),
		p.usedUpAfter(l.accelerators, func(v *resource.Vector) int64 { return v.Accelerators }),
	)
}

// usedUpAfter returns when work in amounts of a resource times seconds is done.
func (p *Pool) usedUpAfter(work float64, of func(*resource.Vector) int64) time.Duration {
	capacity := float64(of(&p.Capacity))
	if capacity <= 0 || work <= 0 {
		return 0
	}
	free := capacity
	for i := range p.Ends {
		free -= float64(of(&p.Ends[i]))
	}
	for i := range p.Ends {
		free += float64(of(&p.Ends[i]))
		if done := max(0, free) * EndInterval.Seconds(); done < work {
			work -= done
			continue
		}
		return time.Duration(i)*EndInterval + time.Duration(work/free*float64(time.Second))
	}
	return Horizon + time.Duration(work/capacity*float64(time.Second))
}

// goesBefore reports whether a step is placed before another one if both wait.
func goesBefore(w, s *Step) bool {
	if w.Priority != s.Priority {
		return w.Priority < s.Priority
	}
	return !w.LatestStart.After(s.LatestStart)
}

// load is work that waits, in resource amounts times seconds.
type load struct {
	demand                           resource.Vector
	milliCPU, memoryMB, accelerators float64
}

func (l *load) add(s *Step) {
	l.demand = l.demand.Add(s.Demand)
	lasts := s.Lasts.Seconds()
	l.milliCPU += float64(s.Demand.MilliCPU) * lasts
	l.memoryMB += float64(s.Demand.MemoryMB) * lasts
	l.accelerators += float64(s.Demand.Accelerators) * lasts
}

// drainedIn returns how long workers of a capacity need for the work without a gap. A
// resource of which the capacity is 0 is not counted.
func (l *load) drainedIn(capacity resource.Vector) time.Duration {
	seconds := 0.0
	for _, r := range []struct {
		work     float64
		capacity int64
	}{{l.milliCPU, capacity.MilliCPU}, {l.memoryMB, capacity.MemoryMB}, {l.accelerators, capacity.Accelerators}} {
		if r.capacity > 0 {
			seconds = max(seconds, r.work/float64(r.capacity))
		}
	}
	return time.Duration(seconds * float64(time.Second))
}

// Drain returns how long the workers of the pool need for a step alone, without a gap.
func (p *Pool) Drain(s Step) time.Duration {
	l := load{}
	l.add(&s)
	return l.drainedIn(p.Capacity)
}
