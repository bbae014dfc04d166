package ownership

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"
)

// ownerCall is a take or a release as observed by the caller. A take ends with
// the grant. A release ends when it returns; its outcome is unknown after an
// error.
type ownerCall struct {
	Take    bool
	Session string
	Epoch   uint64
}

// ownerState is the state of the shard in the sequential model.
type ownerState struct {
	Session string
	Epoch   uint64
	Free    bool
}

var shardModel = porcupine.Model{
	Init: func() any { return ownerState{Free: true} },
	Step: func(state, input, output any) (bool, any) {
		s, c := state.(ownerState), input.(ownerCall)
		if c.Take {
			return s.Free && c.Epoch == s.Epoch+1, ownerState{Session: c.Session, Epoch: c.Epoch}
		}
		applies := !s.Free && s.Session == c.Session && s.Epoch == c.Epoch
		if !applies {
			return output == nil || !output.(bool), s
		}
		return true, ownerState{Session: s.Session, Epoch: s.Epoch, Free: true}
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v -> %v", input, output) },
}

// history records the operations of the shard's owners, with times of the
// virtual clock.
type history struct {
	mu      sync.Mutex
	ops     []porcupine.Operation
	pending map[ownerCall]time.Time // start times of releases and losses that have not ended
}

// add records an operation. One with an unknown outcome may take effect at any
// time after its start.
func (h *history) add(c ownerCall, began time.Time, answered bool) {
	end := time.Now()
	if !answered {
		end = began.Add(time.Hour)
	}
	h.ops = append(h.ops, porcupine.Operation{
		ClientId: len(h.ops), Input: c, Call: began.UnixNano(), Output: answered, Return: end.UnixNano(),
	})
}

func (h *history) recordTake(n *node, g Grant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// A take may be found by reading the row back, at most 20 s after its write was
	// sent.
	h.add(ownerCall{true, n.session.Process, g.Epoch}, time.Now().Add(-20*time.Second), true)
}

func (h *history) recordLoss(n *node, epoch uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pending[ownerCall{false, n.session.Process, epoch}] = time.Now()
}

func (h *history) recordRelease(n *node, epoch uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := ownerCall{false, n.session.Process, epoch}
	h.add(c, h.pending[c], true)
	delete(h.pending, c)
}

// finish records the releases that the process made by itself or whose answer
// was lost, and returns the history.
func (h *history) finish() []porcupine.Operation {
	for c, began := range h.pending {
		h.add(c, began, false)
	}
	return h.ops
}

// Takes and releases of one shard must be linearizable if answers of the table are
// lost and writes are applied late.
func TestTakeAndReleaseAreLinearizable(t *testing.T) {
	const processes = 3
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		steps := rapid.SliceOfN(rapid.Bool(), 4, 12).Draw(rt, "steps")
		var ops []porcupine.Operation
		synctest.Test(t, func(*testing.T) { ops = takeAndRelease(seed, processes, steps) })
		if len(ops) < 2 {
			rt.Fatalf("a history of %d operations is too short to check", len(ops))
		}
		if !porcupine.CheckOperations(shardModel, ops) {
			rt.Fatalf("history is not linearizable: %+v", ops)
		}
	})
}

func takeAndRelease(seed uint64, processes int, steps []bool) []porcupine.Operation {
	c := newCluster(seed, 1)
	h := &history{pending: map[ownerCall]time.Time{}}
	c.prepare = func(n *node) {
		n.shards.OnTake = func(g Grant) { h.recordTake(n, g) }
		n.shards.OnLose = func(_ string, epoch uint64) { h.recordLoss(n, epoch) }
	}
	for i := range processes {
		c.start(process(i))
	}
	c.checkFor(8 * time.Second)
	for _, lose := range steps {
		for i := range processes {
			if lose {
				c.inject(fault{Kind: "lose", Process: i, For: 4 * time.Second}, processes)
			}
			c.releaseAll(c.current[process(i)], h)
		}
		c.checkFor(3 * time.Second)
	}
	c.checkFor(20 * time.Second)
	c.stop()
	return h.finish()
}

func (c *cluster) releaseAll(n *node, h *history) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for _, g := range n.shards.Held() {
		if n.shards.Release(ctx, g.Shard) == nil {
			h.recordRelease(n, g.Epoch)
		}
	}
}

func TestModelRefusesTwoOwners(t *testing.T) {
	h := &history{pending: map[ownerCall]time.Time{}}
	h.add(ownerCall{true, "entry-0", 1}, time.Now(), true)
	h.add(ownerCall{true, "entry-1", 2}, time.Now(), true)
	if porcupine.CheckOperations(shardModel, h.ops) {
		t.Error("the model accepts two takes without a release between them")
	}
}
