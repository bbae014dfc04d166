package placement

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/resource"
)

var (
	// ErrNoCapacity means that no open worker has enough free capacity at present.
	ErrNoCapacity = errors.New("no worker has enough free capacity")
	// ErrTooLarge means that the demand exceeds the capacity of every worker,
	// open or closed.
	ErrTooLarge = errors.New("task is larger than any worker")
)

// Worker is a host that runs tasks.
type Worker struct {
	ID         string
	Rack       string
	DataCentre string
	Capacity   resource.Vector
}

// Task is a task to be placed.
type Task struct {
	ID           string
	Demand       resource.Vector
	Class        class.Class
	SpreadKey    string // tasks with the same key are placed on different workers; may be empty
	Organisation string // used only by Earmark and EarmarkCost
	Long         bool   // may not use the capacity set aside by Shard.Reserve
}

// Shard tracks the workers of one rack and their exact free capacity. The zero
// value is a shard without workers that uses the BestFit policy.
//
// Invariants: the demands placed on a worker never exceed its capacity, except
// for tasks counted by Restore. Placing a long task leaves the reserved share of
// the total capacity of open workers free of long tasks, unless it is the only
// long task.
type Shard struct {
	Policy  Policy  // nil means BestFit
	Reserve float64 // share of the open workers' total capacity that long tasks may not use, 0 to 1

	workers     []*workerState
	byID        map[string]*workerState
	allocations map[string]allocation

	earmarked    *workerState // worker reserved for the task earmarkedFor; nil if none
	earmarkedFor string
}

// workerState is a worker with its current allocations.
type workerState struct {
	Worker
	free         resource.Vector
	usedByLong   resource.Vector // demand of long tasks
	spreadCounts map[string]int  // number of tasks by spread key
	taskCount    int
	closedReason string // empty if the worker is open
}

// allocation records the worker on which a task is placed.
type allocation struct {
	task   Task
	worker *workerState
}

// AddWorker adds an open worker without tasks.
func (s *Shard) AddWorker(w Worker) error {
	if _, ok := s.byID[w.ID]; ok {
		return fmt.Errorf("worker %q is already in the shard of rack %q", w.ID, w.Rack)
	}
	if s.byID == nil {
		s.byID = make(map[string]*workerState)
		s.allocations = make(map[string]allocation)
	}
	state := &workerState{Worker: w, free: w.Capacity, spreadCounts: make(map[string]int)}
	s.byID[w.ID] = state
	s.workers = append(s.workers, state)
	return nil
}

// RemoveWorker removes a worker from the shard. It returns the IDs of the tasks
// that were placed on the worker, sorted; they are no longer placed.
func (s *Shard) RemoveWorker(worker string) []string {
	w, ok := s.byID[worker]
	if !ok {
		return nil
	}
	var taskIDs []string
	for id, a := range s.allocations {
		if a.worker == w {
			taskIDs = append(taskIDs, id)
		}
	}
	for _, id := range taskIDs {
		s.Release(id)
	}
	if s.earmarked == w {
		s.ClearEarmark(s.earmarkedFor)
	}
	delete(s.byID, worker)
	s.workers = slices.DeleteFunc(s.workers, func(x *workerState) bool { return x == w })
	slices.Sort(taskIDs)
	return taskIDs
}

// Close prevents new tasks from being placed on a worker. Tasks that run there
// continue.
func (s *Shard) Close(worker, reason string) error {
	w, ok := s.byID[worker]
	if !ok {
		return unknownWorkerError(worker)
	}
	if reason == "" {
		reason = "closed without a reason"
	}
	w.closedReason = reason
	return nil
}

// Open allows tasks to be placed on a closed worker again.
func (s *Shard) Open(worker string) error {
	w, ok := s.byID[worker]
	if !ok {
		return unknownWorkerError(worker)
	}
	w.closedReason = ""
	return nil
}

// ClosedReason returns the reason why a worker is closed, or "" if it is open.
func (s *Shard) ClosedReason(worker string) string {
	if w, ok := s.byID[worker]; ok {
		return w.closedReason
	}
	return "unknown worker"
}

// Place chooses a worker for the task, allocates its demand there, and returns
// the worker's ID. If the task does not fit, the error wraps ErrNoCapacity or
// ErrTooLarge.
func (s *Shard) Place(t Task, rng *rand.Rand) (string, error) {
	if a, ok := s.allocations[t.ID]; ok {
		return "", fmt.Errorf("task %q is already placed on worker %q: free it first", t.ID, a.worker.ID)
	}
	w := s.choose(t, rng)
	if w == nil {
		return "", s.placementError(t)
	}
	s.allocate(w, t)
	return w.ID, nil
}

