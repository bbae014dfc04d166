package queue

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/resource"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func anyFits(Item) bool { return true }

func cores(n int64) resource.Vector {
	return resource.Vector{MilliCPU: n * resource.MilliPerCore, MemoryMB: n * 2048}
}

// startAll starts all tasks that Next returns, and returns their IDs in order. It
// appends "!" to the ID of a task that Preferred did not return before.
func startAll(q *Queue, now time.Time) []string {
	var order []string
	for {
		preferred, _ := q.Preferred(now, anyFits)
		i, ok := q.Next(now, anyFits)
		if !ok {
			return order
		}
		if preferred != i {
			i.ID += "!"
		}
		q.Started(i, now)
		order = append(order, i.ID)
	}
}

// Tasks start by class, then weighted usage, then priority and age.
func TestOrder(t *testing.T) {
	small := cores(1)
	for _, c := range []struct {
		failure string // what a wrong order means
		shares  map[string]Share
		items   []Item
		want    string
	}{
		{"an urgent task waits behind a batch task", nil, []Item{
			{ID: "render", Organisation: "a", Class: class.Batch, Demand: small},
			{ID: "check", Organisation: "a", Class: class.Urgent, Demand: small},
		}, "[check render]"},
		{"priority is ignored within an organisation", nil, []Item{
			{ID: "low", Organisation: "a", Class: class.Batch, Demand: small},
			{ID: "high", Organisation: "a", Class: class.Batch, Priority: 5, Demand: small},
		}, "[high low]"},
		{"a task of low priority starts along with the first task of its group", nil, []Item{
			{ID: "high", Group: "g", Organisation: "a", Class: class.Batch, Priority: 2, Demand: small},
			{ID: "low", Group: "g", Organisation: "a", Class: class.Batch, Priority: 1, Demand: small},
			{ID: "other", Group: "h", Organisation: "a", Class: class.Batch, Priority: 2, Demand: small},
		}, "[high other low]"},
		{"priority is compared between organisations", nil, []Item{
			{ID: "a1", Organisation: "a", Class: class.Batch, Priority: 9, Demand: small},
			{ID: "a2", Organisation: "a", Class: class.Batch, Priority: 9, Demand: small},
			{ID: "b1", Organisation: "b", Class: class.Batch, Demand: small},
		}, "[a1 b1 a2]"},
		{"weight is ignored", map[string]Share{"a": {Weight: 1}, "b": {Weight: 3}}, []Item{
			{ID: "a1", Organisation: "a", Class: class.Batch, Demand: small},
			{ID: "a2", Organisation: "a", Class: class.Batch, Demand: small},
			{ID: "b1", Organisation: "b", Class: class.Batch, Demand: small},
			{ID: "b2", Organisation: "b", Class: class.Batch, Demand: small},
			{ID: "b3", Organisation: "b", Class: class.Batch, Demand: small},
		}, "[b1 a1 b2 b3 a2]"},
		{"a quota is exceeded", map[string]Share{"a": {Quota: cores(1)}}, []Item{
			{ID: "a1", Organisation: "a", Class: class.Batch, Demand: small},
			{ID: "a2", Organisation: "a", Class: class.Batch, Demand: small},
		}, "[a1]"},
		{"a task is started at its deadline", nil, []Item{
			{ID: "late", Organisation: "a", Class: class.Urgent, Demand: small, Deadline: start},
			{ID: "timely", Organisation: "a", Class: class.Urgent, Demand: small, Deadline: start.Add(time.Second)},
		}, "[timely]"},
	} {
		q := Queue{Pool: cores(100), Shares: c.shares}
		for _, i := range c.items {
			i.Enqueued = start
			q.Push(i)
		}
		if got := fmt.Sprint(startAll(&q, start)); got != c.want {
			t.Errorf("%s: order of starts is %v, want %v", c.failure, got, c.want)
		}
	}
}

