package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const (
	fillsRunners = 8
	// restartTime is how long the scheduler has to run a lasting task again: the longest
	// lease, on a clock that is 2% slow, after the last heartbeat has expired, twice over.
	restartTime = 20 * time.Second
	// watchTime is for how long nothing runs before the rule counts as broken; the rule
	// says 3 s.
	watchTime = 10 * time.Second
)

func init() {
	kinds := make([]string, fillsRunners)
	for i := range kinds {
		kinds[i] = "a"
	}
	scenes["fills"] = scene{kinds: kinds, attempts: 3, run: playFills}
}

// playFills has one lasting task that serves on one runner, and tasks that fill on all
// others; then the runner of the first is lost for good.
func playFills(ctx context.Context, w *world) (string, error) {
	serving := &job{id: "5e00000000000001", Spec: "serves", Steps: []step{{
		Count: 1, MilliCPU: 2000, MemoryMB: 2048, LongRunning: true, Image: "web", TargetMS: 200,
	}}}
	filling := &job{id: "f100000000000002", Spec: "fills", Steps: []step{{
		Count: fillsRunners - 1, MilliCPU: 1000, MemoryMB: 1024, LongRunning: true, Fills: true, Image: "scrub", AntiAffinity: 1,
	}}}
	if err := w.submit(ctx, serving); err != nil {
		return "", err
	}
	at, err := w.awaitRunning(ctx, serving.id, 1, 5*time.Second)
	if err != nil {
		return "", err
	}
	if err := w.submit(ctx, filling); err != nil {
		return "", err
	}
	if _, err := w.awaitRunning(ctx, filling.id, fillsRunners-1, 5*time.Second); err != nil {
		return "", err
	}
	pause(ctx, 5*time.Second)
	if w.trouble {
		at[0].crash()
	}
	for end := time.Now().Add(restartTime); time.Now().Before(end); pause(ctx, stepTime) {
		if runs := w.pool.where(serving.id, 0); len(runs) > 0 && runs[0] != at[0] {
			w.record.note("the lasting task runs again, on %s", runs[0].id)
			return "", nil
		}
	}
	away := time.Duration(0)
	for began := time.Now(); time.Since(began) < watchTime; pause(ctx, stepTime) {
		if len(w.pool.where(serving.id, 0)) > 0 {
			return "", nil
		}
		away = time.Since(began)
	}
	status, state := w.client.call(ctx, http.MethodGet, serving.id, nil)
	return fmt.Sprintf("LOST: the lasting task %s.0.0.0 has not run for %v, from %v after its runner was lost on, with %d of %d cores free on %d runners; its job is shown as %d %q",
		serving.id, away.Round(time.Second), restartTime, (fillsRunners-1)*runnerCPU/1000, (fillsRunners-1)*runnerCPU/1000, fillsRunners-1, status, state), nil
}
