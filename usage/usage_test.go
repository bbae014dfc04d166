package usage

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"persimmonworks.example/persimmonworks/chain/chaintest"
	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/provider"
	"persimmonworks.example/persimmonworks/resource"
)

const length = 40 // of the test period, in milliseconds

var start = time.UnixMilli(1_790_000_000_000).UTC()

func at(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }

func cpu(n int64) resource.Vector { return resource.Vector{MilliCPU: n, MemoryMB: 3 * n} }

// observation is one span of an attempt as an owner observed it.
type observation struct {
	attempt  Attempt
	epoch    uint64
	from, to int
	used     *resource.Vector
}

const demand = 8

func drawObservation(t *rapid.T) observation {
	i := rapid.IntRange(0, 3).Draw(t, "attempt")
	s := observation{
		attempt: Attempt{Task: fmt.Sprint("t", i/2), Number: uint64(i%2 + 1), Organisation: fmt.Sprint("o", i/2), Class: class.Batch},
		epoch:   rapid.Uint64Range(1, 3).Draw(t, "epoch"),
		from:    rapid.IntRange(-5, length).Draw(t, "from"),
	}
	s.to = s.from + rapid.IntRange(0, 20).Draw(t, "millis")
	if rapid.Bool().Draw(t, "reported") {
		used := cpu(rapid.Int64Range(0, demand+2).Draw(t, "used"))
		s.used = &used
	}
	return s
}

// reserved computes the expected reservation by counting each covered
// millisecond.
func reserved(all []observation, organisation string) resource.Vector {
	covered := make(map[string]bool)
	for _, s := range all {
		for m := max(s.from, 0); m < min(s.to, length) && s.attempt.Organisation == organisation; m++ {
			covered[fmt.Sprint(s.attempt, m)] = true
		}
	}
	return cpu(demand).Scale(int64(len(covered)))
}

// TestSumsCloseAfterFailovers guards against double counting when several
// owners observe the same attempts. It distributes overlapping spans over three
// books, merges their records in random order, some of them twice, and compares
// the totals with a count of each millisecond.
func TestSumsCloseAfterFailovers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := rapid.SliceOfN(rapid.Custom(drawObservation), 0, 20).Draw(t, "spans")
		books := make([]Book, 3)
		for i, s := range all {
			b := &books[rapid.IntRange(0, 2).Draw(t, "book")]
			b.AddUsage(s.attempt, s.epoch, at(s.from), at(s.to), cpu(demand), s.used)
			b.AddCapacity("w", s.epoch, at(0), at(length/2+i%2), cpu(4*demand))
			b.AddCapacity("w", s.epoch, at(length/2), at(length), cpu(4*demand))
			if rapid.Bool().Draw(t, "ended") {
				b.SetEnd(s.attempt, rapid.SampledFrom([]End{EndDone, EndLost, EndFailed, EndPreempted}).Draw(t, "end"))
			}
		}
		var records []Record
		for i := range books {
			records = append(records, books[i].Record(at(0), at(length/3)), books[i].Record(at(length/3), at(length)))
		}
		var first, second Book
		for _, r := range records {
			first.Merge(r)
		}
		for _, r := range rapid.Permutation(append(records, records[2:]...)).Draw(t, "order") {
			second.Merge(r)
		}
		got := first.Summary(at(0), at(length))
		if diff := cmp.Diff(got, second.Summary(at(0), at(length))); diff != "" {
			t.Fatalf("the result depends on the order of merging:\n%s", diff)
		}
		if err := got.CheckBalance(); err != nil {
			t.Fatal(err)
		}
		if len(all) > 0 && (got.Capacity != cpu(4*demand).Scale(length) || !got.Uncovered.IsZero()) {
			t.Fatalf("capacity %v, uncovered %v", got.Capacity, got.Uncovered)
		}
		for _, l := range got.Lines {
			if want := reserved(all, l.Organisation); l.Reserved != want || l.Waste.Negative() || l.Slack.Negative() {
				t.Fatalf("line %+v, want reserved %v", l, want)
			}
		}
	})
}

func TestParts(t *testing.T) {
	a := Attempt{Task: "t", Number: 1, Organisation: "prado", Class: class.Urgent}
	used := resource.Vector{MilliCPU: 200}
	for _, test := range []struct {
		name string
		used *resource.Vector
		end  End
		want Line
	}{
		{"no report", nil, EndDone, Line{Unknown: cpuOnly(10_000)}},
		{"doubled estimate", &used, EndDone, Line{Used: cpuOnly(2000), Slack: cpuOnly(2000), Waste: cpuOnly(6000)}},
		{"lost", &used, EndLost, Line{Slack: cpuOnly(2000), Waste: cpuOnly(8000)}},
		{"running above its demand", &resource.Vector{MilliCPU: 1500}, "", Line{Used: cpuOnly(10_000)}},
	} {
		var b Book
		b.AddUsage(a, 1, at(0), at(10), resource.Vector{MilliCPU: 1000}, test.used)
		b.SetEnd(a, test.end)
		test.want.Organisation, test.want.Class, test.want.Reserved = "prado", class.Urgent, cpuOnly(10_000)
		s := b.Summary(at(0), at(10))
		if diff := cmp.Diff([]Line{test.want}, s.Lines); diff != "" {
			t.Errorf("%s (-want +got):\n%s", test.name, diff)
		}
		if s.Uncovered != cpuOnly(10_000) {
			t.Errorf("%s: uncovered %v", test.name, s.Uncovered)
		}
	}
}

