package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const (
	chainJob      = "00000000000000f1"
	chainSteps    = 60
	oldRunners    = 6 // of the service that the queue leaves
	betweenLeaves = 2 * time.Second
	chainTime     = 65 * time.Second
)

func init() {
	cases["service"] = play{hosts: 4, runners: 48, secondFrom: oldRunners, run: playService}
}

// playService hands in a job of many steps. A new version of the configuration sends its queue
// to another service, and then the runners of the old service are emptied and taken away, one
// after the other.
func playService(ctx context.Context, s *scene) (string, error) {
	chain := jobBody{Spec: "chain"}
	var shapes []shape
	for i := range chainSteps {
		x := step{Count: 2, MilliCPU: 1000, MemoryMB: 500, Estimate: 1000}
		if i > 0 {
			x.After = []int{i - 1}
		}
		chain.Steps = append(chain.Steps, x)
		shapes = append(shapes, shape{takes: time.Second})
	}
	s.expect(chainJob, shapes...)
	c := s.client()
	if status := c.submit(ctx, queuePath, chainJob, chain); status != http.StatusOK {
		return "", fmt.Errorf("the job was not accepted: %d", status)
	}
	sleep(ctx, 3*time.Second)
	begun := time.Now()
	if s.trouble {
		if err := s.configure(2, otherService); err != nil {
			return "", err
		}
		s.record.write("version 2 of the configuration sends the queues to %s", otherService)
		s.group.Go(func() error { return s.takeAway(ctx, s.runners[:oldRunners]) })
	}
	for time.Since(begun) < chainTime && ctx.Err() == nil {
		if _, state := c.state(ctx, queuePath, chainJob); state == "completed" {
			return "", nil
		}
		sleep(ctx, 2*askEvery)
	}
	idle, from := s.longestIdle(chainJob, begun, time.Now())
	if idle >= idleMost {
		return fmt.Sprintf("LOST: nothing of an accepted job runs for %.1f s (from %.1f s on), though its turn has come and %d runners of %s, to which its queue goes, are idle",
			idle.Seconds(), from.Sub(s.record.begun).Seconds(), len(s.runners)-oldRunners, otherService), nil
	}
	return "", nil
}

// takeAway empties runners and takes them away, one after the other.
func (s *scene) takeAway(ctx context.Context, runners []*runner) error {
	for _, r := range runners {
		sleep(ctx, betweenLeaves)
		if err := r.leave(ctx); err != nil {
			return err
		}
	}
	return nil
}
