package fleettest

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"persimmonworks.example/persimmonworks/advice"
	"persimmonworks.example/persimmonworks/cell"
	"persimmonworks.example/persimmonworks/docket"
	"persimmonworks.example/persimmonworks/pause"
	"persimmonworks.example/persimmonworks/resource"
	"persimmonworks.example/persimmonworks/wire"
)

// Fleet is a group of workers with a ledger of what they were told to do. It
// implements cell.WorkerClient, cell.Fleet and advice.Advisor.
type Fleet struct {
	mu       sync.Mutex
	workers  []*Worker
	watchers []chan struct{}
	jobs     map[string]*wire.DocketAccepted
	done     map[docket.TaskID]bool   // ended successfully
	noted    map[docket.TaskID]bool   // and that was confirmed to the worker
	doneRun  map[docket.TaskID]uint32 // the run that ended successfully
	again    map[docket.TaskID]bool   // started after that end
	failures map[docket.TaskID]uint32
	// gangFailures holds the runs of a gang in which a member failed.
	gangFailures map[docket.StepID]map[uint32]bool
	cancels      map[string]time.Time
	broken       []string
	starts       int
	listed       int // the first workers are in the list

	// Takes says how long a task runs, and Fails whether a run fails. Set them
	// before the first start; both may be nil.
	Takes func(docket.TaskID) time.Duration
	Fails func(t docket.TaskID, worker string, run uint32) bool
	// Crashes says how long after its start a task crashes its worker, 0 for never. Set
	// it before the first start; it may be nil.
	Crashes func(docket.TaskID) time.Duration
	// EndsOnce is how many ends an answer lists at most, 500 if 0. Set it before the first
	// start.
	EndsOnce int
	// KeepNames lets workers come back under their names after such a crash, instead of
	// under new ones at the same addresses.
	KeepNames bool

	// Limit says what the tasks of an organisation may take on all workers, by the highest
	// of the configurations that may be in force; 0 for no limit. It may be nil. It is called
	// with the fleet locked.
	Limit func(organisation string) resource.Vector

	crashes map[docket.TaskID]*crashRecord
	crashed int
	// late is set while an order is carried out late. Rules with a time bound leave such
	// orders out.
	late bool
	// otherLife is set while an order is carried out late by the next life of the worker
	// that it was sent to, which nobody can know.
	otherLife bool
	// noOwnerSince is when all processes were last killed at once. Nobody can give up a
	// gang whose starts were sent before.
	noOwnerSince time.Time
	// crashesUnder counts the workers that crashed while a task ran there.
	crashesUnder map[docket.TaskID]int
	// crashesAfter counts also those on which its end was not confirmed, and may not be known.
	crashesAfter map[docket.TaskID]int
}

// New returns workers of one service, "jobs", four to a rack.
func New(count int, milliCPU, memoryMB int64) *Fleet {
	f := &Fleet{
		jobs: map[string]*wire.DocketAccepted{}, done: map[docket.TaskID]bool{}, noted: map[docket.TaskID]bool{},
		doneRun: map[docket.TaskID]uint32{}, again: map[docket.TaskID]bool{},
		failures: map[docket.TaskID]uint32{}, gangFailures: map[docket.StepID]map[uint32]bool{}, cancels: map[string]time.Time{}, crashes: map[docket.TaskID]*crashRecord{},
		crashesUnder: map[docket.TaskID]int{}, crashesAfter: map[docket.TaskID]int{},
	}
	for i := range count {
		w := &Worker{fleet: f, host: cell.Host{
			ID: fmt.Sprintf("w-%02d", i), Service: "jobs", Address: fmt.Sprintf("10.0.0.%d:1", i),
			DataCentre: fmt.Sprintf("dc-%d", i%3), Rack: fmt.Sprintf("r-%d", i/4), Capacity: resource.Vector{MilliCPU: milliCPU, MemoryMB: memoryMB},
		}}
		w.begin()
		f.workers = append(f.workers, w)
	}
	f.listed = count
	return f
}

// List puts only the first workers into the list.
func (f *Fleet) List(count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listed = count
	f.announce()
}

// Len returns how many workers there are.
func (f *Fleet) Len() int { return len(f.workers) }