// FIFO starts tasks in order of arrival, so that an urgent task waits behind
// batch tasks; Fair starts it first.
func TestFIFOBaseline(t *testing.T) {
	for want, policy := range map[string]Policy{"[b1 b2 u]": FIFO{}, "[u b1 b2]": Fair{}} {
		q := Queue{Pool: cores(100), Policy: policy}
		for n, id := range []string{"b1", "b2"} {
			q.Push(Item{ID: id, Organisation: "a", Class: class.Batch, Demand: cores(9), Priority: -n, Enqueued: start.Add(time.Duration(n))})
		}
		q.Push(Item{ID: "u", Organisation: "a", Class: class.Urgent, Demand: cores(1), Enqueued: start.Add(time.Second)})
		if got := fmt.Sprint(startAll(&q, start.Add(time.Second))); got != want {
			t.Errorf("%T: order of starts is %s, want %s", policy, got, want)
		}
	}
}

// The queue agrees with a map of the waiting tasks after any sequence of pushes,
// starts, removals, cancellations and expiries, and returns each task at most
// once.
func TestNothingLostOrDoubled(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := Queue{Pool: cores(100)}
		waiting := map[string]Item{}
		now := start
		ids := rapid.IntRange(0, 40)
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				i := Item{
					ID:           fmt.Sprint("t", ids.Draw(t, "id")),
					Group:        rapid.SampledFrom([]string{"", "g1", "g2"}).Draw(t, "group"),
					Organisation: rapid.SampledFrom([]string{"a", "a", "b"}).Draw(t, "organisation"),
					Class:        rapid.SampledFrom([]class.Class{class.Batch, class.Batch, class.Urgent}).Draw(t, "class"),
					Priority:     rapid.IntRange(0, 2).Draw(t, "priority"),
					Demand:       cores(rapid.SampledFrom([]int64{2, 2, 2, 60}).Draw(t, "cores")),
					Enqueued:     now.Add(-time.Duration(rapid.IntRange(0, 9).Draw(t, "age")) * time.Second),
				}
				if rapid.Bool().Draw(t, "has-deadline") {
					i.Deadline = now.Add(time.Duration(rapid.IntRange(1, 9).Draw(t, "deadline")) * time.Second)
				}
				q.Push(i)
				waiting[i.ID] = i
			},
			"next": func(t *rapid.T) {
				room := cores(rapid.Int64Range(0, 90).Draw(t, "room"))
				if p, ok := q.Preferred(now, anyFits); ok && waiting[p.ID] != p {
					t.Fatalf("Preferred returned %v, which does not wait", p)
				}
				i, ok := q.Next(now, func(i Item) bool { return room.Covers(i.Demand) })
				if ok {
					if waiting[i.ID] != i || !room.Covers(i.Demand) {
						t.Fatalf("Next returned %v, which does not wait or does not fit into %v", i, room)
					}
					delete(waiting, i.ID)
					preferred, oldest := true, true
					for _, w := range waiting {
						if w.Organisation != i.Organisation || shapeOf(w) != shapeOf(i) {
							continue
						}
						older := w.Enqueued.Before(i.Enqueued)
						oldest = oldest && !older
						preferred = preferred && w.Priority <= i.Priority && (w.Priority < i.Priority || !older)
					}
					if !preferred && !oldest {
						t.Fatalf("Next returned %v, which is neither preferred nor the oldest of its demand", i)
					}
					return
				}
				for _, w := range waiting {
					if room.Covers(w.Demand) && (w.Deadline.IsZero() || w.Deadline.After(now)) {
						t.Fatalf("Next returned nothing, but %v waits and fits into %v", w, room)
					}
				}
			},
			"remove": func(t *rapid.T) {
				id := fmt.Sprint("t", ids.Draw(t, "id"))
				if _, ok := waiting[id]; ok != q.Remove(id) {
					t.Fatalf("task %s waits: %v, but Remove returned the opposite", id, ok)
				}
				delete(waiting, id)
			},
			"cancel": func(t *rapid.T) {
				name := rapid.SampledFrom([]string{"g1", "g2"}).Draw(t, "group")
				n := 0
				for id, w := range waiting {
					if w.Group == name {
						delete(waiting, id)
						n++
					}
				}
				if got := q.CancelGroup(name); got != n {
					t.Fatalf("cancelled %d tasks of %s, want %d", got, name, n)
				}
			},
			"tick": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "seconds")) * time.Second)
				for _, i := range q.Expired(now) {
					if waiting[i.ID] != i || i.Deadline.After(now) {
						t.Fatalf("Expired returned %v at %v", i, now)
					}
					delete(waiting, i.ID)
				}
			},
			"": func(t *rapid.T) {
				for _, i := range q.Expired(now) {
					delete(waiting, i.ID)
				}
				if q.Len() != len(waiting) {
					t.Fatalf("%d tasks wait, want %d", q.Len(), len(waiting))
				}
				for id := range waiting {
					if x, ok := q.Explain(id, now); !ok || x.Reason == "" || x.Position < 1 {
						t.Fatalf("no explanation for %s: %v", id, x)
					}
				}
			},
		})
	})
}

