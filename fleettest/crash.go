package fleettest

import (
	"fmt"
	"time"

	"persimmonworks.example/persimmonworks/docket"
	"persimmonworks.example/persimmonworks/resource"
	"persimmonworks.example/persimmonworks/wire"
)

const (
	downTime = 3 * time.Second // of a worker that a task has crashed
	// A task that has crashed crashBudget workers may be started less than crashStarts
	// times more.
	crashBudget = 3
	crashStarts = 3
	// shrunkAfter is how long a capacity that has shrunk may still be used: the time until
	// everybody must have read it, and one report of the worker.
	shrunkAfter = 4500 * time.Millisecond
	// minCrashesToFail is how many workers have to crash under a task before its job may be
	// shown as failed.
	minCrashesToFail = 2
)

// crashRecord counts the workers that a task has crashed.
type crashRecord struct {
	crashes     int
	startsAfter int // after crashBudget crashes
}

// judgeCrashes judges the start of a task that crashes workers, and lets it do so. It
// needs the lock.
func (f *Fleet) judgeCrashes(w *Worker, t docket.TaskID) {
	if f.Crashes == nil || f.Crashes(t) == 0 {
		return
	}
	r, ok := f.crashes[t]
	if !ok {
		r = &crashRecord{}
		f.crashes[t] = r
	}
	if r.crashes >= crashBudget {
		r.startsAfter++
	}
	if r.startsAfter >= crashStarts {
		f.fault("%v: started %d times more after it had crashed %d workers", t, r.startsAfter, crashBudget)
	}
	life := w.born
	time.AfterFunc(f.Crashes(t), func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if !w.up || w.born != life {
			return
		}
		f.crashed++
		r.crashes++
		f.breakGang(w, t)
		w.crash()
		time.AfterFunc(downTime, w.comeBack)
	})
}

// breakGang ends the other members of a gang, which works only together.
func (f *Fleet) breakGang(w *Worker, t docket.TaskID) {
	x := w.running[t]
	if x == nil || !x.gang {
		return
	}
	for _, m := range f.members(t, x.run) {
		if m.w != w {
			m.x.gang = false
			m.w.end(m.t, m.x, wire.DocketOutcome_DOCKET_OUTCOME_STOPPED, false)
		}
	}
}

// comeBack starts the next process of a crashed worker.
func (w *Worker) comeBack() {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if w.up {
		return
	}
	if !w.fleet.KeepNames {
		w.lives++
		w.host.ID = fmt.Sprintf("%.4s-life-%d", w.host.ID, w.lives)
	}
	w.begin()
	w.fleet.announce()
}

// Crashed returns how many workers were crashed by tasks.
func (f *Fleet) Crashed() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashed
}

// LostRuns returns how many runs of a queue's tasks were on workers that crashed.
func (f *Fleet) LostRuns(queue string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	lost := 0
	for t, n := range f.crashesUnder {
		if f.jobs[t.Job].GetQueue().GetName() == queue {
			lost += n
		}
	}
	return lost
}

// SetCapacity changes what the worker says of its capacity. One that has shrunk is held
// against starts only when everybody must have read it.
func (w *Worker) SetCapacity(milliCPU, memoryMB int64) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	next := resource.Vector{MilliCPU: milliCPU, MemoryMB: memoryMB}
	if !next.Covers(w.host.Capacity) {
		was := w.host.Capacity
		if time.Now().Before(w.roomTill) {
			was = was.Max(w.roomWas)
		}
		w.roomWas, w.roomTill = was, time.Now().Add(shrunkAfter)
	}
	w.host.Capacity = next
	w.fleet.announce()
}

// HasFailed reports whether a job may be shown as failed: a task of it has used up its
// attempts, or may be given up.
func (f *Fleet) HasFailed(job string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	most := int(f.jobs[job].GetQueue().GetMaxAttempts())
	for t, n := range f.failures {
		if t.Job == job && int(n) >= most {
			return true
		}
	}
	for s, runs := range f.gangFailures {
		if s.Job == job && len(runs) >= most {
			return true
		}
	}
	for t, n := range f.crashesUnder {
		if t.Job == job && n >= minCrashesToFail {
			return true
		}
	}
	return false
}

// MayLookFailed reports whether as many workers crashed with a task of the job, or with an
// end of it that was not confirmed, as have to crash under it before the job may be shown as
// failed. Where a worker could not be reached before, nobody can know of the end.
func (f *Fleet) MayLookFailed(job string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for t, n := range f.crashesAfter {
		if t.Job == job && n >= minCrashesToFail {
			return true
		}
	}
	return false
}
