package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/job"
	"persimmonworks.example/persimmonworks/ledger"
	"persimmonworks.example/persimmonworks/wire"
)

// scheduleTick is the unit of the times in a schedule.
const scheduleTick = 100 * time.Millisecond

type happening struct {
	After time.Duration
	Kind  string
	Place int
	For   time.Duration
	Tasks int
	Once  bool
}

var happenings = []string{
	"submit", "submit", "submit", "cancel", "cancel", "unfair", "unfair", "cut", "move-rack", "restart", "kill-desk", "table-flaky", "table-away", "freeze-late", "lose",
}

func drawHappenings(t *rapid.T) []happening {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) happening {
		return happening{
			After: time.Duration(rapid.IntRange(0, 50).Draw(t, "after")) * scheduleTick,
			Kind:  rapid.SampledFrom(happenings).Draw(t, "kind"),
			Place: rapid.IntRange(0, 1).Draw(t, "place"),
			For:   time.Duration(rapid.IntRange(1, 200).Draw(t, "for")) * scheduleTick,
			Tasks: rapid.IntRange(1, 16).Draw(t, "tasks"),
			Once:  rapid.Bool().Draw(t, "once"),
		}
	}), 1, 20).Draw(t, "events")
}

// submission is what a caller was told.
type submission struct {
	number  int
	outcome Outcome
	once    bool
}

// caller submits and cancels, and remembers the answers.
type caller struct {
	*bed
	mutex     sync.Mutex
	told      []submission
	cancelled map[string]bool
}

func (c *caller) submitLater(number int, h happening) {
	work := fmt.Sprintf(`{"run-ms":%d,"output":"s%d"}`, h.For.Milliseconds(), number)
	if h.Once {
		work = fmt.Sprintf(`{"run-ms":%d,"output":"s%d","non-idempotent":true}`, h.For.Milliseconds(), number)
	}
	s := spec(h.Tasks, work)
	if h.Tasks%3 == 0 {
		s.Class = class.Urgent
	}
	s.Name, s.NonIdempotent = fmt.Sprint("s", number), h.Once
	d := c.desk
	c.group.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		o := d.Submit(ctx, testShard, s)
		c.mutex.Lock()
		defer c.mutex.Unlock()
		c.told = append(c.told, submission{number, o, h.Once})
	})
}

func (c *caller) cancelLater(random *rand.Rand) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.told) == 0 {
		return
	}
	id := c.told[random.IntN(len(c.told))].outcome.Job
	if id == "" {
		return
	}
	d := c.desk
	c.group.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		if o := d.Cancel(ctx, id); o.Refusal.GetOutcome() != wire.Outcome_OUTCOME_NOT_RUN {
			c.mutex.Lock()
			defer c.mutex.Unlock()
			c.cancelled[id] = true
		}
	})
}

func other(place int) string { return fmt.Sprintf("e%d", 1-place) }

// play runs a schedule and returns what was broken.
func play(events []happening) []string {
	c := &caller{bed: newBed(2, 2), cancelled: map[string]bool{}}
	random := rand.New(rand.NewPCG(7, 7))
	for n, e := range events {
		c.run(e.After)
		process, id := fmt.Sprintf("e%d", e.Place), fmt.Sprintf("w%d-%d", e.Place, n%2)
		until := time.Now().Add(e.For)
		set := func(change string) { c.apply(fmt.Sprintf(`{"hosts":{%q:%s}}`, id, change)) }
		switch e.Kind {
		case "submit":
			c.submitLater(n, e)
		case "cancel":
			c.cancelLater(random)
		case "unfair":
			c.bed.mutex.Lock()
			c.unfairUntil = until
			c.bed.mutex.Unlock()
		case "cut":
			c.bed.mutex.Lock()
			c.cut[process] = until
			c.bed.mutex.Unlock()
		case "move-rack":
			c.give(fmt.Sprintf("rack-%d", e.Place), fmt.Sprintf("e%d", n%2))
		case "restart":
			c.restart(process, func(string) string { return other(e.Place) })
		case "kill-desk":
			c.kill()
			c.start()
		case "table-flaky", "table-away":
			c.table.mutex.Lock()
			*map[string]*time.Time{"table-flaky": &c.table.until, "table-away": &c.table.away}[e.Kind] = until
			c.table.mutex.Unlock()
		case "freeze-late":
			set(`{"frozen":true,"late":true}`)
			time.AfterFunc(e.For, func() { set(`{"frozen":false}`) })
		case "lose":
			set(`{"lost":true}`)
			c.agents[id].Lose()
			time.AfterFunc(e.For, func() { set(`{"lost":false}`) })
		}
	}
	c.run(5 * time.Minute) // all faults are over by now
	found := c.check()
	return append(found, c.close()...)
}

// check compares what callers were told with the job's end and the ledger.
func (c *caller) check() (found []string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	ran, done := map[string]int{}, map[string]int{}
	for _, e := range c.ledger.Entries() {
		if e.How != ledger.Refused {
			ran[e.Task]++
		}
		if e.How == ledger.Done {
			done[e.Task]++
		}
	}
	for _, s := range c.told {
		if r := s.outcome.Refusal; r != nil {
			if r.Outcome == wire.Outcome_OUTCOME_NOT_RUN && c.known(s.number) {
				found = append(found, fmt.Sprintf("submission %d was refused as not run and is there: %s", s.number, r.Reason))
			}
			continue
		}
		found = append(found, c.checkJob(s, ran, done)...)
	}
	return found
}

// known reports whether the desk has a job of that submission.
func (c *caller) known(number int) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	views, err := c.desk.List(ctx, "prado")
	for _, v := range views {
		if v.Name == fmt.Sprint("s", number) {
			return true
		}
	}
	return err != nil
}

func (c *caller) checkJob(s submission, ran, done map[string]int) (found []string) {
	id := s.outcome.Job
	say := func(format string, args ...any) { found = append(found, "job "+id+": "+fmt.Sprintf(format, args...)) }
	v, tasks, err := c.job(id)
	if err != nil {
		say("accepted and gone: %v", err)
		return found
	}
	if v.Open > 0 {
		say("still open: %v, waits for %q", v.States, v.Waiting)
	}
	for _, x := range tasks {
		task := job.TaskID(id, x.Index)
		switch x.State {
		case job.Done:
			if done[task] == 0 || string(x.Result) != fmt.Sprint("s", s.number) {
				say("task %d is done with %q, ledger has %d ends", x.Index, x.Result, done[task])
			}
		case job.Cancelled:
			if !c.cancelled[id] {
				say("task %d is cancelled, and nobody asked", x.Index)
			}
			if strings.Contains(x.Reason, "before it ran") && ran[task] > 0 && x.Attempt == 1 {
				say("task %d is said not to have run: %s", x.Index, x.Reason)
			}
		case job.Unknown:
			if !s.once {
				say("task %d is idempotent and unknown: %s", x.Index, x.Reason)
			}
		default:
			say("task %d is %s: %s", x.Index, x.State, x.Reason)
		}
	}
	return found
}

// Whatever happens to messages, owners, workers and the table: no task runs in
// two places, a non-idempotent one at most once, an accepted job is kept and
// ends, and what is refused as not run never runs.
func TestDeskUnderFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		events := drawHappenings(r)
		var found []string
		synctest.Test(t, func(*testing.T) { found = play(events) })
		for _, f := range found {
			r.Error(f)
		}
	})
}
