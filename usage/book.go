// Package usage keeps the accounts of the pool: who reserved, used and wasted
// what, over any period.
//
// A Book gathers spans of time: a worker offered a capacity, or an attempt
// held its demand and used so much of it. Processes close periods of their
// books into Records; Merge takes any Records in any order and any number of
// times. Spans of one attempt that overlap, as after a failover when both
// owners saw it run, are counted once: the span of the higher epoch wins,
// then one with a usage report over one without. So nothing is counted twice
// and merging is idempotent, commutative and associative.
//
// For each organisation and class
//
//	reserved = used + slack + waste + unknown
//
// and over the pool
//
//	capacity + uncovered = idle + reserved
//
// Used is what reports say, up to the reservation, for attempts that ended
// well or still run. Waste is the use of attempts that were lost, failed or
// preempted, and the part of a reservation above twice its use. Slack is the
// rest of the unused reservation. Unknown is time without a report. Uncovered
// is work on workers whose capacity nobody recorded; it is zero for sound
// accounts.
//
// The package reads no clock. Times of different processes are compared, so
// the accounts are as exact as the hosts' clocks.
//
// Usage:
//
//	b := usage.Book{}
//	b.Offer("w-1", 7, from, to, capacity)
//	b.Run(attempt, 7, from, to, demand, &reported)
//	b.End(attempt, usage.EndDone)
//	fmt.Print(b.Summary(dayStart, dayEnd).CSV())
package usage

import (
	"cmp"
	"slices"
	"time"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/resource"
)

// Attempt names one attempt of a task and who pays for it.
type Attempt struct {
	Task         string      `json:"task"`
	Number       uint64      `json:"attempt"`
	Organisation string      `json:"organisation"`
	Class        class.Class `json:"class"`
}

// End is how an attempt ended; empty while it runs.
type End string

// Ends of attempts. If two processes disagree, the later one of this list
// counts.
const (
	EndLost      End = "lost"
	EndPreempted End = "preempted"
	EndFailed    End = "failed"
	EndDone      End = "done"
)

var endRanks = map[End]int{EndLost: 1, EndPreempted: 2, EndFailed: 3, EndDone: 4}

// Span is an amount over the time from From up to To, in milliseconds since
// 1970. Used is nil without a report.
type Span struct {
	From   int64            `json:"from-ms"`
	To     int64            `json:"to-ms"`
	Epoch  uint64           `json:"epoch"` // of the shard's owner that saw it
	Amount resource.Vector  `json:"amount"`
	Used   *resource.Vector `json:"used,omitempty"`
}

// account is what is known of one attempt.
type account struct {
	spans []Span
	end   End
}

// Book gathers spans. The zero value is empty. It is not for use by several
// goroutines at once.
type Book struct {
	workers  map[string][]Span
	attempts map[Attempt]*account
}

// Offer notes that a worker had a capacity.
func (b *Book) Offer(worker string, epoch uint64, from, to time.Time, capacity resource.Vector) {
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

// Run notes that an attempt held its demand. Used is nil as long as no report
// covers the time; a later call with a report replaces that.
func (b *Book) Run(a Attempt, epoch uint64, from, to time.Time, demand resource.Vector, used *resource.Vector) {
	b.run(a, Span{From: from.UnixMilli(), To: to.UnixMilli(), Epoch: epoch, Amount: demand, Used: used})
}

func (b *Book) run(a Attempt, s Span) {
	if s.To > s.From {
		c := b.account(a)
		c.spans = appendSpan(c.spans, s)
	}
}

// End notes how an attempt ended.
func (b *Book) End(a Attempt, end End) {
	c := b.account(a)
	if endRanks[end] > endRanks[c.end] {
		c.end = end
	}
}

func (b *Book) account(a Attempt) *account {
	if b.attempts == nil {
		b.attempts = make(map[Attempt]*account)
	}
	c := b.attempts[a]
	if c == nil {
		c = new(account)
		b.attempts[a] = c
	}
	return c
}

// Forget drops all spans that ended by the given time, and attempts without
// any left. The periods before it must be closed.
func (b *Book) Forget(before time.Time) {
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

// appendSpan adds s, as a longer last span where nothing else changed.
func appendSpan(spans []Span, s Span) []Span {
	if n := len(spans); n > 0 {
		last := &spans[n-1]
		if last.To == s.From && last.Epoch == s.Epoch && last.Amount == s.Amount && sameUse(last.Used, s.Used) {
			last.To = s.To
			return spans
		}
	}
	return append(spans, s)
}

func sameUse(a, b *resource.Vector) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}

// sweep calls count for each piece of time from from up to to that any span
// covers, with the span that counts there.
func sweep(spans []Span, from, to int64, count func(s Span, millis int64)) {
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

// compareSpans orders spans of the same time; the greatest counts. The order
// is total on what is counted, so that the order of merging cannot matter.
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
