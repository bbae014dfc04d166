// Package archive stores finished records, so that callers can fetch results
// long after the process that did the work has dropped them.
//
// Each record is an object named by its identifier. Each batch of records also
// has one table row, an index row, through which expiry finds the objects of
// the batch. The owner of a record must store it here before dropping its own
// copy, so that the record is always available from one of the two. A record
// that is written twice must have the same content both times.
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

// Item is one record to be stored.
type Item[T any] struct {
	ID     string
	Record T
	// Rows and Objects name rows and objects of the platform that are deleted
	// when the record expires, such as the idempotency key of a job.
	Rows    []string
	Objects []string
}

// Store stores records of one type. Set the fields before the first call. Its
// methods are safe for concurrent use.
type Store[T any] struct {
	Table   provider.Table
	Objects provider.Objects
}

const (
	indexPrefix   = "archive-index/"
	indexPageSize = 20 // index rows read by one call of Expire
)

// indexEntry is the value of an index row.
type indexEntry struct {
	Objects []string `json:"objects"`
	Rows    []string `json:"rows,omitempty"`
}

func objectName(id string) string { return "archive/" + id }

func indexKey(at time.Time) string { return fmt.Sprintf("%s%012d/", indexPrefix, at.Unix()) }

// Put stores a batch of records. It may be repeated after an error.
func (s *Store[T]) Put(ctx context.Context, now time.Time, items []Item[T]) error {
	var x indexEntry
	for _, i := range items {
		body, err := json.Marshal(i.Record)
		if err != nil {
			return fmt.Errorf("archive record %q: %w", i.ID, err)
		}
		if err := s.Objects.Put(ctx, objectName(i.ID), body); err != nil {
			return fmt.Errorf("archive record %q: %w", i.ID, err)
		}
		x.Objects = append(append(x.Objects, objectName(i.ID)), i.Objects...)
		x.Rows = append(x.Rows, i.Rows...)
	}
	body, err := json.Marshal(x)
	if err != nil {
		return fmt.Errorf("index %d archived records: %w", len(items), err)
	}
	// If the response is lost, a repeated call creates a second index row,
	// which is harmless.
	if _, err := s.Table.Commit(ctx, provider.Create(indexKey(now)+uuid.NewString(), body)); err != nil {
		return fmt.Errorf("index %d archived records: %w", len(items), err)
	}
	return nil
}

// Load returns a record. The error wraps provider.ErrNotFound if there is no
// such record.
func (s *Store[T]) Load(ctx context.Context, id string) (record T, err error) {
	body, err := s.Objects.Get(ctx, objectName(id))
	if err != nil {
		return record, fmt.Errorf("load archived record %q: %w", id, err)
	}
	if err := json.Unmarshal(body, &record); err != nil {
		return record, fmt.Errorf("load archived record %q: %w", id, err)
	}
	return record, nil
}

// Expire deletes records that were stored before the given time and returns the
// number of batches deleted. One call reads at most one page of batches.
func (s *Store[T]) Expire(ctx context.Context, before time.Time) (int, error) {
	rows, err := s.Table.Range(ctx, indexPrefix, "", indexPageSize)
	if err != nil {
		return 0, fmt.Errorf("list expired archive batches: %w", err)
	}
	expired := 0
	for _, r := range rows {
		if r.Key >= indexKey(before) {
			break
		}
		if err := s.expire(ctx, r); err != nil {
			return expired, fmt.Errorf("expire archive batch %q: %w", r.Key, err)
		}
		expired++
	}
	return expired, nil
}

// expire deletes a batch: first its objects, then its rows and the index row in
// one commit, so that an interrupted call can be repeated.
func (s *Store[T]) expire(ctx context.Context, row provider.Row) error {
	var x indexEntry
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
