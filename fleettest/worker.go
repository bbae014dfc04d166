package fleettest

import (
	"context"
	"fmt"
	"time"

	"persimmonworks.example/persimmonworks/cell"
	"persimmonworks.example/persimmonworks/docket"
	"persimmonworks.example/persimmonworks/pause"
	"persimmonworks.example/persimmonworks/resource"
	"persimmonworks.example/persimmonworks/wire"
)

const (
	callTime  = 2 * time.Millisecond // of an order
	leaseMost = 10 * time.Second
	stopTime  = 400 * time.Millisecond
	gangWait  = 3 * time.Second
	endsOnce  = 500 // ends that an answer lists at most
)

// Worker is a stand-in worker. All its state is guarded by the fleet's lock.
type Worker struct {
	fleet    *Fleet
	host     cell.Host
	born     int64
	started  time.Time
	slow     float64 // share by which the worker's clock is slow
	up       bool
	gone     bool // for good; the list has noticed
	cut      bool // nothing reaches it
	refusing bool // connections to it are refused; it runs on
	lateFor  time.Duration
	lateLeft int
	// lateHolds counts the holds to delay, each from its beginning, by lateHoldFor.
	lateHolds   int
	lateHoldFor time.Duration
	mute        int // answers to lose after the order was carried out
	fence       uint64
	deadline    time.Time
	running     map[docket.TaskID]*work
	ended       []cell.EndedTask
	number      uint64
	// lapsedThrough is the last end that was listed when the lease lapsed.
	lapsedThrough uint64
	barred        map[docket.TaskID]uint32 // runs up to it are refused
	wake          chan struct{}
	lapse         *time.Timer
	lives         int             // processes so far that had a name of their own
	roomWas       resource.Vector // capacity that still counts until roomTill, after the worker has shrunk
	roomTill      time.Time
	entry         *cell.Host // what another writer has put into the list in its place, nil for none
}

// work is a run on a worker.
type work struct {
	run        uint32
	demand     resource.Vector
	gang       bool
	together   bool // all members are there
	timer      *time.Timer
	stopping   bool
	checkpoint string
	began      time.Time
	worksFrom  time.Time // when it began to work; zero while it waits for its gang
}

// percent returns how far the run is, at least 1 once it works.
func (x *work) percent(takes time.Duration) int {
	if x.worksFrom.IsZero() {
		return 0
	}
	return int(min(99, max(1, 100*time.Since(x.worksFrom)/max(takes, 1))))
}

// Host returns the worker's entry in the list.
func (w *Worker) Host() cell.Host {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	return w.host
}

// Overwrite puts an entry into the list in place of the worker's own, as another writer
// would, until it is called with nil. change changes a copy of the worker's own.
func (w *Worker) Overwrite(change func(*cell.Host)) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.entry = nil
	if change != nil {
		entry := w.host
		change(&entry)
		w.entry = &entry
	}
	w.fleet.announce()
}

// SetAddress says where the worker listens, ip:port.
func (w *Worker) SetAddress(address string) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.host.Address = address
}

// SetCut cuts the worker off, or connects it again; it runs on.
func (w *Worker) SetCut(cut bool) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.cut = cut
}

// SetRefusing makes connections to the worker fail at once, as behind some cuts; it
// runs on.
func (w *Worker) SetRefusing(refusing bool) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.refusing = refusing
}

// DelayOrders leaves the next orders unanswered and carries them out later.
func (w *Worker) DelayOrders(orders int, late time.Duration) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.lateLeft, w.lateFor = orders, late
}

// DelayHolds leaves the next holds unanswered and carries them out later. DelayOrders does
// not choose holds, and mostly meets the answer of one that was carried out.
func (w *Worker) DelayHolds(holds int, late time.Duration) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.lateHolds, w.lateHoldFor = holds, late
}

// LoseAnswers loses the answers of the next orders, which are carried out.
func (w *Worker) LoseAnswers(orders int) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.mute = orders
}

// Busy reports whether anything runs on the worker.
func (w *Worker) Busy() bool {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	return len(w.running) > 0
}

// Runs reports whether a task of the job runs on the worker.
func (w *Worker) Runs(job string) bool {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	for t := range w.running {
		if t.Job == job {
			return true
		}
	}
	return false
}

// Drain makes the worker tell that it will leave.
func (w *Worker) Drain() {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.host.Draining = true
	w.fleet.announce()
}

// Crash ends the worker and all that runs there.
func (w *Worker) Crash() {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.crash()
}

// unlistedAfter is how long the list goes on showing a worker that is silent.
const unlistedAfter = 4500 * time.Millisecond

