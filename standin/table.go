package standin

import (
	"context"
	"fmt"
	"strings"
	"sync"

	"github.com/google/btree"

	"persimmonworks.example/persimmonworks/provider"
)

const tableDegree = 32 // of the B-tree

// Table is a transactional table in memory. A version is the number of the
// commit that wrote the row, counted over the whole table, so that a row that
// was deleted and created anew never has an old version. The zero value is
// empty and ready; it is safe for concurrent use.
type Table struct {
	mutex   sync.RWMutex
	rows    *btree.BTreeG[provider.Row]
	version uint64
}

var _ provider.Table = (*Table)(nil)

// Get returns the row, or provider.ErrNotFound.
func (t *Table) Get(_ context.Context, key string) (provider.Row, error) {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	row, found := t.row(key)
	if !found {
		return provider.Row{}, fmt.Errorf("row %q: %w", key, provider.ErrNotFound)
	}
	return row, nil
}

// Range returns at most limit rows whose keys start with prefix and come after
// the key after.
func (t *Table) Range(_ context.Context, prefix, after string, limit int) ([]provider.Row, error) {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	rows := []provider.Row{}
	if t.rows == nil || limit <= 0 {
		return rows, nil
	}
	t.rows.AscendGreaterOrEqual(provider.Row{Key: max(prefix, after)}, func(row provider.Row) bool {
		if !strings.HasPrefix(row.Key, prefix) {
			return false
		}
		if row.Key > after || (after == "" && row.Key == "") {
			rows = append(rows, row)
		}
		return len(rows) < limit
	})
	return rows, nil
}

// Commit applies all ops or none. The error is provider.ErrConflict when a row
// has another version than expected; a commit that names a row twice is
// invalid.
func (t *Table) Commit(_ context.Context, ops ...provider.Op) ([]uint64, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if err := t.check(ops); err != nil {
		return nil, err
	}
	if t.rows == nil {
		t.rows = btree.NewG(tableDegree, func(a, b provider.Row) bool { return a.Key < b.Key })
	}
	t.version++
	versions := make([]uint64, len(ops))
	for i, op := range ops {
		switch {
		case op.Check:
			versions[i] = op.Expect
		case op.Delete:
			t.rows.Delete(provider.Row{Key: op.Key})
		default:
			t.rows.ReplaceOrInsert(provider.Row{Key: op.Key, Value: append([]byte{}, op.Value...), Version: t.version})
			versions[i] = t.version
		}
	}
	return versions, nil
}

func (t *Table) check(ops []provider.Op) error {
	named := make(map[string]bool, len(ops))
	for _, op := range ops {
		if named[op.Key] {
			return fmt.Errorf("commit names row %q twice; join its ops into one", op.Key)
		}
		named[op.Key] = true
		row, _ := t.row(op.Key)
		if row.Version != op.Expect {
			return fmt.Errorf("row %q has version %d, not %d: %w", op.Key, row.Version, op.Expect, provider.ErrConflict)
		}
	}
	return nil
}

func (t *Table) row(key string) (provider.Row, bool) {
	if t.rows == nil {
		return provider.Row{}, false
	}
	return t.rows.Get(provider.Row{Key: key})
}
