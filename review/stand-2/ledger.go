package main

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"
)

// taskRecord is what runners have seen of one task.
type taskRecord struct {
	running   map[string]uint32 // run by runner
	doneRun   uint32            // the run that ended done, 0 if none has
	failures  int
	crashes   int       // of runners under the task
	lastRan   time.Time // when a run of it last began or ended
	noted     bool      // that end was acknowledged while the lease held
	startedAt time.Time // of the newest run
	again     string    // a start after the end, empty if there was none
}

// ledger records what was sent, answered and run, and judges the rules on it.
type ledger struct {
	mu     sync.Mutex
	out    *bufio.Writer
	since  time.Time
	jobs   map[string]*job
	tasks  map[string]*taskRecord
	broken []string
}

func newLedger(out io.Writer) *ledger {
	return &ledger{out: bufio.NewWriter(out), since: time.Now(), jobs: map[string]*job{}, tasks: map[string]*taskRecord{}}
}

// note writes a line with pairs of names and values.
func (l *ledger) note(what string, pairs ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.line(what, pairs...)
}

// line needs the lock.
func (l *ledger) line(what string, pairs ...any) {
	fmt.Fprintf(l.out, "%7.3f %s", time.Since(l.since).Seconds(), what)
	for i := 0; i+1 < len(pairs); i += 2 {
		fmt.Fprintf(l.out, " %v=%v", pairs[i], pairs[i+1])
	}
	fmt.Fprintln(l.out)
}

// breaks records that a rule was broken. It needs the lock.
func (l *ledger) breaks(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	l.broken = append(l.broken, text)
	l.line("BROKEN " + text)
}

// task needs the lock.
func (l *ledger) task(name string) *taskRecord {
	t, ok := l.tasks[name]
	if !ok {
		t = &taskRecord{running: map[string]uint32{}}
		l.tasks[name] = t
	}
	return t
}

// jobOf returns the job of a task. It needs the lock.
func (l *ledger) jobOf(task string) *job {
	id, _, _ := strings.Cut(task, ".")
	return l.jobs[id]
}

// submitted tells of a job before it is handed in.
func (l *ledger) submitted(j *job) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs[j.id] = j
}

// begun judges a start and returns how long the task takes, and whether it lasts until it is
// stopped.
func (l *ledger) begun(runner string, o order) (takes time.Duration, lasts bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.line("start", "runner", runner, "task", o.Task, "run", o.Run, "fence", o.Fence)
	j := l.jobOf(o.Task)
	if j == nil || o.Spec != j.spec {
		l.breaks("UNASKED", "task %s was started on %s, and no client sent it", o.Task, runner)
		return time.Second, false
	}
	t := l.task(o.Task)
	for other, run := range t.running {
		l.breaks("TWICE", "task %s: run %d begins on %s while run %d is on %s", o.Task, o.Run, runner, run, other)
	}
	if t.doneRun > 0 {
		t.again = fmt.Sprintf("task %s: run %d begins on %s after run %d ended done", o.Task, o.Run, runner, t.doneRun)
		if t.noted {
			l.breaks("TWICE", "%s, and that end was taken note of", t.again)
		}
	}
	t.running[runner], t.lastRan = o.Run, time.Now()
	l.checkRoom(runner, o.Task)
	return j.takes, j.lasts
}

// checkRoom judges whether a runner holds more than its capacity. What is being stopped
// still counts. It needs the lock.
func (l *ledger) checkRoom(runner, task string) {
	milliCPU, memoryMB := l.taken(runner)
	if milliCPU > runnerMilliCPU || memoryMB > runnerMemoryMB {
		l.breaks("LIMIT", "the start of task %s brings %s to %d of %d thousandths of a core and %d of %d MB", task, runner, milliCPU, runnerMilliCPU, memoryMB, runnerMemoryMB)
	}
}

// ended records the end of a run.
func (l *ledger) ended(runner, task string, run uint32, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.line("end", "runner", runner, "task", task, "run", run, "how", how)
	t := l.task(task)
	delete(t.running, runner)
	t.lastRan = time.Now()
	switch {
	case how == lostWithRunner:
		t.crashes++
	case how == "failed":
		t.failures++
	case how == "done" && t.doneRun == 0:
		t.doneRun = run
	}
}

// acknowledged records that a runner was told to forget an end.
func (l *ledger) acknowledged(runner string, e ending, fence uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.line("acknowledged", "runner", runner, "end", e.number, "task", e.task, "run", e.run, "how", e.how, "lapsed", e.lapsed, "fence", fence)
	t := l.task(e.task)
	if e.how != "done" || e.lapsed || e.run != t.doneRun {
		return
	}
	if t.again != "" && !t.noted {
		l.breaks("TWICE", "%s, and that end was taken note of later", t.again)
	}
	t.noted = true
}

// at returns the runners on which tasks of the job run.
func (l *ledger) at(id string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var runners []string
	for name, t := range l.tasks {
		if !strings.HasPrefix(name, id+".") {
			continue
		}
		for runner := range t.running {
			runners = append(runners, runner)
		}
	}
	return runners
}

// idleSince returns since when nothing of the job runs, zero time if it never ran, and whether
// something of it runs now.
func (l *ledger) idleSince(id string) (since time.Time, runs bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, t := range l.tasks {
		if !strings.HasPrefix(name, id+".") {
			continue
		}
		runs = runs || len(t.running) > 0
		if t.lastRan.After(since) {
			since = t.lastRan
		}
	}
	return since, runs
}

// use returns what the runs on a runner take.
func (l *ledger) use(runner string) (milliCPU, memoryMB int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.taken(runner)
}

// taken needs the lock.
func (l *ledger) taken(runner string) (milliCPU, memoryMB int64) {
	for name, t := range l.tasks {
		if _, here := t.running[runner]; here {
			j := l.jobOf(name)
			milliCPU, memoryMB = milliCPU+j.milliCPU, memoryMB+j.memoryMB
		}
	}
	return milliCPU, memoryMB
}

// mayFail reports whether a task of the job has failed as often as it may, or may be given up
// for the runners that have crashed under it.
func (l *ledger) mayFail(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, t := range l.tasks {
		if strings.HasPrefix(name, id+".") && (t.failures >= mostAttempts || t.crashes >= crashesToGiveUp) {
			return true
		}
	}
	return false
}

// tasksOf describes the tasks of a job.
func (l *ledger) tasksOf(id string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []string
	for name, t := range l.tasks {
		if strings.HasPrefix(name, id+".") {
			list = append(list, fmt.Sprintf("%s done in run %d, noted %t", name, t.doneRun, t.noted))
		}
	}
	return strings.Join(list, "; ")
}

// fault records a broken rule.
func (l *ledger) fault(rule, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.breaks(rule, format, args...)
}

// faults returns what was broken.
func (l *ledger) faults() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.broken...)
}

func (l *ledger) flush() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.out.Flush()
}
