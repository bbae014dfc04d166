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

// fakeRackClient implements RackClient with empty racks, some of which have no owner.
type fakeRackClient struct {
	mutex sync.Mutex
	racks map[string]string
}

func (f *fakeRackClient) set(rack, process string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.racks[rack] = process
}

func (f *fakeRackClient) Owners() map[string]RackOwner {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	all := map[string]RackOwner{}
	for rack, process := range f.racks {
		all[rack] = RackOwner{Process: process, Epoch: 1}
	}
	return all
}

func (f *fakeRackClient) Sync(_ context.Context, process string, _ *wire.TaskSync) (*wire.TaskReport, *wire.Refusal, error) {
	r := &wire.TaskReport{}
	for rack, owner := range f.Owners() {
		if owner.Process == process {
			r.Shards = append(r.Shards, &wire.ShardEpoch{Shard: rack, Epoch: 1, Complete: true})
		}
	}
	return r, nil, nil
}

// The new owner of a job shard waits for the inventories of all racks. If a
// process takes over a rack after it has reported its inventory, it must be asked
// again; otherwise the job waits for ever.
func TestRackTakenOverLaterIsAskedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		racks := &fakeRackClient{racks: map[string]string{"rack-a": "p", "rack-b": ""}}
		loop := control.New()
		d := &Dispatcher{
			Loop: loop, Table: &chaintest.Table{}, Objects: &standin.Objects{}, Process: "p", DataCentre: "dc1", Racks: racks,
			Valid: func(time.Time) bool { return true }, Queue: &queue.Queue{}, Directory: &directory.Directory{}, Log: discardEvents{},
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
		loop.Post(func() { d.AddShard("jobs-0", 1) })
		time.Sleep(5 * time.Second)
		outcome := d.Submit(ctx, "jobs-0", job.Spec{
			Organisation: "prado", Class: "batch", Demand: resource.Vector{MilliCPU: 1000, MemoryMB: 1}, Tasks: []job.TaskSpec{{}},
		})
		if outcome.Refusal != nil {
			t.Fatal(outcome.Refusal)
		}
		waitingReason := func() string {
			t.Helper()
			v, ok, err := d.Job(ctx, outcome.Job)
			if err != nil || !ok {
				t.Fatalf("view: found %v, error %v", ok, err)
			}
			return v.Waiting
		}
		loop.Post(func() { d.AddShard("jobs-0", 2) })
		time.Sleep(10 * time.Second)
		if why := waitingReason(); !strings.Contains(why, "inventories of all racks") {
			t.Fatalf("rack-b has no owner: the task waits for %q", why)
		}
		racks.set("rack-b", "p")
		time.Sleep(10 * time.Second)
		if why := waitingReason(); strings.Contains(why, "inventories of all racks") {
			t.Errorf("after rack-b was taken over: the task waits for %q", why)
		}
	})
}
