package cell

import (
	"slices"
	"time"

	"persimmonworks.example/persimmonworks/docket"
	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/packing"
	"persimmonworks.example/persimmonworks/wire"
)

// ticketMargin is the time that a start needs to reach its worker.
const ticketMargin = 250 * time.Millisecond

// pass places what can start now.
func (c *Cell) pass() {
	c.waiting = false
	now := time.Now()
	if !c.dirty {
		return
	}
	if c.stalled(now) {
		return // a start that cannot be stored would outlive its ticket
	}
	c.dirty = false
	open := make([]*worker, 0, len(c.workers))
	for _, w := range c.workers {
		if c.takes(w, now) {
			open = append(open, w)
		}
	}
	slices.SortFunc(open, func(v, w *worker) int { return compareText(v.host.ID, w.host.ID) })
	steps := make([]*step, 0, len(c.steps))
	for _, s := range c.steps {
		steps = append(steps, s)
	}
	slices.SortFunc(steps, func(a, b *step) int { return compareSteps(a, b, now) })
	kept := earmarks{}
	for _, s := range steps {
		c.tryStep(s, kept.allowed(s, open, now), now)
		if float64(len(kept)) < earmarkShare*float64(len(open)) {
			c.earmark(s, kept, open, now)
		}
	}
	took := time.Since(now)
	c.Meter.Observe("pass", took)
	c.passAt = now.Add(max(passInterval, passShare*took))
}

