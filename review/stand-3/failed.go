package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"
)

const (
	onceJob   = "00000000000003a1"
	onceTask  = 8 * time.Second
	crashDown = time.Second // of a runner
	workTime  = 2 * time.Second
	hostsDown = 3 * time.Second
	endSpare  = 1500 * time.Millisecond // that a run ends before the runner crashes
	waitMost  = 15 * time.Second
	tellTime  = 20 * time.Second
)

func init() { cases["failed"] = play{hosts: 4, runners: 48, run: playFailed} }

// playFailed lets the runner of a task crash once. Its next run ends as done while all processes
// of the system are down; then that runner crashes as well, and nobody has heard of the end.
func playFailed(ctx context.Context, s *scene) (string, error) {
	s.expect(onceJob, shape{takes: onceTask})
	c := s.client()
	b := jobBody{Spec: "once", Steps: []step{{Count: 1, MilliCPU: 1000, MemoryMB: 1000, Estimate: 8000}}}
	if status := c.submit(ctx, queuePath, onceJob, b); status != http.StatusOK {
		return "", fmt.Errorf("the job was not accepted: %d", status)
	}
	sleep(ctx, workTime)
	if s.trouble {
		if err := s.crashTwice(ctx); err != nil {
			return "", err
		}
	}
	state := stateUnknown
	for end := time.Now().Add(tellTime); time.Now().Before(end) && ctx.Err() == nil && state != "failed" && state != "completed"; {
		sleep(ctx, askEvery)
		_, state = c.state(ctx, queuePath, onceJob)
	}
	crashed, failedEnds := s.count(onceJob, "crashed"), s.count(onceJob, "failed")
	for _, e := range s.eventsOf(onceJob) {
		s.record.write("%s run %d on %s at %.3f s: %s", e.task, e.run, e.runner, e.at.Sub(s.record.begun).Seconds(), e.kind)
	}
	if state == "failed" {
		return fmt.Sprintf("LOST: the job is shown as failed, without cause: %d runs have ended failed, and %d runner has crashed under its task", failedEnds, crashed), nil
	}
	s.record.write("the job is shown as %q", state)
	return "", nil
}

// crashTwice crashes the runner of the first run, and that of the second after its end.
func (s *scene) crashTwice(ctx context.Context) error {
	_, r := s.anyRunning()
	if r == nil {
		return fmt.Errorf("nothing of the job runs after %v", workTime)
	}
	s.record.write("%s crashes", r.id)
	if err := r.crash(ctx, crashDown); err != nil {
		return err
	}
	for begun := time.Now(); s.count(onceJob, "start") < 2 && time.Since(begun) < waitMost; {
		sleep(ctx, memoryLook)
	}
	_, r = s.anyRunning()
	if r == nil {
		return fmt.Errorf("the task was not started again")
	}
	sleep(ctx, onceTask-hostsDown+endSpare)
	s.record.write("all processes are killed")
	s.hosts.kill()
	sleep(ctx, hostsDown)
	s.record.write("%s crashes, its end is not heard", r.id)
	if err := r.crash(ctx, crashDown); err != nil {
		return err
	}
	for _, h := range s.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	return nil
}

// crash ends the process of the runner, and starts it again at its address under its id.
func (r *runner) crash(ctx context.Context, down time.Duration) error {
	r.shutDown()
	sleep(ctx, down)
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return fmt.Errorf("runner %s starts again: %w", r.id, err)
	}
	r.begin()
	life, hangUp := context.WithCancel(ctx)
	r.mu.Lock()
	r.hangUp = hangUp
	r.mu.Unlock()
	r.world.serve(life, l, r.handler())
	return nil
}
