package joblog_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"persimmonworks.example/persimmonworks/joblog"

	"pgregory.net/rapid"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/job"
	"persimmonworks.example/persimmonworks/provider"
	"persimmonworks.example/persimmonworks/standin"
)

// faultyTable injects faults into a table: calls fail, results of calls are lost,
// and writes whose result was lost take effect at once, later or never.
type faultyTable struct {
	provider.Table
	random  *rand.Rand
	faulty  bool            // whether faults are injected
	delayed [][]provider.Op // commits that may still take effect
}

func (f *faultyTable) chance(percent int) bool { return f.faulty && f.random.IntN(100) < percent }

// applyDelayed applies some of the delayed commits; without faults, all of them.
func (f *faultyTable) applyDelayed() {
	kept := f.delayed[:0]
	for _, ops := range f.delayed {
		if f.faulty && f.random.IntN(3) > 0 {
			kept = append(kept, ops)
			continue
		}
		_, _ = f.Table.Commit(context.Background(), ops...) // no caller waits for the result
	}
	f.delayed = kept
}

func (f *faultyTable) Get(ctx context.Context, key string) (provider.Row, error) {
	f.applyDelayed()
	if f.chance(10) {
		return provider.Row{}, provider.ErrUnavailable
	}
	return f.Table.Get(ctx, key)
}

func (f *faultyTable) Range(ctx context.Context, prefix, after string, limit int) ([]provider.Row, error) {
	f.applyDelayed()
	if f.chance(10) {
		return nil, provider.ErrUnavailable
	}
	return f.Table.Range(ctx, prefix, after, limit)
}

func (f *faultyTable) Commit(ctx context.Context, ops ...provider.Op) ([]uint64, error) {
	f.applyDelayed()
	switch {
	case f.chance(10):
		return nil, provider.ErrUnavailable
	case f.chance(15):
		f.delayed = append(f.delayed, ops)
		return nil, provider.ErrOutcomeUnknown
	case f.chance(15):
		_, _ = f.Table.Commit(ctx, ops...) // the result is lost
		return nil, provider.ErrOutcomeUnknown
	}
	return f.Table.Commit(ctx, ops...)
}

// owner is a process that owns the job shard, or owned it and does not know that
// it has lost it.
type owner struct {
	store *joblog.Store
	state *job.ShardState
	// pending is a batch that may have been written. It must be appended again
	// before any other.
	pending []job.Entry
	// written is set once the next owner has read the pending batch.
	written   bool
	uncertain bool // an earlier attempt may have written the batch
}

// shardModel models a job shard, and checks its owners against what was
// acknowledged as durable.
type shardModel struct {
	*rapid.T
	table      *faultyTable
	objects    standin.Objects
	owners     []*owner
	epoch      uint64
	openFailed bool // an attempt to open the next epoch has failed
	// durable is the snapshot of the state of all durable entries. possible is the
	// image that includes the pending batch of the last owner, which may be durable.
	durable, possible string
	jobs              int
	accepted          map[string]bool
	forgotten         map[string]bool
}

// image returns the serialised state.
func image(t *rapid.T, b *job.ShardState) string {
	t.Helper()
	body, err := b.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}

// current returns the latest owner, or nil.
func (s *shardModel) current() *owner {
	if len(s.owners) == 0 {
		return nil
	}
	return s.owners[len(s.owners)-1]
}

// open tries to open the next epoch with a new owner, and checks the state that it
// reads.
func (s *shardModel) open() {
	o := &owner{store: &joblog.Store{
		Table: s.table, Objects: &s.objects, DataCentre: "dc1", Shard: "jobs-1",
		Epoch: s.epoch + 1, Writer: fmt.Sprintf("e-%d", s.epoch+1),
	}}
	var err error
	if o.state, err = o.store.Open(s.Context()); err != nil {
		if errors.Is(err, joblog.ErrDeposed) {
			s.Fatalf("Open of the latest owner returned ErrDeposed: %v", err)
		}
		s.openFailed = true
		return
	}
	s.epoch++
	s.openFailed = false
	got := image(s.T, o.state)
	if got != s.durable && got != s.possible {
		s.Fatalf("epoch %d read\n%s\nwant\n%s\nor\n%s", s.epoch, got, s.durable, s.possible)
	}
	for id := range s.accepted {
		if _, exists := o.state.Job(id); !exists && !s.forgotten[id] {
			s.Fatalf("accepted job %s is lost", id)
		}
	}
	if last := s.current(); last != nil {
		last.written = got != s.durable
		if s.possible == s.durable {
			last.pending = nil // the batch has no effect, so that it is not known whether it was written
		}
	}
	s.durable, s.possible = got, got
	s.owners = append(s.owners, o)
}

