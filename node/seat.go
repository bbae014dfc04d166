package node

import (
	"context"
	"fmt"
	"sync"
	"time"

	"persimmonworks.example/persimmonworks/cell"
	"persimmonworks.example/persimmonworks/changelog"
	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/exchange"
)

// seat is the part that the process takes in one docket.
type seat struct {
	*Node
	docket  int
	table   changelog.Table
	replica *changelog.Replica
	left    chan struct{} // closed once the process has left the docket
	stalled chan uint64   // epochs of this process that the store does not serve
	poked   chan struct{} // ends the pause between two feeds

	mu        sync.Mutex
	view      view
	changed   chan struct{} // closed when the view changes
	depose    func()        // ends the cell, nil while this process is not the owner
	interrupt func()        // ends the feed that is waiting
	gone      uint64        // epoch whose owner does not listen any more
	yielded   uint64        // epoch whose owner has asked to take over
	engaged   time.Time     // until then the docket is followed in any case
	ownerOK   time.Time     // newest answer of the owner
	ownerBad  bool
	load      float64   // of the docket, as its owner said
	loadAt    time.Time // when
}

// view is what a process knows of the owner.
type view struct {
	address string
	epoch   uint64
	cell    *cell.Cell // set while this process is the owner
}

func tableName(docket int) string { return fmt.Sprintf("docket-%d", docket) }

func newSeat(n *Node, docket int) *seat {
	s := &seat{
		Node: n, docket: docket, table: n.Tables(tableName(docket)),
		left: make(chan struct{}), stalled: make(chan uint64, 1), poked: make(chan struct{}, 1),
		changed: make(chan struct{}), interrupt: func() {},
	}
	s.forget()
	return s
}

// forget drops the replica.
func (s *seat) forget() {
	s.replica = &changelog.Replica{Table: s.table, Refused: func(err error) {
		s.Log.Emit(event.DocketRefused, "docket", s.docket, "error", err)
	}}
}

// poke makes the process look at the docket at once. It needs the lock.
func (s *seat) poke() {
	s.interrupt()
	select {
	case s.poked <- struct{}{}:
	default:
	}
}

// pause waits, unless the process is poked.
func (s *seat) pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-s.poked:
	case <-ctx.Done():
	}
}

func (s *seat) markLeft() {
	select {
	case <-s.left:
	default:
		close(s.left)
	}
}

func (s *seat) current() (view, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view, s.changed
}

// connected reports whether the process owns the docket or reaches its owner.
func (s *seat) connected() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.cell != nil || s.view.address != "" && !s.ownerBad
}

// learn takes in an owner. A lower epoch than the one known is ignored; a higher
// one ends the cell of this process.
func (s *seat) learn(v view) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v.epoch < s.view.epoch || v == s.view || v.address == "" && v.cell == nil {
		return
	}
	if s.view.cell != nil && v.cell == nil && v.epoch == s.view.epoch {
		return
	}
	if s.depose != nil && v.epoch > s.view.epoch && v.cell == nil {
		s.depose()
	}
	s.setView(v)
}

// setView needs the lock.
func (s *seat) setView(v view) {
	s.view = v
	s.ownerBad, s.ownerOK = false, time.Now()
	close(s.changed)
	s.changed = make(chan struct{})
}

// noteLoad takes in the load that the owner of an epoch told.
func (s *seat) noteLoad(o exchange.Owner) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o.Load > 0 && o.Epoch == s.view.epoch {
		s.load, s.loadAt = o.Load, time.Now()
	}
}

func (s *seat) askedToTakeOver() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	asked := s.yielded
	s.yielded = 0 // one try for each request
	return asked
}

func (s *seat) ownerGone(epoch uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gone == epoch
}

func (s *seat) ownerLost(epoch uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ownerBad && s.view.epoch == epoch
}

// lostOwner reports whether the process has to look for the owner elsewhere.
func (s *seat) lostOwner() bool {
	_, serves := s.storeServes()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ownerBad || !serves
}

func (s *seat) markGone(epoch uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gone = epoch
	s.poke()
}

// ownerAnswered notes that the owner of an epoch can be reached.
func (s *seat) ownerAnswered(epoch uint64) {
	s.mu.Lock()
	if epoch != s.view.epoch {
		s.mu.Unlock()
		return
	}
	was := s.ownerBad
	s.ownerBad, s.ownerOK = false, time.Now()
	s.mu.Unlock()
	if was {
		s.Log.Emit(event.OwnerRegained, "docket", s.docket, "epoch", epoch)
	}
}

// ownerFailed notes that the owner of an epoch did not answer.
func (s *seat) ownerFailed(epoch uint64, err error) {
	s.mu.Lock()
	if epoch != s.view.epoch || s.ownerBad || s.view.cell != nil {
		s.mu.Unlock()
		return
	}
	s.ownerBad = time.Since(s.ownerOK) > ownerSilence || refusedConnection(err)
	lost := s.ownerBad
	if lost {
		s.poke()
	}
	s.mu.Unlock()
	if lost {
		s.Log.Emit(event.OwnerLost, "docket", s.docket, "epoch", epoch, "error", err)
	}
}
