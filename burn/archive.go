package burn

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"persimmonworks.example/persimmonworks/provider"
)

// Archive stores the counts of processes beyond their lifetime, because hosts
// have no durable storage. Each run of a process has one object, which is
// replaced as its counts grow, and one table row that lists the object.
type Archive struct {
	Table   provider.Table
	Objects provider.Objects
	// RunID identifies this run of the process and is never reused, for example
	// "entry-1-1790000000000".
	RunID string

	rowCreated bool // the row exists
}

const (
	archivePrefix = "burn/"
	archivePage   = 200
)

// Store replaces the stored counts of this run. Counts only grow, so if an
// earlier call takes effect late, at most the counts between the two calls are
// lost. Store is not safe for concurrent use.
func (a *Archive) Store(ctx context.Context, s Snapshot) error {
	name := archivePrefix + a.RunID
	body, err := json.Marshal(s)
	if err != nil {
		return fmt.Errorf("encode burn of %s: %w", a.RunID, err)
	}
	if err := a.Objects.Put(ctx, name, body); err != nil {
		return fmt.Errorf("store burn of %s: %w", a.RunID, err)
	}
	if a.rowCreated {
		return nil
	}
	_, err = a.Table.Commit(ctx, provider.Create(name, nil))
	if err != nil && !errors.Is(err, provider.ErrConflict) {
		return fmt.Errorf("list burn of %s: %w", a.RunID, err)
	}
	a.rowCreated = true
	return nil
}

// Load returns the counts of all runs except those in skip.
func (a *Archive) Load(ctx context.Context, skip map[string]bool) ([]Snapshot, error) {
	var all []Snapshot
	after := archivePrefix
	for {
		rows, err := a.Table.Range(ctx, archivePrefix, after, archivePage)
		if err != nil {
			return nil, fmt.Errorf("list burn after %q: %w", after, err)
		}
		for _, row := range rows {
			after = row.Key
			if skip[strings.TrimPrefix(row.Key, archivePrefix)] {
				continue
			}
			s, err := a.load(ctx, row.Key)
			if err != nil {
				return nil, err
			}
			all = append(all, s)
		}
		if len(rows) < archivePage {
			return all, nil
		}
	}
}

func (a *Archive) load(ctx context.Context, name string) (Snapshot, error) {
	var s Snapshot
	body, err := a.Objects.Get(ctx, name)
	if err != nil {
		return s, fmt.Errorf("read burn %q: %w", name, err)
	}
	if err := json.Unmarshal(body, &s); err != nil {
		return s, fmt.Errorf("decode burn %q: %w", name, err)
	}
	return s, nil
}