// Hosts returns the list of workers.
func (f *Fleet) Hosts() []cell.Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	hosts := make([]cell.Host, 0, f.listed)
	for _, w := range f.workers[:f.listed] {
		switch {
		case w.gone:
		case w.entry != nil:
			hosts = append(hosts, *w.entry)
		default:
			hosts = append(hosts, w.host)
		}
	}
	return hosts
}

// Changes calls changed at first and after each change of the list, until ctx ends
// or changed fails.
func (f *Fleet) Changes(ctx context.Context, changed func() error) error {
	c := make(chan struct{}, 1)
	f.mu.Lock()
	f.watchers = append(f.watchers, c)
	f.mu.Unlock()
	for {
		if err := changed(); err != nil {
			return err
		}
		select {
		case <-c:
		case <-ctx.Done():
			return nil
		}
	}
}

// Worker returns a worker by its number.
func (f *Fleet) Worker(i int) *Worker { return f.workers[i] }

// Accept tells the ledger of a job, before it is handed in.
func (f *Fleet) Accept(job *wire.DocketAccepted) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobs[job.GetJob()] = job
}

// Withdraw tells the ledger that a job was refused for good: it must not run.
func (f *Fleet) Withdraw(job string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		for t := range w.running {
			if t.Job == job {
				f.fault("%v runs on %s though its job was refused", t, w.host.ID)
			}
		}
	}
	f.jobs[job] = nil // it has no steps, so that no task of it may begin
}

// Cancelled tells the ledger that a cancellation was confirmed to the caller.
func (f *Fleet) Cancelled(job string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancels[job] = time.Now()
}

// Broken returns every rule that was broken, with the case.
func (f *Fleet) Broken() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.broken...)
}

// Starts returns how many runs began.
func (f *Fleet) Starts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts
}

// Running returns how many tasks of a job run.
func (f *Fleet) Running(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, w := range f.workers {
		for t := range w.running {
			if t.Job == job && w.up {
				count++
			}
		}
	}
	return count
}

// AllProcessesKilled tells the ledger that no process is left.
func (f *Fleet) AllProcessesKilled() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noOwnerSince = time.Now()
}

func (f *Fleet) fault(format string, args ...any) {
	f.broken = append(f.broken, fmt.Sprintf("%s: ", time.Now().Format("05.000"))+fmt.Sprintf(format, args...))
}

// begun judges a start and begins the run.
func (f *Fleet) begun(w *Worker, o cell.StartRequest) {
	f.starts++
	job, ok := f.jobs[o.Task.Job]
	if !ok || int(o.Task.Step) >= len(job.GetSteps()) || o.Spec != job.GetSpec() {
		f.fault("%v on %s: nobody asked for it", o.Task, w.host.ID)
		return
	}
	shape := job.GetSteps()[o.Task.Step]
	x := &work{run: o.Run, began: time.Now(), gang: shape.GetGang(), demand: resource.Vector{MilliCPU: shape.GetMilliCpu(), MemoryMB: shape.GetMemoryMb()}}
	for _, other := range f.workers {
		if y := other.running[o.Task]; y != nil && other.up {
			f.fault("%v: run %d on %s while run %d is on %s", o.Task, o.Run, w.host.ID, y.run, other.host.ID)
		}
	}
	if f.noted[o.Task] {
		f.fault("%v: run %d on %s after an end that was confirmed", o.Task, o.Run, w.host.ID)
	}
	if f.doneRun[o.Task] > 0 {
		f.again[o.Task] = true
	}
	for _, before := range shape.GetAfter() {
		for i := range job.GetSteps()[before].GetCount() {
			if !f.done[docket.TaskID{Job: o.Task.Job, Occurrence: o.Task.Occurrence, Step: before, Index: i}] {
				f.fault("%v: before step %d was done", o.Task, before)
			}
		}
	}
	if !w.free().Covers(x.demand) {
		f.fault("%v: no room on %s", o.Task, w.host.ID)
	}
	if !f.otherLife && !w.host.HasLabel(shape.GetRequires()) {
		f.fault("%v: on %s, which has labels %q and not %q", o.Task, w.host.ID, w.host.Labels, shape.GetRequires())
	}
	if f.failures[o.Task] >= job.GetQueue().GetMaxAttempts() {
		f.fault("%v: after %d failures", o.Task, f.failures[o.Task])
	}
	if at, ok := f.cancels[o.Task.Job]; ok && !f.late && time.Since(at) > 3*time.Second {
		f.fault("%v: %v after its job was cancelled", o.Task, time.Since(at))
	}
	f.judgeCrashes(w, o.Task)
	f.judgeQuota(w, job, x.demand)
	w.running[o.Task] = x
	x.timer = time.AfterFunc(f.takes(o.Task), func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.finish(w, o.Task, x)
	})
	if x.gang {
		f.gather(w, o.Task, x, shape.GetCount())
		return
	}
	x.worksFrom = time.Now()
}

