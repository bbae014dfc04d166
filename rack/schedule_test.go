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

// happening is one event of a schedule.
type happening struct {
	After  time.Duration
	Kind   string
	Worker int
	For    time.Duration
}

var happenings = []string{
	"submit", "submit", "submit", "submit", "freeze", "freeze-late", "lose", "drop", "cut", "mute", "mute", "delay", "pause", "take-over", "take-over", "leave", "acknowledge", "stop",
}

type schedule struct {
	Workers int
	Clocks  []float64 // rate errors
	Seed    uint64
	Events  []happening
}

func drawSchedule(t *rapid.T) schedule {
	s := schedule{Workers: rapid.IntRange(1, 3).Draw(t, "workers"), Seed: rapid.Uint64().Draw(t, "seed")}
	for range s.Workers {
		s.Clocks = append(s.Clocks, float64(rapid.IntRange(-99, 99).Draw(t, "clock"))/10000)
	}
	s.Events = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) happening {
		return happening{
			After:  time.Duration(rapid.IntRange(0, 40).Draw(t, "after")) * testTick,
			Kind:   rapid.SampledFrom(happenings).Draw(t, "kind"),
			Worker: rapid.IntRange(1, s.Workers).Draw(t, "worker"),
			For:    time.Duration(rapid.IntRange(1, 120).Draw(t, "for")) * testTick,
		}
	}), 1, 25).Draw(t, "events")
	return s
}

// play runs a schedule and returns what was broken.
func play(s schedule) []string {
	b := newBed(s.Workers)
	random := rand.New(rand.NewPCG(s.Seed, 0))
	for i, e := range s.Clocks {
		b.apply(fmt.Sprintf(`{"hosts":{"w%d":{"clock-error":%v}}}`, i+1, e))
	}
	var dropUntil, delayUntil time.Time
	cut, mute := map[string]time.Time{}, map[string]time.Time{}
	b.dropped = func(id string) (request, answer bool, late time.Duration) {
		now := time.Now()
		if now.Before(cut[id]) || now.Before(mute[id]) {
			return now.Before(cut[id]), true, 0
		}
		if now.Before(dropUntil) {
			request, answer = random.IntN(2) == 0, random.IntN(2) == 0
		}
		if now.Before(delayUntil) && random.IntN(3) == 0 {
			late = time.Duration(random.Int64N(int64(time.Minute)))
		}
		return request, answer, late
	}
	lost := map[string]bool{}
	epoch := uint64(1)
	for n, e := range s.Events {
		b.run(e.After)
		id := fmt.Sprintf("w%d", e.Worker)
		set := func(change string) { b.apply(fmt.Sprintf(`{"hosts":{%q:%s}}`, id, change)) }
		switch e.Kind {
		case "submit":
			b.submit(fmt.Sprintf("j/%d", n), fmt.Sprintf(`{"run-ms":%d}`, e.For.Milliseconds()))
		case "freeze", "freeze-late":
			set(fmt.Sprintf(`{"frozen":true,"late":%v}`, e.Kind == "freeze-late"))
			time.AfterFunc(e.For, func() { set(`{"frozen":false}`) })
		case "lose":
			set(`{"lost":true}`)
			b.agents[id].Lose()
			b.mutex.Lock()
			for task, w := range b.where() {
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
			b.stopSome(random)
		}
	}
	b.run(3 * time.Minute) // all faults are over by now
	b.checkKept(lost)
	return b.close()
}

// where returns the workers of finished tasks that are kept.
func (b *bed) where() map[string]string {
	all := map[string]string{}
	for id, t := range b.tasks {
		if t.kept {
			all[id] = t.worker
		}
	}
	return all
}

func (b *bed) acknowledge() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for id, t := range b.tasks {
		ref := worker.Ref{Task: id, Attempt: t.attempt}
		if _, here := b.rack.Attempt(ref); t.kept && here && !b.missing {
			b.rack.Acknowledge(ref)
			t.kept = false
		}
	}
}

func (b *bed) stopSome(random *rand.Rand) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, id := range b.order {
		t := b.tasks[id]
		if !t.placed || t.ended || b.missing || random.IntN(2) == 0 {
			continue
		}
		if a, err := b.rack.Stop(worker.Ref{Task: id, Attempt: t.attempt}, false); err == nil && a.Final() {
			b.end(a)
		}
	}
}

// checkKept looks for tasks that never ended, and for results that are gone
// although nobody has acknowledged them.
func (b *bed) checkKept(lost map[string]bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, id := range b.order {
		t := b.tasks[id]
		a, here := b.rack.Attempt(worker.Ref{Task: id, Attempt: t.attempt})
		switch {
		case !t.done:
			b.faults = append(b.faults, fmt.Sprintf("task %s attempt %d never ended", id, t.attempt))
		case t.kept && !lost[id] && (!here || a.End.State != worker.Done):
			b.faults = append(b.faults, fmt.Sprintf("result of task %s attempt %d of worker %s is gone", id, t.attempt, t.worker))
		}
	}
	for _, w := range b.rack.Workers() {
		if why := b.rack.Closed(w); why != "" {
			b.faults = append(b.faults, fmt.Sprintf("worker %s stays closed: %s", w, why))
		}
	}
}

// Whatever happens to messages, workers and owners, no task runs in two
// places, no attempt runs twice, no worker is given more than it holds, every
// task ends, and a result stays until it is acknowledged.
func TestRackUnderFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := drawSchedule(r)
		var found []string
		synctest.Test(t, func(*testing.T) { found = play(s) })
		for _, f := range found {
			r.Error(f)
		}
	})
}