// An overdue task that fits starts after at most OverdueInterval*(n+1) starts,
// where n is the number of tasks due before it, however many urgent tasks arrive.
func TestAgeingBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := Queue{Pool: cores(100), OverdueInterval: rapid.IntRange(1, 10).Draw(t, "aged-every"), HalfLife: time.Minute}
		q.Push(Item{ID: "later", Organisation: "a", Class: class.Service, Demand: cores(1), Enqueued: start})
		if i, ok := q.Overdue(start); ok {
			t.Fatalf("%v is overdue at once", i)
		}
		overdue := rapid.IntRange(1, 20).Draw(t, "overdue")
		for n := range overdue {
			q.Push(Item{
				ID: fmt.Sprint("batch", n), Organisation: "a", Class: class.Batch, Demand: cores(1), Priority: -n,
				Enqueued: start.Add(-time.Hour + time.Duration(n)*time.Second),
			})
		}
		left, batches := overdue, 0
		for n := 1; left > 0; n++ {
			q.Push(Item{ID: fmt.Sprint("urgent", n), Organisation: "b", Class: class.Urgent, Demand: cores(1), Enqueued: start})
			i, _ := q.Next(start, anyFits)
			if i.Class == class.Batch {
				if want := fmt.Sprint("batch", batches); i.ID != want {
					t.Fatalf("%s starts before %s, which is older", i.ID, want)
				}
				batches++
				left--
			}
			if n >= q.OverdueInterval*(batches+1) {
				t.Fatalf("only %d overdue tasks among %d starts, want one in %d", batches, n, q.OverdueInterval)
			}
		}
	})
}

// Cancelling a group of 10,000 tasks updates one counter. The memory is released
// in small steps afterwards.
func TestCancelGroupOnlyMarks(t *testing.T) {
	const tasks = 10_000
	q := Queue{Pool: cores(100)}
	for n := range tasks {
		q.Push(Item{ID: fmt.Sprint(n), Group: "job", Organisation: "a", Class: class.Batch, Demand: cores(1), Enqueued: start})
	}
	g := q.groups["job"]
	if touched := len(g.counts); touched != 1 {
		t.Errorf("cancellation updates %d counters, want 1", touched)
	}
	if n := q.CancelGroup("job"); n != tasks {
		t.Errorf("cancelled %d tasks, want %d", n, tasks)
	}
	if q.Len() != 0 || len(q.items) != tasks {
		t.Errorf("after the cancellation %d tasks wait and %d are stored, want 0 and %d", q.Len(), len(q.items), tasks)
	}
	for n := 0; len(q.items) > 0; n++ {
		before := len(q.items)
		if _, ok := q.Next(start, anyFits); ok {
			t.Fatal("a cancelled task was started")
		}
		if before-len(q.items) > sweepBatch || n > tasks/sweepBatch+1 {
			t.Fatalf("step %d released %d tasks, %d are left", n, before-len(q.items), len(q.items))
		}
	}
}

// Next calls fits at most once for each distinct demand, however many tasks wait.
func TestNextAsksOncePerDemand(t *testing.T) {
	q := Queue{Pool: cores(100)}
	for n := range 10_000 {
		q.Push(Item{
			ID: fmt.Sprint(n), Organisation: fmt.Sprint("o", n%7), Class: class.Batch,
			Demand: cores(int64(1 + n%5)), Enqueued: start,
		})
	}
	asked := 0
	if i, ok := q.Next(start, func(Item) bool { asked++; return false }); ok || asked > 5 {
		t.Errorf("Next returned %v, %v after %d calls of fits for 5 demands", i, ok, asked)
	}
}