func (f *Fleet) takes(t docket.TaskID) time.Duration {
	if f.Takes == nil {
		return time.Second
	}
	return f.Takes(t)
}

// gather lets a gang work when all members are there, and ends members that
// wait too long.
func (f *Fleet) gather(w *Worker, t docket.TaskID, x *work, count uint32) {
	x.timer.Stop()
	members := f.members(t, x.run)
	if len(members) == int(count) {
		for _, m := range members {
			m.x.together, m.x.worksFrom = true, time.Now()
			m.x.timer.Reset(f.takes(t))
		}
		return
	}
	x.timer = time.AfterFunc(gangWait, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if x.together {
			f.finish(w, t, x)
			return
		}
		w.end(t, x, wire.DocketOutcome_DOCKET_OUTCOME_STOPPED, true)
	})
}

type member struct {
	w *Worker
	t docket.TaskID
	x *work
}

func (f *Fleet) members(t docket.TaskID, run uint32) []member {
	var all []member
	for _, w := range f.workers {
		for id, x := range w.running {
			if id.StepID() == t.StepID() && x.run == run && w.up {
				all = append(all, member{w, id, x})
			}
		}
	}
	return all
}

func (f *Fleet) finish(w *Worker, t docket.TaskID, x *work) {
	w.checkLease()
	how := wire.DocketOutcome_DOCKET_OUTCOME_DONE
	if f.Fails != nil && f.Fails(t, w.host.ID, x.run) {
		how = wire.DocketOutcome_DOCKET_OUTCOME_FAILED
	}
	w.end(t, x, how, false)
}

// ended notes an end and, of a gang, ends the others.
func (f *Fleet) ended(w *Worker, t docket.TaskID, x *work, how wire.DocketOutcome, alone bool) {
	switch how {
	case wire.DocketOutcome_DOCKET_OUTCOME_DONE:
		f.done[t] = true
		if f.doneRun[t] == 0 {
			f.doneRun[t] = x.run
		}
	case wire.DocketOutcome_DOCKET_OUTCOME_FAILED:
		f.noteFailure(t, x.run)
	}
	if alone && !f.noOwnerSince.After(x.began) {
		f.fault("%v: run %d waited alone on %s", t, x.run, w.host.ID)
	}
	if !x.gang {
		return
	}
	if how == wire.DocketOutcome_DOCKET_OUTCOME_DONE {
		// The end of one member stands for all, also for those whose worker has crashed.
		for i := range f.jobs[t.Job].GetSteps()[t.Step].GetCount() {
			f.done[t.StepID().Task(i)] = true
		}
	}
	for _, m := range f.members(t, x.run) {
		other := how
		switch {
		case how == wire.DocketOutcome_DOCKET_OUTCOME_FAILED && m.w == w && f.Fails(m.t, w.host.ID, x.run):
			// The worker fails all its members of the run.
		case how != wire.DocketOutcome_DOCKET_OUTCOME_DONE:
			other = wire.DocketOutcome_DOCKET_OUTCOME_STOPPED
		}
		m.x.gang = false
		m.w.end(m.t, m.x, other, false)
	}
}

// noteFailure counts a failed run: of a gang once, however many members failed in it.
func (f *Fleet) noteFailure(t docket.TaskID, run uint32) {
	f.failures[t]++
	if !f.jobs[t.Job].GetSteps()[t.Step].GetGang() {
		return
	}
	if f.gangFailures[t.StepID()] == nil {
		f.gangFailures[t.StepID()] = map[uint32]bool{}
	}
	f.gangFailures[t.StepID()][run] = true
}

