package accounts

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"persimmonworks.example/persimmonworks/chain/chaintest"
	"persimmonworks.example/persimmonworks/provider"
	"persimmonworks.example/persimmonworks/rack"
	"persimmonworks.example/persimmonworks/resource"
	"persimmonworks.example/persimmonworks/usage"
	"persimmonworks.example/persimmonworks/worker"
)

var start = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// objects is a fake object store whose Put fails while unavailable is set.
type objects struct {
	kept        map[string][]byte
	unavailable bool
}

var _ provider.Objects = (*objects)(nil)

var errUnavailable = errors.New("away")

func (o *objects) Put(_ context.Context, name string, body []byte) error {
	if o.unavailable {
		return errUnavailable
	}
	o.kept[name] = body
	return nil
}

func (o *objects) Get(_ context.Context, name string) ([]byte, error) { return o.kept[name], nil }
func (o *objects) Delete(context.Context, string) error               { return nil }

// task is one attempt on the simulated worker; times are in milliseconds.
type task struct {
	begin, length   int
	cores           int64
	used, forgotten bool // forgotten: the worker was allowed to forget it
}

func (x *task) ref(i int) worker.Ref { return worker.Ref{Task: fmt.Sprint("t", i), Attempt: 1} }

// report returns the worker's inventory at time now. Usage appears in it 700 ms
// after an attempt began.
func report(tasks []*task, now int) worker.Report {
	r := worker.Report{Capacity: resource.Vector{MilliCPU: 64_000}}
	for i, x := range tasks {
		if x.forgotten || x.begin >= now {
			continue
		}
		a := worker.Attempt{State: worker.Running, Age: time.Duration(now-x.begin) * time.Millisecond}
		a.Ref, a.Organisation, a.Class, a.Demand = x.ref(i), "prado", "batch", resource.Vector{MilliCPU: x.cores * 1000}
		a.Ran = a.Age
		if now >= x.begin+x.length {
			a.State, a.Ran = worker.Done, time.Duration(x.length)*time.Millisecond
		}
		if now-x.begin >= 700 {
			a.Used = resource.Vector{MilliCPU: x.cores * 500}
		}
		r.Attempts = append(r.Attempts, a)
	}
	return r
}

// reportAndSettle delivers one report to the owner, optionally flushes the
// accounts, and lets the worker forget the settled attempts.
func reportAndSettle(rec *Recorder, epoch uint64, tasks []*task, now int, flush bool) {
	r := report(tasks, now)
	rec.Report(epoch, "w", r, at(now))
	if flush {
		_, _ = rec.Flush(context.Background()) // ignored: the test covers failed flushes
	}
	var ended []worker.Ref
	for _, a := range r.Attempts {
		if a.State != worker.Running {
			ended = append(ended, a.Ref)
		}
	}
	settled := rec.Settled("w", ended)
	for i, x := range tasks {
		x.forgotten = x.forgotten || slices.Contains(settled, x.ref(i))
	}
}

// The accounts must hold exactly the time that each attempt ran, counted once,
// although owners are killed and the object store fails at random.
func TestAccountsHoldWhatRan(t *testing.T) { rapid.Check(t, checkAccounts) }

func checkAccounts(t *rapid.T) {
	var tasks []*task
	var want int64
	for range rapid.IntRange(1, 6).Draw(t, "tasks") {
		x := &task{
			begin: rapid.IntRange(1, 30_000).Draw(t, "begin"), length: rapid.IntRange(1, 40_000).Draw(t, "length"),
			cores: rapid.Int64Range(1, 8).Draw(t, "cores"),
		}
		tasks = append(tasks, x)
		want += int64(x.length) * x.cores * 1000
	}
	store := &objects{kept: map[string][]byte{}}
	var table chaintest.Table
	recorder := func(owner uint64) *Recorder {
		return &Recorder{Archive: &usage.Archive{Table: &table, Objects: store, Process: fmt.Sprint("e", owner), Incarnation: owner}}
	}
	owner := uint64(1)
	rec := recorder(owner)
	for now := 0; now < 90_000; now += rapid.IntRange(100, 2000).Draw(t, "interval") {
		if rapid.IntRange(0, 9).Draw(t, "killed") == 0 {
			owner++
			rec = recorder(owner) // usage that the previous owner had not stored is lost
		}
		store.unavailable = rapid.IntRange(0, 2).Draw(t, "away") == 0
		reportAndSettle(rec, owner, tasks, now, rapid.Bool().Draw(t, "closes"))
	}
	store.unavailable = false
	reportAndSettle(rec, owner, tasks, 90_000, true)
	book, err := rec.Archive.Load(context.Background(), start.Add(-time.Hour), start.Add(time.Hour))
	if err != nil {
		t.Fatal(err)
	}
	s := book.Summary(start, at(90_000))
	if got := s.Reserved().MilliCPU; got != want {
		t.Fatalf("reserved %d, want %d", got, want)
	}
	if err := s.CheckBalance(); err != nil || !s.Uncovered.IsZero() {
		t.Fatalf("closed: %v, uncovered %v", err, s.Uncovered)
	}
}

// A lost attempt has unknown usage from its last report until it is declared
// lost, and the capacity that it held is counted for the same time.
func TestLostAttemptIsUnknown(t *testing.T) {
	rec := &Recorder{}
	tasks := []*task{{begin: 0, length: 60_000, cores: 2}}
	rec.Report(3, "w", report(tasks, 1000), at(1000))
	lost := &rack.Attempt{Worker: "w", State: rack.Lost}
	lost.Ref = tasks[0].ref(0)
	rec.RecordLost(3, lost, at(5000))
	rec.RecordLost(3, lost, at(6000)) // a repeated call must change nothing
	var book usage.Book
	for _, r := range rec.Unstored() {
		book.Merge(r)
	}
	s := book.Summary(start, at(60_000))
	if s.Lines[0].Reserved.MilliCPU != 5*2000*1000 || s.Lines[0].Unknown.MilliCPU != 4*2000*1000 || !s.Uncovered.IsZero() {
		t.Errorf("lines %+v, uncovered %v", s.Lines, s.Uncovered)
	}
	if s.Lines[0].Waste.MilliCPU != 1000*1000 {
		t.Errorf("waste %v, want the use of the lost attempt", s.Lines[0].Waste)
	}
}
