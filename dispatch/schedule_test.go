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

// scheduleTick is the resolution of the times in a sequence of actions.
const scheduleTick = 100 * time.Millisecond

// action is a request of a caller or a fault to inject.
type action struct {
	Delay         time.Duration
	Kind          string
	Process       int
	Duration      time.Duration
	Tasks         int
	NonIdempotent bool
}

// actionKinds are the kinds of action; those that are listed several times are
// drawn more often. "unfair" makes messages between processes unreliable, "cut"
// makes a process unreachable, and "freeze-late" freezes a worker that handles
// late messages once it is thawed.
var actionKinds = []string{
	"submit", "submit", "submit", "cancel", "cancel", "unfair", "unfair", "cut", "move-rack", "restart", "kill-desk", "table-flaky", "table-away", "freeze-late", "lose",
}

func drawActions(t *rapid.T) []action {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) action {
		return action{
			Delay:         time.Duration(rapid.IntRange(0, 50).Draw(t, "after")) * scheduleTick,
			Kind:          rapid.SampledFrom(actionKinds).Draw(t, "kind"),
			Process:       rapid.IntRange(0, 1).Draw(t, "place"),
			Duration:      time.Duration(rapid.IntRange(1, 200).Draw(t, "for")) * scheduleTick,
			Tasks:         rapid.IntRange(1, 16).Draw(t, "tasks"),
			NonIdempotent: rapid.Bool().Draw(t, "once"),
		}
	}), 1, 20).Draw(t, "events")
}

// submission is a submitted job with the outcome that its caller got.
type submission struct {
	number        int
	outcome       Outcome
	nonIdempotent bool
}

// testClient submits and cancels jobs and keeps the outcomes.
type testClient struct {
	*testBed
	mutex       sync.Mutex
	submissions []submission
	cancelled   map[string]bool
}

func (c *testClient) submitAsync(number int, a action) {
	work := fmt.Sprintf(`{"run-ms":%d,"output":"s%d"}`, a.Duration.Milliseconds(), number)
	if a.NonIdempotent {
		work = fmt.Sprintf(`{"run-ms":%d,"output":"s%d","non-idempotent":true}`, a.Duration.Milliseconds(), number)
	}
	s := newSpec(a.Tasks, work)
	if a.Tasks%3 == 0 {
		s.Class = class.Urgent
	}
	s.Name, s.NonIdempotent = fmt.Sprint("s", number), a.NonIdempotent
	d := c.dispatcher
	c.group.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		o := d.Submit(ctx, testShard, s)
		c.mutex.Lock()
		defer c.mutex.Unlock()
		c.submissions = append(c.submissions, submission{number, o, a.NonIdempotent})
	})
}

func (c *testClient) cancelAsync(random *rand.Rand) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.submissions) == 0 {
		return
	}
	id := c.submissions[random.IntN(len(c.submissions))].outcome.Job
	if id == "" {
		return
	}
	d := c.dispatcher
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

func otherProcess(process int) string { return fmt.Sprintf("e%d", 1-process) }

// runActions performs the actions and returns the violated guarantees.
func runActions(actions []action) []string {
	c := &testClient{testBed: newTestBed(2, 2), cancelled: map[string]bool{}}
	random := rand.New(rand.NewPCG(7, 7))
	for n, a := range actions {
		c.runFor(a.Delay)
		process, id := fmt.Sprintf("e%d", a.Process), fmt.Sprintf("w%d-%d", a.Process, n%2)
		until := time.Now().Add(a.Duration)
		setHostFaults := func(change string) { c.setFaults(fmt.Sprintf(`{"hosts":{%q:%s}}`, id, change)) }
		switch a.Kind {
		case "submit":
			c.submitAsync(n, a)
		case "cancel":
			c.cancelAsync(random)
		case "unfair":
			c.testBed.mutex.Lock()
			c.lossyUntil = until
			c.testBed.mutex.Unlock()
		case "cut":
			c.testBed.mutex.Lock()
			c.unreachableUntil[process] = until
			c.testBed.mutex.Unlock()
		case "move-rack":
			c.assignRack(fmt.Sprintf("rack-%d", a.Process), fmt.Sprintf("e%d", n%2))
		case "restart":
			c.restartProcess(process, func(string) string { return otherProcess(a.Process) })
		case "kill-desk":
			c.killDispatcher()
			c.startDispatcher()
		case "table-flaky", "table-away":
			c.table.mutex.Lock()
			*map[string]*time.Time{"table-flaky": &c.table.flakyUntil, "table-away": &c.table.unavailableUntil}[a.Kind] = until
			c.table.mutex.Unlock()
		case "freeze-late":
			setHostFaults(`{"frozen":true,"late":true}`)
			time.AfterFunc(a.Duration, func() { setHostFaults(`{"frozen":false}`) })
		case "lose":
			setHostFaults(`{"lost":true}`)
			c.agents[id].Crash()
			time.AfterFunc(a.Duration, func() { setHostFaults(`{"lost":false}`) })
		}
	}
	c.runFor(5 * time.Minute) // no fault lasts longer than 20 s
	violations := c.checkOutcomes()
	return append(violations, c.shutDown()...)
}