// Lose ends the worker for good.
func (w *Worker) Lose() {
	w.Crash()
	time.AfterFunc(unlistedAfter, func() {
		w.fleet.mu.Lock()
		defer w.fleet.mu.Unlock()
		w.gone = true
		w.fleet.announce()
	})
}

func (w *Worker) crash() {
	w.up = false
	close(w.wake) // its connections are reset
	w.wake = make(chan struct{})
	for t, x := range w.running {
		x.timer.Stop()
		w.fleet.crashesUnder[t]++
	}
	for t := range w.unconfirmed() {
		w.fleet.crashesAfter[t]++
	}
	w.running = map[docket.TaskID]*work{}
}

// unconfirmed returns the tasks that run, or have ended without a confirmation.
func (w *Worker) unconfirmed() map[docket.TaskID]bool {
	tasks := map[docket.TaskID]bool{}
	for t := range w.running {
		tasks[t] = true
	}
	for _, e := range w.ended {
		tasks[e.Task] = true
	}
	return tasks
}

// Restart gives the worker a new life under its name.
func (w *Worker) Restart() {
	w.RestartUnlisted()
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.fleet.announce()
}

// RestartUnlisted restarts the worker; the list does not say so yet.
func (w *Worker) RestartUnlisted() {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.crash()
	w.begin()
}

// RestartAs restarts the worker as another kind. The list shows the entry of its earlier
// life until Overwrite is called with nil.
func (w *Worker) RestartAs(change func(*cell.Host)) {
	w.Overwrite(func(*cell.Host) {})
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.crash()
	change(&w.host)
	w.begin()
}

func (w *Worker) begin() {
	w.up, w.started = true, time.Now()
	w.born = max(w.born+1, time.Now().UnixMilli()) // no process starts twice in a millisecond
	w.host.StartedMS = w.born
	w.fence, w.number, w.lapsedThrough, w.deadline = 0, 0, 0, time.Time{}
	w.running, w.ended, w.barred = map[docket.TaskID]*work{}, nil, map[docket.TaskID]uint32{}
	w.wake = make(chan struct{})
}

// Epoch returns the highest fencing token that the worker has seen.
func (w *Worker) Epoch() uint64 {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	return w.fence
}

// hasReset reports whether the connections to a life of the worker were reset, and that
// can be seen.
func (w *Worker) hasReset(life int64) bool {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	return !w.cut && (!w.up || w.born != life)
}

func (w *Worker) clock() int64 {
	return int64(float64(time.Since(w.started).Milliseconds()) * (1 - w.slow))
}

// fromOwn returns how long a time on the worker's clock takes.
func (w *Worker) fromOwn(d time.Duration) time.Duration {
	return time.Duration(float64(d) / (1 - w.slow))
}

// SetSlow makes the worker's clock slow by a share, before the first order to it.
func (w *Worker) SetSlow(share float64) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.slow = share
}

func (w *Worker) free() resource.Vector {
	left := w.host.Capacity
	if time.Now().Before(w.roomTill) {
		left = left.Max(w.roomWas)
	}
	for _, x := range w.running {
		left = left.Sub(x.demand)
	}
	return left
}

// extend takes a deadline on the worker's clock.
func (w *Worker) extend(deadlineMS int64) {
	w.checkLease()
	if deadlineMS == 0 {
		return
	}
	at := w.started.Add(w.fromOwn(time.Duration(deadlineMS) * time.Millisecond))
	if most := time.Now().Add(w.fromOwn(leaseMost)); at.After(most) {
		at = most
	}
	if at.After(w.deadline) {
		w.deadline = at
	}
	if w.lapse != nil {
		w.lapse.Stop()
	}
	life := w.born
	w.lapse = time.AfterFunc(time.Until(w.deadline), func() {
		w.fleet.mu.Lock()
		defer w.fleet.mu.Unlock()
		if w.born == life && w.up {
			w.checkLease()
		}
	})
}

// checkLease ends what runs here if the lease has lapsed, also where the timer is late.
// Ends that are listed by then do not count as confirmed later.
func (w *Worker) checkLease() {
	if w.deadline.IsZero() || time.Now().Before(w.deadline) {
		return
	}
	w.deadline = time.Time{}
	for t, x := range w.running {
		w.end(t, x, wire.DocketOutcome_DOCKET_OUTCOME_LOST, false)
	}
	w.lapsedThrough = w.number
}

