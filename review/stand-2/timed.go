package main

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"
)

// The case "timed": jobs that are to run often are handed in, the first time in an hour. Then
// the process that last wrote to the store under a condition is killed once.
const (
	timedJobs     = 64
	timedTasks    = 48
	timedRepeats  = 1000
	timedInterval = time.Minute
	timedStart    = time.Hour
)

func playTimed(ctx context.Context, s *stage) error {
	var timed []*job
	for i := range timedJobs {
		j := &job{
			id: fmt.Sprintf("00000000000001%02x", i), spec: "timed", count: timedTasks, milliCPU: 500, memoryMB: smallMemoryMB, takes: time.Second,
			times: schedule{Start: time.Now().Add(timedStart).UnixMilli(), Interval: timedInterval.Milliseconds(), Repeat: timedRepeats},
		}
		if !s.client.submit(ctx, j) {
			return errors.New("a timed job was not accepted")
		}
		timed = append(timed, j)
	}
	err := s.play(ctx, "", s.killLeader, timed...)
	for _, p := range s.processes {
		s.ledger.note("memory", "process", p.name, "most-mb", p.most(), "limit-mb", memoryMB)
	}
	return err
}

// killLeader kills the process that last wrote under a condition, as in node_kill.
func (s *stage) killLeader(context.Context) {
	p := s.processes[s.store.leader()]
	s.ledger.note("a process is killed", "process", p.name)
	p.signal(syscall.SIGKILL)
}
