package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const (
	fillJob    = "0000000000000f01"
	targetJob  = "0000000000000f02"
	fillTasks  = 48
	mostAway   = 2
	settleTime = 6 * time.Second
)

func init() { cases["fills"] = play{hosts: 4, runners: 48, run: playFills} }

// playFills hands in a job that lasts and fills, of which two tasks may be away, and then one
// whose tasks have a target.
func playFills(ctx context.Context, s *scene) (string, error) {
	c := s.client()
	s.expect(fillJob, shape{lasts: true})
	s.expect(targetJob, shape{lasts: true})
	first := jobBody{Spec: "fills", Steps: []step{{Count: fillTasks, MilliCPU: 2000, MemoryMB: 20000, Lasts: true, Fills: true, MostAway: mostAway, Image: "filler"}}}
	if status := c.submit(ctx, queuePath, fillJob, first); status != http.StatusOK {
		return "", fmt.Errorf("the first job was not accepted: %d", status)
	}
	sleep(ctx, settleTime)
	if s.trouble {
		second := jobBody{Spec: "serves", Steps: []step{{Count: 20, MilliCPU: 4000, MemoryMB: 4000, Lasts: true, Target: 100, Image: "server"}}}
		if status := c.submit(ctx, urgentPath, targetJob, second); status != http.StatusOK {
			return "", fmt.Errorf("the second job was not accepted: %d", status)
		}
	}
	sleep(ctx, settleTime)
	worst, away := 0, map[string]bool{}
	for _, e := range s.eventsOf(fillJob + ".") {
		switch e.kind {
		case "start":
			delete(away, e.task)
		case "stop":
			away[e.task] = true
			worst = max(worst, len(away))
		}
	}
	s.record.write("%d of %d tasks of the first job were away at once by stops", worst, fillTasks)
	if worst > mostAway {
		return fmt.Sprintf("AVAIL: %d tasks of a step were stopped at once, of which %d may be away", worst, mostAway), nil
	}
	return "", nil
}
