package cell

import (
	"maps"
	"slices"
	"time"

	"persimmonworks.example/persimmonworks/crash"
	"persimmonworks.example/persimmonworks/docket"
	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/wire"
)

const (
	maxLoggedTasks = 8 // in a log line
	// lastingRun is how long a run has to last so that a crash after it is no evidence
	// against its task.
	lastingRun = 30 * time.Second
	// settleTime is how long a run has to be reported as running before it counts as
	// settled, see package crash.
	settleTime = 300 * time.Millisecond
)

// handleMisdirected processes the answer of another process to a hold at the address of a
// worker. If the worker has answered there before, its process has ended, and so have its
// runs, unless the answer came from an earlier holder of the address, to which a kept
// connection may lead for a moment, or the worker has moved.
func (c *Cell) handleMisdirected(w *worker, h *Host, o HoldRequest) {
	if w.processEnded || h.Address != w.host.Address || !c.hasAnsweredAt(w, h.Address) {
		return
	}
	if w.inFleet && w.listedAddress != h.Address {
		return
	}
	if !o.NewConnection {
		w.misdirected = true
		return
	}
	c.judgeCrash(w, "another process answers at its address")
	w.processEnded, w.reconciled, w.unansweredStarts, w.expired = true, false, nil, nil
	for _, x := range w.runs {
		if x.phase == committing {
			continue // not sent yet; sendStart will end the run
		}
		c.endRun(x, wire.DocketOutcome_DOCKET_OUTCOME_LOST, "", "the worker's process has ended")
	}
}

// hasAnsweredAt reports whether the incarnation of the worker that is known has answered at
// the address, to this owner or an earlier one. An entry of the list may name an address
// that is not the worker's.
func (c *Cell) hasAnsweredAt(w *worker, address string) bool {
	if w.answeredAt != "" {
		return w.answeredAt == address
	}
	stored, startedAt, ok := c.Docket.WorkerAddress(w.host.ID)
	return ok && stored == address && (w.incarnation == 0 || w.incarnation == startedAt)
}

// judgeCrash counts the end of a worker's process for the tasks that were on it, and
// gives up those that are the cause. A worker that leaves as announced is no evidence.
func (c *Cell) judgeCrash(w *worker, proof string) {
	if w.processEnded || w.host.Draining {
		return
	}
	runs := slices.Collect(maps.Values(w.runs))
	c.judgeRuns(w, append(runs, w.expired...), proof)
}

// judgeRuns judges runs that were on a worker when its process ended.
func (c *Cell) judgeRuns(w *worker, runs []*run, proof string) {
	runs = c.runsAtCrash(w, runs)
	judged := c.evidence(runs)
	judgements := crash.Judge(judged)
	var suspects []string
	for i, x := range runs {
		x.crashJudged = true
		if judgements[i].Verdict != crash.Bystander {
			suspects = append(suspects, x.task.String())
		}
	}
	c.Meter.Count("worker-crashes", "detected")
	c.Log.Emit(event.WorkerCrashed, "worker", w.host.ID, "address", w.host.Address, "life", w.incarnation, "epoch", c.Epoch(),
		"proof", proof, "runs", len(runs), "suspects", len(suspects), "tasks", suspects[:min(len(suspects), maxLoggedTasks)],
		"silent-ms", w.silentMS(time.Now()))
	for i, x := range runs {
		c.recordCrash(x, judgements[i])
	}
}

// evidence returns what is known of runs that were on a worker when its process ended. Of
// runs that this owner has never heard of, earlier owners have stored what says more than
// their starts: whether a run on trial had begun, and had settled. While one had not, all
// others on its worker had.
func (c *Cell) evidence(runs []*run) []crash.Run {
	trial := slices.ContainsFunc(runs, func(x *run) bool { return x.unheard() && x.trial != crash.None && !x.settled })
	known := make([]crash.Run, len(runs))
	for i, x := range runs {
		known[i] = crash.Run{Job: x.task.Job, Begun: x.startConfirmed, Settled: x.settled, Crowded: x.crowded, History: c.crashHistory(x.task)}
		if !x.unheard() {
			continue
		}
		t := c.taskState(x.task)
		begun, _ := t.Observed()
		known[i].Begun = begun
		known[i].Settled = x.settled || trial && x.trial == crash.None
	}
	return known
}

// unheard reports whether the run was started by an earlier owner and this one has not heard
// of it. It may be stopping already, as one of a gang of which a member is missing.
func (x *run) unheard() bool { return x.inherited && !x.listed }

// runsAtCrash returns those of the runs that the worker may have had when its process
// ended, but for those that a crash was counted for, in the order of their tasks.
func (c *Cell) runsAtCrash(w *worker, runs []*run) []*run {
	runs = slices.DeleteFunc(runs, func(x *run) bool {
		_, ok := c.Docket.Job(x.task.Job)
		return !x.mayHaveBegun() || x.crashJudged || !ok ||
			x.settled && w.lastHeard.Sub(x.startedAt) > lastingRun
	})
	slices.SortFunc(runs, func(a, b *run) int { return a.task.Compare(b.task) })
	return runs
}

// mayHaveBegun reports whether the worker may have got the start.
func (x *run) mayHaveBegun() bool {
	return x.phase != committing && (x.phase != stopping || x.stopSent)
}

func (c *Cell) crashHistory(t docket.TaskID) crash.History {
	state := c.taskState(t)
	return historyOf(&state)
}

// taskState returns a copy of the state of a task, the zero state if the docket has none any
// more. A run that was lost with its lease is judged after its task was done elsewhere.
func (c *Cell) taskState(t docket.TaskID) docket.Task {
	if j, ok := c.Docket.Job(t.Job); ok {
		if state := j.Task(t); state != nil {
			return *state
		}
	}
	return docket.Task{}
}

func historyOf(t *docket.Task) crash.History {
	crashes, suspicions := t.Crashes()
	return crash.History{Crashes: crashes, Suspicions: suspicions}
}

// recordCrash stores that a worker crashed under a run.
func (c *Cell) recordCrash(x *run, r crash.Judgement) {
	j, ok := c.Docket.Job(x.task.Job)
	if !ok || j.Task(x.task) == nil {
		return // the task is done, or its job has ended; nothing of it will start again
	}
	record := docket.CrashRecord{Run: x.number, Counts: r.Counts, Suspect: r.Verdict != crash.Bystander, GivenUp: r.Verdict == crash.Cause}
	if !c.append(docket.Crash(x.task, record, time.Now().UnixMilli()), nil) {
		return
	}
	c.Meter.Count("crashed-under", r.Verdict.String())
	if r.Verdict != crash.Cause || j.State() != docket.Failed {
		return
	}
	h := c.crashHistory(x.task)
	c.Log.Emit(event.TaskGivenUp, "job", x.task.Job, "task", x.task.String(), "run", x.number, "worker", x.worker.host.ID,
		"crashes", h.Crashes, "suspicions", h.Suspicions)
	c.withdrawJob(j)
}
