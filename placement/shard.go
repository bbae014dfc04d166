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
	// ErrNoRoom says that no open worker has room now.
	ErrNoRoom = errors.New("no worker has room")
	// ErrTooLarge says that the task is larger than every worker, open or not.
	ErrTooLarge = errors.New("task is larger than any worker")
)

// Worker is a host that runs tasks.
type Worker struct {
	ID         string
	Rack       string
	DataCentre string
	Capacity   resource.Vector
}

// Task is what is to be placed.
type Task struct {
	ID     string
	Demand resource.Vector
	Class  class.Class
	Spread string // tasks of one key keep apart; empty for no wish
	Owner  string // the organisation; only for Earmark
	Long   bool   // long work may not take what Reserve keeps
}

// Shard holds the workers of one rack with their exact free capacity. The
// zero value is a shard without workers, with the BestFit policy.
//
// Invariants: the demands placed on a worker never exceed its capacity,
// except by what Restore found running there; and long work leaves the
// reserved share of all open workers together free, unless it is one task.
type Shard struct {
	Policy  Policy  // nil for BestFit
	Reserve float64 // share of the open workers together that long work may not take, 0 to 1

	workers []*host
	byID    map[string]*host
	tasks   map[string]placed

	marked    *host // kept for the task markedFor, if not nil
	markedFor string
}

type host struct {
	Worker
	free    resource.Vector
	long    resource.Vector // held by long tasks
	spread  map[string]int  // tasks by spread key
	running int
	closed  string // reason; empty if open
}

type placed struct {
	task Task
	host *host
}

// AddWorker adds an open worker with nothing running.
func (s *Shard) AddWorker(w Worker) error {
	if _, ok := s.byID[w.ID]; ok {
		return fmt.Errorf("worker %q is already in the shard of rack %q", w.ID, w.Rack)
	}
	if s.byID == nil {
		s.byID = make(map[string]*host)
		s.tasks = make(map[string]placed)
	}
	h := &host{Worker: w, free: w.Capacity, spread: make(map[string]int)}
	s.byID[w.ID] = h
	s.workers = append(s.workers, h)
	return nil
}

// RemoveWorker takes a worker out of the shard, and returns the tasks that
// were counted on it, in order, which are no longer placed.
func (s *Shard) RemoveWorker(worker string) []string {
	h, ok := s.byID[worker]
	if !ok {
		return nil
	}
	var lost []string
	for id, p := range s.tasks {
		if p.host == h {
			lost = append(lost, id)
		}
	}
	for _, id := range lost {
		s.Free(id)
	}
	if s.marked == h {
		s.Unmark(s.markedFor)
	}
	delete(s.byID, worker)
	s.workers = slices.DeleteFunc(s.workers, func(x *host) bool { return x == h })
	slices.Sort(lost)
	return lost
}

// Close keeps new tasks off a worker; what runs there goes on.
func (s *Shard) Close(worker, reason string) error {
	h, ok := s.byID[worker]
	if !ok {
		return unknownWorker(worker)
	}
	if reason == "" {
		reason = "closed without a reason"
	}
	h.closed = reason
	return nil
}

// Open lets a closed worker take tasks again.
func (s *Shard) Open(worker string) error {
	h, ok := s.byID[worker]
	if !ok {
		return unknownWorker(worker)
	}
	h.closed = ""
	return nil
}

// Closed returns the reason why a worker is closed, or "" if it is open.
func (s *Shard) Closed(worker string) string {
	if h, ok := s.byID[worker]; ok {
		return h.closed
	}
	return "unknown worker"
}

// Place chooses a worker for the task and takes its demand there. The error
// wraps ErrNoRoom or ErrTooLarge.
func (s *Shard) Place(t Task, rng *rand.Rand) (string, error) {
	if p, ok := s.tasks[t.ID]; ok {
		return "", fmt.Errorf("task %q is already placed on worker %q: free it first", t.ID, p.host.ID)
	}
	h := s.choose(t, rng)
	if h == nil {
		return "", s.refusal(t)
	}
	s.take(h, t)
	return h.ID, nil
}

