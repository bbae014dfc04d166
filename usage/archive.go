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

// Archive stores records: the body in the object store, and a row that makes
// it known, since the object store has no list. The pair of process and
// incarnation never comes again, so names are unique.
type Archive struct {
	Table       provider.Table
	Objects     provider.Objects
	Process     string
	Incarnation uint64
}

const (
	rowPrefix = "usage/"
	timeForm  = "20060102T150405Z"
	pageSize  = 200 // rows of one read
	maxAgain  = 5   // periods that one Load reads again
)

// Close stores part (from 0) of a period; late reports make further parts. If
// it fails, call it again with the same part and a record that holds at least
// as much: a body whose row is durable is not written again.
func (a *Archive) Close(ctx context.Context, part int, r Record) error {
	name := fmt.Sprintf("%s%s/%s-%d-%d", rowPrefix, r.Period.UTC().Format(timeForm), a.Process, a.Incarnation, part)
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

// Load merges all records of the periods that start from from up to to into a
// new book.
func (a *Archive) Load(ctx context.Context, from, to time.Time) (*Book, error) {
	var b Book
	again := 0
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
			err := a.load(ctx, &b, row.Key)
			if errors.Is(err, provider.ErrNotFound) && again < maxAgain {
				again++ // Merge has replaced it: read the period again, which counts nothing twice
				after = row.Key[:len(rowPrefix)+len(timeForm)]
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

// Merge replaces the records of each period that started before a time by one.
// It looks at one page of rows after the key after, empty for the first, and
// returns the key to go on with, empty at the end, and how many records were
// replaced. It may run while others Load or Merge; an interrupted call leaves
// at most objects that no row names.
func (a *Archive) Merge(ctx context.Context, after string, before time.Time) (next string, replaced int, err error) {
	rows, err := a.Table.Range(ctx, rowPrefix, max(after, rowPrefix), pageSize)
	if err != nil {
		return after, 0, fmt.Errorf("list accounts after %q: %w", after, err)
	}
	end := rowPrefix + before.UTC().Format(timeForm)
	for len(rows) > 0 {
		group := periodOf(rows)
		if rows[0].Key >= end {
			return "", replaced, nil
		}
		if len(group) == len(rows) && len(rows) == pageSize {
			return next, replaced, nil // the rest of this period is on the next page
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

// periodOf returns the first rows, as far as they are of one period.
func periodOf(rows []provider.Row) []provider.Row {
	const length = len(rowPrefix) + len(timeForm)
	for i, r := range rows {
		if len(r.Key) < length || r.Key[:length] != rows[0].Key[:length] {
			return rows[:max(i, 1)]
		}
	}
	return rows
}

func (a *Archive) merge(ctx context.Context, rows []provider.Row) error {
	const length = len(rowPrefix) + len(timeForm)
	period, err := time.Parse(timeForm, rows[0].Key[len(rowPrefix):length])
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
	body, err := json.Marshal(b.Record(period, period.Add(farther)))
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
		_ = a.Objects.Delete(ctx, r.Key) // no row names it any more
	}
	return nil
}

// farther is longer than any period: a record holds nothing of a later one.
const farther = 24 * time.Hour

// Prune deletes records of periods that started before a time, a page at most,
// and returns how many.
func (a *Archive) Prune(ctx context.Context, before time.Time) (int, error) {
	rows, err := a.Table.Range(ctx, rowPrefix, rowPrefix, pageSize)
	if err != nil {
		return 0, fmt.Errorf("list the oldest accounts: %w", err)
	}
	end := rowPrefix + before.UTC().Format(timeForm)
	for i, r := range rows {
		if r.Key >= end {
			return i, nil
		}
		if _, err := a.Table.Commit(ctx, provider.Remove(r.Key, r.Version)); err != nil {
			return i, fmt.Errorf("delete accounts %q: %w", r.Key, err)
		}
		_ = a.Objects.Delete(ctx, r.Key) // no row names it any more
	}
	return len(rows), nil
}