// TestWhichOverlappingSpanCounts checks the order of precedence with two spans
// that cover the same ten milliseconds.
func TestWhichOverlappingSpanCounts(t *testing.T) {
	a := Attempt{Task: "t", Number: 1, Organisation: "prado", Class: class.Batch}
	low, high := cpuOnly(600), cpuOnly(900)
	for _, test := range []struct {
		name          string
		first, second Span
		want          Amount // used amount
	}{
		{"higher epoch", Span{Epoch: 2, Used: &low}, Span{Epoch: 1, Used: &high}, cpuOnly(6000)},
		{"higher epoch without a report", Span{Epoch: 2}, Span{Epoch: 1, Used: &high}, Amount{}},
		{"report in the same epoch", Span{Epoch: 1}, Span{Epoch: 1, Used: &low}, cpuOnly(6000)},
		{"larger of two reports", Span{Epoch: 1, Used: &low}, Span{Epoch: 1, Used: &high}, cpuOnly(9000)},
	} {
		for _, order := range [][]Span{{test.first, test.second}, {test.second, test.first}} {
			var b Book
			for _, s := range order {
				b.AddUsage(a, s.Epoch, at(0), at(10), cpuOnly(1000), s.Used)
			}
			l := b.Summary(at(0), at(10)).Lines[0]
			if l.Used != test.want || l.Reserved != cpuOnly(10_000) {
				t.Errorf("%s: %+v, want used %v", test.name, l, test.want)
			}
			r := b.Record(at(4), at(6)).Attempts[0].Spans[0]
			if r.From != at(4).UnixMilli() || r.To != at(6).UnixMilli() {
				t.Errorf("%s: the record exceeds its period: %+v", test.name, r)
			}
		}
	}
}

func cpuOnly(n int64) Amount { return Amount{MilliCPU: n} }

// store is a fake object store.
type store map[string][]byte

var _ provider.Objects = store(nil)

func (s store) Put(_ context.Context, name string, body []byte) error { s[name] = body; return nil }
func (s store) Delete(_ context.Context, name string) error           { delete(s, name); return nil }

func (s store) Get(_ context.Context, name string) ([]byte, error) {
	if body, ok := s[name]; ok {
		return body, nil
	}
	return nil, provider.ErrNotFound
}

func TestArchiveCountsRepeatedClosesOnce(t *testing.T) {
	faults := []chaintest.Fault{chaintest.LostAfter, chaintest.None, chaintest.Unavailable, chaintest.None}
	calls := 0
	table := chaintest.Table{Fault: func(call string) chaintest.Fault {
		if call != "commit" {
			return chaintest.None
		}
		calls++
		return faults[(calls-1)%len(faults)]
	}}
	objects := store{}
	a := Attempt{Task: "t", Number: 1, Organisation: "prado", Class: class.Batch}
	for incarnation := range uint64(3) {
		var b Book
		b.AddUsage(a, incarnation, at(0), at(10), cpu(1), nil)
		b.AddCapacity("w", incarnation, at(0), at(20), cpu(2))
		archive := Archive{Table: &table, Objects: objects, Process: "entry-1", Incarnation: incarnation}
		for tries := 0; archive.StorePart(t.Context(), 0, b.Record(at(0), at(20))) != nil; tries++ {
			if tries > 4 {
				t.Fatal("the period cannot be closed")
			}
		}
	}
	loaded, err := (&Archive{Table: &table, Objects: objects}).Load(t.Context(), at(0), at(0).Add(time.Hour))
	if err != nil || len(objects) != 3 {
		t.Fatalf("%d objects, %v", len(objects), err)
	}
	s := loaded.Summary(at(0), at(20))
	if s.Reserved() != cpu(10) || s.Capacity != cpu(40) || s.Idle != cpu(30) {
		t.Errorf("summary %+v", s)
	}
	if !strings.Contains(s.CSV(), "prado,batch,reserved,0.000010,0.030,0.000\n") {
		t.Errorf("CSV:\n%s", s.CSV())
	}
	var back Summary
	if data, err := s.JSON(); err != nil || json.Unmarshal(data, &back) != nil || !cmp.Equal(s, back) {
		t.Errorf("JSON %s, %v", data, err)
	}
	loaded.DropBefore(at(10))
	if got := loaded.Summary(at(0), at(20)); !got.Reserved().IsZero() || got.Capacity != cpu(40) {
		t.Errorf("after Forget: %+v", got)
	}
}