// Fits reports whether Place would succeed now.
func (s *Shard) Fits(t Task) bool {
	room := s.room(t)
	for _, h := range s.workers {
		if s.admits(h, t, room) {
			return true
		}
	}
	return false
}

// Free gives the demand of a placed task back, and reports whether it was
// placed.
func (s *Shard) Free(task string) bool {
	p, ok := s.tasks[task]
	if !ok {
		return false
	}
	delete(s.tasks, task)
	p.host.free = p.host.free.Add(p.task.Demand)
	p.host.running--
	if p.task.Long {
		p.host.long = p.host.long.Sub(p.task.Demand)
	}
	if p.task.Spread != "" {
		p.host.spread[p.task.Spread]--
		if p.host.spread[p.task.Spread] == 0 {
			delete(p.host.spread, p.task.Spread)
		}
	}
	return true
}

// MarkLong counts a placed task as long from now on, and reports whether it was
// placed as short. It is for work that has outlasted its estimate: until
// enough of it has ended, other long work does not start.
func (s *Shard) MarkLong(task string) bool {
	p, ok := s.tasks[task]
	if !ok || p.task.Long {
		return false
	}
	p.task.Long = true
	p.host.long = p.host.long.Add(p.task.Demand)
	s.tasks[task] = p
	return true
}

// Restore counts a task that was found running on a worker. It is never
// refused for lack of room: the task is there, and the worker takes nothing
// new until it has room again.
func (s *Shard) Restore(t Task, worker string) error {
	h, ok := s.byID[worker]
	if !ok {
		return unknownWorker(worker)
	}
	if p, ok := s.tasks[t.ID]; ok {
		return fmt.Errorf("task %q is on worker %q and on worker %q: stop one", t.ID, p.host.ID, worker)
	}
	s.take(h, t)
	return nil
}

// Largest returns, for each resource, the largest free amount on one open
// worker. A demand that it does not cover fits nowhere.
func (s *Shard) Largest() resource.Vector {
	var v resource.Vector
	for _, h := range s.workers {
		if h.closed == "" {
			v = v.Max(h.free)
		}
	}
	return v
}

// LargestLong is Largest for long tasks, which leave the reserve alone.
func (s *Shard) LargestLong() resource.Vector {
	var v resource.Vector
	room := s.roomForLong()
	for _, h := range s.workers {
		if h.closed == "" && s.marked != h {
			v = v.Max(minimum(h.free, room).Max(resource.Vector{}))
		}
	}
	return v
}

// FreeCapacity returns the sum of what is free on open workers.
func (s *Shard) FreeCapacity() resource.Vector {
	var v resource.Vector
	for _, h := range s.workers {
		if h.closed == "" {
			v = v.Add(h.free.Max(resource.Vector{}))
		}
	}
	return v
}

// FreeOn returns what is free on a worker; entries are negative where
// Restore found more than the worker holds.
func (s *Shard) FreeOn(worker string) (resource.Vector, bool) {
	h, ok := s.byID[worker]
	if !ok {
		return resource.Vector{}, false
	}
	return h.free, true
}

// WorkerOf returns the worker on which a task is placed.
func (s *Shard) WorkerOf(task string) (string, bool) {
	p, ok := s.tasks[task]
	if !ok {
		return "", false
	}
	return p.host.ID, true
}

// unlimited covers every demand.
var unlimited = resource.Vector{MilliCPU: math.MaxInt64, MemoryMB: math.MaxInt64, Accelerators: math.MaxInt64}

func unknownWorker(worker string) error {
	return fmt.Errorf("worker %q is not in the shard: add it first", worker)
}

func minimum(v, w resource.Vector) resource.Vector {
	return resource.Vector{
		MilliCPU:     min(v.MilliCPU, w.MilliCPU),
		MemoryMB:     min(v.MemoryMB, w.MemoryMB),
		Accelerators: min(v.Accelerators, w.Accelerators),
	}
}
