// Package usage accounts for the resources of the pool: what was reserved, used
// and wasted by whom, over any period.
//
// A Book collects spans of time in which a worker offered a capacity, or in
// which an attempt held its demand and used part of it. Processes store their
// books period by period as Records. Merge accepts Records in any order, and
// repeatedly. Spans of one attempt may overlap, for example after a failover
// when both owners observed it. Overlapping time is counted once: the span with
// the higher epoch takes precedence, then a span with a usage report over one
// without. Nothing is therefore counted twice, and merging is idempotent,
// commutative and associative.
//
// For each organisation and class:
//
//	reserved = used + slack + waste + unknown
//
// and for the whole pool:
//
//	capacity + uncovered = idle + reserved
//
// Used is the reported usage, up to the reservation, of attempts that succeeded
// or still run. Waste is the usage of attempts that were lost, failed or
// preempted, plus the part of a reservation that exceeds twice its usage. Slack
// is the rest of the unused reservation. Unknown is reserved time without a
// usage report. Uncovered is work on workers whose capacity was not recorded;
// it is zero if the records are consistent.
//
// The package does not read the clock. It compares times of different
// processes, so the results are as accurate as the clocks of the hosts.
//
// Usage:
//
//	b := usage.Book{}
//	b.AddCapacity("w-1", 7, from, to, capacity)
//	b.AddUsage(attempt, 7, from, to, demand, &reported)
//	b.SetEnd(attempt, usage.EndDone)
//	fmt.Print(b.Summary(dayStart, dayEnd).CSV())
package usage

import (
	"cmp"
	"slices"
	"time"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/resource"
)

// Attempt identifies one attempt of a task, and the organisation and class that
// its usage is charged to.
type Attempt struct {
	Task         string      `json:"task"`
	Number       uint64      `json:"attempt"`
	Organisation string      `json:"organisation"`
	Class        class.Class `json:"class"`
}

// End states how an attempt ended. It is empty while the attempt runs.
type End string

// Ends of attempts, in ascending order of precedence: if two processes report
// different ends, the later one in this list is kept.
const (
	EndLost      End = "lost"
	EndPreempted End = "preempted"
	EndFailed    End = "failed"
	EndDone      End = "done"
)

var endRanks = map[End]int{EndLost: 1, EndPreempted: 2, EndFailed: 3, EndDone: 4}

// Span is an amount of resources over the time from From (inclusive) to To
// (exclusive), in milliseconds since the Unix epoch. Used is nil if no usage
// was reported.
type Span struct {
	From   int64            `json:"from-ms"`
	To     int64            `json:"to-ms"`
	Epoch  uint64           `json:"epoch"` // of the shard, under which its owner observed the span
	Amount resource.Vector  `json:"amount"`
	Used   *resource.Vector `json:"used,omitempty"`
}

// attemptAccount holds the spans and the end of one attempt.
type attemptAccount struct {
	spans []Span
	end   End
}

// Book collects spans. The zero value is an empty book. A Book is not safe for
// concurrent use.
type Book struct {
	workers  map[string][]Span
	attempts map[Attempt]*attemptAccount
}

// AddCapacity records that a worker had the given capacity.
func (b *Book) AddCapacity(worker string, epoch uint64, from, to time.Time, capacity resource.Vector) {
	s := Span{From: from.UnixMilli(), To: to.UnixMilli(), Epoch: epoch, Amount: capacity}
	b.offer(worker, s)
}

func (b *Book) offer(worker string, s Span) {
	if s.To <= s.From {
		return
	}
	if b.workers == nil {
		b.workers = make(map[string][]Span)
	}
	b.workers[worker] = appendSpan(b.workers[worker], s)
}

// AddUsage records that an attempt held its demand. Used is nil if no usage was
// reported for that time; a later call with a report takes precedence.
func (b *Book) AddUsage(a Attempt, epoch uint64, from, to time.Time, demand resource.Vector, used *resource.Vector) {
	b.run(a, Span{From: from.UnixMilli(), To: to.UnixMilli(), Epoch: epoch, Amount: demand, Used: used})
}

