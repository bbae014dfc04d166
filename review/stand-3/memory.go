package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const (
	manyJob      = "00000000000000e1"
	manySteps    = 20
	manyTasks    = 5000 // of a step
	memoryLook   = 100 * time.Millisecond
	restartAfter = 500 * time.Millisecond
	watchTime    = 60 * time.Second
	ownEnds      = 3 // ends of a process by itself that are a fault, see Fault
	leastHosts   = 2 // on so many machines
)

func init() { cases["memory"] = play{hosts: 4, runners: 48, run: playMemory} }

// playMemory hands in one job of very many small tasks. The platform kills each process that
// has more than memory-mb, and starts it again.
func playMemory(ctx context.Context, s *scene) (string, error) {
	ends := make([]int, len(s.hosts))
	watched, cancel := context.WithCancel(ctx)
	defer cancel()
	for i, h := range s.hosts {
		s.group.Go(func() error { return s.boundMemory(watched, h, &ends[i]) })
	}
	b := jobBody{Spec: "many"}
	var shapes []shape
	tasks := 2 // the same job without the disruption
	if s.trouble {
		tasks = manyTasks
	}
	for range manySteps {
		b.Steps = append(b.Steps, step{Count: tasks, MilliCPU: 5, MemoryMB: 1, Estimate: 90000})
		shapes = append(shapes, shape{takes: 90 * time.Second})
	}
	s.expect(manyJob, shapes...)
	c := s.client()
	if status := c.submit(ctx, queuePath, manyJob, b); status != http.StatusOK {
		return "", fmt.Errorf("the job was not accepted: %d", status)
	}
	sent, accepted := s.sendShort(ctx, time.Now().Add(watchTime))
	cancel()
	often := 0
	for i, h := range s.hosts {
		s.record.write("%s has ended %d times for its memory", h.name, ends[i])
		if ends[i] >= ownEnds {
			often++
		}
	}
	s.record.write("%d of %d short jobs were accepted", accepted, sent)
	if often >= leastHosts {
		return fmt.Sprintf("Fault: on %d of %d machines the process has ended %d times or more, for more memory than %d MB", often, len(s.hosts), ownEnds, memoryMB), nil
	}
	return "", nil
}

// boundMemory kills the process of a host when it has more than memory-mb, as the platform does,
// starts it again and counts that.
func (s *scene) boundMemory(ctx context.Context, h *host, ends *int) error {
	for ctx.Err() == nil {
		sleep(ctx, memoryLook)
		mb := h.memoryMB()
		if mb <= memoryMB || ctx.Err() != nil {
			continue
		}
		*ends++
		s.record.write("%s has %d MB, more than %d: it is killed", h.name, mb, memoryMB)
		h.kill()
		sleep(ctx, restartAfter)
		if err := h.start(); err != nil {
			return err
		}
	}
	return nil
}
