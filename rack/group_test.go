package rack

import (
	"math/rand/v2"
	"testing"
	"time"

	"persimmonworks.example/persimmonworks/provider"
	"persimmonworks.example/persimmonworks/resource"
	"persimmonworks.example/persimmonworks/wire"
	"persimmonworks.example/persimmonworks/worker"
)

// newReadyGroup returns a group that owns rack-r1 under epoch 4. The rack has
// one worker with capacity for two tasks.
func newReadyGroup(t *testing.T) *Group {
	t.Helper()
	now := time.Unix(0, 0)
	r := &Rack{Name: "rack-r1", Epoch: 4, Lease: testLease}
	r.SetHosts([]provider.Host{{ID: "w1", Capacity: resource.Vector{MilliCPU: 2 * testDemand}}}, now)
	s, _ := r.NextSync("w1", now)
	if _, err := r.HandleReport("w1", s, worker.Report{Epoch: 4, BootID: "b"}, nil, now); err != nil {
		t.Fatal(err)
	}
	g := &Group{}
	g.Add(r)
	return g
}

func placementOf(task, shard string, epoch uint64) *wire.Placement {
	return &wire.Placement{Task: task, Attempt: 1, Shard: shard, ShardEpoch: epoch, Demand: &wire.Vector{MilliCpu: testDemand}}
}

// A placement takes effect only if its job epoch, sequence number, shard and
// shard epoch are all current. A refused or reordered message must not place
// anything.
func TestGroupSyncPlacements(t *testing.T) {
	place := func(epoch, sequence uint64, p *wire.Placement) *wire.TaskSync {
		return &wire.TaskSync{JobShard: "j", JobEpoch: epoch, Sequence: sequence, Placements: []*wire.Placement{p}}
	}
	good := placementOf("a/0", "rack-r1", 4)
	cases := []struct {
		name    string
		before  []*wire.TaskSync
		last    *wire.TaskSync
		refused bool // the whole message is refused
		placed  bool
	}{
		{"first", nil, place(1, 1, good), false, true},
		{"earlier job epoch", []*wire.TaskSync{{JobShard: "j", JobEpoch: 2}}, place(1, 1, good), true, false},
		{"older than a placement", []*wire.TaskSync{place(1, 2, placementOf("a/1", "rack-r1", 4))}, place(1, 1, good), true, false},
		{"older than an inventory request", []*wire.TaskSync{{JobShard: "j", JobEpoch: 1, Sequence: 2, Inventory: true}}, place(1, 1, good), true, false},
		{"older than an unsequenced message", []*wire.TaskSync{{JobShard: "j", JobEpoch: 1, Sequence: 2}}, place(1, 1, good), false, true},
		{"other shard", nil, place(1, 1, placementOf("a/0", "rack-r2", 4)), false, false},
		{"earlier epoch of the shard", nil, place(1, 1, placementOf("a/0", "rack-r1", 3)), false, false},
		{"later epoch of the shard", nil, place(1, 1, placementOf("a/0", "rack-r1", 5)), false, false},
	}
	for _, c := range cases {
		g, rng := newReadyGroup(t), rand.New(rand.NewPCG(1, 1))
		for _, s := range c.before {
			g.Sync(s, time.Unix(1, 0), rng)
		}
		report, refusal := g.Sync(c.last, time.Unix(2, 0), rng)
		r, _ := g.Rack("rack-r1")
		_, found := r.Attempt(worker.Ref{Task: "a/0", Attempt: 1})
		refusalReported := len(report.GetAttempts()) == 1 && report.Attempts[0].State == wire.AttemptState_ATTEMPT_STATE_REFUSED && report.Attempts[0].Worker == ""
		if (refusal != nil) != c.refused || found != c.placed || refusalReported != (!c.placed && !c.refused) {
			t.Errorf("%s: refusal %v, placed %v, report %v", c.name, refusal, found, report)
		}
	}
}

// A process that owns no rack, for example after a restart, refuses each
// placement. Without an answer, the owner of the job would wait forever.
func TestEmptyGroupRefuses(t *testing.T) {
	var g Group
	report, refusal := g.Sync(&wire.TaskSync{JobShard: "j", Sequence: 1, Placements: []*wire.Placement{placementOf("a/0", "rack-r1", 4)}}, time.Time{}, nil)
	if refusal != nil || len(report.Attempts) != 1 || report.Attempts[0].State != wire.AttemptState_ATTEMPT_STATE_REFUSED {
		t.Errorf("report %v, refusal %v", report, refusal)
	}
}