// checkOutcomes compares the outcomes that callers got with the final state of
// their jobs and with the ledger of all runs.
func (c *testClient) checkOutcomes() (violations []string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	ran, done := map[string]int{}, map[string]int{}
	for _, e := range c.ledger.Entries() {
		if e.Outcome != ledger.Refused {
			ran[e.Task]++
		}
		if e.Outcome == ledger.Done {
			done[e.Task]++
		}
	}
	for _, s := range c.submissions {
		if r := s.outcome.Refusal; r != nil {
			if r.Outcome == wire.Outcome_OUTCOME_NOT_RUN && c.isKnown(s.number) {
				violations = append(violations, fmt.Sprintf("submission %d was refused as not run but the job exists: %s", s.number, r.Reason))
			}
			continue
		}
		violations = append(violations, c.checkJob(s, ran, done)...)
	}
	return violations
}

// isKnown reports whether the job of a submission exists, or may exist because
// the jobs could not be listed.
func (c *testClient) isKnown(number int) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	views, err := c.dispatcher.List(ctx, "prado")
	for _, v := range views {
		if v.Name == fmt.Sprint("s", number) {
			return true
		}
	}
	return err != nil
}

// checkJob checks that an accepted job has ended and that the states of its tasks
// agree with the runs, which ran and done count by task.
func (c *testClient) checkJob(s submission, ran, done map[string]int) (errs []string) {
	id := s.outcome.Job
	report := func(format string, args ...any) { errs = append(errs, "job "+id+": "+fmt.Sprintf(format, args...)) }
	v, tasks, err := c.jobAndTasks(id)
	if err != nil {
		report("accepted but not found: %v", err)
		return errs
	}
	if v.Open > 0 {
		report("still open: %v, waits for %q", v.States, v.Waiting)
	}
	for _, x := range tasks {
		task := job.TaskID(id, x.Index)
		switch x.State {
		case job.Done:
			if done[task] == 0 || string(x.Result) != fmt.Sprint("s", s.number) {
				report("task %d is done with result %q, the ledger has %d completed runs", x.Index, x.Result, done[task])
			}
		case job.Cancelled:
			if !c.cancelled[id] {
				report("task %d is cancelled although the job was not", x.Index)
			}
			if strings.Contains(x.Reason, "before it ran") && ran[task] > 0 && x.Attempt == 1 {
				report("task %d ran although its reason says otherwise: %s", x.Index, x.Reason)
			}
		case job.Unknown:
			if !s.nonIdempotent {
				report("task %d is unknown although it is idempotent: %s", x.Index, x.Reason)
			}
		default:
			report("task %d is %s: %s", x.Index, x.State, x.Reason)
		}
	}
	return errs
}

// Under failures of messages, owners, workers and the table, no task runs on two
// workers at the same time, a non-idempotent task runs at most once, an accepted
// job is not lost and ends, and a job that was refused as not run never runs.
func TestDeskUnderFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		actions := drawActions(r)
		var violations []string
		synctest.Test(t, func(*testing.T) { violations = runActions(actions) })
		for _, v := range violations {
			r.Error(v)
		}
	})
}
