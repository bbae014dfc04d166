package node

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"persimmonworks.example/persimmonworks/advice"
	"persimmonworks.example/persimmonworks/cell"
	"persimmonworks.example/persimmonworks/changelog"
	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/wire"
)

const (
	followWait   = 500 * time.Millisecond // a feed waits so long for a change
	followPause  = 250 * time.Millisecond // between two feeds, so that changes come in batches
	followRetry  = 200 * time.Millisecond
	watchfulWait = 150 * time.Millisecond // the same while the owner does not answer
	feedSlack    = 1200 * time.Millisecond
	probeTimeout = 100 * time.Millisecond  // the store has to answer so fast for a takeover on request
	silenceMost  = 1500 * time.Millisecond // an owner that changes nothing for so long is taken for dead
	silenceLost  = 800 * time.Millisecond  // the same when it does not answer this process either
	silenceGone  = 100 * time.Millisecond  // the same when it does not listen any more
	jitterMost   = 120 * time.Millisecond
	vacantJitter = 40 * time.Millisecond
	leaveTimeout = 800 * time.Millisecond
	writesShare  = 0.6 // of the store's rate, for changes of dockets
)

// follow keeps the replica up to date and takes the docket over when its owner
// is silent, has left, or asks for it.
func (s *seat) follow(ctx context.Context) error {
	version, seenAt := uint64(0), time.Time{}
	for ctx.Err() == nil {
		if s.isLeaving() {
			s.markLeft()
		}
		if !s.follows(time.Now()) {
			seenAt = time.Time{}
			s.rest(ctx)
			continue
		}
		asked := s.askedToTakeOver()
		if err := s.followOnce(ctx, asked); err != nil {
			seenAt = time.Time{} // silence counts from the store's return
			s.storeFailed(err)
			sleep(ctx, followRetry)
			continue
		}
		now := time.Now()
		s.storeAnswered(now)
		head := s.replica.Head()
		if v := s.replica.Version(); v != version || seenAt.IsZero() {
			version, seenAt = v, now
		}
		s.learn(view{address: head.GetAddress(), epoch: head.GetEpoch()})
		if s.isLeaving() {
			s.pause(ctx, followPause)
			continue
		}
		if !s.due(ctx, head, now.Sub(seenAt), asked) {
			if !s.lostOwner() {
				s.pause(ctx, followPause)
			}
			continue
		}
		if err := s.own(ctx); err != nil {
			s.Log.Emit(event.DocketLost, "docket", s.docket, "error", err)
			sleep(ctx, followRetry)
		}
		seenAt = time.Time{}
	}
	return nil
}

// rest does nothing but look for an owner while none is known. A docket that has
// none, or that this process owned before it was restarted, is then followed.
func (s *seat) rest(ctx context.Context) {
	if s.replica.Docket() != nil {
		s.forget()
	}
	if v, _ := s.current(); v.address != "" {
		s.pause(ctx, followPause)
		return
	}
	call, cancel := context.WithTimeout(ctx, feedSlack)
	head, err := changelog.ReadHead(call, s.table)
	cancel()
	if err != nil {
		s.storeFailed(err)
		sleep(ctx, followRetry)
		return
	}
	s.storeAnswered(time.Now())
	s.learn(view{address: head.GetAddress(), epoch: head.GetEpoch()})
	if head.GetEpoch() == 0 || head.GetVacant() || head.GetOwner() == s.Identity.Name {
		s.engage(time.Now())
	}
}

// limits returns the limits of one cell of several.
func (s *seat) limits() cell.Limits {
	limits := s.Limits
	if l, _ := s.layout(); s.Writes > 0 {
		limits.CommitGap = time.Duration(float64(l.Dockets()) / (writesShare * s.Writes) * float64(time.Second))
	}
	return limits
}

// followOnce applies what has changed. It waits for a change unless asked tells
// that the owner of an epoch wants to be succeeded.
func (s *seat) followOnce(ctx context.Context, asked uint64) error {
	wait, limit := followWait, followWait+feedSlack
	if s.lostOwner() {
		wait = watchfulWait
	}
	if head := s.replica.Head(); head != nil && (head.GetVacant() || asked != 0 && asked == head.GetEpoch()) {
		wait, limit = 0, probeTimeout
	}
	call, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	s.mu.Lock()
	s.interrupt = cancel
	s.mu.Unlock()
	err := s.replica.Follow(call, wait)
	if err != nil && ctx.Err() == nil && errors.Is(call.Err(), context.Canceled) {
		again, cancel := context.WithTimeout(ctx, feedSlack)
		defer cancel()
		return s.replica.Follow(again, 0) // interrupted to look at once
	}
	return err
}

