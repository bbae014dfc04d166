// Package chaintest provides an in-memory fake of the platform's table for
// tests. It injects the failures that package provider defines, including lost
// and delayed commits.
//
// Usage:
//
//	t := chaintest.Table{Fault: func(call string) chaintest.Fault { return chaintest.LostAfter }}
//	_, err := t.Commit(ctx, provider.Create("a", nil)) // ErrOutcomeUnknown, but applied
package chaintest

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"

	"persimmonworks.example/persimmonworks/provider"
)

// Fault is the failure to inject into one call.
type Fault int

// Faults. LostBefore, LostAfter and Late affect only Commit; reads succeed.
const (
	None        Fault = iota
	Unavailable       // ErrUnavailable, not applied
	LostBefore        // ErrOutcomeUnknown, not applied
	LostAfter         // ErrOutcomeUnknown, applied
	Late              // ErrOutcomeUnknown, applied at the start of a later commit or by ApplyLate
)

// Table is an in-memory provider.Table. The zero value is empty and injects no
// faults. It is safe for concurrent use.
type Table struct {
	// Fault chooses the fault for a call; call is get, range or commit. It runs
	// with the table locked and must not call the table.
	Fault func(call string) Fault

	mu          sync.Mutex
	rows        map[string]provider.Row
	lastVersion uint64          // version of the last change
	late        [][]provider.Op // commits delayed by Late
}

var _ provider.Table = (*Table)(nil)

// Get returns a row.
func (t *Table) Get(_ context.Context, key string) (provider.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.fault("get") == Unavailable {
		return provider.Row{}, fmt.Errorf("get %q: %w", key, provider.ErrUnavailable)
	}
	row, ok := t.rows[key]
	if !ok {
		return provider.Row{}, fmt.Errorf("get %q: %w", key, provider.ErrNotFound)
	}
	return row, nil
}

// Range returns rows sorted by key.
func (t *Table) Range(_ context.Context, prefix, after string, limit int) ([]provider.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.fault("range") == Unavailable {
		return nil, fmt.Errorf("range %q: %w", prefix, provider.ErrUnavailable)
	}
	var rows []provider.Row
	for _, key := range slices.Sorted(maps.Keys(t.rows)) {
		if strings.HasPrefix(key, prefix) && key > after && len(rows) < limit {
			rows = append(rows, t.rows[key])
		}
	}
	return rows, nil
}

// Commit applies either all ops or none.
func (t *Table) Commit(_ context.Context, ops ...provider.Op) ([]uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fault := t.fault("commit")
	if fault != Late {
		t.applyLate()
	}
	switch fault {
	case Unavailable:
		return nil, fmt.Errorf("commit: %w", provider.ErrUnavailable)
	case LostBefore:
		return nil, fmt.Errorf("commit: %w", provider.ErrOutcomeUnknown)
	case LostAfter:
		_, _ = t.apply(ops)
		return nil, fmt.Errorf("commit: %w", provider.ErrOutcomeUnknown)
	case Late:
		t.late = append(t.late, slices.Clone(ops))
		return nil, fmt.Errorf("commit: %w", provider.ErrOutcomeUnknown)
	}
	return t.apply(ops)
}

// ApplyLate applies the delayed commits.
func (t *Table) ApplyLate() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.applyLate()
}

func (t *Table) applyLate() {
	for _, ops := range t.late {
		_, _ = t.apply(ops)
	}
	t.late = nil
}

func (t *Table) fault(call string) Fault {
	if t.Fault == nil {
		return None
	}
	return t.Fault(call)
}

func (t *Table) apply(ops []provider.Op) ([]uint64, error) {
	if t.rows == nil {
		t.rows = make(map[string]provider.Row)
	}
	for _, op := range ops {
		if t.rows[op.Key].Version != op.Expect {
			return nil, fmt.Errorf("commit row %q: %w", op.Key, provider.ErrConflict)
		}
	}
	versions := make([]uint64, len(ops))
	for i, op := range ops {
		switch {
		case op.Check:
			versions[i] = op.Expect
		case op.Delete:
			delete(t.rows, op.Key)
		default:
			t.lastVersion++
			versions[i] = t.lastVersion
			t.rows[op.Key] = provider.Row{Key: op.Key, Value: slices.Clone(op.Value), Version: t.lastVersion}
		}
	}
	return versions, nil
}
