package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"persimmonworks.example/persimmonworks/pause"
	"persimmonworks.example/persimmonworks/platform/counterpart"
	"persimmonworks.example/persimmonworks/wire"
)

const (
	callerPatience = 3 * time.Second
	betweenJobs    = 250 * time.Millisecond
	tries          = 5
	cancelEvery    = 12 // one job in so many is cancelled
	requireEvery   = 3  // one step in so many requires the usual kind of worker
	mostTasks      = 6
	mostMilliCPU   = 6000
)

// client hands jobs in, one after the other, at any process.
type client struct {
	*run
	number     int
	caller     counterpart.Caller
	rng        *rand.Rand
	jobs       int
	accepted   []*wire.DocketAccepted
	refused    int
	unanswered int
}

func newClient(r *run, number int) *client {
	const stream = 1000 // others draw from lower ones
	return &client{
		run: r, number: number, rng: rand.New(rand.NewPCG(r.Seed, uint64(stream+number))),
		caller: counterpart.Caller{Patience: callerPatience, Client: http.Client{Timeout: callerPatience}},
	}
}

// front returns where some process listens.
func (c *client) front() string { return c.hosts[c.rng.IntN(len(c.hosts))].front }

// call hands jobs in until ctx ends.
func (c *client) call(ctx context.Context) error {
	for ctx.Err() == nil {
		c.handIn(ctx, c.job())
		pause.For(ctx, betweenJobs)
		c.lookAtOne(ctx)
	}
	return nil
}

// job draws a job of one or two steps; the second may be a gang.
func (c *client) job() *wire.DocketAccepted {
	c.jobs++
	const retries = 4
	j := &wire.DocketAccepted{
		Job: fmt.Sprintf("%04x%012x", c.number, c.jobs), Spec: "soak",
		Queue: &wire.DocketQueue{Name: "plain", Service: "jobs", MaxAttempts: retries},
	}
	if c.rng.IntN(2) == 0 {
		j.Queue.Advice = &wire.DocketAdvice{}
	}
	for i := range 1 + c.rng.IntN(2) {
		s := &wire.DocketStep{
			Count: uint32(1 + c.rng.IntN(mostTasks)), MilliCpu: int64(1 + c.rng.IntN(mostMilliCPU)), MemoryMb: 100,
			EstimateMs: uint32(taskMost.Milliseconds() / 2), Gang: c.rng.IntN(3) == 0,
		}
		if c.rng.IntN(requireEvery) == 0 {
			s.Requires = usualLabel
		}
		if i > 0 {
			s.After = []uint32{0}
		}
		j.Steps = append(j.Steps, s)
	}
	return j
}

// handIn repeats a job until it is accepted, or every try was refused.
func (c *client) handIn(ctx context.Context, j *wire.DocketAccepted) {
	c.fleet.Accept(j)
	open := false
	for range tries {
		a := c.caller.Submit(context.WithoutCancel(ctx), c.front(), j)
		switch a.Status {
		case http.StatusOK:
			c.accepted = append(c.accepted, j)
			c.mayCancel(ctx, j)
			return
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			if a.RetryAfter == 0 {
				c.fault("job %s was refused without a time to come back", j.GetJob())
			}
		default:
			open = true
		}
		pause.For(ctx, betweenJobs)
	}
	if open {
		c.unanswered++
		return
	}
	c.refused++
	c.fleet.Withdraw(j.GetJob())
}

func (c *client) mayCancel(ctx context.Context, j *wire.DocketAccepted) {
	if c.rng.IntN(cancelEvery) > 0 {
		return
	}
	if a := c.caller.Cancel(context.WithoutCancel(ctx), c.front(), j); a.Status == http.StatusOK {
		c.fleet.Cancelled(j.GetJob())
	}
}

// lookAtOne asks for the state of an accepted job.
func (c *client) lookAtOne(ctx context.Context) {
	if len(c.accepted) > 0 {
		c.ask(ctx, c.accepted[c.rng.IntN(len(c.accepted))])
	}
}

// ask returns the state of an accepted job, empty without an answer.
func (c *client) ask(ctx context.Context, j *wire.DocketAccepted) string {
	a := c.caller.State(context.WithoutCancel(ctx), c.front(), j)
	if a.Status == http.StatusGone {
		c.fault("job %s was accepted and is not known", j.GetJob())
	}
	return a.State
}
