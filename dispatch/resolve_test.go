package dispatch

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"persimmonworks.example/persimmonworks/chain/chaintest"
	"persimmonworks.example/persimmonworks/control"
	"persimmonworks.example/persimmonworks/directory"
	"persimmonworks.example/persimmonworks/job"
	"persimmonworks.example/persimmonworks/queue"
	"persimmonworks.example/persimmonworks/resource"
	"persimmonworks.example/persimmonworks/standin"
	"persimmonworks.example/persimmonworks/wire"
)

// owners is a set of racks, all owned by one process or by nobody.
type owners struct {
	mu    sync.Mutex
	racks map[string]string
}

func (o *owners) set(rack, process string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.racks[rack] = process
}

func (o *owners) Owners() map[string]Owner {
	o.mu.Lock()
	defer o.mu.Unlock()
	all := map[string]Owner{}
	for rack, process := range o.racks {
		all[rack] = Owner{Process: process, Epoch: 1}
	}
	return all
}

func (o *owners) Sync(_ context.Context, process string, _ *wire.TaskSync) (*wire.TaskReport, *wire.Refusal, error) {
	r := &wire.TaskReport{}
	for rack, owner := range o.Owners() {
		if owner.Process == process {
			r.Shards = append(r.Shards, &wire.ShardEpoch{Shard: rack, Epoch: 1, Complete: true})
		}
	}
	return r, nil, nil
}

// A new job owner asks a process for its inventory again when that process
// takes a rack over later; else the job would wait for ever.
func TestRackTakenOverLaterIsAskedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		racks := &owners{racks: map[string]string{"rack-a": "p", "rack-b": ""}}
		loop := control.New()
		d := &Desk{
			Loop: loop, Table: &chaintest.Table{}, Objects: &standin.Objects{}, Process: "p", DataCentre: "dc1", Racks: racks,
			Valid: func(time.Time) bool { return true }, Queue: &queue.Queue{}, Directory: &directory.Directory{}, Log: quiet{},
			Rand: rand.New(rand.NewPCG(20261204, 1)), Retention: time.Hour,
		}
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		group.Go(func() error { return loop.Run(ctx) })
		group.Go(func() error { return d.Run(ctx) })
		defer func() {
			cancel()
			_ = group.Wait() // both return nil when ctx ends
		}()
		synctest.Wait() // Run has begun
		loop.Post(func() { d.Take("jobs-0", 1) })
		time.Sleep(5 * time.Second)
		out := d.Submit(ctx, "jobs-0", job.Spec{
			Organisation: "prado", Class: "batch", Demand: resource.Vector{MilliCPU: 1000, MemoryMB: 1}, Tasks: []job.TaskSpec{{}},
		})
		if out.Refusal != nil {
			t.Fatal(out.Refusal)
		}
		waiting := func() string {
			t.Helper()
			v, ok, err := d.View(ctx, out.Job)
			if err != nil || !ok {
				t.Fatalf("view: %v, %v", ok, err)
			}
			return v.Waiting
		}
		loop.Post(func() { d.Take("jobs-0", 2) })
		time.Sleep(10 * time.Second)
		if why := waiting(); !strings.Contains(why, "inventories of all racks") {
			t.Fatalf("a rack without an owner: the task waits for %q", why)
		}
		racks.set("rack-b", "p")
		time.Sleep(10 * time.Second)
		if why := waiting(); strings.Contains(why, "inventories of all racks") {
			t.Errorf("after rack-b was taken over: the task waits for %q", why)
		}
	})
}