// confirmed notes that an end was confirmed. It counts for good unless the worker's lease
// lapsed in between: then the task may have been started elsewhere before.
func (f *Fleet) confirmed(w *Worker, e cell.EndedTask) {
	if e.Outcome != wire.DocketOutcome_DOCKET_OUTCOME_DONE || e.Sequence <= w.lapsedThrough {
		return
	}
	if f.again[e.Task] && f.doneRun[e.Task] == e.Run && !f.noted[e.Task] {
		f.fault("%v: the end of run %d was confirmed after the task had begun again", e.Task, e.Run)
	}
	f.noted[e.Task] = true
}

func (f *Fleet) announce() {
	for _, c := range f.watchers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// Watch implements cell.Fleet.
func (f *Fleet) Watch(ctx context.Context, changed func([]cell.Host)) error {
	return f.Changes(ctx, func() error {
		changed(f.Hosts())
		return nil
	})
}

func (f *Fleet) at(address string) (*Worker, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		if w.host.Address == address {
			return w, nil
		}
	}
	return nil, fmt.Errorf("%w: nobody listens at %s", cell.ErrNotSent, address)
}

// Start implements cell.WorkerClient.
func (f *Fleet) Start(ctx context.Context, h *cell.Host, o cell.StartRequest) (cell.StartResponse, error) {
	w, err := f.at(h.Address)
	if err != nil {
		return cell.StartResponse{}, err
	}
	return deliver(ctx, w, h, func() (cell.StartResponse, error) { return w.start(o), nil })
}

// Stop implements cell.WorkerClient.
func (f *Fleet) Stop(ctx context.Context, h *cell.Host, o cell.StopRequest) error {
	w, err := f.at(h.Address)
	if err != nil {
		return err
	}
	_, err = deliver(ctx, w, h, func() (struct{}, error) { w.stop(o); return struct{}{}, nil })
	return err
}

// Hold implements cell.WorkerClient.
func (f *Fleet) Hold(ctx context.Context, h *cell.Host, o cell.HoldRequest) (cell.HoldResponse, error) {
	w, err := f.at(h.Address)
	if err != nil {
		return cell.HoldResponse{}, err
	}
	f.mu.Lock()
	wait, news := w.wake, len(w.ended) > 0 && w.ended[len(w.ended)-1].Sequence > o.Confirmed
	reach, life := w.up && !w.cut, w.born
	if w.lateHolds > 0 {
		w.lateHolds--
		w.lateLeft, w.lateFor = w.lateLeft+1, w.lateHoldFor
	}
	f.mu.Unlock()
	r, err := deliver(ctx, w, h, func() (cell.HoldResponse, error) { return w.hold(o) })
	if err != nil || o.Wait == 0 || news || !reach || len(r.Ended) > 0 {
		return r, err
	}
	select {
	case <-wait:
	case <-time.After(o.Wait):
	case <-ctx.Done():
	}
	o.DeadlineMS = 0
	if w.hasReset(life) {
		return cell.HoldResponse{}, fmt.Errorf("%w: connection reset", cell.ErrUnanswered)
	}
	r, err = deliver(ctx, w, h, func() (cell.HoldResponse, error) { return w.hold(o) })
	if errors.Is(err, cell.ErrNotSent) || errors.Is(err, cell.ErrWorkerRestarted) {
		// The hold was carried out, and only the connection for its answer is lost.
		return cell.HoldResponse{}, fmt.Errorf("%w: connection reset", cell.ErrUnanswered)
	}
	return r, err
}

// Advise implements advice.Advisor: every worker is allowed.
func (f *Fleet) Advise(ctx context.Context, _ docket.StepID, workers []string) ([]advice.Permit, error) {
	pause.For(ctx, 10*time.Millisecond)
	permits := make([]advice.Permit, len(workers))
	for i, w := range workers {
		permits[i] = advice.Permit{Worker: w, Ticket: "t-" + w}
	}
	return permits, nil
}