// Fits reports whether Place would succeed now.
func (s *Shard) Fits(t Task) bool {
	available := s.availableFor(t)
	for _, w := range s.workers {
		if s.canPlace(w, t, available) {
			return true
		}
	}
	return false
}

// Release releases the capacity allocated to a task, and reports whether the task
// was placed.
func (s *Shard) Release(task string) bool {
	a, ok := s.allocations[task]
	if !ok {
		return false
	}
	delete(s.allocations, task)
	a.worker.free = a.worker.free.Add(a.task.Demand)
	a.worker.taskCount--
	if a.task.Long {
		a.worker.usedByLong = a.worker.usedByLong.Sub(a.task.Demand)
	}
	if a.task.SpreadKey != "" {
		a.worker.spreadCounts[a.task.SpreadKey]--
		if a.worker.spreadCounts[a.task.SpreadKey] == 0 {
			delete(a.worker.spreadCounts, a.task.SpreadKey)
		}
	}
	return true
}

// MarkLong reclassifies a placed short task as long, and reports whether it did.
// It is used for tasks that have run longer than estimated: they then count
// towards the capacity used by long tasks, so no further long task starts until
// enough of them have ended.
func (s *Shard) MarkLong(task string) bool {
	a, ok := s.allocations[task]
	if !ok || a.task.Long {
		return false
	}
	a.task.Long = true
	a.worker.usedByLong = a.worker.usedByLong.Add(a.task.Demand)
	s.allocations[task] = a
	return true
}

// Restore records a task that was found running on a worker. It does not check
// the capacity, as the task is running already; if the worker is overcommitted,
// no new tasks are placed there until enough capacity is free.
func (s *Shard) Restore(t Task, worker string) error {
	w, ok := s.byID[worker]
	if !ok {
		return unknownWorkerError(worker)
	}
	if a, ok := s.allocations[t.ID]; ok {
		return fmt.Errorf("task %q is on workers %q and %q: stop one of them", t.ID, a.worker.ID, worker)
	}
	s.allocate(w, t)
	return nil
}

// Largest returns, for each resource, the largest free amount on any open worker.
// A demand that exceeds it does not fit on any worker.
func (s *Shard) Largest() resource.Vector {
	var v resource.Vector
	for _, w := range s.workers {
		if w.closedReason == "" {
			v = v.Max(w.free)
		}
	}
	return v
}

// LargestLong is like Largest, but for long tasks: it excludes the reserve and an
// earmarked worker.
func (s *Shard) LargestLong() resource.Vector {
	var v resource.Vector
	available := s.availableForLong()
	for _, w := range s.workers {
		if w.closedReason == "" && s.earmarked != w {
			v = v.Max(minimum(w.free, available).Max(resource.Vector{}))
		}
	}
	return v
}

// FreeCapacity returns the total free capacity of the open workers.
func (s *Shard) FreeCapacity() resource.Vector {
	var v resource.Vector
	for _, w := range s.workers {
		if w.closedReason == "" {
			v = v.Add(w.free.Max(resource.Vector{}))
		}
	}
	return v
}

// FreeOn returns the free capacity of a worker. Amounts are negative if Restore
// has overcommitted the worker. It reports false if the worker is unknown.
func (s *Shard) FreeOn(worker string) (resource.Vector, bool) {
	w, ok := s.byID[worker]
	if !ok {
		return resource.Vector{}, false
	}
	return w.free, true
}

// WorkerOf returns the worker on which a task is placed. It reports false if the
// task is not placed.
func (s *Shard) WorkerOf(task string) (string, bool) {
	a, ok := s.allocations[task]
	if !ok {
		return "", false
	}
	return a.worker.ID, true
}

// unlimited is greater than or equal to every demand.
var unlimited = resource.Vector{MilliCPU: math.MaxInt64, MemoryMB: math.MaxInt64, Accelerators: math.MaxInt64}

func unknownWorkerError(worker string) error {
	return fmt.Errorf("worker %q is not in the shard: add it first", worker)
}

// minimum returns the smaller amount of each resource.
func minimum(v, w resource.Vector) resource.Vector {
	return resource.Vector{
		MilliCPU:     min(v.MilliCPU, w.MilliCPU),
		MemoryMB:     min(v.MemoryMB, w.MemoryMB),
		Accelerators: min(v.Accelerators, w.Accelerators),
	}
}
