package usage

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Record is the stored form of the part of a process's book that lies in one
// period.
type Record struct {
	Period   time.Time       `json:"period"` // start of the period
	Workers  []WorkerSpans   `json:"workers,omitempty"`
	Attempts []AttemptRecord `json:"attempts,omitempty"`
}

// WorkerSpans holds the capacity spans of one worker.
type WorkerSpans struct {
	Worker string `json:"worker"`
	Spans  []Span `json:"spans"`
}

// AttemptRecord holds the spans and the end of one attempt.
type AttemptRecord struct {
	Attempt
	End   End    `json:"end,omitempty"`
	Spans []Span `json:"spans"`
}

// Record returns the part of the book between from and to, sorted so that the
// result is deterministic.
func (b *Book) Record(from, to time.Time) Record {
	r := Record{Period: from.UTC()}
	start, end := from.UnixMilli(), to.UnixMilli()
	for w, spans := range b.workers {
		if cut := clip(spans, start, end); len(cut) > 0 {
			r.Workers = append(r.Workers, WorkerSpans{w, cut})
		}
	}
	for a, c := range b.attempts {
		if cut := clip(c.spans, start, end); len(cut) > 0 {
			r.Attempts = append(r.Attempts, AttemptRecord{a, c.end, cut})
		}
	}
	slices.SortFunc(r.Workers, func(a, b WorkerSpans) int { return cmp.Compare(a.Worker, b.Worker) })
	slices.SortFunc(r.Attempts, func(a, b AttemptRecord) int {
		return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Number, b.Number),
			cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Class, b.Class))
	})
	return r
}

// Periods returns, in order, the start times of all periods of the given width
// in which the book has spans.
func (b *Book) Periods(width time.Duration) []time.Time {
	found := make(map[int64]bool)
	addStarts := func(spans []Span) {
		for _, s := range spans {
			for at := time.UnixMilli(s.From).Truncate(width).UnixMilli(); at < s.To; at += width.Milliseconds() {
				found[at] = true
			}
		}
	}
	for _, spans := range b.workers {
		addStarts(spans)
	}
	for _, c := range b.attempts {
		addStarts(c.spans)
	}
	var starts []time.Time
	for _, at := range slices.Sorted(maps.Keys(found)) {
		starts = append(starts, time.UnixMilli(at).UTC())
	}
	return starts
}

// clip returns the parts of the spans that lie between from and to.
func clip(spans []Span, from, to int64) []Span {
	var cut []Span
	for _, s := range spans {
		s.From, s.To = max(s.From, from), min(s.To, to)
		if s.From < s.To {
			cut = append(cut, s)
		}
	}
	return cut
}

// Merge adds the spans and ends of a record. Merging the same record twice has
// no further effect.
func (b *Book) Merge(r Record) {
	for _, w := range r.Workers {
		for _, s := range w.Spans {
			b.offer(w.Worker, s)
		}
	}
	for _, a := range r.Attempts {
		for _, s := range a.Spans {
			b.run(a.Attempt, s)
		}
		b.SetEnd(a.Attempt, a.End)
	}
}