func compareText(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// tryStep starts what it can of a step, and asks for advice where that is what
// it lacks.
func (c *Cell) tryStep(s *step, open []*worker, now time.Time) {
	if len(s.reserved) > 0 {
		return
	}
	indices := s.startable()
	if len(indices) == 0 {
		return
	}
	asks := s.queue.GetAdvice() != nil && !s.asking && now.After(s.askAgain) && c.Advice.Can(s.queue.GetAdvice(), now)
	if s.queue.GetAdvice() != nil && len(s.tickets) == 0 && !asks {
		return
	}
	fit := c.eligible(s, open)
	ready := fit
	if s.queue.GetAdvice() != nil {
		ready = slices.DeleteFunc(slices.Clone(fit), func(w *worker) bool { return !s.valid(w, now) })
	}
	if s.shape.GetGang() {
		if c.startGang(s, indices, ready, now) {
			return
		}
	} else {
		indices = c.startTasks(s, indices, ready, now)
		if len(indices) == 0 {
			return
		}
	}
	if asks {
		c.seekAdvice(s, indices, fit, now)
	}
}

// eligible returns the workers that are not known to be barred from the step.
func (c *Cell) eligible(s *step, open []*worker) []*worker {
	var fit []*worker
	for _, w := range open {
		if w.host.Service == s.queue.GetService() && w.host.Has(s.shape.GetRequires()) && !s.denied[w.host.ID] && !w.disturbs(s.shape) {
			fit = append(fit, w)
		}
	}
	return fit
}

// disturbs reports whether the step would fill up beside a task that serves, or
// serve beside one that fills. Such tasks are kept on different workers, since
// nothing slows down the one that fills.
func (w *worker) disturbs(shape *wire.DocketStep) bool {
	if !shape.GetFills() && shape.GetTargetMs() == 0 {
		return false
	}
	for _, x := range w.runs {
		if shape.GetFills() && x.shape.GetTargetMs() > 0 || shape.GetTargetMs() > 0 && x.shape.GetFills() {
			return true
		}
	}
	return false
}

func (s *step) valid(w *worker, now time.Time) bool {
	t, ok := s.tickets[w.host.ID]
	return ok && t.life == w.life && now.Add(ticketMargin).Before(t.until)
}

func (c *Cell) room(s *step, w *worker) packing.Room {
	r := packing.Room{Free: w.free(), Capacity: w.host.Capacity, Most: -1, Cost: c.speeds.cost(w.host.ID)}
	if most := s.shape.GetAntiAffinity(); most > 0 {
		r.Most = int(most) - w.tasksOf(s.id)
	}
	if rack := s.shape.GetDataRack(); rack != "" && rack != w.host.Rack {
		r.Cost += 0.5 // work far from its data takes half as long again
	}
	return r
}

func (w *worker) tasksOf(id docket.StepID) int {
	count := 0
	for t := range w.runs {
		if t.StepID() == id {
			count++
		}
	}
	return count
}

func (c *Cell) rooms(s *step, workers []*worker) []packing.Room {
	rooms := make([]packing.Room, len(workers))
	for i, w := range workers {
		rooms[i] = c.room(s, w)
	}
	return rooms
}

// startTasks starts single tasks while there is room and returns those left.
func (c *Cell) startTasks(s *step, indices []uint32, workers []*worker, now time.Time) []uint32 {
	if len(workers) == 0 {
		return indices
	}
	rooms := c.rooms(s, workers)
	amount := demand(s.shape)
	var left []uint32
	for _, index := range indices {
		t := &s.state.Tasks()[index]
		i, ok := packing.One(rooms, amount)
		if !ok {
			left = append(left, index)
			continue
		}
		if workers[i].host.ID == t.FailedOn() && len(workers) > 1 {
			other := slices.Clone(rooms)
			other[i].Most = 0
			if k, ok := packing.One(other, amount); ok {
				i = k
			}
		}
		rooms[i].Free = rooms[i].Free.Sub(amount)
		if rooms[i].Most > 0 {
			rooms[i].Most--
		}
		c.start(s, index, t.Run()+1, workers[i], now)
	}
	return left
}

// startGang starts all members at once, or none.
func (c *Cell) startGang(s *step, indices []uint32, workers []*worker, now time.Time) bool {
	counts, ok := c.fitGang(s, len(indices), workers)
	if !ok {
		return false
	}
	number := uint32(0)
	for i := range s.state.Tasks() {
		number = max(number, s.state.Tasks()[i].Run())
	}
	next := 0
	for i, w := range workers {
		for range counts[i] {
			c.start(s, indices[next], number+1, w, now)
			next++
		}
	}
	return true
}

// fitGang packs a gang, within one rack if it wants that and one has room.
func (c *Cell) fitGang(s *step, members int, workers []*worker) ([]int, bool) {
	rooms := c.rooms(s, workers)
	amount := demand(s.shape)
	if s.shape.GetSameRack() {
		for _, rack := range racksOf(workers) {
			near := slices.Clone(rooms)
			for i, w := range workers {
				if w.host.Rack != rack {
					near[i].Most = 0
				}
			}
			if counts, ok := packing.All(near, amount, members); ok {
				return counts, true
			}
		}
	}
	return packing.All(rooms, amount, members)
}

func racksOf(workers []*worker) []string {
	var racks []string
	for _, w := range workers {
		if !slices.Contains(racks, w.host.Rack) {
			racks = append(racks, w.host.Rack)
		}
	}
	return racks
}

// start stores the start of a run and sends it once it is stored.
func (c *Cell) start(s *step, index, number uint32, w *worker, now time.Time) {
	id := s.id.Task(index)
	x := &run{
		task: id, number: number, shape: s.shape, queue: s.queue.GetName(), gang: s.shape.GetGang(),
		life: w.life, phase: committing, began: now, ticket: s.tickets[w.host.ID].value,
	}
	if !c.append(docket.Start(id, number, w.host.ID, w.life), func() { c.sendStart(x) }) {
		return
	}
	c.place(x, w)
	c.Log.Emit(event.TaskStarting, "job", id.Job, "task", id.String(), "run", number, "worker", w.host.ID,
		"epoch", c.Epoch(), "free-milli-cpu", w.free().MilliCPU, "waited-ms", now.Sub(s.opened).Milliseconds(),
		"heard-ms", now.Sub(w.heard).Milliseconds())
	c.Meter.Observe("wait", now.Sub(s.opened))
}

// learn notes how fast a worker did a task.
func (c *Cell) learn(x *run, now time.Time) {
	j, ok := c.Docket.Job(x.task.Job)
	if !ok || j.Task(x.task).Checkpoint() != "" {
		return
	}
	c.speeds.note(x.worker.host.ID, x.queue, x.shape.GetEstimateMs(), now.Sub(x.began))
}
