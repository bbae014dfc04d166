package ledger

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"persimmonworks.example/persimmonworks/resource"
)

// at returns the time of the given second of the test.
func at(seconds float64) time.Time {
	return time.Unix(1_000_000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

func task(host, name string, attempt uint64, begin, end float64) Entry {
	e := Entry{Kind: Task, Host: host, Task: name, Attempt: attempt, Begin: at(begin), Outcome: Done, Demand: resource.Vector{MilliCPU: 600}, Capacity: resource.Vector{MilliCPU: 1000}}
	if end > 0 {
		e.End = at(end)
	}
	return e
}

func request(host, id, key string, begin, end float64) Entry {
	return Entry{Kind: Request, Host: host, Request: id, IdempotencyKey: key, NonIdempotent: true, Slots: 1, Begin: at(begin), End: at(end), Outcome: Done}
}

func leavingMark(begin, end float64) Entry {
	e := Entry{Kind: Leaving, Host: "h", Begin: at(begin)}
	if end > 0 {
		e.End = at(end)
	}
	return e
}

func refused(e Entry) Entry {
	e.Outcome, e.End = Refused, e.Begin
	return e
}

// Each rule reports its own violation, and nothing for the most similar entries
// that are allowed.
func TestCheck(t *testing.T) {
	cases := []struct {
		name    string
		entries []Entry
		want    []Rule
	}{
		{"one after the other", []Entry{task("h", "a", 1, 1, 2), task("i", "a", 2, 2, 3)}, nil},
		{"running in two places", []Entry{task("h", "a", 1, 1, 2), task("i", "a", 2, 1.9, 3)}, []Rule{OnePlace}},
		{"first still runs", []Entry{task("h", "a", 1, 1, 0), task("i", "a", 2, 9, 10)}, []Rule{OnePlace}},
		{"entries out of order", []Entry{task("i", "a", 2, 1.9, 3), task("h", "a", 1, 1, 2)}, []Rule{OnePlace}},
		{"second refused", []Entry{task("h", "a", 1, 1, 0), refused(task("i", "a", 2, 2, 2))}, nil},
		{"same attempt again", []Entry{task("h", "a", 1, 1, 2), task("h", "a", 1, 3, 4)}, []Rule{AttemptOnce}},
		{"capacity used in turn", []Entry{task("h", "a", 1, 1, 2), task("h", "b", 1, 2, 3)}, nil},
		{"over capacity", []Entry{task("h", "a", 1, 1, 2), task("h", "b", 1, 1.5, 3)}, []Rule{Capacity}},
		{"over slots", []Entry{request("h", "1", "", 1, 3), request("h", "2", "", 2, 3)}, []Rule{Capacity}},
		{"request twice", []Entry{request("h", "1", "", 1, 2), request("i", "1", "", 5, 6)}, []Rule{AtMostOnce}},
		{"key twice", []Entry{request("h", "1", "k", 1, 2), request("h", "2", "k", 5, 6)}, []Rule{AtMostOnce}},
		{"keys differ", []Entry{request("h", "1", "k", 1, 2), request("h", "1", "l", 5, 6)}, nil},
		{"within the drain notice", []Entry{leavingMark(1, 0), task("h", "a", 1, 4, 9)}, nil},
		{"after the drain notice", []Entry{leavingMark(1, 0), task("h", "a", 1, 4.1, 9)}, []Rule{LeavingQuiet}},
		{"refused after the drain notice", []Entry{leavingMark(1, 0), refused(request("h", "1", "", 5, 5))}, []Rule{LeavingQuiet}},
		{"leaving mark cleared", []Entry{leavingMark(1, 3), task("h", "a", 1, 8, 9)}, nil},
		{"begun before the leaving mark", []Entry{task("h", "a", 1, 1, 9), leavingMark(2, 0)}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var got []Rule
			for _, v := range Check(c.entries) {
				got = append(got, v.Rule)
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// A second End of a run has no effect, and a slice returned by Entries does not
// change.
func TestLedgerAppendsOnly(t *testing.T) {
	var l Ledger
	run := l.Begin(Entry{Kind: Task, Host: "h", Task: "a"})
	before := l.Entries()
	l.End(run, Stopped)
	l.End(run, Done)
	if !before[0].End.IsZero() {
		t.Error("a slice returned by Entries changed")
	}
	if e := l.Entries()[0]; e.Outcome != Stopped || e.End.IsZero() {
		t.Errorf("entry %+v", e)
	}
}