// append tries to append the pending batch of the owner, or entries if there is
// none, and checks the result.
func (s *shardModel) append(o *owner, entries []job.Entry) {
	if o.pending == nil {
		o.pending, o.uncertain = entries, false
	}
	if o.pending == nil {
		return
	}
	latest := o == s.current()
	err := o.store.Append(s.Context(), o.pending)
	switch {
	case err == nil && !latest && o.pending != nil && o.written:
		for _, e := range o.pending {
			o.state.Apply(e) // the batch was written before the next owner opened
		}
		o.pending, o.written = nil, false
	case err == nil && !latest:
		s.Fatalf("owner of epoch %d appended after epoch %d had been opened", o.store.Epoch, s.epoch)
	case err == nil:
		s.acknowledge(o, o.pending)
		o.pending = nil
	case errors.Is(err, provider.ErrUnavailable) && !o.uncertain:
		o.pending = nil // neither this nor an earlier attempt has written the batch
	case errors.Is(err, joblog.ErrDeposed):
		if latest && !s.openFailed {
			s.Fatalf("Append of the latest owner returned ErrDeposed: %v", err)
		}
		if o.written && !errors.Is(err, provider.ErrOutcomeUnknown) {
			s.Fatalf("Append of epoch %d reports that nothing was written, but the batch was: %v", o.store.Epoch, err)
		}
		o.pending, o.written = nil, false
	case errors.Is(err, provider.ErrOutcomeUnknown):
		o.uncertain = true
		if latest {
			s.computePossible(o)
		}
	}
}

// acknowledge applies entries that have been acknowledged as durable.
func (s *shardModel) acknowledge(o *owner, entries []job.Entry) {
	for _, e := range entries {
		o.state.Apply(e)
		switch e.Kind {
		case job.EntryAccept:
			s.accepted[e.Job] = true
		case job.EntryForget:
			if _, exists := o.state.Job(e.Job); !exists {
				s.forgotten[e.Job] = true
			}
		}
	}
	s.durable = image(s.T, o.state)
	s.possible = s.durable
}

// computePossible computes the snapshot of the state for the case that the pending
// batch of the owner was written.
func (s *shardModel) computePossible(o *owner) {
	scratch := &joblog.Store{Table: &standin.Table{}, Objects: &s.objects, DataCentre: "x", Shard: "x", Epoch: 1, Writer: "x"}
	if _, err := scratch.Open(s.Context()); err != nil {
		s.Fatal(err)
	}
	if err := scratch.Compact(s.Context(), []byte(s.durable), scratch.NextRow()); err != nil {
		s.Fatal(err)
	}
	scratch.Epoch = 2
	b, err := scratch.Open(s.Context())
	if err != nil {
		s.Fatal(err)
	}
	for _, e := range o.pending {
		b.Apply(e)
		if e.Kind == job.EntryForget {
			s.forgotten[e.Job] = true
		}
	}
	s.possible = image(s.T, b)
}

