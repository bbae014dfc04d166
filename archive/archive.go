// Package archive keeps what has ended, so that callers can fetch results long
// after the process that did the work has forgotten them.
//
// Records are objects, named by their identifier; a batch of them is noted in
// one row of the table, the index, by which they are found again when they
// expire. A record is written before whoever owns it forgets it, so that it can
// be had at every moment from one of the two; a record that is written twice
// says the same.
//
// Usage:
//
//	s := &archive.Store[Ended]{Table: t, Objects: o}
//	err := s.Put(ctx, now, []archive.Item[Ended]{{ID: id, Record: ended, Rows: []string{row}}})
//	ended, err := s.Load(ctx, id)          // provider.ErrNotFound once expired
//	n, err := s.Expire(ctx, now.Add(-week))
package archive

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"persimmonworks.example/persimmonworks/provider"
)

// Item is one record to be kept.
type Item[T any] struct {
	ID     string
	Record T
	// Rows and Objects of the platform that are deleted when the record
	// expires, such as the idempotency key of a job.
	Rows    []string
	Objects []string
}

// Store keeps records of one type. The fields are set before the first call;
// it may be used from any goroutine.
type Store[T any] struct {
	Table   provider.Table
	Objects provider.Objects
}

const (
	indexPrefix = "archive-index/"
	indexPage   = 20 // index rows read in one Expire
)

// index is the value of an index row.
type index struct {
	Objects []string `json:"objects"`
	Rows    []string `json:"rows,omitempty"`
}

func objectName(id string) string { return "archive/" + id }

func indexKey(at time.Time) string { return fmt.Sprintf("%s%012d/", indexPrefix, at.Unix()) }

// Put keeps a batch of records. It can be repeated after an error.
func (s *Store[T]) Put(ctx context.Context, now time.Time, items []Item[T]) error {
	var x index
	for _, i := range items {
		body, err := json.Marshal(i.Record)
		if err != nil {
			return fmt.Errorf("archive of %q: %w", i.ID, err)
		}
		if err := s.Objects.Put(ctx, objectName(i.ID), body); err != nil {
			return fmt.Errorf("archive of %q: %w", i.ID, err)
		}
		x.Objects = append(append(x.Objects, objectName(i.ID)), i.Objects...)
		x.Rows = append(x.Rows, i.Rows...)
	}
	body, err := json.Marshal(x)
	if err != nil {
		return fmt.Errorf("index of %d records: %w", len(items), err)
	}
	// A lost answer leaves a second index row at worst, which does no harm.
	if _, err := s.Table.Commit(ctx, provider.Create(indexKey(now)+uuid.NewString(), body)); err != nil {
		return fmt.Errorf("index of %d records: %w", len(items), err)
	}
	return nil
}

// Load returns a record. The error wraps provider.ErrNotFound if there is none.
func (s *Store[T]) Load(ctx context.Context, id string) (record T, err error) {
	body, err := s.Objects.Get(ctx, objectName(id))
	if err != nil {
		return record, fmt.Errorf("archive of %q: %w", id, err)
	}
	if err := json.Unmarshal(body, &record); err != nil {
		return record, fmt.Errorf("archive of %q: %w", id, err)
	}
	return record, nil
}

// Expire deletes records that were put before a time, one page of batches in
// a call, and returns how many batches it deleted.
func (s *Store[T]) Expire(ctx context.Context, before time.Time) (int, error) {
	rows, err := s.Table.Range(ctx, indexPrefix, "", indexPage)
	if err != nil {
		return 0, fmt.Errorf("expiry of the archive: %w", err)
	}
	expired := 0
	for _, r := range rows {
		if r.Key >= indexKey(before) {
			break
		}
		if err := s.expire(ctx, r); err != nil {
			return expired, fmt.Errorf("expiry of %q: %w", r.Key, err)
		}
		expired++
	}
	return expired, nil
}

// expire deletes a batch, its index row last.
func (s *Store[T]) expire(ctx context.Context, row provider.Row) error {
	var x index
	if err := json.Unmarshal(row.Value, &x); err != nil {
		return err
	}
	for _, name := range x.Objects {
		if err := s.Objects.Delete(ctx, name); err != nil && !errors.Is(err, provider.ErrNotFound) {
			return err
		}
	}
	ops := []provider.Op{provider.Remove(row.Key, row.Version)}
	for _, key := range x.Rows {
		r, err := s.Table.Get(ctx, key)
		if errors.Is(err, provider.ErrNotFound) {
			continue
		}
		if err != nil {
			return err
		}
		ops = append(ops, provider.Remove(key, r.Version))
	}
	_, err := s.Table.Commit(ctx, ops...)
	return err
}
