package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const (
	timedJob    = "00000000000001c1"
	timedSteps  = 40
	timedFirst  = 8 // steps that follow no other
	timedRepeat = 1000
	timedEvery  = time.Minute
	timedTask   = 10 * time.Minute
	startedTime = 15 * time.Second // in which the tasks of the timed job start
)

func init() { cases["cancel"] = play{hosts: 4, runners: 48, run: playCancel} }

// playCancel hands in an ordinary job of many steps, and a timed job whose times have all come.
// When the tasks of that one run, its client cancels it.
func playCancel(ctx context.Context, s *scene) (string, error) {
	c := s.client()
	if err := s.submitOrdinary(ctx, c); err != nil {
		return "", err
	}
	b := jobBody{
		Spec: "timed", Start: time.Now().Add(-timedRepeat * timedEvery).UnixMilli(), Every: timedEvery.Milliseconds(), Repeat: timedRepeat,
	}
	var shapes []shape
	for i := range timedSteps {
		x := step{Count: 1, MilliCPU: 50, MemoryMB: 1, Estimate: 60000}
		if i >= timedFirst {
			x.After = []int{0}
		}
		b.Steps = append(b.Steps, x)
		shapes = append(shapes, shape{takes: timedTask})
	}
	s.expect(timedJob, shapes...)
	if status := c.submit(ctx, queuePath, timedJob, b); status != http.StatusOK {
		return "", fmt.Errorf("the timed job was not accepted: %d", status)
	}
	sleep(ctx, startedTime)
	s.record.write("%d tasks of the timed job have started", s.count(timedJob, "start"))
	if s.trouble && !c.cancel(ctx, queuePath, timedJob) {
		s.record.write("the cancel had no 2xx and no 410 in %d tries", 1+retries)
	}
	finish := time.Now().Add(finishTime)
	for time.Now().Before(finish.Add(judgedTime)) && ctx.Err() == nil {
		c.state(ctx, queuePath, ordinaryJob)
		sleep(ctx, askEvery)
	}
	idle, from := s.longestIdle(ordinaryJob, finish, time.Now())
	s.record.write("runs of the ordinary job that lapsed: %d; of the timed one: %d; later than %v after the cancel nothing of the ordinary job ran for %.1f s on end",
		s.count(ordinaryJob, "lapsed"), s.count(timedJob, "lapsed"), finishTime, idle.Seconds())
	if idle >= idleMost {
		return fmt.Sprintf("LOST: %v after the last call nothing of an accepted job runs for %.1f s (from %.1f s on), though its turn has come and the runners are idle",
			finishTime, idle.Seconds(), from.Sub(s.record.begun).Seconds()), nil
	}
	return "", nil
}

// count returns how many events of a kind the tasks have seen whose names begin so.
func (w *world) count(prefix, kind string) int {
	n := 0
	for _, e := range w.eventsOf(prefix) {
		if e.kind == kind {
			n++
		}
	}
	return n
}
