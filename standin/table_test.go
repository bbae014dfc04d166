package standin

import (
	"errors"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"persimmonworks.example/persimmonworks/provider"
)

// tableModel compares a Table with a plain map. Dead holds, for each key, the
// highest version that it ever had.
type tableModel struct {
	table Table
	rows  map[string]provider.Row
	dead  map[string]uint64
}

func drawKey(t *rapid.T) string {
	return rapid.StringMatching(`[ab]/[a-c]{0,2}`).Draw(t, "key")
}

// op draws an op that mostly names the right version.
func (m *tableModel) op(t *rapid.T) provider.Op {
	key := drawKey(t)
	expect := m.rows[key].Version
	if rapid.IntRange(0, 9).Draw(t, "stale") == 0 {
		expect = rapid.SampledFrom([]uint64{0, m.dead[key], expect + 1}).Draw(t, "expect")
	}
	value := []byte(rapid.StringN(0, 4, -1).Draw(t, "value"))
	return rapid.SampledFrom([]provider.Op{
		provider.Update(key, value, expect),
		provider.Remove(key, expect),
		provider.RequireVersion(key, expect),
	}).Draw(t, "op")
}

func (m *tableModel) commit(t *rapid.T) {
	var ops []provider.Op
	valid := true
	for range rapid.IntRange(1, 4).Draw(t, "ops") {
		op := m.op(t)
		if slices.ContainsFunc(ops, func(o provider.Op) bool { return o.Key == op.Key }) {
			continue
		}
		valid = valid && op.Expect == m.rows[op.Key].Version
		ops = append(ops, op)
	}
	versions, err := m.table.Commit(t.Context(), ops...)
	if !valid {
		if !errors.Is(err, provider.ErrConflict) {
			t.Fatalf("commit of %+v: %v, want a conflict", ops, err)
		}
		return
	}
	if err != nil {
		t.Fatalf("commit of %+v: %v", ops, err)
	}
	for i, op := range ops {
		m.apply(t, op, versions[i])
	}
}

func (m *tableModel) apply(t *rapid.T, op provider.Op, version uint64) {
	switch {
	case op.Check:
		if version != op.Expect {
			t.Fatalf("check of %q changed version %d to %d", op.Key, op.Expect, version)
		}
	case op.Delete:
		if version != 0 {
			t.Fatalf("deleted row %q has version %d", op.Key, version)
		}
		delete(m.rows, op.Key)
	default:
		if version <= m.dead[op.Key] {
			t.Fatalf("version %d of %q was used before (up to %d)", version, op.Key, m.dead[op.Key])
		}
		m.dead[op.Key] = version
		m.rows[op.Key] = provider.Row{Key: op.Key, Value: op.Value, Version: version}
	}
}

func (m *tableModel) get(t *rapid.T) {
	key := drawKey(t)
	row, err := m.table.Get(t.Context(), key)
	want, exists := m.rows[key]
	if exists != (err == nil) || (err != nil && !errors.Is(err, provider.ErrNotFound)) {
		t.Fatalf("row %q: %v, exists %v", key, err, exists)
	}
	if diff := cmp.Diff(want, row); diff != "" {
		t.Fatalf("row %q: %s", key, diff)
	}
}

func (m *tableModel) scan(t *rapid.T) {
	prefix := rapid.SampledFrom([]string{"", "a/", "b/a"}).Draw(t, "prefix")
	after := rapid.SampledFrom([]string{"", "a/b", "b/ab", "c"}).Draw(t, "after")
	limit := rapid.IntRange(0, 5).Draw(t, "limit")
	want := []provider.Row{}
	for _, key := range slices.Sorted(maps.Keys(m.rows)) {
		if strings.HasPrefix(key, prefix) && key > after && len(want) < limit {
			want = append(want, m.rows[key])
		}
	}
	rows, err := m.table.Range(t.Context(), prefix, after, limit)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, rows); diff != "" {
		t.Fatalf("range of %q after %q: %s", prefix, after, diff)
	}
}

func TestTableAgainstMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := tableModel{rows: make(map[string]provider.Row), dead: make(map[string]uint64)}
		t.Repeat(map[string]func(*rapid.T){"commit": m.commit, "get": m.get, "range": m.scan})
	})
}

// A commit that names a row twice could expect only one of its two versions.
func TestCommitRefusesARowNamedTwice(t *testing.T) {
	var table Table
	if _, err := table.Commit(t.Context(), provider.Create("a", nil), provider.Create("a", nil)); err == nil {
		t.Fatal("commit passed")
	}
	if _, err := table.Get(t.Context(), "a"); !errors.Is(err, provider.ErrNotFound) {
		t.Fatalf("row: %v", err)
	}
}