// drawBatch draws a batch of entries that the owner could append.
func (s *shardModel) drawBatch(o *owner) []job.Entry {
	var batch []job.Entry
	for range rapid.IntRange(1, 4).Draw(s.T, "entries") {
		jobs := o.state.Jobs()
		if len(jobs) == 0 || rapid.IntRange(0, 3).Draw(s.T, "accept") == 0 {
			batch = append(batch, s.drawAccept())
			continue
		}
		j := jobs[rapid.IntRange(0, len(jobs)-1).Draw(s.T, "job")]
		t := j.Tasks()[rapid.IntRange(0, len(j.Tasks())-1).Draw(s.T, "task")]
		switch rapid.IntRange(0, 8).Draw(s.T, "kind") {
		case 0:
			if e, ok := o.state.CancelEntry(j.ID, func(*job.Task) bool { return t.Index == 0 }); ok {
				batch = append(batch, e)
			}
		case 1:
			if j.OpenTasks() == 0 {
				batch = append(batch, job.Entry{Kind: job.EntryForget, Job: j.ID})
			}
		case 8:
			batch = append(batch, job.Entry{Kind: job.EntryRegrant, Job: j.ID, MayBeRunning: []int{t.Index}})
		case 2:
			batch = append(batch, job.Entry{Kind: job.EntryIntent, Job: j.ID, Task: t.Index, Attempt: t.Attempt})
		default:
			end := job.AttemptEnd{
				Outcome:    rapid.SampledFrom([]job.State{job.Done, job.Failed, job.Unknown, job.Waiting, job.Expired}).Draw(s.T, "outcome"),
				MayHaveRun: rapid.Bool().Draw(s.T, "may-have-run"), Worker: "w1", Result: []byte("r"), Checkpoint: []byte("c"),
			}
			if e, ok := o.state.EndEntry(job.TaskID(j.ID, t.Index), t.Attempt, end); ok {
				batch = append(batch, e)
			}
		}
	}
	return batch
}

// drawAccept draws the entry that accepts a new job.
func (s *shardModel) drawAccept() job.Entry {
	s.jobs++
	spec := job.Spec{
		Organisation: "prado", Class: class.Batch, NonIdempotent: rapid.Bool().Draw(s.T, "non-idempotent"),
		MaxAttempts: rapid.IntRange(0, 2).Draw(s.T, "max-attempts"), Tasks: make([]job.TaskSpec, rapid.IntRange(1, 3).Draw(s.T, "tasks")),
	}
	if rapid.Bool().Draw(s.T, "key") {
		spec.IdempotencyKey = fmt.Sprint("k", s.jobs)
	}
	if rapid.IntRange(0, 4).Draw(s.T, "large") == 0 {
		spec.Tasks[0].Work = fmt.Appendf(nil, "%q", make([]byte, 9<<10))
	}
	return job.AcceptEntry(job.NewID("dc1", "jobs-1", fmt.Sprint(s.jobs)), spec, time.Unix(int64(s.jobs), 0))
}

// With any faults of the table, no acknowledged entry is lost, no former owner
// appends, and a replay, with or without a snapshot, yields the state of the
// entries appended.
func TestStoreUnderFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := &shardModel{
			T: r, table: &faultyTable{Table: &standin.Table{}, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 0)), faulty: true},
			durable: "[]", possible: "[]", accepted: map[string]bool{}, forgotten: map[string]bool{},
		}
		r.Repeat(map[string]func(*rapid.T){
			"open": func(*rapid.T) { s.open() },
			"append": func(*rapid.T) {
				if o := s.current(); o != nil {
					s.append(o, s.drawBatch(o))
				}
			},
			"append again": func(*rapid.T) {
				if o := s.current(); o != nil {
					s.append(o, s.drawBatch(o))
				}
			},
			"append as a deposed owner": func(*rapid.T) {
				if n := len(s.owners); n > 1 {
					o := s.owners[rapid.IntRange(0, n-2).Draw(s.T, "owner")]
					s.append(o, s.drawBatch(o))
				}
			},
			"compact": func(*rapid.T) {
				if o := s.current(); o != nil && o.pending == nil {
					_ = o.store.Compact(s.Context(), []byte(image(s.T, o.state)), o.store.NextRow()) // may fail at any point without harm
				}
			},
			"compact as a deposed owner": func(*rapid.T) {
				if n := len(s.owners); n > 1 {
					o := s.owners[n-2]
					_ = o.store.Compact(s.Context(), []byte(image(s.T, o.state)), o.store.NextRow())
				}
			},
		})
		s.table.faulty = false
		s.open()
		if len(s.owners) == 0 || s.current().store.Epoch != s.epoch {
			r.Fatal("the shard could not be opened after the faults ended")
		}
	})
}
