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

// flaky is a table that refuses calls, loses answers, and lets writes whose
// answer was lost take effect later or never.
type flaky struct {
	provider.Table
	random *rand.Rand
	broken bool // faults are on
	late   [][]provider.Op
}

func (f *flaky) chance(percent int) bool { return f.broken && f.random.IntN(100) < percent }

// settle lets some of the late writes arrive.
func (f *flaky) settle() {
	kept := f.late[:0]
	for _, ops := range f.late {
		if f.broken && f.random.IntN(3) > 0 {
			kept = append(kept, ops)
			continue
		}
		_, _ = f.Table.Commit(context.Background(), ops...) // a conflict is of no account to a write nobody waits for
	}
	f.late = kept
}

func (f *flaky) Get(ctx context.Context, key string) (provider.Row, error) {
	f.settle()
	if f.chance(10) {
		return provider.Row{}, provider.ErrUnavailable
	}
	return f.Table.Get(ctx, key)
}

func (f *flaky) Range(ctx context.Context, prefix, after string, limit int) ([]provider.Row, error) {
	f.settle()
	if f.chance(10) {
		return nil, provider.ErrUnavailable
	}
	return f.Table.Range(ctx, prefix, after, limit)
}

func (f *flaky) Commit(ctx context.Context, ops ...provider.Op) ([]uint64, error) {
	f.settle()
	switch {
	case f.chance(10):
		return nil, provider.ErrUnavailable
	case f.chance(15):
		f.late = append(f.late, ops)
		return nil, provider.ErrUnknown
	case f.chance(15):
		_, _ = f.Table.Commit(ctx, ops...) // whether it took effect is what the answer would have told
		return nil, provider.ErrUnknown
	}
	return f.Table.Commit(ctx, ops...)
}

// owner is a process that acts for the job shard, or believes so.
type owner struct {
	store *joblog.Store
	book  *job.Book
	// batch may have been written; it is appended again before any other.
	batch []job.Entry
	// landed is set when the next owner has read the batch.
	landed    bool
	uncertain bool // an earlier try may have written the batch
}

// shard checks owners against what they were told is durable.
type shard struct {
	*rapid.T
	table   *flaky
	objects standin.Objects
	owners  []*owner
	epoch   uint64
	tried   bool // an owner with a later epoch has tried to open
	// truth is the book of all entries that are durable; maybe is the one with
	// the batch of the last owner, which may be.
	truth, maybe string
	jobs         int
	accepted     map[string]bool
	forgotten    map[string]bool
}

func image(t *rapid.T, b *job.Book) string {
	t.Helper()
	body, err := b.Image()
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}

func (s *shard) current() *owner {
	if len(s.owners) == 0 {
		return nil
	}
	return s.owners[len(s.owners)-1]
}

// open starts the next owner.
func (s *shard) open() {
	o := &owner{store: &joblog.Store{
		Table: s.table, Objects: &s.objects, DataCentre: "dc1", Shard: "jobs-1",
		Epoch: s.epoch + 1, Writer: fmt.Sprintf("e-%d", s.epoch+1),
	}}
	var err error
	if o.book, err = o.store.Open(s.Context()); err != nil {
		if errors.Is(err, joblog.ErrDeposed) {
			s.Fatalf("the latest owner is deposed: %v", err)
		}
		s.tried = true
		return
	}
	s.epoch++
	s.tried = false
	got := image(s.T, o.book)
	if got != s.truth && got != s.maybe {
		s.Fatalf("epoch %d read\n%s\nwant\n%s\nor\n%s", s.epoch, got, s.truth, s.maybe)
	}
	for id := range s.accepted {
		if _, here := o.book.Job(id); !here && !s.forgotten[id] {
			s.Fatalf("job %s was accepted and is lost", id)
		}
	}
	if last := s.current(); last != nil {
		last.landed = got != s.truth
		if s.maybe == s.truth {
			last.batch = nil // it changes nothing, so that nobody can tell
		}
	}
	s.truth, s.maybe = got, got
	s.owners = append(s.owners, o)
}

// append makes a batch of the owner durable, if it can.
func (s *shard) append(o *owner, entries []job.Entry) {
	if o.batch == nil {
		o.batch, o.uncertain = entries, false
	}
	if o.batch == nil {
		return
	}
	latest := o == s.current()
	err := o.store.Append(s.Context(), o.batch)
	switch {
	case err == nil && !latest && o.batch != nil && o.landed:
		for _, e := range o.batch {
			o.book.Apply(e) // it was written before the next owner opened
		}
		o.batch, o.landed = nil, false
	case err == nil && !latest:
		s.Fatalf("owner of epoch %d appended after epoch %d was opened", o.store.Epoch, s.epoch)
	case err == nil:
		s.applied(o, o.batch)
		o.batch = nil
	case errors.Is(err, provider.ErrUnavailable) && !o.uncertain:
		o.batch = nil // nothing of it was written, now or before
	case errors.Is(err, joblog.ErrDeposed):
		if latest && !s.tried {
			s.Fatalf("the latest owner is told that it is deposed: %v", err)
		}
		if o.landed && !errors.Is(err, provider.ErrUnknown) {
			s.Fatalf("owner of epoch %d is told that nothing was written, but it was: %v", o.store.Epoch, err)
		}
		o.batch, o.landed = nil, false
	case errors.Is(err, provider.ErrUnknown):
		o.uncertain = true
		if latest {
			s.uncertain(o)
		}
	}
}