// end needs the lock.
func (w *Worker) end(t docket.TaskID, x *work, how wire.DocketOutcome, alone bool) {
	if w.running[t] != x {
		return
	}
	x.timer.Stop()
	delete(w.running, t)
	w.number++
	w.ended = append(w.ended, cell.EndedTask{Sequence: w.number, Task: t, Run: x.run, Outcome: how, Checkpoint: x.checkpoint, GangIncomplete: alone})
	w.barred[t] = max(w.barred[t], x.run)
	w.fleet.ended(w, t, x, how, alone)
	close(w.wake)
	w.wake = make(chan struct{})
}

// start needs the lock.
func (w *Worker) start(o cell.StartRequest) cell.StartResponse {
	r := cell.StartResponse{ClockMS: w.clock()}
	switch x := w.running[o.Task]; {
	case o.Epoch < w.fence:
		r.Refusal = cell.Fenced
		return r
	case x != nil && x.run == o.Run:
		return r
	case o.Run <= w.barred[o.Task] || x != nil:
		r.Refusal = cell.Outdated
		w.extend(o.DeadlineMS)
		return r
	case w.clock() >= o.DeadlineMS:
		r.Refusal = cell.Late
		return r
	}
	w.fence = o.Epoch
	w.extend(o.DeadlineMS)
	w.fleet.begun(w, o)
	return r
}

// stop needs the lock.
func (w *Worker) stop(o cell.StopRequest) {
	if o.Epoch < w.fence {
		return
	}
	w.fence = o.Epoch
	w.barred[o.Task] = max(w.barred[o.Task], o.Run)
	x := w.running[o.Task]
	if x == nil || x.run != o.Run || x.stopping {
		return
	}
	x.stopping = true
	time.AfterFunc(stopTime, func() {
		w.fleet.mu.Lock()
		defer w.fleet.mu.Unlock()
		x.checkpoint = fmt.Sprintf("stopped-%d", x.run)
		w.end(o.Task, x, wire.DocketOutcome_DOCKET_OUTCOME_STOPPED, false)
	})
}

// hold needs the lock.
func (w *Worker) hold(o cell.HoldRequest) (cell.HoldResponse, error) {
	if o.Epoch < w.fence {
		return cell.HoldResponse{}, fmt.Errorf("worker %s: epoch %d is below %d", w.host.ID, o.Epoch, w.fence)
	}
	w.fence = o.Epoch
	w.extend(o.DeadlineMS)
	for len(w.ended) > 0 && w.ended[0].Sequence <= o.Confirmed {
		w.fleet.confirmed(w, w.ended[0])
		w.ended = w.ended[1:]
	}
	once := endsOnce
	if w.fleet.EndsOnce > 0 {
		once = w.fleet.EndsOnce
	}
	ends := w.ended[:min(len(w.ended), once)]
	r := cell.HoldResponse{ClockMS: w.clock(), StartedMS: w.born, Complete: len(ends) < once}
	for t, x := range w.running {
		r.Running = append(r.Running, cell.RunningTask{Task: t, Run: x.run, Percent: x.percent(w.fleet.takes(t))})
	}
	r.Ended = append(r.Ended, ends...)
	return r, nil
}

// deliver carries an order to the worker and its answer back. do needs the lock.
func deliver[T any](ctx context.Context, w *Worker, h *cell.Host, do func() (T, error)) (T, error) {
	var zero T
	f := w.fleet
	pause.For(ctx, callTime)
	f.mu.Lock()
	switch {
	case w.up && !w.cut && !w.refusing && w.host.ID != h.ID:
		f.mu.Unlock()
		return zero, fmt.Errorf("worker %s at %s: %w", h.ID, h.Address, cell.ErrWorkerRestarted)
	case w.cut:
		f.mu.Unlock()
		<-ctx.Done()
		return zero, fmt.Errorf("%w: %w", cell.ErrUnanswered, ctx.Err())
	case !w.up || w.refusing:
		f.mu.Unlock()
		return zero, fmt.Errorf("%w: connection refused", cell.ErrNotSent)
	case w.lateLeft > 0:
		w.lateLeft--
		life := w.born
		time.AfterFunc(w.lateFor, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			if w.up && w.host.ID == h.ID {
				f.late, f.otherLife = true, w.born != life
				_, _ = do() // nobody hears the answer
				f.late, f.otherLife = false, false
			}
		})
		f.mu.Unlock()
		<-ctx.Done()
		return zero, fmt.Errorf("%w: %w", cell.ErrUnanswered, ctx.Err())
	}
	v, err := do()
	lost := w.mute > 0
	if lost {
		w.mute--
	}
	f.mu.Unlock()
	if lost {
		<-ctx.Done()
		return zero, fmt.Errorf("%w: %w", cell.ErrUnanswered, ctx.Err())
	}
	pause.For(ctx, callTime)
	return v, err
}
