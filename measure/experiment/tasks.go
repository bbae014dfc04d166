// Package experiment runs the decision packages in virtual time.
//
// Tasks drives queue, directory, placement, estimate and quarantine; Requests
// drives admission and runner. Around them are only events:
// work arrives, ends or fails, and summaries come in. There is no network, no
// platform and no other process. The same workload and seed give the same
// decisions; only the cost of control is taken from the clock.
//
// Usage:
//
//	w, err := workload.Load("prado")
//	r := experiment.Tasks{Name: "ours", Reserve: 0.125, Learn: true}.Run(w, seed)
//	fmt.Println(r.Of("pigment-check").Wait.ValueAtQuantile(99))
package experiment

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/directory"
	"persimmonworks.example/persimmonworks/estimate"
	"persimmonworks.example/persimmonworks/measure/agenda"
	"persimmonworks.example/persimmonworks/measure/outcome"
	"persimmonworks.example/persimmonworks/measure/workload"
	"persimmonworks.example/persimmonworks/placement"
	"persimmonworks.example/persimmonworks/quarantine"
	"persimmonworks.example/persimmonworks/queue"
	"persimmonworks.example/persimmonworks/resource"
)

const (
	longAfter     = 15 * time.Second       // expected run time of long work
	longQuantile  = 0.5                    // of the learned run times
	failsAfter    = 100 * time.Millisecond // run time of an attempt on a failing worker
	fairHalfLife  = time.Minute            // of the queue's memory
	failAttempts  = 3                      // after which a task is parked
	placementSeed = 3
)

// Tasks is a policy for tasks on workers. The zero value is the queue and
// placement of the product without reserve, learning and quarantine.
type Tasks struct {
	Name       string
	Queue      queue.Policy     // nil for Fair
	Placement  placement.Policy // nil for BestFit
	Reserve    float64          // of each worker, for short work
	Learn      bool             // run times are learned; else they are as declared
	Late       time.Duration    // between two summaries of a shard; zero for at once
	KeepRoom   bool             // keep a worker for the task that goes first but does not fit
	Quarantine bool
	Failing    int // one worker in so many fails everything; zero for none
}

// taskEvent is an arrival, the end of an attempt, or a tick.
type taskEvent struct {
	arrival *workload.Arrival
	attempt *attempt
	tick    func(at time.Duration)
}

// attempt is a running task.
type attempt struct {
	arrival *workload.Arrival
	item    queue.Item
	rack    string
	worker  string
	began   time.Duration
	failed  bool
}

// tasks is a run.
type tasks struct {
	p         Tasks
	w         *workload.Workload
	rng       *rand.Rand
	agenda    agenda.Agenda[taskEvent]
	queue     queue.Queue
	directory directory.Directory
	racks     map[string]*placement.Shard
	centre    map[string]string // by rack
	centres   []string
	order     []string // racks
	rackOf    map[string]string
	failing   map[string]bool
	ward      quarantine.Tracker
	attempts  quarantine.TaskFailures
	learned   estimate.Estimator
	waiting   map[string]*workload.Arrival
	attempted map[string]bool
	kept      []keeping
	now       time.Time // of the decision
	result    *outcome.Result
	samples   int
	held      map[string]float64 // dominant share seconds of the minute, by organisation
	starved   map[string]bool    // had nothing waiting in the minute
	minute    time.Duration
}

// Run measures the policy.
func (p Tasks) Run(w *workload.Workload, seed uint64) *outcome.Result {
	t := &tasks{
		p: p, w: w, rng: rand.New(rand.NewPCG(seed, placementSeed)), result: outcome.New(p.Name, w, seed),
		queue:   queue.Queue{Policy: p.Queue, HalfLife: fairHalfLife, Shares: make(map[string]queue.Share)},
		racks:   make(map[string]*placement.Shard),
		centre:  make(map[string]string),
		rackOf:  make(map[string]string),
		failing: make(map[string]bool), attempts: quarantine.TaskFailures{Limit: failAttempts},
		waiting: make(map[string]*workload.Arrival), attempted: make(map[string]bool),
		held: make(map[string]float64), starved: make(map[string]bool),
	}
	t.queue.SetPool(w.Pool())
	for _, s := range w.Streams {
		t.queue.Shares[s.Organisation] = queue.Share{Weight: max(1, s.Weight)}
	}
	t.build()
	arrivals := w.Arrivals(seed)
	for n := range arrivals {
		t.agenda.Add(arrivals[n].At, taskEvent{arrival: &arrivals[n]})
	}
	t.agenda.Add(sampleEvery, taskEvent{tick: t.sample})
	if p.Late > 0 {
		t.agenda.Add(p.Late, taskEvent{tick: t.summaries})
	}
	t.run()
	return t.result
}

