package node

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"persimmonworks.example/persimmonworks/advice"
	"persimmonworks.example/persimmonworks/cell"
	"persimmonworks.example/persimmonworks/docket"
	"persimmonworks.example/persimmonworks/exchange"
	"persimmonworks.example/persimmonworks/objective"
	"persimmonworks.example/persimmonworks/pause"
	"persimmonworks.example/persimmonworks/wire"
)

const (
	attemptTimeout     = 900 * time.Millisecond // of one request to the owner; then it is sent again on another connection
	maxOwnerWait       = 500 * time.Millisecond // how long a request waits for a reachable owner, unless it may have taken effect
	ownerRetryInterval = 60 * time.Millisecond
	noOwnerRetryAfter  = time.Second // sent to callers while there is no owner
)

// Submit submits a job to the owner of its docket. The error is a *cell.RefusedError, or
// wraps cell.ErrUndecided if the job may have been accepted.
func (n *Node) Submit(ctx context.Context, job *wire.DocketAccepted) error {
	err := n.participantForJob(job.GetJob()).submit(ctx, job)
	var refused *cell.RefusedError
	if errors.As(err, &refused) {
		refused.RetryAfter = max(refused.RetryAfter, objective.ReturnAfter(job, rand.Float64()))
	}
	return err
}

func (p *participant) submit(ctx context.Context, job *wire.DocketAccepted) error {
	_, err := callOwner(ctx, p, true, func(ctx context.Context, v ownerView) (struct{}, error) {
		if v.cell != nil {
			return struct{}{}, v.cell.Submit(ctx, job)
		}
		return struct{}{}, p.client.Submit(ctx, v.address, p.docket, job)
	})
	return err
}

// State returns the stored state of a job, or cell.ErrNoJob, also for a job that the
// organisation may not see.
func (n *Node) State(ctx context.Context, job, organisation string) (docket.State, error) {
	state, left, err := askMoved(n, job, func(p *participant) (docket.State, error) { return p.state(ctx, job, organisation) })
	if left != nil {
		return left.State, nil
	}
	return state, err
}

// askMoved asks the docket that a job's name leads to, and from there the dockets that it has
// moved to. If the job is on its way between two dockets, it returns its newest move in left.
func askMoved[T any](n *Node, job string, ask func(*participant) (T, error)) (result T, left *cell.MovedError, err error) {
	var newest *cell.MovedError
	p := n.participantForJob(job)
	for {
		result, err = ask(p)
		var moved *cell.MovedError
		switch {
		case errors.As(err, &moved) && newest != nil && moved.Move <= newest.Move:
			return result, newest, nil // it is coming back, and this docket has not got it yet
		case moved != nil:
			newest, p = moved, n.participant(moved.Docket)
			continue
		case newest != nil && newest.InTransit && errors.Is(err, cell.ErrNoJob):
			return result, newest, nil
		}
		return result, nil, err
	}
}

func (p *participant) state(ctx context.Context, job, organisation string) (docket.State, error) {
	return callOwner(ctx, p, false, func(ctx context.Context, v ownerView) (docket.State, error) {
		if v.cell != nil {
			return v.cell.State(ctx, job, organisation)
		}
		return p.client.State(ctx, v.address, p.docket, job, organisation)
	})
}

// Cancel cancels a job, or returns cell.ErrNoJob, also for a job that the organisation may
// not see.
func (n *Node) Cancel(ctx context.Context, job, organisation string) error {
	for {
		_, left, err := askMoved(n, job, func(p *participant) (struct{}, error) { return struct{}{}, p.cancel(ctx, job, organisation) })
		if left == nil {
			return err
		}
		pause.For(ctx, ownerRetryInterval) // the other docket accepts it soon
		if ctx.Err() != nil {
			return fmt.Errorf("%w: the job is between two dockets", cell.ErrUndecided)
		}
	}
}

func (p *participant) cancel(ctx context.Context, job, organisation string) error {
	_, err := callOwner(ctx, p, false, func(ctx context.Context, v ownerView) (struct{}, error) {
		if v.cell != nil {
			return struct{}{}, v.cell.Cancel(ctx, job, organisation)
		}
		return struct{}{}, p.client.Cancel(ctx, v.address, p.docket, job, organisation)
	})
	return err
}

// Waiting returns how many jobs of a queue have not begun to run, in all dockets.
func (n *Node) Waiting(ctx context.Context, queue string) (uint32, error) {
	participants := n.allParticipants()
	if len(participants) == 0 {
		return callOwner[uint32](ctx, nil, false, nil)
	}
	var total atomic.Uint32
	group, ctx := errgroup.WithContext(ctx)
	for _, p := range participants {
		group.Go(func() error {
			count, err := p.waiting(ctx, queue)
			total.Add(count)
			return err
		})
	}
	err := group.Wait()
	return total.Load(), err
}

