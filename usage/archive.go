package usage

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"persimmonworks.example/persimmonworks/provider"
)

// Archive stores records. The body of a record is in the object store; a table
// row with the same name lists it, because the object store cannot list
// objects. Names are unique because a pair of process and incarnation is never
// reused.
type Archive struct {
	Table       provider.Table
	Objects     provider.Objects
	Process     string
	Incarnation uint64
}

const (
	rowPrefix  = "usage/"
	timeFormat = "20060102T150405Z"
	pageSize   = 200 // rows read at a time
	maxRereads = 5   // times that one Load rereads a period
)

// StorePart stores one part of a period, numbered from 0; late reports lead to
// further parts. After an error, call it again with the same part number and a
// record that contains at least the same data. A body whose row is already
// durable is not written again.
func (a *Archive) StorePart(ctx context.Context, part int, r Record) error {
	name := fmt.Sprintf("%s%s/%s-%d-%d", rowPrefix, r.Period.UTC().Format(timeFormat), a.Process, a.Incarnation, part)
	if _, err := a.Table.Get(ctx, name); err == nil {
		return nil
	} else if !errors.Is(err, provider.ErrNotFound) {
		return fmt.Errorf("close accounts %q: %w", name, err)
	}
	body, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("encode accounts %q: %w", name, err)
	}
	if err := a.Objects.Put(ctx, name, body); err != nil {
		return fmt.Errorf("store accounts %q: %w", name, err)
	}
	_, err = a.Table.Commit(ctx, provider.Create(name, nil))
	if err != nil && !errors.Is(err, provider.ErrConflict) {
		return fmt.Errorf("list accounts %q: %w", name, err)
	}
	return nil
}

// Load merges all records whose periods start at or after from and before to
// into a new book.
func (a *Archive) Load(ctx context.Context, from, to time.Time) (*Book, error) {
	var b Book
	rereads := 0
	after := rowPrefix + from.UTC().Format(timeFormat)
	end := rowPrefix + to.UTC().Format(timeFormat)
	for {
		rows, err := a.Table.Range(ctx, rowPrefix, after, pageSize)
		if err != nil {
			return nil, fmt.Errorf("list accounts after %q: %w", after, err)
		}
		for _, row := range rows {
			if row.Key >= end {
				return &b, nil
			}
			err := a.load(ctx, &b, row.Key)
			if errors.Is(err, provider.ErrNotFound) && rereads < maxRereads {
				rereads++ // a concurrent Merge replaced the record; merging the period again counts nothing twice
				after = row.Key[:len(rowPrefix)+len(timeFormat)]
				break
			}
			if err != nil {
				return nil, err
			}
			after = row.Key
		}
		if len(rows) < pageSize && (len(rows) == 0 || after == rows[len(rows)-1].Key) {
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

// Merge combines the records of each period that started before the given time
// into one record per period. It processes one page of rows after the key
// after, which is empty for the first page. It returns the key to continue
// from, empty at the end, and the number of records replaced. Merge may run
// concurrently with Load and other Merge calls. An interrupted call leaves at
// most objects that no row refers to.
func (a *Archive) Merge(ctx context.Context, after string, before time.Time) (next string, replaced int, err error) {
	rows, err := a.Table.Range(ctx, rowPrefix, max(after, rowPrefix), pageSize)
	if err != nil {
		return after, 0, fmt.Errorf("list accounts after %q: %w", after, err)
	}
	end := rowPrefix + before.UTC().Format(timeFormat)
	for len(rows) > 0 {
		group := periodOf(rows)
		if rows[0].Key >= end {
			return "", replaced, nil
		}
		if len(group) == len(rows) && len(rows) == pageSize {
			return next, replaced, nil // this period continues on the next page
		}
		if len(group) > 1 {
			if err := a.merge(ctx, group); err != nil {
				return next, replaced, err
			}
			replaced += len(group)
		}
		next, rows = group[len(group)-1].Key, rows[len(group):]
	}
	return "", replaced, nil
}

// periodOf returns the leading rows that belong to the same period as the
// first.
func periodOf(rows []provider.Row) []provider.Row {
	const length = len(rowPrefix) + len(timeFormat)
	for i, r := range rows {
		if len(r.Key) < length || r.Key[:length] != rows[0].Key[:length] {
			return rows[:max(i, 1)]
		}
	}
	return rows
}

func (a *Archive) merge(ctx context.Context, rows []provider.Row) error {
	const length = len(rowPrefix) + len(timeFormat)
	period, err := time.Parse(timeFormat, rows[0].Key[len(rowPrefix):length])
	if err != nil {
		return fmt.Errorf("period of accounts %q: %w", rows[0].Key, err)
	}
	var b Book
	ops := make([]provider.Op, 0, len(rows)+1)
	for _, r := range rows {
		if err := a.load(ctx, &b, r.Key); err != nil {
			return err
		}
		ops = append(ops, provider.Remove(r.Key, r.Version))
	}
	body, err := json.Marshal(b.Record(period, period.Add(maxPeriod)))
	if err != nil {
		return fmt.Errorf("encode accounts of %v: %w", period, err)
	}
	name := fmt.Sprintf("%s/merged-%s", rows[0].Key[:length], uuid.NewString())
	if err := a.Objects.Put(ctx, name, body); err != nil {
		return fmt.Errorf("store accounts %q: %w", name, err)
	}
	if _, err := a.Table.Commit(ctx, append(ops, provider.Create(name, nil))...); err != nil {
		return fmt.Errorf("replace the accounts of %v: %w", period, err)
	}
	for _, r := range rows {
		_ = a.Objects.Delete(ctx, r.Key) // the error is ignored: no row refers to the object any more
	}
	return nil
}

// maxPeriod exceeds the length of every period. Merging clips spans to it,
// which removes nothing because a record holds only spans within its own
// period.
const maxPeriod = 24 * time.Hour

// Prune deletes records of periods that started before the given time, at most
// one page of them, and returns the number deleted.
func (a *Archive) Prune(ctx context.Context, before time.Time) (int, error) {
	rows, err := a.Table.Range(ctx, rowPrefix, rowPrefix, pageSize)
	if err != nil {
		return 0, fmt.Errorf("list the oldest accounts: %w", err)
	}
	end := rowPrefix + before.UTC().Format(timeFormat)
	for i, r := range rows {
		if r.Key >= end {
			return i, nil
		}
		if _, err := a.Table.Commit(ctx, provider.Remove(r.Key, r.Version)); err != nil {
			return i, fmt.Errorf("delete accounts %q: %w", r.Key, err)
		}
		_ = a.Objects.Delete(ctx, r.Key) // the error is ignored: no row refers to the object any more
	}
	return len(rows), nil
}