func (t *tasks) build() {
	for n := range t.w.DataCentres {
		t.centres = append(t.centres, fmt.Sprint("dc-", n))
	}
	for n := range t.w.Workers {
		rack := fmt.Sprint("rack-", n/t.w.WorkersPerRack)
		s, ok := t.racks[rack]
		if !ok {
			s = &placement.Shard{Policy: t.p.Placement, Reserve: t.p.Reserve}
			t.racks[rack] = s
			t.centre[rack] = t.centres[n/t.w.WorkersPerRack%len(t.centres)]
			t.order = append(t.order, rack)
		}
		id := fmt.Sprint("w-", n)
		if err := s.AddWorker(placement.Worker{ID: id, Rack: rack, DataCentre: t.centre[rack], Capacity: t.w.Capacity()}); err != nil {
			panic(err) // the names are distinct
		}
		t.rackOf[id] = rack
		t.ward.AddWorker(id, t.centre[rack])
		t.failing[id] = t.p.Failing > 0 && n%t.p.Failing == 0
	}
	for _, rack := range t.order {
		t.advertise(rack)
	}
}

func (t *tasks) advertise(rack string) {
	s := t.racks[rack]
	t.directory.Update(directory.Summary{Shard: rack, Rack: rack, DataCentre: t.centre[rack], Largest: s.Largest(), LargestLong: s.LargestLong(), Free: s.FreeCapacity()})
}

// changed advertises a rack at once, unless summaries are late.
func (t *tasks) changed(rack string) {
	if t.p.Late == 0 {
		t.advertise(rack)
	}
}

func (t *tasks) run() {
	for {
		at, e, ok := t.agenda.Next()
		if !ok || at > t.w.Duration {
			break
		}
		switch {
		case e.tick != nil:
			e.tick(at)
		case e.attempt != nil:
			t.end(at, e.attempt)
		default:
			t.result.Arrived(t.w, *e.arrival)
			t.push(at, e.arrival)
		}
		if t.agenda.Due(at) {
			continue // one round of decisions for all that happens at once
		}
		t.place(at)
	}
	for _, e := range t.agenda.Pending() {
		if x := e.attempt; x != nil && !x.failed {
			t.result.Worked(t.w, *x.arrival, x.began, t.w.Duration, cores(x.arrival))
		}
	}
	for _, a := range t.waiting {
		t.result.Of(a.Stream.Name).Waiting++
	}
	for _, c := range t.centres {
		held, _ := t.ward.Restricted(c)
		t.result.Held += held
	}
}

func cores(a *workload.Arrival) float64 {
	return float64(a.Stream.MilliCPU) / resource.MilliPerCore
}

func (t *tasks) push(at time.Duration, a *workload.Arrival) {
	s := a.Stream
	expected := a.Declared
	if t.p.Learn {
		expected, _ = t.learned.Estimate(s.Organisation, s.Name, a.Declared, longQuantile)
	}
	i := queue.Item{
		ID: a.ID, Group: a.Job, Organisation: s.Organisation, Class: s.Class(), Kind: s.Name, Demand: s.Demand(),
		Long: s.Class() == class.Batch && estimate.IsLong(expected, 0, longAfter), Estimate: expected, Enqueued: outcome.Start.Add(a.At),
	}
	if s.Deadline > 0 {
		i.Deadline = outcome.Start.Add(a.At + s.Deadline)
		if i.Deadline.Before(outcome.Start.Add(at)) {
			t.result.Refused(t.w, *a)
			return
		}
	}
	t.waiting[a.ID] = a
	t.queue.Push(i)
}

func taskOf(i queue.Item) placement.Task {
	return placement.Task{ID: i.ID, Demand: i.Demand, Class: i.Class, Long: i.Long, Organisation: i.Organisation}
}