// due reports whether to try to take over now. Processes wait a random time, and
// weak hosts longer, so that mostly one tries; if several do, the store lets one
// succeed.
func (s *seat) due(ctx context.Context, head *wire.DocketHead, silent time.Duration, asked uint64) bool {
	late := s.handicap(head)
	silent -= late
	switch {
	case head.GetEpoch() == 0 || head.GetVacant():
		sleep(ctx, late+rand.N(vacantJitter))
		return true
	case head.GetOwner() == s.Identity.Name && head.GetIncarnation() < s.Identity.Incarnation:
		return true
	case asked != 0 && asked == head.GetEpoch():
	case s.ownerLost(head.GetEpoch()) && silent > silenceLost+rand.N(jitterMost):
	case s.ownerGone(head.GetEpoch()) && silent > silenceGone+rand.N(jitterMost):
	case silent > silenceMost+rand.N(jitterMost):
	default:
		return false
	}
	s.Log.Emit(event.DocketSuspect, "docket", s.docket, "owner", head.GetOwner(), "epoch", head.GetEpoch(),
		"silent-ms", silent.Milliseconds(), "asked", asked == head.GetEpoch())
	return true
}

// own takes the docket over and schedules its jobs until another process takes
// it, or this one leaves.
func (s *seat) own(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, followWait+feedSlack)
	w, err := s.replica.TakeOver(call, changelog.Owner{
		Name: s.Identity.Name, Incarnation: s.Identity.Incarnation, Address: s.Identity.Address, Cores: s.Identity.Cores,
	})
	cancel()
	if err != nil {
		return fmt.Errorf("take over: %w", err)
	}
	s.Log.Emit(event.DocketTaken, "docket", s.docket, "epoch", w.Epoch(), "sequence", w.Sequence(), "jobs", s.replica.Docket().Len())
	released := false
	released, err = s.schedule(ctx, w)
	s.forget()
	if (released || s.isLeaving()) && err == nil {
		leave, cancel := context.WithTimeout(ctx, leaveTimeout)
		err = w.Leave(leave)
		s.yield(leave, w.Epoch())
		cancel()
	}
	s.Log.Emit(event.DocketLost, "docket", s.docket, "epoch", w.Epoch(), "leaving", s.isLeaving(), "to-stronger", released)
	return err
}

// schedule runs the cell until it ends. It reports whether the docket is to be
// given to a stronger host.
func (s *seat) schedule(ctx context.Context, w *changelog.Writer) (released bool, err error) {
	c := &cell.Cell{
		Docket: s.replica.Docket(), Writer: w, Orders: s.Orders, Advice: advice.NewDesk(s.Identity.Name, s.Advisor),
		Fleet: &share{s.Node, s.docket}, Others: s.others(), Log: s.Log, Meter: s.Meter, Limits: s.limits(),
		Stalled: func() {
			select {
			case s.stalled <- w.Epoch():
			default: // one is being handled
			}
		},
	}
	c.Prepare()
	run, stop := context.WithCancel(ctx)
	defer stop()
	group, run := errgroup.WithContext(run)
	group.Go(func() error {
		defer stop()
		return c.Run(run)
	})
	group.Go(func() error {
		select {
		case <-s.leaving:
			stop()
		case <-run.Done():
		}
		return nil
	})
	group.Go(func() error {
		released = s.findStronger(run, w)
		if released {
			stop()
		}
		return nil
	})
	s.mu.Lock()
	s.depose = stop
	if s.view.epoch > w.Epoch() {
		stop()
	} else {
		s.setView(view{address: s.Identity.Address, epoch: w.Epoch(), cell: c})
	}
	s.mu.Unlock()
	group.Go(func() error {
		s.announce(run)
		return nil
	})
	err = group.Wait()
	s.mu.Lock()
	s.depose = nil
	if s.view.cell == c {
		s.setView(view{epoch: w.Epoch()})
	}
	s.mu.Unlock()
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	return released, err
}
