package node

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"persimmonworks.example/persimmonworks/advice"
	"persimmonworks.example/persimmonworks/cell"
	"persimmonworks.example/persimmonworks/docket"
	"persimmonworks.example/persimmonworks/exchange"
	"persimmonworks.example/persimmonworks/wire"
)

const (
	tryTimeout  = 900 * time.Millisecond // of one request to the owner; then another connection is tried
	searchMost  = 500 * time.Millisecond // how long a caller waits for a new owner
	searchRetry = 60 * time.Millisecond
	ownerRetry  = time.Second // told to callers while there is no owner
)

// Submit hands a job in at the owner of its docket. The error is a *cell.Refused,
// or wraps cell.ErrUndecided when the job may have been accepted.
func (n *Node) Submit(ctx context.Context, job *wire.DocketAccepted) error {
	return n.seatOf(job.GetJob()).submit(ctx, job)
}

func (s *seat) submit(ctx context.Context, job *wire.DocketAccepted) error {
	_, err := onOwner(ctx, s, true, func(ctx context.Context, v view) (struct{}, error) {
		if v.cell != nil {
			return struct{}{}, v.cell.Submit(ctx, job)
		}
		return struct{}{}, s.client.Submit(ctx, v.address, s.docket, job)
	})
	return err
}

// State returns the stored state of a job, or cell.ErrNoJob.
func (n *Node) State(ctx context.Context, job string) (docket.State, error) {
	state, err := n.seatOf(job).state(ctx, job)
	var moved *cell.Moved
	if !errors.As(err, &moved) {
		return state, err
	}
	state, err = n.seat(moved.Docket).state(ctx, job)
	if moved.OnTheWay && errors.Is(err, cell.ErrNoJob) {
		return docket.Pending, nil
	}
	return state, err
}

func (s *seat) state(ctx context.Context, job string) (docket.State, error) {
	return onOwner(ctx, s, false, func(ctx context.Context, v view) (docket.State, error) {
		if v.cell != nil {
			return v.cell.State(ctx, job)
		}
		return s.client.State(ctx, v.address, s.docket, job)
	})
}

// Cancel ends a job, or returns cell.ErrNoJob.
func (n *Node) Cancel(ctx context.Context, job string) error {
	err := n.seatOf(job).cancel(ctx, job)
	var moved *cell.Moved
	for errors.As(err, &moved) {
		err = n.seat(moved.Docket).cancel(ctx, job)
		if !moved.OnTheWay || !errors.Is(err, cell.ErrNoJob) {
			return err
		}
		sleep(ctx, searchRetry) // it arrives soon
		if ctx.Err() != nil {
			return fmt.Errorf("%w: the job is between two dockets", cell.ErrUndecided)
		}
		err = n.seatOf(job).cancel(ctx, job)
	}
	return err
}

func (s *seat) cancel(ctx context.Context, job string) error {
	_, err := onOwner(ctx, s, false, func(ctx context.Context, v view) (struct{}, error) {
		if v.cell != nil {
			return struct{}{}, v.cell.Cancel(ctx, job)
		}
		return struct{}{}, s.client.Cancel(ctx, v.address, s.docket, job)
	})
	return err
}

// Waiting returns how many jobs of a queue have not begun, in all dockets.
func (n *Node) Waiting(ctx context.Context, queue string) (uint32, error) {
	seats := n.allSeats()
	if len(seats) == 0 {
		return onOwner[uint32](ctx, nil, false, nil)
	}
	var total atomic.Uint32
	group, ctx := errgroup.WithContext(ctx)
	for _, s := range seats {
		group.Go(func() error {
			count, err := s.waiting(ctx, queue)
			total.Add(count)
			return err
		})
	}
	err := group.Wait()
	return total.Load(), err
}

