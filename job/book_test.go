package job_test

import (
	"errors"
	"testing"
	"time"

	"persimmonworks.example/persimmonworks/joblog"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/job"
	"persimmonworks.example/persimmonworks/provider"
	"persimmonworks.example/persimmonworks/standin"
)

// What becomes of a task when an attempt has ended, and how often it may fail.
func TestEnded(t *testing.T) {
	ran := func(s job.State) job.End { return job.End{Outcome: s, MayHaveRun: true} }
	notRun := job.End{Outcome: job.Waiting}
	once := job.Spec{NonIdempotent: true}
	cases := []struct {
		name    string
		spec    job.Spec
		cancel  bool
		ends    []job.End
		want    job.State
		attempt uint64
	}{
		{"done", job.Spec{}, false, []job.End{ran(job.Done)}, job.Done, 1},
		{"failed once", job.Spec{}, false, []job.End{ran(job.Failed)}, job.Waiting, 2},
		{"failed too often", job.Spec{MaxAttempts: 2}, false, []job.End{ran(job.Failed), ran(job.Failed)}, job.Parked, 2},
		{"losses are no failures", job.Spec{MaxAttempts: 1}, false, []job.End{ran(job.Unknown), ran(job.Waiting), notRun}, job.Waiting, 4},
		{"service", job.Spec{Class: class.Service, MaxAttempts: 1}, false, []job.End{ran(job.Failed), ran(job.Failed)}, job.Waiting, 3},
		{"cancelled and stopped", job.Spec{}, true, []job.End{ran(job.Waiting)}, job.Cancelled, 1},
		{"cancelled too late", job.Spec{}, true, []job.End{ran(job.Done)}, job.Done, 1},
		{"expired", job.Spec{}, false, []job.End{{Outcome: job.Expired}}, job.Expired, 1},
		{"once, failed", once, false, []job.End{ran(job.Failed)}, job.Failed, 1},
		{"once, lost", once, false, []job.End{ran(job.Unknown)}, job.Unknown, 1},
		{"once, stopped", once, false, []job.End{ran(job.Waiting)}, job.Unknown, 1},
		{"once, never ran", once, false, []job.End{notRun}, job.Waiting, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var b job.Book
			c.spec.Tasks = make([]job.TaskSpec, 1)
			b.Apply(job.Accept("d.s.1", c.spec, time.Time{}))
			b.Apply(job.Entry{Kind: job.EntryIntent, Job: "d.s.1", Attempt: 1})
			if c.cancel {
				b.Apply(job.Entry{Kind: job.EntryCancel, Job: "d.s.1", Open: []int{0}})
			}
			for i, end := range c.ends {
				e, ok := b.Ended("d.s.1/0", uint64(i)+1, end)
				if !ok || !b.Apply(e) || b.Apply(e) {
					t.Fatalf("end %d: %+v, %v; it is to take effect once", i, e, ok)
				}
			}
			j, _ := b.Job("d.s.1")
			x := j.Tasks()[0]
			if x.State != c.want || x.Attempt != c.attempt || j.Open() != b2i(!c.want.Final()) || j.Count(c.want) != 1 {
				t.Errorf("%+v, open %d, want %s attempt %d", x, j.Open(), c.want, c.attempt)
			}
			if x.Attempt > 1 && x.Intended {
				t.Error("the intent of an earlier attempt counts for the next one")
			}
		})
	}
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}

// An idempotency key belongs to the job that took it first, in whichever shard
// and owner, and nothing of a batch that has a taken key is written.
func TestKeyTaken(t *testing.T) {
	var table standin.Table
	open := func(shard string) *joblog.Store {
		s := &joblog.Store{Table: &table, Objects: &standin.Objects{}, DataCentre: "dc1", Shard: shard, Epoch: 1, Writer: shard}
		if _, err := s.Open(t.Context()); err != nil {
			t.Fatal(err)
		}
		return s
	}
	accept := func(id, key string) job.Entry {
		return job.Accept(id, job.Spec{Organisation: "prado", Key: key, Tasks: make([]job.TaskSpec, 1)}, time.Time{})
	}
	a, b := open("jobs-1"), open("jobs-2")
	if err := a.Append(t.Context(), []job.Entry{accept("dc1.jobs-1.1", "k")}); err != nil {
		t.Fatal(err)
	}
	next := b.Next()
	err := b.Append(t.Context(), []job.Entry{accept("dc1.jobs-2.1", "other"), accept("dc1.jobs-2.2", "k")})
	var taken *joblog.ErrKeyTaken
	if !errors.As(err, &taken) || len(taken.Jobs) != 1 || taken.Jobs["dc1.jobs-2.2"].ID != "dc1.jobs-1.1" || b.Next() != next {
		t.Fatalf("%v, next row %d, was %d", err, b.Next(), next)
	}
	for key, want := range map[string]string{"k": "dc1.jobs-1.1", "other": "", "none": ""} {
		if got, err := joblog.LookupKey(t.Context(), &table, "prado", key); got.ID != want || err != nil {
			t.Errorf("key %q belongs to %q, %v, want %q", key, got, err, want)
		}
	}
}

// A deposed owner appends nothing either once the row that it would write has
// been removed after a snapshot. What became of its last batch cannot be told.
func TestDeposedAfterSnapshot(t *testing.T) {
	var table standin.Table
	var objects standin.Objects
	owner := func(epoch uint64) (*joblog.Store, *job.Book) {
		s := &joblog.Store{Table: &table, Objects: &objects, DataCentre: "dc1", Shard: "jobs-1", Epoch: epoch, Writer: "e1"}
		b, err := s.Open(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		return s, b
	}
	old, _ := owner(1)
	latest, book := owner(2)
	image, err := book.Image()
	if err != nil {
		t.Fatal(err)
	}
	if err := latest.Compact(t.Context(), image, latest.Next()); err != nil {
		t.Fatal(err)
	}
	err = old.Append(t.Context(), []job.Entry{job.Accept("dc1.jobs-1.1", job.Spec{Tasks: make([]job.TaskSpec, 1)}, time.Time{})})
	if !errors.Is(err, joblog.ErrDeposed) || !errors.Is(err, provider.ErrUnknown) {
		t.Errorf("append by the deposed owner: %v", err)
	}
	if err := latest.Append(t.Context(), []job.Entry{{Kind: job.EntryForget, Job: "none"}}); err != nil {
		t.Errorf("append by the owner: %v", err)
	}
}
