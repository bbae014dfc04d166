package experiment_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/measure/experiment"
	"persimmonworks.example/persimmonworks/measure/workload"
	"persimmonworks.example/persimmonworks/queue"
)

// settings describe a small cell that batch work fills.
const settings = `
[workload]
name = small
workers = 8
cores = 4
memory-mb = 8192
workers-per-rack = 4
data-centres = 1
runners = 4
slots = 4
duration = 40s
warm-up = 5s
declared-error = 10

[stream check]
organisation = a
class = urgent
rate = 2
median = 200ms
sigma = 0.5
longest = 1s
milli-cpu = 1000
memory-mb = 1024
deadline = 20s

[stream render]
organisation = b
class = batch
rate = 1
batch = 12
median = 4s
sigma = 0.5
longest = 8s
milli-cpu = 1000
memory-mb = 1024
`

func small(t *testing.T) *workload.Workload {
	t.Helper()
	w, err := workload.Parse("small", []byte(settings))
	if err != nil {
		t.Fatal(err)
	}
	return w
}

// Every measured arrival is finished, refused, waiting or running at the end;
// the same seed gives the same figures, and FIFO lets urgent work wait longer.
func TestRunsAccountForAllWork(t *testing.T) {
	type policy interface {
		Run(w *workload.Workload, seed uint64) *experiment.Result
	}
	for _, pair := range [][2]policy{
		{experiment.Requests{Name: "gate"}, experiment.Requests{Name: "fifo", FIFO: true}},
		{experiment.Tasks{Name: "fair", Reserve: 0.1, Learn: true}, experiment.Tasks{Name: "fifo", Queue: queue.FIFO{}}},
	} {
		w := small(t)
		var waits []int64
		for _, p := range pair {
			r, again := p.Run(w, 1), p.Run(w, 1)
			for n, s := range r.Streams {
				if s.Arrived == 0 || s.Finished+s.Refused > s.Arrived || int64(s.Finished) > s.Wait.TotalCount() {
					t.Errorf("%s, %s: %d arrived, %d started, %d finished, %d refused", r.Policy, s.Name, s.Arrived, s.Wait.TotalCount(), s.Finished, s.Refused)
				}
				if got := again.Streams[n]; got.Finished != s.Finished || !got.Wait.Equals(s.Wait) {
					t.Errorf("%s, %s: the same seed gave %d and %d finished", r.Policy, s.Name, s.Finished, got.Finished)
				}
			}
			waits = append(waits, r.Of("check").Wait.ValueAtQuantile(90))
		}
		if waits[0]*5 > waits[1] {
			t.Errorf("%T: checks wait %d µs, and %d µs with the baseline: the load shows nothing", pair[0], waits[0], waits[1])
		}
	}
}

// Leaving a class out leaves the arrivals of the others as they are.
func TestArrivalsOfOtherStreamsStay(t *testing.T) {
	w := small(t)
	var all, alone []string
	for _, a := range w.Arrivals(7) {
		if a.Stream.Name == "check" {
			all = append(all, fmt.Sprint(a.At, a.RunTime, a.Declared))
		}
	}
	for _, a := range w.Without(class.Batch).Arrivals(7) {
		alone = append(alone, fmt.Sprint(a.At, a.RunTime, a.Declared))
	}
	if len(all) == 0 || fmt.Sprint(all) != fmt.Sprint(alone) {
		t.Errorf("%d arrivals beside batch work, and %d others without", len(all), len(alone))
	}
}

// A gang job with a reservation starts no later than the stated bound, and
// without one it does not start while batch work keeps coming.
func TestGangStartsWithinBound(t *testing.T) {
	for seed := range uint64(5) {
		w := small(t)
		with := experiment.Gang{Name: "reservation", Reserve: true, Learn: true}.Run(w, seed)
		if !with.Started || with.Waited > with.Bound {
			t.Errorf("seed %d: started %v after %v, bound %v", seed, with.Started, with.Waited, with.Bound)
		}
		if without := (experiment.Gang{Name: "none", Learn: true}).Run(w, seed); without.Started {
			t.Errorf("seed %d: started without a reservation after %v: the load shows nothing", seed, without.Waited)
		}
	}
}

// saturated is a cell in which one organisation has tasks as large as a worker
// and two have small ones, all with more work than the cell holds.
const saturated = `
[workload]
name = saturated
workers = 50
cores = 4
memory-mb = 8192
workers-per-rack = 5
data-centres = 1
runners = 1
slots = 1
duration = 310s
warm-up = 180s
declared-error = 10

[stream whole]
organisation = a
class = batch
rate = 8
median = 4s
sigma = 0.5
longest = 10s
milli-cpu = 4000
memory-mb = 8192

[stream half]
organisation = b
class = batch
rate = 16
median = 4s
sigma = 0.5
longest = 10s
milli-cpu = 2000
memory-mb = 4096

[stream quarter]
organisation = c
class = batch
rate = 32
median = 4s
sigma = 0.5
longest = 10s
milli-cpu = 1000
memory-mb = 2048
`

// With room kept for the task that goes first, no organisation gets less than
// 95 % of its weighted share over a minute, however large its tasks are beside
// a worker.
func TestLargeTasksGetTheirShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w, err := workload.Parse("saturated", []byte(saturated))
		if err != nil {
			t.Fatal(err)
		}
		for _, s := range w.Streams {
			s.Weight = rapid.IntRange(1, 2).Draw(t, s.Name)
		}
		r := experiment.Tasks{Name: "room kept", KeepRoom: true}.Run(w, rapid.Uint64Range(1, 1000).Draw(t, "seed"))
		if len(r.Shares) == 0 {
			t.Fatal("no organisation always had work waiting")
		}
		for _, m := range r.Shares {
			if m.Got < 0.95*m.Fair {
				t.Errorf("organisation %s got %.3f from %v on, its share is %.3f", m.Organisation, m.Got, m.At, m.Fair)
			}
		}
	})
}
