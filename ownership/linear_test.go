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

// ownerCall is a take or release as the caller saw it. A take ends with the
// grant; a release ends when it returns, with an unknown outcome after an error.
type ownerCall struct {
	Take    bool
	Session string
	Epoch   uint64
}

// ownerState is the shard as the model sees it.
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

// history records what the shards' owners did, by the virtual clock.
type history struct {
	mu    sync.Mutex
	ops   []porcupine.Operation
	given map[ownerCall]time.Time // releases and losses that have begun
}

// add records an operation. The end of one with an unknown outcome is open.
func (h *history) add(c ownerCall, began time.Time, known bool) {
	end := time.Now()
	if !known {
		end = began.Add(time.Hour)
	}
	h.ops = append(h.ops, porcupine.Operation{
		ClientId: len(h.ops), Input: c, Call: began.UnixNano(), Output: known, Return: end.UnixNano(),
	})
}

func (h *history) took(n *node, g Grant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// A take is adopted at most 20 s after its write was sent.
	h.add(ownerCall{true, n.session.Process, g.Epoch}, time.Now().Add(-20*time.Second), true)
}

func (h *history) gave(n *node, epoch uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.given[ownerCall{false, n.session.Process, epoch}] = time.Now()
}

func (h *history) released(n *node, epoch uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := ownerCall{false, n.session.Process, epoch}
	h.add(c, h.given[c], true)
	delete(h.given, c)
}

// close records what was given up by the process itself or without an answer.
func (h *history) close() []porcupine.Operation {
	for c, began := range h.given {
		h.add(c, began, false)
	}
	return h.ops
}

// Taking and releasing one shard is linearizable under lost and late answers.
func TestTakeAndReleaseAreLinearizable(t *testing.T) {
	const processes = 3
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		steps := rapid.SliceOfN(rapid.Bool(), 4, 12).Draw(rt, "steps")
		var ops []porcupine.Operation
		synctest.Test(t, func(*testing.T) { ops = takeAndRelease(seed, processes, steps) })
		if len(ops) < 2 {
			rt.Fatalf("history of %d operations proves nothing", len(ops))
		}
		if !porcupine.CheckOperations(shardModel, ops) {
			rt.Fatalf("history is not linearizable: %+v", ops)
		}
	})
}

func takeAndRelease(seed uint64, processes int, steps []bool) []porcupine.Operation {
	c := newCluster(seed, 1)
	h := &history{given: map[ownerCall]time.Time{}}
	c.prepare = func(n *node) {
		n.shards.OnTake = func(g Grant) { h.took(n, g) }
		n.shards.OnLose = func(_ string, epoch uint64) { h.gave(n, epoch) }
	}
	for i := range processes {
		c.start(process(i))
	}
	c.watch(8 * time.Second)
	for _, lose := range steps {
		for i := range processes {
			if lose {
				c.inject(fault{Kind: "lose", Process: i, For: 4 * time.Second}, processes)
			}
			c.releaseAll(c.current[process(i)], h)
		}
		c.watch(3 * time.Second)
	}
	c.watch(20 * time.Second)
	c.stop()
	return h.close()
}

func (c *cluster) releaseAll(n *node, h *history) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for _, g := range n.shards.Held() {
		if n.shards.Release(ctx, g.Shard) == nil {
			h.released(n, g.Epoch)
		}
	}
}

func TestModelRefusesTwoOwners(t *testing.T) {
	h := &history{given: map[ownerCall]time.Time{}}
	h.add(ownerCall{true, "entry-0", 1}, time.Now(), true)
	h.add(ownerCall{true, "entry-1", 2}, time.Now(), true)
	if porcupine.CheckOperations(shardModel, h.ops) {
		t.Error("two takes without a release between them pass")
	}
}
