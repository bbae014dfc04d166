package main

import (
	"context"
	"errors"
	"time"

	"persimmonworks.example/persimmonworks/pause"
)

// The case "alone": a task that lasts runs on each runner. A batch task runs beside one of
// them; the runner crashes and is back a second later, and so do the next two that get the
// task.
const (
	crashes       = 3
	crashAfter    = 1500 * time.Millisecond // of work of the batch task
	downTime      = time.Second
	placeTime     = 15 * time.Second // in which a task has to be placed
	batchTime     = 8 * time.Second
	serveMilliCPU = 2000
	batchMilliCPU = 4000
	smallMemoryMB = 1000
)

func playAlone(ctx context.Context, s *stage) error {
	service := &job{
		id: "00000000000000a1", spec: "service", count: len(s.runners), milliCPU: serveMilliCPU, memoryMB: smallMemoryMB,
		takes: time.Hour, lasts: true, apart: 1,
	}
	if !s.client.submit(ctx, service) || !s.awaitRuns(ctx, service, service.count) {
		return errors.New("the tasks that last were not placed")
	}
	batch := &job{id: "00000000000000b1", spec: "batch", count: 1, milliCPU: batchMilliCPU, memoryMB: smallMemoryMB, takes: batchTime}
	if !s.client.submit(ctx, batch) || !s.awaitRuns(ctx, batch, 1) {
		return errors.New("the batch task was not placed")
	}
	if s.trouble {
		if err := s.crashUnder(ctx, batch); err != nil {
			return err
		}
	}
	s.ledger.note("the traffic has ended")
	pause.For(ctx, finishTime)
	s.judgeJobs(ctx, []*job{batch})
	return ctx.Err()
}

// awaitRuns waits until so many tasks of the job run.
func (s *stage) awaitRuns(ctx context.Context, j *job, count int) bool {
	end := time.Now().Add(placeTime)
	for len(s.ledger.at(j.id)) < count {
		if time.Now().After(end) || !pause.For(ctx, startLook) {
			return false
		}
	}
	return true
}

// crashUnder crashes the runners that get the job's task, one after the other.
func (s *stage) crashUnder(ctx context.Context, j *job) error {
	for range crashes {
		if !s.awaitRuns(ctx, j, 1) {
			return nil // the judge says what has become of it
		}
		pause.For(ctx, crashAfter)
		for _, id := range s.ledger.at(j.id) {
			if err := s.crash(ctx, id); err != nil {
				return err
			}
		}
	}
	return nil
}

// crash crashes a runner, as in srv_crash; it is back after downTime.
func (s *stage) crash(ctx context.Context, id string) error {
	for _, r := range s.runners {
		if r.id != id {
			continue
		}
		s.ledger.note("a runner crashes", "runner", id)
		r.lose()
		pause.For(ctx, downTime)
		s.ledger.note("the runner is back", "runner", id)
		return r.restart(ctx, s.group)
	}
	return nil
}