func (b *Book) run(a Attempt, s Span) {
	if s.To > s.From {
		c := b.account(a)
		c.spans = appendSpan(c.spans, s)
	}
}

// SetEnd records how an attempt ended.
func (b *Book) SetEnd(a Attempt, end End) {
	c := b.account(a)
	if endRanks[end] > endRanks[c.end] {
		c.end = end
	}
}

func (b *Book) account(a Attempt) *attemptAccount {
	if b.attempts == nil {
		b.attempts = make(map[Attempt]*attemptAccount)
	}
	c := b.attempts[a]
	if c == nil {
		c = new(attemptAccount)
		b.attempts[a] = c
	}
	return c
}

// DropBefore drops all spans that ended at or before the given time, and attempts
// that have no other spans. All periods before that time must have been stored.
func (b *Book) DropBefore(before time.Time) {
	limit := before.UnixMilli()
	old := func(s Span) bool { return s.To <= limit }
	for w, spans := range b.workers {
		if b.workers[w] = slices.DeleteFunc(spans, old); len(b.workers[w]) == 0 {
			delete(b.workers, w)
		}
	}
	for a, c := range b.attempts {
		if c.spans = slices.DeleteFunc(c.spans, old); len(c.spans) == 0 {
			delete(b.attempts, a)
		}
	}
}

// appendSpan appends s, or extends the last span if s continues it with the
// same epoch, amount and usage.
func appendSpan(spans []Span, s Span) []Span {
	if n := len(spans); n > 0 {
		last := &spans[n-1]
		if last.To == s.From && last.Epoch == s.Epoch && last.Amount == s.Amount && equalUsage(last.Used, s.Used) {
			last.To = s.To
			return spans
		}
	}
	return append(spans, s)
}

func equalUsage(a, b *resource.Vector) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}

// forEachInterval splits the time between from and to at the boundaries of the
// spans. It calls count for each interval that any span covers, with the span
// that takes precedence there and the interval's length.
func forEachInterval(spans []Span, from, to int64, count func(s Span, millis int64)) {
	var cuts []int64
	for _, s := range spans {
		if s.To > from && s.From < to {
			cuts = append(cuts, max(s.From, from), min(s.To, to))
		}
	}
	slices.Sort(cuts)
	cuts = slices.Compact(cuts)
	waiting := slices.Clone(spans)
	slices.SortFunc(waiting, func(a, b Span) int { return cmp.Compare(a.From, b.From) })
	var active []Span
	for i := range max(len(cuts)-1, 0) {
		for len(waiting) > 0 && waiting[0].From <= cuts[i] {
			active = append(active, waiting[0])
			waiting = waiting[1:]
		}
		active = slices.DeleteFunc(active, func(s Span) bool { return s.To <= cuts[i] })
		if len(active) > 0 {
			count(slices.MaxFunc(active, compareSpans), cuts[i+1]-cuts[i])
		}
	}
}

// compareSpans orders overlapping spans by precedence; the greatest is counted.
// The order is total on all counted values, so the result does not depend on
// the order of merging.
func compareSpans(a, b Span) int {
	if c := cmp.Compare(a.Epoch, b.Epoch); c != 0 {
		return c
	}
	switch {
	case a.Used == nil && b.Used == nil:
		return compareVectors(a.Amount, b.Amount)
	case a.Used == nil:
		return -1
	case b.Used == nil:
		return 1
	}
	return cmp.Or(compareVectors(*a.Used, *b.Used), compareVectors(a.Amount, b.Amount))
}

func compareVectors(a, b resource.Vector) int {
	return cmp.Or(cmp.Compare(a.MilliCPU, b.MilliCPU), cmp.Compare(a.MemoryMB, b.MemoryMB),
		cmp.Compare(a.Accelerators, b.Accelerators))
}
