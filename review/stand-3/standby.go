package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	largeJob     = 0x1000000
	largeSenders = 24
	largeImage   = 46000 // characters of a step's image
	largeTask    = 50 * time.Millisecond
	largeTime    = 106 * time.Second
	memoryLook   = 100 * time.Millisecond
	restartAfter = 500 * time.Millisecond
	reportEvery  = 5 * time.Second
)

func init() { cases["standby"] = play{hosts: 4, runners: 48, run: playStandby} }

// playStandby lets clients hand in jobs with large bodies, one after the other, all of which are
// done at once. The platform kills each process that has more than memory-mb, and starts it again.
func playStandby(ctx context.Context, s *scene) (string, error) {
	ends := make([]int, len(s.hosts))
	playing, cancel := context.WithTimeout(ctx, largeTime)
	defer cancel()
	for i, h := range s.hosts {
		s.group.Go(func() error { return s.boundMemory(playing, h, &ends[i]) })
	}
	var accepted, refused atomic.Int64
	for i := range largeSenders {
		s.group.Go(func() error {
			s.sendLarge(playing, i, &accepted, &refused)
			return nil
		})
	}
	for playing.Err() == nil {
		sleep(playing, reportEvery)
		line := ""
		for _, h := range s.hosts {
			line += fmt.Sprintf(", %s %d MB", h.name, h.memoryMB())
		}
		s.record.write("%d jobs were accepted, %d calls were not%s", accepted.Load(), refused.Load(), line)
	}
	killed := 0
	for i, h := range s.hosts {
		s.record.write("%s has ended %d times for its memory", h.name, ends[i])
		killed += ends[i]
	}
	if killed > 0 {
		return fmt.Sprintf("Fault: processes took more than %d MB and ended, %d times", memoryMB, killed), nil
	}
	return "", nil
}

// sendLarge hands in jobs of some 60 kB, small ones without the disruption.
func (s *scene) sendLarge(ctx context.Context, sender int, accepted, refused *atomic.Int64) {
	image := "i"
	if s.trouble {
		image = strings.Repeat("i", largeImage)
	}
	b := jobBody{Spec: "large"}
	b.Steps = append(b.Steps, step{Count: 1, MilliCPU: 100, MemoryMB: 10, Estimate: 50, Image: image})
	c := s.client()
	c.quiet, c.next = true, sender
	for i := 0; ctx.Err() == nil; i++ {
		name := fmt.Sprintf("%016x", largeJob+sender<<16+i)
		s.expect(name, shape{takes: largeTask})
		if c.submit(ctx, queuePath, name, b) == http.StatusOK {
			accepted.Add(1)
		} else {
			refused.Add(1)
		}
	}
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
