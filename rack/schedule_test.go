package rack

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"persimmonworks.example/persimmonworks/worker"
)

// scheduledEvent is a fault or an operation that runs After the previous one.
type scheduledEvent struct {
	After  time.Duration
	Kind   string
	Worker int
	For    time.Duration
}

var eventKinds = []string{
	"submit", "submit", "submit", "submit", "freeze", "freeze-late", "lose", "drop", "cut", "mute", "mute", "delay", "pause", "take-over", "take-over", "leave", "acknowledge", "stop",
}

type schedule struct {
	Workers int
	Clocks  []float64 // rate error of each worker's clock, as a fraction
	Seed    uint64
	Events  []scheduledEvent
}

func drawSchedule(t *rapid.T) schedule {
	s := schedule{Workers: rapid.IntRange(1, 3).Draw(t, "workers"), Seed: rapid.Uint64().Draw(t, "seed")}
	for range s.Workers {
		s.Clocks = append(s.Clocks, float64(rapid.IntRange(-99, 99).Draw(t, "clock"))/10000)
	}
	s.Events = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) scheduledEvent {
		return scheduledEvent{
			After:  time.Duration(rapid.IntRange(0, 40).Draw(t, "after")) * testTick,
			Kind:   rapid.SampledFrom(eventKinds).Draw(t, "kind"),
			Worker: rapid.IntRange(1, s.Workers).Draw(t, "worker"),
			For:    time.Duration(rapid.IntRange(1, 120).Draw(t, "for")) * testTick,
		}
	}), 1, 25).Draw(t, "events")
	return s
}

// runSchedule runs a schedule and returns the violations found.
func runSchedule(s schedule) []string {
	b := newTestCluster(s.Workers)
	random := rand.New(rand.NewPCG(s.Seed, 0))
	for i, e := range s.Clocks {
		b.applyFault(fmt.Sprintf(`{"hosts":{"w%d":{"clock-error":%v}}}`, i+1, e))
	}
	var dropUntil, delayUntil time.Time
	cut, mute := map[string]time.Time{}, map[string]time.Time{}
	b.networkFault = func(id string) (request, response bool, delay time.Duration) {
		now := time.Now()
		if now.Before(cut[id]) || now.Before(mute[id]) {
			return now.Before(cut[id]), true, 0
		}
		if now.Before(dropUntil) {
			request, response = random.IntN(2) == 0, random.IntN(2) == 0
		}
		if now.Before(delayUntil) && random.IntN(3) == 0 {
			delay = time.Duration(random.Int64N(int64(time.Minute)))
		}
		return request, response, delay
	}
	lost := map[string]bool{}
	epoch := uint64(1)
	for n, e := range s.Events {
		b.run(e.After)
		id := fmt.Sprintf("w%d", e.Worker)
		set := func(change string) { b.applyFault(fmt.Sprintf(`{"hosts":{%q:%s}}`, id, change)) }
		switch e.Kind {
		case "submit":
			b.submit(fmt.Sprintf("j/%d", n), fmt.Sprintf(`{"run-ms":%d}`, e.For.Milliseconds()))
		case "freeze", "freeze-late":
			set(fmt.Sprintf(`{"frozen":true,"late":%v}`, e.Kind == "freeze-late"))
			time.AfterFunc(e.For, func() { set(`{"frozen":false}`) })
		case "lose":
			set(`{"lost":true}`)
			b.agents[id].Crash()
			b.mutex.Lock()
			for task, w := range b.unacknowledgedWorkers() {
				if w == id {
					lost[task] = true
				}
			}
			b.mutex.Unlock()
			time.AfterFunc(e.For, func() { set(`{"lost":false}`) })
		case "drop":
			b.mutex.Lock()
			dropUntil = time.Now().Add(e.For)
			b.mutex.Unlock()
		case "cut", "mute":
			b.mutex.Lock()
			map[string]map[string]time.Time{"cut": cut, "mute": mute}[e.Kind][id] = time.Now().Add(e.For)
			b.mutex.Unlock()
		case "delay":
			b.mutex.Lock()
			delayUntil = time.Now().Add(e.For)
			b.mutex.Unlock()
		case "pause":
			time.Sleep(e.For)
		case "take-over":
			epoch++
			b.takeOver(epoch)
		case "leave":
			b.mutex.Lock()
			b.rack.SetLeaving(id, true)
			b.mutex.Unlock()
			time.AfterFunc(e.For, func() {
				b.mutex.Lock()
				defer b.mutex.Unlock()
				b.rack.SetLeaving(id, false)
			})
		case "acknowledge":
			b.acknowledge()
		case "stop":
			b.stopRandomTasks(random)
		}
	}
	b.run(3 * time.Minute) // all faults have ended by now
	b.checkResults(lost)
	return b.close()
}

// unacknowledgedWorkers maps each task with an unacknowledged result to its
// worker.
func (b *testCluster) unacknowledgedWorkers() map[string]string {
	all := map[string]string{}
	for id, t := range b.tasks {
		if t.unacknowledged {
			all[id] = t.worker
		}
	}
	return all
}

func (b *testCluster) acknowledge() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for id, t := range b.tasks {
		ref := worker.Ref{Task: id, Attempt: t.attempt}
		if _, found := b.rack.Attempt(ref); t.unacknowledged && found && !b.mustReconcile {
			b.rack.Acknowledge(ref)
			t.unacknowledged = false
		}
	}
}

func (b *testCluster) stopRandomTasks(random *rand.Rand) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, id := range b.order {
		t := b.tasks[id]
		if !t.placed || t.ended || b.mustReconcile || random.IntN(2) == 0 {
			continue
		}
		if a, err := b.rack.Stop(worker.Ref{Task: id, Attempt: t.attempt}, false); err == nil && a.Final() {
			b.handleEnd(a)
		}
	}
}

// checkResults records tasks that never finished, results that disappeared
// before they were acknowledged, and workers that are still closed.
func (b *testCluster) checkResults(lost map[string]bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, id := range b.order {
		t := b.tasks[id]
		a, found := b.rack.Attempt(worker.Ref{Task: id, Attempt: t.attempt})
		switch {
		case !t.done:
			b.violations = append(b.violations, fmt.Sprintf("task %s attempt %d never finished", id, t.attempt))
		case t.unacknowledged && !lost[id] && (!found || a.LastReport.State != worker.Done):
			b.violations = append(b.violations, fmt.Sprintf("result of task %s attempt %d of worker %s was lost before it was acknowledged", id, t.attempt, t.worker))
		}
	}
	for _, w := range b.rack.Workers() {
		if why := b.rack.Closed(w); why != "" {
			b.violations = append(b.violations, fmt.Sprintf("worker %s is still closed: %s", w, why))
		}
	}
}

// Under random faults of the network, the workers and the rack's owner, no task
// runs in two places, no attempt runs twice, no worker exceeds its capacity,
// every task finishes, and each result is kept until it is acknowledged.
func TestRackUnderFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := drawSchedule(r)
		var found []string
		synctest.Test(t, func(*testing.T) { found = runSchedule(s) })
		for _, f := range found {
			r.Error(f)
		}
	})
}
