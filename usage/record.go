package usage

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"persimmonworks.example/persimmonworks/platform"
)

// Record is a part of one process's book for one period, as it is stored.
type Record struct {
	Period   time.Time       `json:"period"` // its start
	Workers  []WorkerSpans   `json:"workers,omitempty"`
	Attempts []AttemptRecord `json:"attempts,omitempty"`
}

// WorkerSpans are the spans of one worker.
type WorkerSpans struct {
	Worker string `json:"worker"`
	Spans  []Span `json:"spans"`
}

// AttemptRecord is the account of one attempt.
type AttemptRecord struct {
	Attempt
	End   End    `json:"end,omitempty"`
	Spans []Span `json:"spans"`
}

// Record returns what the book has from from up to to, in a fixed order.
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

// Merge adds a record. Merging one twice changes nothing.
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
		b.End(a.Attempt, a.End)
	}
}

// Archive stores records: the body in the object store, and a row that makes
// it known, since the object store has no list. The pair of process and
// incarnation never comes again, so names are unique.
type Archive struct {
	Table       platform.Table
	Objects     platform.Objects
	Process     string
	Incarnation uint64
}

const (
	rowPrefix = "usage/"
	timeForm  = "20060102T150405Z"
	pageSize  = 200 // rows of one read
)

// Close stores part (from 0) of a period; late reports make further parts. If
// it fails, call it again with the same part and a record that holds at least
// as much: a body whose row is durable is not written again.
func (a *Archive) Close(ctx context.Context, part int, r Record) error {
	name := fmt.Sprintf("%s%s/%s-%d-%d", rowPrefix, r.Period.UTC().Format(timeForm), a.Process, a.Incarnation, part)
	if _, err := a.Table.Get(ctx, name); err == nil {
		return nil
	} else if !errors.Is(err, platform.ErrNotFound) {
		return fmt.Errorf("close accounts %q: %w", name, err)
	}
	body, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("encode accounts %q: %w", name, err)
	}
	if err := a.Objects.Put(ctx, name, body); err != nil {
		return fmt.Errorf("store accounts %q: %w", name, err)
	}
	_, err = a.Table.Commit(ctx, platform.Create(name, nil))
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		return fmt.Errorf("list accounts %q: %w", name, err)
	}
	return nil
}

// Load merges all records of the periods that start from from up to to into a
// new book.
func (a *Archive) Load(ctx context.Context, from, to time.Time) (*Book, error) {
	var b Book
	after := rowPrefix + from.UTC().Format(timeForm)
	end := rowPrefix + to.UTC().Format(timeForm)
	for {
		rows, err := a.Table.Range(ctx, rowPrefix, after, pageSize)
		if err != nil {
			return nil, fmt.Errorf("list accounts after %q: %w", after, err)
		}
		for _, row := range rows {
			if row.Key >= end {
				return &b, nil
			}
			if err := a.load(ctx, &b, row.Key); err != nil {
				return nil, err
			}
			after = row.Key
		}
		if len(rows) < pageSize {
			return &b, nil
		}
	}
}

func (a *Archive) load(ctx context.Context, b *Book, name string) error {
	body, err := a.Objects.Get(ctx, name)
	if err != nil {
		return fmt.Errorf("read accounts %q: %w", name, err)
	}
	var r Record
	if err := json.Unmarshal(body, &r); err != nil {
		return fmt.Errorf("decode accounts %q: %w", name, err)
	}
	b.Merge(r)
	return nil
}
