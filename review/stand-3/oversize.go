package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	ordinaryJob   = "00000000000000a1"
	ordinaryTask  = 1500 * time.Millisecond // 60 steps of it last longer than the case
	oversizeJob   = 0xb00
	shortJob      = 0xc00
	shortTask     = 500 * time.Millisecond
	oversizeSteps = 60
	imageBytes    = 2000
	largeClients  = 8
	trafficTime   = 20 * time.Second // of the ordinary clients, beside the others
	finishTime    = 14 * time.Second // finish_s
	judgedTime    = 25 * time.Second // after finishTime
	idleMost      = 3 * time.Second  // that a job may have nothing running, see LOST
	askEvery      = time.Second
)

func init() { cases["oversize"] = play{hosts: 4, runners: 48, run: playOversize} }

// playOversize hands an ordinary job of many steps in. Then clients that the users do not control
// hand in jobs whose bodies are of legal size, and repeat them as the pages say.
func playOversize(ctx context.Context, s *scene) (string, error) {
	c := s.client()
	if err := s.submitOrdinary(ctx, c); err != nil {
		return "", err
	}
	sleep(ctx, 3*time.Second)
	begun := time.Now()
	finish := begun.Add(trafficTime + finishTime)
	end := finish.Add(judgedTime)
	if s.trouble {
		for i := range largeClients {
			s.group.Go(func() error {
				s.sendOversize(ctx, oversizeJob+i, end)
				return nil
			})
		}
	}
	sent, accepted := s.sendShort(ctx, begun.Add(trafficTime))
	for time.Now().Before(end) && ctx.Err() == nil {
		c.state(ctx, queuePath, ordinaryJob)
		sleep(ctx, askEvery)
	}
	idle, from := s.longestIdle(ordinaryJob, finish, time.Now())
	status, state := c.state(ctx, queuePath, ordinaryJob)
	s.record.write("%d of %d short jobs were accepted; the store refused %d transactions; the ordinary job is %d %s; later than %v after the last ordinary call nothing of it ran for %.1f s on end",
		accepted, sent, s.store.refused, status, state, finishTime, idle.Seconds())
	if idle >= idleMost {
		return fmt.Sprintf("LOST: %v after the end of the ordinary traffic nothing of an accepted job runs for %.1f s (from %.1f s on), though its turn has come and all %d runners are idle",
			finishTime, idle.Seconds(), from.Sub(s.record.begun).Seconds(), len(s.runners)), nil
	}
	return "", nil
}

// submitOrdinary hands in a job of many short steps, one after the other.
func (s *scene) submitOrdinary(ctx context.Context, c *client) error {
	const steps, tasks = 60, 4
	ordinary := jobBody{Spec: "ordinary"}
	var shapes []shape
	for i := range steps {
		x := step{Count: tasks, MilliCPU: 1000, MemoryMB: 500, Estimate: int(ordinaryTask.Milliseconds())}
		if i > 0 {
			x.After = []int{i - 1}
		}
		ordinary.Steps = append(ordinary.Steps, x)
		shapes = append(shapes, shape{takes: ordinaryTask})
	}
	s.expect(ordinaryJob, shapes...)
	if status := c.submit(ctx, queuePath, ordinaryJob, ordinary); status != http.StatusOK {
		return fmt.Errorf("the ordinary job was not accepted: %d", status)
	}
	return nil
}

// sendShort hands short jobs in and returns how many, and how many were accepted.
func (s *scene) sendShort(ctx context.Context, until time.Time) (sent, accepted int) {
	c := s.client()
	for time.Now().Before(until) && ctx.Err() == nil {
		name := fmt.Sprintf("%016x", shortJob+sent)
		s.expect(name, shape{takes: shortTask})
		sent++
		if c.submit(ctx, queuePath, name, jobBody{Spec: "short", Steps: []step{{Count: 2, MilliCPU: 500, MemoryMB: 100, Estimate: 500}}}) == http.StatusOK {
			accepted++
		}
		sleep(ctx, askEvery)
	}
	return sent, accepted
}

// sendOversize sends the same job of legal size, and again after no answer, a 502 or a 504.
func (s *scene) sendOversize(ctx context.Context, number int, until time.Time) {
	name := fmt.Sprintf("%016x", number)
	big := jobBody{Spec: "large"}
	for range oversizeSteps {
		big.Steps = append(big.Steps, step{Count: 1, MilliCPU: 100, MemoryMB: 100, Estimate: 100, Image: strings.Repeat("i", imageBytes)})
	}
	s.expect(name, make([]shape, oversizeSteps)...)
	c := s.client()
	for time.Now().Before(until) && ctx.Err() == nil {
		if c.submit(ctx, queuePath, name, big) == http.StatusOK {
			return
		}
	}
}

// longestIdle returns the longest time between two moments in which no task ran whose name
// begins so.
func (w *world) longestIdle(prefix string, from, until time.Time) (idle time.Duration, since time.Time) {
	running, last := map[string]bool{}, from
	look := func(at time.Time) {
		if len(running) == 0 && at.After(last) && at.Sub(last) > idle {
			idle, since = at.Sub(last), last
		}
	}
	for _, e := range w.eventsOf(prefix) {
		if e.kind == "stop" {
			continue
		}
		look(e.at)
		if e.kind == "start" {
			running[e.task] = true
		} else {
			delete(running, e.task)
		}
		if len(running) == 0 && e.at.After(from) {
			last = e.at
		}
	}
	look(until)
	return idle, since
}