// place starts what fits.
func (t *tasks) place(at time.Duration) {
	now := outcome.Start.Add(at)
	for {
		before := time.Now()
		t.keepRoom(now)
		i, worker, rack, ok := t.decide(now)
		_ = t.result.Decision.RecordValue(max(1, time.Since(before).Microseconds()))
		for _, x := range t.queue.Expired(now) {
			t.result.Refused(t.w, *t.waiting[x.ID])
			delete(t.waiting, x.ID)
		}
		if !ok {
			return
		}
		t.start(at, i, worker, rack)
	}
}

// decide chooses a task, a rack and a worker.
func (t *tasks) decide(now time.Time) (i queue.Item, worker, rack string, ok bool) {
	i, ok = t.queue.Next(now, func(i queue.Item) bool { return t.directory.Fits(taskOf(i), t.centres) })
	if !ok {
		return i, "", "", false
	}
	for {
		rack, err := t.directory.Choose(taskOf(i), t.centres, t.rng)
		if err != nil {
			// All racks refused it, and advertise less now.
			t.queue.Push(i)
			return t.decide(now)
		}
		worker, err := t.racks[rack].Place(taskOf(i), t.rng)
		if err == nil {
			return i, worker, rack, true
		}
		if !errors.Is(err, placement.ErrNoCapacity) {
			panic(err) // no task is larger than a worker
		}
		t.directory.RecordRefusal(rack, taskOf(i))
	}
}

func (t *tasks) start(at time.Duration, i queue.Item, worker, rack string) {
	a := t.waiting[i.ID]
	delete(t.waiting, i.ID)
	t.queue.Started(i, outcome.Start.Add(at))
	t.changed(rack)
	if !t.attempted[i.ID] {
		t.attempted[i.ID] = true
		t.result.Started(t.w, *a, at)
	}
	x := &attempt{arrival: a, item: i, rack: rack, worker: worker, began: at, failed: t.failing[worker]}
	ran := a.RunTime
	if x.failed {
		ran = min(ran, failsAfter)
	}
	t.agenda.Add(at+ran, taskEvent{attempt: x})
	if t.p.Learn && i.Class == class.Batch && !i.Long && ran > longAfter {
		t.agenda.Add(at+longAfter, taskEvent{tick: func(time.Duration) { t.outlasted(x) }})
	}
}

// outlasted counts a task as long that was expected to be short. It still
// runs, since its end comes later.
func (t *tasks) outlasted(x *attempt) {
	if t.racks[x.rack].MarkLong(x.item.ID) {
		t.changed(x.rack)
	}
}

func (t *tasks) end(at time.Duration, x *attempt) {
	now, a := outcome.Start.Add(at), x.arrival
	t.queue.Ended(x.item, now)
	t.racks[x.rack].Release(a.ID)
	o := quarantine.Attempt{Worker: x.worker, Task: a.ID, Job: a.Job, Organisation: a.Stream.Organisation}
	if x.failed {
		t.result.Failures++
		if t.p.Quarantine && t.ward.RecordFailure(o, now) {
			t.closeWorker(x.worker)
		}
		if t.attempts.RecordFailure(a.ID, x.worker, "exit status 1") {
			t.result.Refused(t.w, *a)
		} else {
			t.push(at, a)
		}
		t.changed(x.rack)
		return
	}
	if t.p.Quarantine {
		for _, worker := range t.ward.RecordSuccess(o, now) {
			t.closeWorker(worker)
		}
	}
	t.result.Worked(t.w, *a, x.began, at, cores(a))
	t.learned.Observe(a.Stream.Organisation, a.Stream.Name, a.RunTime, a.Declared)
	t.result.Ended(t.w, *a, at)
	t.result.Spread(x.began, at, x.item.Demand.DominantShare(t.w.Pool()))
	t.changed(x.rack)
}

func (t *tasks) closeWorker(worker string) {
	if err := t.racks[t.rackOf[worker]].Close(worker, t.ward.Reason(worker)); err != nil {
		panic(err) // the ward knows only workers of the racks
	}
	t.changed(t.rackOf[worker])
}

func (t *tasks) summaries(at time.Duration) {
	for _, rack := range t.order {
		t.advertise(rack)
	}
	t.agenda.Add(at+t.p.Late, taskEvent{tick: t.summaries})
}
