package main

import (
	"context"
	"fmt"
	"slices"
	"time"
)

const (
	kindRunners = 14
	kindWork    = 2500 * time.Millisecond
	kindJobs    = 190
	kindTasks   = 3 // of a job
	kindRounds  = 24
	kindPairs   = 4 // of runners that crash in turn
	// kindAtOnce is how many runners crash at a time.
	kindAtOnce = 2
	// downTime is how long a crashed runner is away.
	downTime = 1500 * time.Millisecond
	// calmTime is the time from the return of crashed runners to the next crashes.
	calmTime = 900 * time.Millisecond
)

func init() {
	kinds := make([]string, kindRunners)
	for i := range kinds {
		kinds[i] = "a"
	}
	scenes["kind"] = scene{kinds: kinds, attempts: 4, run: playKind}
}

// playKind has more tasks that require kind "a" than fit, while runners crash two at a
// time and come back under their ids, each time as the other kind.
func playKind(ctx context.Context, w *world) (string, error) {
	var jobs []*job
	for i := range kindJobs {
		j := &job{id: fmt.Sprintf("c0000000%08x", i), Spec: "needs kind a", Steps: []step{{
			Count: kindTasks, MilliCPU: 7000, MemoryMB: 1024, EstimateMS: kindWork.Milliseconds(), Requires: "a", work: kindWork,
		}}}
		if err := w.submit(ctx, j); err != nil {
			return "", err
		}
		jobs = append(jobs, j)
	}
	for i := range kindRounds {
		if !w.trouble {
			break
		}
		first := i % kindPairs * kindAtOnce
		if err := w.changeKinds(ctx, w.pool.runners[first:first+kindAtOnce]); err != nil {
			return "", err
		}
	}
	for _, j := range jobs {
		if state := w.client.state(ctx, j.id); state == "" {
			return "", fmt.Errorf("job %s has no state at the end", j.id)
		}
	}
	wrong, last := w.pool.wrongStarts(jobs)
	if wrong == 0 {
		return "", nil
	}
	return fmt.Sprintf("ROUTE: %d starts on runners without the label in requires, the last: %s", wrong, last), nil
}

// changeKinds crashes runners, and starts them again as the other kind.
func (w *world) changeKinds(ctx context.Context, runners []*runner) error {
	for _, r := range runners {
		r.crash()
	}
	pause(ctx, downTime)
	for _, r := range runners {
		kind := "b"
		if r.kind == kind {
			kind = "a"
		}
		if err := r.restart(kind); err != nil {
			return err
		}
	}
	pause(ctx, calmTime)
	return nil
}

// wrongStarts counts the starts on runners without the label that the tasks require.
func (p *pool) wrongStarts(jobs []*job) (wrong int, last string) {
	for _, j := range jobs {
		for _, e := range p.history(j.id) {
			label := j.Steps[e.task.step].Requires
			if e.what != "start" || slices.Contains(e.labels, label) {
				continue
			}
			wrong++
			last = fmt.Sprintf("%s run %d, which requires %q, on %s in life %d with labels %v", e.task, e.run, label, e.runner.id, e.life, e.labels)
		}
	}
	return wrong, last
}
