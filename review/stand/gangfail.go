package main

import (
	"context"
	"fmt"
	"time"
)

const (
	gangRunners  = 12
	gangAttempts = 2
	gangWork     = 6 * time.Second
	// sickTime is how long one runner fails what it runs.
	sickTime = 2 * time.Second
)

func init() {
	kinds := make([]string, gangRunners)
	for i := range kinds {
		kinds[i] = "a"
	}
	scenes["gangfail"] = scene{kinds: kinds, attempts: gangAttempts, run: playGangFail}
}

// playGangFail has a gang with two members on each runner, of which one runner fails both
// while its health check is good, and refuses new ones for as long.
func playGangFail(ctx context.Context, w *world) (string, error) {
	gang := &job{id: "9a00000000000001", Spec: "gang", Steps: []step{{
		Count: 2 * gangRunners, MilliCPU: 7000, MemoryMB: 4096, EstimateMS: gangWork.Milliseconds(), Gang: true, work: gangWork,
	}}}
	if err := w.submit(ctx, gang); err != nil {
		return "", err
	}
	at, err := w.awaitRunning(ctx, gang.id, gang.Steps[0].Count, 5*time.Second)
	if err != nil {
		return "", err
	}
	pause(ctx, gangWork/2)
	if w.trouble {
		w.pool.setSick(at[0], true)
		pause(ctx, sickTime)
		w.pool.setSick(at[0], false)
	}
	if w.client.awaitState(ctx, gang.id, "completed", 4*gangWork) {
		return "", nil
	}
	state := w.client.state(ctx, gang.id)
	runs, most := failures(w.pool.history(gang.id))
	if state != "failed" {
		return "", fmt.Errorf("job %s has not ended in time, it is shown as %q", gang.id, state)
	}
	if runs >= gangAttempts || most >= gangAttempts {
		return "", nil // it is shown as failed with cause
	}
	return fmt.Sprintf("LOST: job %s is shown as failed after %d run of its gang, and %d failed run of any task, of max-attempts %d", gang.id, runs, most, gangAttempts), nil
}

// setSick makes a runner fail what it runs, or ends that.
func (p *pool) setSick(r *runner, sick bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r.sick = sick
	p.record.note("runner %s: fails what it runs: %v", r.id, sick)
}

// failures returns how many runs of a gang had a member that ended as failed, and the
// largest number of such ends of one task.
func failures(events []runEvent) (runs, most int) {
	failedRuns, failedEnds := map[int]bool{}, map[taskName]int{}
	for _, e := range events {
		if e.what == failed {
			failedRuns[e.run] = true
			failedEnds[e.task]++
			most = max(most, failedEnds[e.task])
		}
	}
	return len(failedRuns), most
}
