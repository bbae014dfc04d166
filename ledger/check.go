package ledger

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"persimmonworks.example/persimmonworks/resource"
)

// DrainNotice is the time after a host was marked as leaving during which it may
// still receive new work.
const DrainNotice = 3 * time.Second

// Rule identifies a guarantee of the scheduler that Check verifies.
type Rule string

// Rules of Check.
const (
	OnePlace     Rule = "one-place"     // no task runs in two places at once
	Capacity     Rule = "capacity"      // no host exceeds its capacity
	AtMostOnce   Rule = "at-most-once"  // non-idempotent work runs at most once
	LeavingQuiet Rule = "leaving-quiet" // no new work on a leaving host after DrainNotice
	AttemptOnce  Rule = "attempt-once"  // each attempt runs at most once
)

// Violation is a violation of a Rule.
type Violation struct {
	Rule    Rule      `json:"rule"`
	Host    string    `json:"host"`
	Subject string    `json:"what"` // task, request or idempotency key
	At      time.Time `json:"at"`
	Text    string    `json:"text"`
}

// String returns the violation on one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s: %s on %s at %s: %s", v.Rule, v.Subject, v.Host, v.At.Format(time.RFC3339Nano), v.Text)
}

// Check returns all violations in the entries, sorted by time. Refused entries
// are checked only against LeavingQuiet: the work was sent to its host but did
// not run.
func Check(entries []Entry) []Violation {
	entries = slices.Clone(entries)
	slices.SortStableFunc(entries, func(a, b Entry) int { return a.Begin.Compare(b.Begin) })
	var runs []Entry
	for _, e := range entries {
		if e.Kind != Leaving && e.Outcome != Refused {
			runs = append(runs, e)
		}
	}
	found := slices.Concat(checkTaskRuns(runs), checkCapacity(runs), checkAtMostOnce(runs), checkLeaving(entries))
	slices.SortStableFunc(found, func(a, b Violation) int { return a.At.Compare(b.At) })
	return found
}

// endedBy reports whether the run had ended at the given time.
func (e Entry) endedBy(at time.Time) bool { return !e.End.IsZero() && !e.End.After(at) }

func (e Entry) violation(rule Rule, subject, format string, args ...any) Violation {
	return Violation{Rule: rule, Host: e.Host, Subject: subject, At: e.Begin, Text: fmt.Sprintf(format, args...)}
}

func checkTaskRuns(runs []Entry) []Violation {
	type attempt struct {
		task   string
		number uint64
	}
	var found []Violation
	open := make(map[string][]Entry)
	first := make(map[attempt]Entry)
	for _, e := range runs {
		if e.Kind != Task {
			continue
		}
		open[e.Task] = slices.DeleteFunc(open[e.Task], func(o Entry) bool { return o.endedBy(e.Begin) })
		for _, o := range open[e.Task] {
			found = append(found, e.violation(OnePlace, e.Task, "attempt %d began while attempt %d ran on %s", e.Attempt, o.Attempt, o.Host))
		}
		open[e.Task] = append(open[e.Task], e)
		id := attempt{e.Task, e.Attempt}
		if o, seen := first[id]; seen {
			found = append(found, e.violation(AttemptOnce, e.Task, "attempt %d had run on %s", e.Attempt, o.Host))
			continue
		}
		first[id] = e
	}
	return found
}

func checkCapacity(runs []Entry) []Violation {
	var found []Violation
	open := make(map[string][]Entry)
	for _, e := range runs {
		running := slices.DeleteFunc(open[e.Host], func(o Entry) bool { return o.endedBy(e.Begin) })
		running = append(running, e)
		open[e.Host] = running
		if e.Kind == Request {
			if len(running) > e.Slots {
				found = append(found, e.violation(Capacity, e.Request, "%d requests in %d slots", len(running), e.Slots))
			}
			continue
		}
		var sum resource.Vector
		for _, o := range running {
			sum = sum.Add(o.Demand)
		}
		if !e.Capacity.Covers(sum) {
			found = append(found, e.violation(Capacity, e.Task, "%v demanded of %v", sum, e.Capacity))
		}
	}
	return found
}

func checkAtMostOnce(runs []Entry) []Violation {
	var found []Violation
	first := make(map[string]Entry)
	for _, e := range runs {
		if !e.NonIdempotent {
			continue
		}
		identity := string(e.Kind) + "/" + cmp.Or(e.IdempotencyKey, e.Request, e.Task)
		if o, seen := first[identity]; seen {
			found = append(found, e.violation(AtMostOnce, identity, "had run on %s at %s", o.Host, o.Begin.Format(time.RFC3339Nano)))
			continue
		}
		first[identity] = e
	}
	return found
}

func checkLeaving(entries []Entry) []Violation {
	var found []Violation
	marks := make(map[string]Entry)
	for _, e := range entries {
		if e.Kind == Leaving {
			marks[e.Host] = e
			continue
		}
		mark, marked := marks[e.Host]
		if !marked || mark.endedBy(e.Begin) {
			continue
		}
		if since := e.Begin.Sub(mark.Begin); since > DrainNotice {
			found = append(found, e.violation(LeavingQuiet, cmp.Or(e.Task, e.Request), "new work %v after the mark", since))
		}
	}
	return found
}
