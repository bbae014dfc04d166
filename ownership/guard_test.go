package ownership

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"persimmonworks.example/persimmonworks/provider"
)

// faultyTable delays the answers of commits, or loses both the write and its
// answer.
type faultyTable struct {
	*fakeTable
	delay time.Duration
	lose  bool
}

func (o *faultyTable) Commit(ctx context.Context, ops ...provider.Op) ([]uint64, error) {
	if o.lose {
		return nil, provider.ErrOutcomeUnknown
	}
	vs, err := o.fakeTable.Commit(ctx, ops...)
	time.Sleep(o.delay)
	return vs, err
}

func TestWitnessKeepsItsPromise(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newObservingSession(9*time.Second, sessionRow{Process: "entry-2", Incarnation: 3, State: Live, DataCentre: "pernik"})
		s.platformUnreachable = true
		d, ok := s.GivePromise("entry-2@3", time.Minute)
		if !ok {
			t.Fatal("no promise")
		}
		time.Sleep(d - time.Nanosecond)
		if due := s.markExpiring(time.Now()); len(due) != 0 {
			t.Error("the session is due to be expired within the promise")
		}
		time.Sleep(time.Nanosecond)
		if due := s.markExpiring(time.Now()); len(due) != 1 {
			t.Error("the session is not due to be expired after the promise")
		}
		if _, ok := s.GivePromise("entry-2@3", time.Minute); ok {
			t.Error("a promise was given after the expiry had started")
		}
	})
}

func TestExpiredProcessTakesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeTable()
		s := &Session{Table: f, Process: "entry-0", DataCentre: "pernik"}
		s.init()
		ctx := context.Background()
		if err := s.round(ctx); err != nil {
			t.Fatal(err)
		}
		row := s.ownRow
		row.State = Expired
		mustCommit(t, f, provider.Update("session/entry-0", encode(&row), s.version))
		take := provider.Create("shard/pernik/rack-000", encode(&shardRow{Session: "entry-0@1", Epoch: 1}))
		if _, err := s.commit(ctx, take); !errors.Is(err, provider.ErrConflict) {
			t.Errorf("take by an expired session: %v, want a conflict", err)
		}
	})
}

func TestDeadlineCountsFromSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &faultyTable{fakeTable: newFakeTable(), delay: 900 * time.Millisecond}
		s := &Session{Table: o, Process: "entry-0", DataCentre: "pernik"}
		s.init()
		sent := time.Now()
		if err := s.round(context.Background()); err != nil {
			t.Fatal(err)
		}
		end := sent.Add(s.TTL - s.Margin)
		if !s.Valid(end.Add(-1)) || s.Valid(end) {
			t.Error("the session is not valid until exactly TTL - Margin after the send")
		}
	})
}

func TestLostRenewalDoesNotExtend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &faultyTable{fakeTable: newFakeTable()}
		s := &Session{Table: o, Process: "entry-0", DataCentre: "pernik"}
		s.init()
		if err := s.round(context.Background()); err != nil {
			t.Fatal(err)
		}
		before := s.deadline
		o.lose = true
		time.Sleep(s.RenewEvery)
		row, version := s.nextRow()
		if err := s.writeRowWithRetry(context.Background(), row, version); !errors.Is(err, provider.ErrOutcomeUnknown) {
			t.Errorf("write of the row = %v, want an unknown outcome", err)
		}
		if !s.deadline.Equal(before) {
			t.Errorf("the deadline moved by %v", s.deadline.Sub(before))
		}
	})
}