func (p *participant) waiting(ctx context.Context, queue string) (uint32, error) {
	return callOwner(ctx, p, false, func(ctx context.Context, v ownerView) (uint32, error) {
		if v.cell != nil {
			return v.cell.Waiting(ctx, queue)
		}
		return p.client.Waiting(ctx, v.address, p.docket, queue)
	})
}

// callOwner sends a request to the owner of the docket, and again to the next owner
// if the owner changes. After maxOwnerWait it refuses requests that no owner can have
// received and those that only read. A mutating request that may have reached an owner
// is repeated until ctx ends, because the next owner knows whether it was accepted.
func callOwner[T any](ctx context.Context, p *participant, mutates bool, do func(context.Context, ownerView) (T, error)) (T, error) {
	var zero T
	if p == nil {
		return zero, &cell.RefusedError{Reason: "the dockets are not known yet", RetryAfter: noOwnerRetryAfter}
	}
	startedAt := time.Now()
	maybeDelivered := false // whether an owner may have received the request
	for {
		v, changed := p.current()
		result, err := zero, error(exchange.ErrNotReached)
		if p.shouldCall(v) {
			call, cancel := context.WithTimeout(ctx, attemptTimeout)
			result, err = do(call, v)
			cancel()
			if isFinal(err) {
				p.recordOwnerAnswer(v.epoch)
				return result, err
			}
			if !errors.Is(err, exchange.ErrNotOwner) {
				p.recordOwnerFailure(v.epoch, err)
			}
			maybeDelivered = maybeDelivered || !errors.Is(err, exchange.ErrNotReached) && !errors.Is(err, exchange.ErrNotOwner)
		}
		if ctx.Err() != nil || time.Since(startedAt) > maxOwnerWait && !(maybeDelivered && mutates) {
			if maybeDelivered && mutates {
				return zero, fmt.Errorf("%w: %w", cell.ErrUndecided, err)
			}
			return zero, &cell.RefusedError{Reason: "no owner of the docket can be reached", RetryAfter: noOwnerRetryAfter}
		}
		select {
		case <-changed:
		case <-time.After(ownerRetryInterval):
		case <-ctx.Done():
		}
	}
}

// shouldCall reports whether there is an owner that is not known to be unreachable.
func (p *participant) shouldCall(v ownerView) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return v.cell != nil || v.address != "" && !(p.ownerUnreachable && v.epoch == p.view.epoch)
}

// isFinal reports whether a call was decided, so that repeating it is pointless.
func isFinal(err error) bool {
	var refused *cell.RefusedError
	var moved *cell.MovedError
	return err == nil || errors.Is(err, cell.ErrNoJob) || errors.As(err, &refused) || errors.As(err, &moved)
}

func isConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// localCell returns the docket's cell, or exchange.ErrNotOwner if this process does
// not own the docket.
func (p *participant) localCell() (*cell.Cell, error) {
	if p == nil {
		return nil, exchange.ErrNotOwner
	}
	v, _ := p.current()
	if v.cell == nil {
		return nil, exchange.ErrNotOwner
	}
	return v.cell, nil
}

// SubmitLocal implements exchange.Service.
func (n *Node) SubmitLocal(ctx context.Context, docket int, job *wire.DocketAccepted) error {
	c, err := n.participant(docket).localCell()
	if err != nil {
		return err
	}
	return c.Submit(ctx, job)
}

// StateLocal implements exchange.Service.
func (n *Node) StateLocal(ctx context.Context, number int, job, organisation string) (docket.State, error) {
	c, err := n.participant(number).localCell()
	if err != nil {
		return "", err
	}
	return c.State(ctx, job, organisation)
}

// CancelLocal implements exchange.Service.
func (n *Node) CancelLocal(ctx context.Context, number int, job, organisation string) error {
	c, err := n.participant(number).localCell()
	if err != nil {
		return err
	}
	return c.Cancel(ctx, job, organisation)
}

// WaitingLocal implements exchange.Service.
func (n *Node) WaitingLocal(ctx context.Context, docket int, queue string) (uint32, error) {
	c, err := n.participant(docket).localCell()
	if err != nil {
		return 0, err
	}
	return c.Waiting(ctx, queue)
}

// Advise implements advice.Advisor. Other processes call it through package exchange.
func (n *Node) Advise(ctx context.Context, step docket.StepID, workers []string) ([]advice.Permit, error) {
	return n.Advisor.Advise(ctx, step, workers)
}
