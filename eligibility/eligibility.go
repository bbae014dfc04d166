// Package eligibility tells which groups of workers could run the steps of a job.
//
// A group can run a step if its workers have what the step needs, even if they would have to
// be idle for it: tasks of the right kind of worker, enough of them at the same time for a
// gang or for tasks that last, and few enough on one worker. What other work takes is left out
// of account. So a step that a group cannot run waits there for good, until the group or the
// step changes.
//
// It answers the loss of workers that only a part of the work needs: the last ones of a kind in
// a group, while other groups have idle ones.
//
// The functions are pure: they read no clock and have no side effects.
//
// Usage:
//
//	n := eligibility.Need{Service: "renders", Label: "gpu", Demand: demand, Tasks: 8}
//	if !n.MetBy(slices.Values(workers)) {
//		number, ok := eligibility.Choose([]eligibility.Need{n}, otherGroups)
//	}
package eligibility

import (
	"iter"
	"slices"

	"persimmonworks.example/persimmonworks/packing"
	"persimmonworks.example/persimmonworks/resource"
)

// Worker is what a worker offers while it is idle.
type Worker struct {
	Service  string
	Labels   []string
	Capacity resource.Vector
}

// Need is what a step needs of a group of workers.
type Need struct {
	Service   string
	Label     string // that a worker must have; empty for none
	Demand    resource.Vector
	Tasks     int // that have to run at the same time, at least 1
	PerWorker int // most tasks of the step on one worker, 0 for any
}

// Room returns how many tasks of the step the worker could run at the same time, at most
// Tasks.
func (n *Need) Room(w *Worker) int {
	if n.Service != w.Service || n.Label != "" && !slices.Contains(w.Labels, n.Label) {
		return 0
	}
	b := packing.Bin{Free: w.Capacity, MaxTasks: -1}
	if n.PerWorker > 0 {
		b.MaxTasks = n.PerWorker
	}
	return b.Fits(n.Demand, n.Tasks)
}

// MetBy reports whether the workers together could run the step.
func (n *Need) MetBy(workers iter.Seq[Worker]) bool {
	left := n.Tasks
	for w := range workers {
		if left -= n.Room(&w); left <= 0 {
			return true
		}
	}
	return false
}

// Group is the workers of one docket.
type Group struct {
	Number  int
	Load    float64 // work over capacity
	Workers []Worker
}

// Choose returns the number of the group with the least load that could run all the steps, or
// false if there is none.
func Choose(needs []Need, groups []Group) (number int, ok bool) {
	lowest := 0.0
	for _, g := range groups {
		if ok && g.Load >= lowest || !meetsAll(needs, g.Workers) {
			continue
		}
		number, lowest, ok = g.Number, g.Load, true
	}
	return number, ok
}

func meetsAll(needs []Need, workers []Worker) bool {
	for i := range needs {
		if !needs[i].MetBy(slices.Values(workers)) {
			return false
		}
	}
	return true
}
