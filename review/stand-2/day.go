package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"persimmonworks.example/persimmonworks/pause"
)

const (
	betweenJobs  = 60 * time.Millisecond
	calmTime     = 8 * time.Second  // of traffic, before the disruption
	trafficTime  = 22 * time.Second // after it
	finishTime   = 14 * time.Second // finish_s: from the end of the traffic until jobs are asked for
	idleTime     = 3 * time.Second  // for which an unfinished job may have nothing running
	askTime      = 6 * time.Second
	askedAtOnce  = 128
	tasksPerJob  = 3
	shortestTask = 300 * time.Millisecond
	longestTask  = 1500 * time.Millisecond
	jobMilliCPU  = 3500
	jobMemoryMB  = 2000
)

// play hands jobs in, of which each fourth requires the label unless that is empty, disrupts,
// and judges what has become of them and of those that were accepted before.
func (s *stage) play(ctx context.Context, label string, disrupt func(context.Context), before ...*job) error {
	var traffic errgroup.Group
	calling, stop := context.WithTimeout(ctx, calmTime+trafficTime)
	defer stop()
	var jobs []*job
	traffic.Go(func() error {
		jobs = s.call(calling, label)
		return nil
	})
	if pause.For(ctx, calmTime) && s.trouble {
		disrupt(ctx)
	}
	if err := traffic.Wait(); err != nil {
		return err
	}
	s.ledger.note("the traffic has ended", "accepted", len(jobs))
	pause.For(ctx, finishTime)
	s.judgeJobs(ctx, append(jobs, before...))
	return ctx.Err()
}

// call hands jobs in until ctx ends and returns those that were accepted.
func (s *stage) call(ctx context.Context, label string) []*job {
	results := make(chan *job, 1024)
	var group errgroup.Group
	for n := 0; pause.For(ctx, betweenJobs); n++ {
		j := &job{
			id: fmt.Sprintf("%016x", rand.Uint64()), spec: fmt.Sprintf("check %d", n), count: tasksPerJob, milliCPU: jobMilliCPU, memoryMB: jobMemoryMB,
			takes: shortestTask + rand.N(longestTask-shortestTask),
		}
		if n%4 == 0 {
			j.requires = label
		}
		group.Go(func() error {
			if s.client.submit(context.WithoutCancel(ctx), j) {
				results <- j
			}
			return nil
		})
	}
	_ = group.Wait() // no function returns an error
	close(results)
	var jobs []*job
	for j := range results {
		jobs = append(jobs, j)
	}
	return jobs
}

// asked is what the questions for a job have shown.
type asked struct {
	*job
	answered bool
	state    string // in the newest answer
}

// judgeJobs asks for the jobs that were accepted, for askTime. One that is not known, or for
// which there is no answer, is lost; so is one that has not ended and of which nothing has run for
// idleTime, though there is room for it twice over and less than half of the service is in use.
func (s *stage) judgeJobs(ctx context.Context, jobs []*job) {
	begun := time.Now()
	asking, stop := context.WithTimeout(ctx, askTime)
	defer stop()
	list := make([]*asked, len(jobs))
	for i, j := range jobs {
		list[i] = &asked{job: j}
	}
	for asking.Err() == nil {
		var group errgroup.Group
		group.SetLimit(askedAtOnce)
		for _, a := range list {
			group.Go(func() error {
				s.ask(asking, a)
				return nil
			})
		}
		_ = group.Wait() // no function returns an error
		pause.For(asking, startLook)
	}
	for _, a := range list {
		s.judge(a, begun)
	}
}

// ask asks for a job once.
func (s *stage) ask(ctx context.Context, a *asked) {
	status, state := s.client.state(ctx, a.id)
	switch status {
	case http.StatusGone:
		s.ledger.fault("LOST", "job %s was accepted and is not known", a.id)
	case http.StatusOK:
		a.answered, a.state = true, state
	}
}

// judge judges what the questions since a time have shown.
func (s *stage) judge(a *asked, begun time.Time) {
	since, runs := s.ledger.idleSince(a.id)
	if since.Before(begun) {
		since = begun
	}
	idle := time.Since(since)
	switch {
	case !a.answered:
		s.ledger.fault("LOST", "job %s was accepted, and for %v there was no answer for it", a.id, askTime)
	case a.state == "failed" && !s.ledger.mayFail(a.id):
		s.ledger.fault("LOST", "job %s is shown as failed, and no task of it has failed %d times or was there at %d crashes", a.id, mostAttempts, crashesToGiveUp)
	case a.state == "completed" || a.state == "failed" || a.times.Start > 0 || runs || idle < idleTime:
	case s.roomTwice(a.job) && s.mostlyIdle():
		s.ledger.fault("LOST", "job %s is shown as %q, and nothing of it has run for %.1f s: %s", a.id, a.state, idle.Seconds(), s.ledger.tasksOf(a.id))
	}
}

// roomTwice reports whether the runners that may run the job have room for it twice over.
func (s *stage) roomTwice(j *job) bool {
	fit := int64(0)
	for _, r := range s.runners {
		if !r.lives() || j.requires != "" && j.requires != r.kind() {
			continue
		}
		milliCPU, memoryMB := s.ledger.use(r.id)
		fit += max(0, min((runnerMilliCPU-milliCPU)/j.milliCPU, (runnerMemoryMB-memoryMB)/j.memoryMB))
	}
	return fit >= 2*int64(j.count)
}

// mostlyIdle reports whether less than half of the capacity of the service is in use.
func (s *stage) mostlyIdle() bool {
	used, all := int64(0), int64(0)
	for _, r := range s.runners {
		if r.lives() {
			milliCPU, _ := s.ledger.use(r.id)
			used, all = used+milliCPU, all+runnerMilliCPU
		}
	}
	return 2*used < all
}
