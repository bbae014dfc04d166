package job_test

import (
	"errors"
	"slices"
	"testing"
	"time"

	"persimmonworks.example/persimmonworks/joblog"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/job"
	"persimmonworks.example/persimmonworks/provider"
	"persimmonworks.example/persimmonworks/standin"
)

// Checks the state of a task and its granted attempt after one or more attempts
// have ended.
func TestEnded(t *testing.T) {
	ran := func(s job.State) job.AttemptEnd { return job.AttemptEnd{Outcome: s, MayHaveRun: true} }
	crashed := func(evidence int) job.AttemptEnd {
		return job.AttemptEnd{Outcome: job.Unknown, MayHaveRun: true, CrashEvidence: evidence}
	}
	refused := job.AttemptEnd{Outcome: job.Waiting}
	nonIdempotent := job.Spec{NonIdempotent: true}
	cases := []struct {
		name    string
		spec    job.Spec
		cancel  bool
		ends    []job.AttemptEnd
		want    job.State
		attempt uint64
	}{
		{"done", job.Spec{}, false, []job.AttemptEnd{ran(job.Done)}, job.Done, 1},
		{"failed once", job.Spec{}, false, []job.AttemptEnd{ran(job.Failed)}, job.Waiting, 2},
		{"failed too often", job.Spec{MaxAttempts: 2}, false, []job.AttemptEnd{ran(job.Failed), ran(job.Failed)}, job.Parked, 2},
		{"lost, preempted and refused attempts do not count as failures", job.Spec{MaxAttempts: 1}, false, []job.AttemptEnd{ran(job.Unknown), ran(job.Waiting), refused}, job.Waiting, 4},
		{"lost beside others in crashes", job.Spec{}, false, slices.Repeat([]job.AttemptEnd{crashed(job.EvidenceAmongOthers)}, 5), job.Waiting, 6},
		{"crashes each worker", job.Spec{}, false, slices.Repeat([]job.AttemptEnd{crashed(job.EvidenceAlone)}, 3), job.Parked, 3},
		{"service that crashes each worker", job.Spec{Class: class.Service}, false, slices.Repeat([]job.AttemptEnd{crashed(job.EvidenceAlone)}, 3), job.Parked, 3},
		{"service", job.Spec{Class: class.Service, MaxAttempts: 1}, false, []job.AttemptEnd{ran(job.Failed), ran(job.Failed)}, job.Waiting, 3},
		{"cancelled and stopped", job.Spec{}, true, []job.AttemptEnd{ran(job.Waiting)}, job.Cancelled, 1},
		{"cancelled too late", job.Spec{}, true, []job.AttemptEnd{ran(job.Done)}, job.Done, 1},
		{"expired", job.Spec{}, false, []job.AttemptEnd{{Outcome: job.Expired}}, job.Expired, 1},
		{"non-idempotent, failed", nonIdempotent, false, []job.AttemptEnd{ran(job.Failed)}, job.Failed, 1},
		{"non-idempotent, lost", nonIdempotent, false, []job.AttemptEnd{ran(job.Unknown)}, job.Unknown, 1},
		{"non-idempotent, stopped", nonIdempotent, false, []job.AttemptEnd{ran(job.Waiting)}, job.Unknown, 1},
		{"non-idempotent, never ran", nonIdempotent, false, []job.AttemptEnd{refused}, job.Waiting, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var b job.ShardState
			c.spec.Tasks = make([]job.TaskSpec, 1)
			b.Apply(job.AcceptEntry("d.s.1", c.spec, time.Time{}))
			b.Apply(job.Entry{Kind: job.EntryIntent, Job: "d.s.1", Attempt: 1})
			if c.cancel {
				b.Apply(job.Entry{Kind: job.EntryCancel, Job: "d.s.1", MayBeRunning: []int{0}})
			}
			for i, end := range c.ends {
				e, ok := b.EndEntry("d.s.1/0", uint64(i)+1, end)
				if !ok || !b.Apply(e) || b.Apply(e) {
					t.Fatalf("end %d: entry %+v, ok %v; want it to take effect exactly once", i, e, ok)
				}
			}
			j, _ := b.Job("d.s.1")
			x := j.Tasks()[0]
			if x.State != c.want || x.Attempt != c.attempt || j.OpenTasks() != boolToInt(!c.want.Final()) || j.CountInState(c.want) != 1 {
				t.Errorf("task %+v, %d open, want state %s, attempt %d", x, j.OpenTasks(), c.want, c.attempt)
			}
			if x.Attempt > 1 && x.IntentRecorded {
				t.Error("the intent of an earlier attempt is kept for the next one")
			}
		})
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// An idempotency key belongs to the first job accepted with it, across all job
// shards and owners. A batch with a key that is taken is not written at all.
func TestKeyTaken(t *testing.T) {
	var table standin.Table
	openStore := func(shard string) *joblog.Store {
		s := &joblog.Store{Table: &table, Objects: &standin.Objects{}, DataCentre: "dc1", Shard: shard, Epoch: 1, Writer: shard}
		if _, err := s.Open(t.Context()); err != nil {
			t.Fatal(err)
		}
		return s
	}
	accept := func(id, key string) job.Entry {
		return job.AcceptEntry(id, job.Spec{Organisation: "prado", IdempotencyKey: key, Tasks: make([]job.TaskSpec, 1)}, time.Time{})
	}
	a, b := openStore("jobs-1"), openStore("jobs-2")
	if err := a.Append(t.Context(), []job.Entry{accept("dc1.jobs-1.1", "k")}); err != nil {
		t.Fatal(err)
	}
	next := b.NextRow()
	err := b.Append(t.Context(), []job.Entry{accept("dc1.jobs-2.1", "other"), accept("dc1.jobs-2.2", "k")})
	var taken *joblog.ErrKeyTaken
	if !errors.As(err, &taken) || len(taken.Jobs) != 1 || taken.Jobs["dc1.jobs-2.2"].ID != "dc1.jobs-1.1" || b.NextRow() != next {
		t.Fatalf("error %v, next row %d, was %d before", err, b.NextRow(), next)
	}
	for key, want := range map[string]string{"k": "dc1.jobs-1.1", "other": "", "none": ""} {
		if got, err := joblog.LookupKey(t.Context(), &table, "prado", key); got.ID != want || err != nil {
			t.Errorf("key %q belongs to job %q, error %v, want job %q", key, got, err, want)
		}
	}
}

// A previous owner must not append a row after the row of the new owner with the
// same number has been removed by a snapshot. As its last batch may have been in
// a removed row, the result of the append is unknown.
func TestDeposedAfterSnapshot(t *testing.T) {
	var table standin.Table
	var objects standin.Objects
	openEpoch := func(epoch uint64) (*joblog.Store, *job.ShardState) {
		s := &joblog.Store{Table: &table, Objects: &objects, DataCentre: "dc1", Shard: "jobs-1", Epoch: epoch, Writer: "e1"}
		b, err := s.Open(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		return s, b
	}
	old, _ := openEpoch(1)
	latest, state := openEpoch(2)
	snapshot, err := state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if err := latest.Compact(t.Context(), snapshot, latest.NextRow()); err != nil {
		t.Fatal(err)
	}
	err = old.Append(t.Context(), []job.Entry{job.AcceptEntry("dc1.jobs-1.1", job.Spec{Tasks: make([]job.TaskSpec, 1)}, time.Time{})})
	if !errors.Is(err, joblog.ErrDeposed) || !errors.Is(err, provider.ErrOutcomeUnknown) {
		t.Errorf("append by the previous owner: %v", err)
	}
	if err := latest.Append(t.Context(), []job.Entry{{Kind: job.EntryForget, Job: "none"}}); err != nil {
		t.Errorf("append by the owner: %v", err)
	}
}