func (s *shard) applied(o *owner, entries []job.Entry) {
	for _, e := range entries {
		o.book.Apply(e)
		switch e.Kind {
		case job.EntryAccept:
			s.accepted[e.Job] = true
		case job.EntryForget:
			if _, here := o.book.Job(e.Job); !here {
				s.forgotten[e.Job] = true
			}
		}
	}
	s.truth = image(s.T, o.book)
	s.maybe = s.truth
}

// uncertain works out the book with a batch that may have been written.
func (s *shard) uncertain(o *owner) {
	scratch := &joblog.Store{Table: &standin.Table{}, Objects: &s.objects, DataCentre: "x", Shard: "x", Epoch: 1, Writer: "x"}
	if _, err := scratch.Open(s.Context()); err != nil {
		s.Fatal(err)
	}
	if err := scratch.Compact(s.Context(), []byte(s.truth), scratch.Next()); err != nil {
		s.Fatal(err)
	}
	scratch.Epoch = 2
	b, err := scratch.Open(s.Context())
	if err != nil {
		s.Fatal(err)
	}
	for _, e := range o.batch {
		b.Apply(e)
		if e.Kind == job.EntryForget {
			s.forgotten[e.Job] = true
		}
	}
	s.maybe = image(s.T, b)
}

// draw returns a batch of entries that an owner could write.
func (s *shard) draw(o *owner) []job.Entry {
	var batch []job.Entry
	for range rapid.IntRange(1, 4).Draw(s.T, "entries") {
		jobs := o.book.Jobs()
		if len(jobs) == 0 || rapid.IntRange(0, 3).Draw(s.T, "accept") == 0 {
			batch = append(batch, s.accept())
			continue
		}
		j := jobs[rapid.IntRange(0, len(jobs)-1).Draw(s.T, "job")]
		t := j.Tasks()[rapid.IntRange(0, len(j.Tasks())-1).Draw(s.T, "task")]
		switch rapid.IntRange(0, 8).Draw(s.T, "kind") {
		case 0:
			if e, ok := o.book.Cancel(j.ID, func(*job.Task) bool { return t.Index == 0 }); ok {
				batch = append(batch, e)
			}
		case 1:
			if j.Open() == 0 {
				batch = append(batch, job.Entry{Kind: job.EntryForget, Job: j.ID})
			}
		case 8:
			batch = append(batch, job.Entry{Kind: job.EntryRegrant, Job: j.ID, Open: []int{t.Index}})
		case 2:
			batch = append(batch, job.Entry{Kind: job.EntryIntent, Job: j.ID, Task: t.Index, Attempt: t.Attempt})
		default:
			end := job.End{
				Outcome:    rapid.SampledFrom([]job.State{job.Done, job.Failed, job.Unknown, job.Waiting, job.Expired}).Draw(s.T, "outcome"),
				MayHaveRun: rapid.Bool().Draw(s.T, "may-have-run"), Worker: "w1", Result: []byte("r"), Checkpoint: []byte("c"),
			}
			if e, ok := o.book.Ended(job.TaskID(j.ID, t.Index), t.Attempt, end); ok {
				batch = append(batch, e)
			}
		}
	}
	return batch
}

func (s *shard) accept() job.Entry {
	s.jobs++
	spec := job.Spec{
		Organisation: "prado", Class: class.Batch, NonIdempotent: rapid.Bool().Draw(s.T, "non-idempotent"),
		MaxAttempts: rapid.IntRange(0, 2).Draw(s.T, "max-attempts"), Tasks: make([]job.TaskSpec, rapid.IntRange(1, 3).Draw(s.T, "tasks")),
	}
	if rapid.Bool().Draw(s.T, "key") {
		spec.Key = fmt.Sprint("k", s.jobs)
	}
	if rapid.IntRange(0, 4).Draw(s.T, "large") == 0 {
		spec.Tasks[0].Work = fmt.Appendf(nil, "%q", make([]byte, 9<<10))
	}
	return job.Accept(job.NewID("dc1", "jobs-1", fmt.Sprint(s.jobs)), spec, time.Unix(int64(s.jobs), 0))
}

// Whatever the table does to reads and writes, an accepted entry is never
// lost, no deposed owner appends, and a replay, with or without a snapshot, is
// the book of what was appended.
func TestStoreUnderFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := &shard{
			T: r, table: &flaky{Table: &standin.Table{}, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 0)), broken: true},
			truth: "[]", maybe: "[]", accepted: map[string]bool{}, forgotten: map[string]bool{},
		}
		r.Repeat(map[string]func(*rapid.T){
			"open": func(*rapid.T) { s.open() },
			"append": func(*rapid.T) {
				if o := s.current(); o != nil {
					s.append(o, s.draw(o))
				}
			},
			"append again": func(*rapid.T) {
				if o := s.current(); o != nil {
					s.append(o, s.draw(o))
				}
			},
			"append as a deposed owner": func(*rapid.T) {
				if n := len(s.owners); n > 1 {
					o := s.owners[rapid.IntRange(0, n-2).Draw(s.T, "owner")]
					s.append(o, s.draw(o))
				}
			},
			"compact": func(*rapid.T) {
				if o := s.current(); o != nil && o.batch == nil {
					_ = o.store.Compact(s.Context(), []byte(image(s.T, o.book)), o.store.Next()) // may fail at any point
				}
			},
			"compact as a deposed owner": func(*rapid.T) {
				if n := len(s.owners); n > 1 {
					o := s.owners[n-2]
					_ = o.store.Compact(s.Context(), []byte(image(s.T, o.book)), o.store.Next())
				}
			},
		})
		s.table.broken = false
		s.open()
		if len(s.owners) == 0 || s.current().store.Epoch != s.epoch {
			r.Fatal("the shard cannot be opened once the table works")
		}
	})
}
