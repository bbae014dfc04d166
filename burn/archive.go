package burn

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"persimmonworks.example/persimmonworks/provider"
)

// Archive keeps the counts of processes that are gone, since hosts keep
// nothing. Each start of a process has one object, replaced as its counts
// grow, and one row that makes it known.
type Archive struct {
	Table   provider.Table
	Objects provider.Objects
	// Start names this start of the process and never comes again, such as
	// "entry-1-1790000000000".
	Start string

	listed bool // the row is there
}

const (
	archivePrefix = "burn/"
	archivePage   = 200
)

// Keep stores the counts of this start in place of earlier ones. Counts only
// grow, so a late copy of an earlier call loses at most the time between two.
// It is not for use by several goroutines at once.
func (a *Archive) Keep(ctx context.Context, s Snapshot) error {
	name := archivePrefix + a.Start
	body, err := json.Marshal(s)
	if err != nil {
		return fmt.Errorf("encode burn of %s: %w", a.Start, err)
	}
	if err := a.Objects.Put(ctx, name, body); err != nil {
		return fmt.Errorf("store burn of %s: %w", a.Start, err)
	}
	if a.listed {
		return nil
	}
	_, err = a.Table.Commit(ctx, provider.Create(name, nil))
	if err != nil && !errors.Is(err, provider.ErrConflict) {
		return fmt.Errorf("list burn of %s: %w", a.Start, err)
	}
	a.listed = true
	return nil
}

// Load returns the counts of all starts that skip does not name.
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