func (s *seat) waiting(ctx context.Context, queue string) (uint32, error) {
	return onOwner(ctx, s, false, func(ctx context.Context, v view) (uint32, error) {
		if v.cell != nil {
			return v.cell.Waiting(ctx, queue)
		}
		return s.client.Waiting(ctx, v.address, s.docket, queue)
	})
}

// onOwner does a request at the owner, again at the next one when the owner
// changes. A request that cannot have reached an owner is refused; so is one
// that changes nothing. One that may have reached an owner is repeated as long as
// its caller waits, since the next owner knows whether it was accepted.
func onOwner[T any](ctx context.Context, s *seat, changes bool, f func(context.Context, view) (T, error)) (T, error) {
	var zero T
	if s == nil {
		return zero, &cell.Refused{Reason: "the dockets are not known yet", RetryAfter: ownerRetry}
	}
	begun := time.Now()
	open := false // an owner may have got the request
	for {
		v, changed := s.current()
		result, err := zero, error(exchange.ErrNotReached)
		if s.reachable(v) {
			call, cancel := context.WithTimeout(ctx, tryTimeout)
			result, err = f(call, v)
			cancel()
			if final(err) {
				s.ownerAnswered(v.epoch)
				return result, err
			}
			if !errors.Is(err, exchange.ErrNotOwner) {
				s.ownerFailed(v.epoch, err)
			}
			open = open || !errors.Is(err, exchange.ErrNotReached) && !errors.Is(err, exchange.ErrNotOwner)
		}
		if ctx.Err() != nil || time.Since(begun) > searchMost && !(open && changes) {
			if open && changes {
				return zero, fmt.Errorf("%w: %w", cell.ErrUndecided, err)
			}
			return zero, &cell.Refused{Reason: "no owner of the docket can be reached", RetryAfter: ownerRetry}
		}
		select {
		case <-changed:
		case <-time.After(searchRetry):
		case <-ctx.Done():
		}
	}
}

// reachable reports whether it is worth asking the owner.
func (s *seat) reachable(v view) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return v.cell != nil || v.address != "" && !(s.ownerBad && v.epoch == s.view.epoch)
}

// final reports whether asking again cannot change the outcome.
func final(err error) bool {
	var refused *cell.Refused
	var moved *cell.Moved
	return err == nil || errors.Is(err, cell.ErrNoJob) || errors.As(err, &refused) || errors.As(err, &moved)
}

func refusedConnection(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// cellHere returns the cell of the docket if this process owns it.
func (s *seat) cellHere() (*cell.Cell, error) {
	if s == nil {
		return nil, exchange.ErrNotOwner
	}
	v, _ := s.current()
	if v.cell == nil {
		return nil, exchange.ErrNotOwner
	}
	return v.cell, nil
}

// SubmitHere implements exchange.Service.
func (n *Node) SubmitHere(ctx context.Context, docket int, job *wire.DocketAccepted) error {
	c, err := n.seat(docket).cellHere()
	if err != nil {
		return err
	}
	return c.Submit(ctx, job)
}

// StateHere implements exchange.Service.
func (n *Node) StateHere(ctx context.Context, number int, job string) (docket.State, error) {
	c, err := n.seat(number).cellHere()
	if err != nil {
		return "", err
	}
	return c.State(ctx, job)
}

// CancelHere implements exchange.Service.
func (n *Node) CancelHere(ctx context.Context, number int, job string) error {
	c, err := n.seat(number).cellHere()
	if err != nil {
		return err
	}
	return c.Cancel(ctx, job)
}

// WaitingHere implements exchange.Service.
func (n *Node) WaitingHere(ctx context.Context, docket int, queue string) (uint32, error) {
	c, err := n.seat(docket).cellHere()
	if err != nil {
		return 0, err
	}
	return c.Waiting(ctx, queue)
}

// Advise implements advice.Advisor for other processes.
func (n *Node) Advise(ctx context.Context, step docket.StepID, workers []string) ([]advice.Permit, error) {
	return n.Advisor.Advise(ctx, step, workers)
}
