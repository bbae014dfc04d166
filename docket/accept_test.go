package docket

import (
	"math"
	"testing"

	"persimmonworks.example/persimmonworks/wire"
)

// Another process may send what no caller can. A negative amount of a resource made room on a
// worker that has none.
func TestImplausibleJobsAreRefused(t *testing.T) {
	job := func(change func(a *wire.DocketAccepted)) *wire.DocketAccepted {
		a := &wire.DocketAccepted{Job: "1", Steps: []*wire.DocketStep{{Count: 1, MilliCpu: 100, MemoryMb: 10}}}
		change(a)
		return a
	}
	step := func(change func(s *wire.DocketStep)) *wire.DocketAccepted {
		return job(func(a *wire.DocketAccepted) { change(a.Steps[0]) })
	}
	for name, a := range map[string]*wire.DocketAccepted{
		"no tasks":         step(func(s *wire.DocketStep) { s.Count = 0 }),
		"many tasks":       step(func(s *wire.DocketStep) { s.Count = math.MaxUint32 }),
		"negative amount":  step(func(s *wire.DocketStep) { s.MilliCpu = -1 }),
		"huge amount":      step(func(s *wire.DocketStep) { s.MemoryMb = math.MaxInt64 }),
		"negative devices": step(func(s *wire.DocketStep) { s.Accelerators = math.MinInt64 }),
		"after itself":     step(func(s *wire.DocketStep) { s.After = []uint32{0} }),
		"many occurrences": job(func(a *wire.DocketAccepted) { a.Repeat = MaxOccurrences + 1 }),
		"due before time":  job(func(a *wire.DocketAccepted) { a.Repeat, a.FirstDueMs = 1, -1 }),
		"due too late":     job(func(a *wire.DocketAccepted) { a.Repeat, a.FirstDueMs, a.IntervalMs = 10, MaxUnixMS-5, 1 }),
		"backwards":        job(func(a *wire.DocketAccepted) { a.Repeat, a.IntervalMs = 2, math.MinInt64 }),
	} {
		if err := New().Apply(Accept(a), 1); err == nil {
			t.Errorf("%s: the job is accepted", name)
		}
	}
	for name, a := range map[string]*wire.DocketAccepted{
		"plain":       job(func(*wire.DocketAccepted) {}),
		"largest":     step(func(s *wire.DocketStep) { s.MilliCpu, s.MemoryMb = MaxAmount, MaxAmount }),
		"latest time": job(func(a *wire.DocketAccepted) { a.Repeat, a.IntervalMs = 1, MaxUnixMS }),
	} {
		if err := New().Apply(Accept(a), 1); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}
