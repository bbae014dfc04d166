package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const (
	lastingJob   = "00000000000001a1"
	lastingTasks = 24
	warmTime     = 8 * time.Second
	downTime     = 500 * time.Millisecond // of the processes
	afterRun     = 6 * time.Second        // from which LOST holds for a task that lasts
	lookTime     = 22 * time.Second
)

func init() { cases["lasting"] = play{hosts: 4, runners: 48, run: playLasting} }

// playLasting hands in a job whose tasks last. Then all processes of the system are killed at
// the same moment, as a runner is lost for good, and start again.
func playLasting(ctx context.Context, s *scene) (string, error) {
	c := s.client()
	s.expect(lastingJob, shape{lasts: true})
	b := jobBody{Spec: "lasting", Steps: []step{{Count: lastingTasks, MilliCPU: 4000, MemoryMB: 4000, Lasts: true, Apart: 1, Image: "server"}}}
	if status := c.submit(ctx, queuePath, lastingJob, b); status != http.StatusOK {
		return "", fmt.Errorf("the job was not accepted: %d", status)
	}
	sleep(ctx, warmTime)
	task, r := s.anyRunning()
	if r == nil {
		return "", fmt.Errorf("nothing of the job runs after %v", warmTime)
	}
	at := time.Now()
	if s.trouble {
		r.lose()
		s.hosts.kill()
		s.record.write("%s, on which %s runs, is lost for good; all processes are killed", r.id, task)
		sleep(ctx, downTime)
		for _, h := range s.hosts {
			if err := h.start(); err != nil {
				return "", err
			}
		}
	}
	for time.Since(at) < lookTime && ctx.Err() == nil {
		c.state(ctx, queuePath, lastingJob)
		sleep(ctx, 2*askEvery)
	}
	idle, from := s.longestIdle(task, at, time.Now())
	s.record.write("%s had no run for %.1f s", task, idle.Seconds())
	if idle >= afterRun+idleMost {
		return fmt.Sprintf("LOST: task %s, which lasts, has nothing running for %.1f s (from %.1f s on), %v are allowed from %v after its last run; %d runners are there, a sixth in use",
			task, idle.Seconds(), from.Sub(s.record.begun).Seconds(), idleMost, afterRun, len(s.runners)-1), nil
	}
	return "", nil
}

// anyRunning returns a task that runs and its runner.
func (s *scene) anyRunning() (string, *runner) {
	for _, r := range s.runners {
		r.mu.Lock()
		for task := range r.running {
			r.mu.Unlock()
			return task, r
		}
		r.mu.Unlock()
	}
	return "", nil
}
