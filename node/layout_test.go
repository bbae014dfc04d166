package node

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"persimmonworks.example/persimmonworks/changelog"
	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/fleettest"
	"persimmonworks.example/persimmonworks/layout"
	"persimmonworks.example/persimmonworks/pause"
	"persimmonworks.example/persimmonworks/provider"
)

// deafTable is a table whose feed tells of no change, or has no history.
type deafTable struct {
	changelog.Table
	gone  bool
	calls int
}

func (t *deafTable) Read(ctx context.Context, from, until string) (changelog.Page, error) {
	t.calls++
	return t.Table.Read(ctx, from, until)
}

func (t *deafTable) Feed(ctx context.Context, after uint64, wait time.Duration) (changelog.Page, error) {
	t.calls++
	if t.gone {
		return changelog.Page{}, changelog.ErrHistoryGone
	}
	pause.For(ctx, wait)
	return changelog.Page{Version: after}, ctx.Err()
}

// followStored runs a node that follows a stored layout through a deaf table for a while
// in a bubble, in which the layout is changed once. It returns the node.
func followStored(t *testing.T, table *deafTable, during time.Duration) *Node {
	t.Helper()
	table.Table = fleettest.NewTable()
	n := &Node{Log: &event.Log{Writer: io.Discard}, Tables: func(string) changelog.Table { return table }}
	n.Prepare()
	first, _ := layout.New(400, []float64{1, 1}).Assign(map[string]int{"r-0": 200, "r-1": 200})
	store := func(l *layout.Layout) {
		if err := n.storeLayout(t.Context(), l, n.layoutVersion); err != nil {
			t.Fatal(err)
		}
	}
	store(first)
	if known, err := n.readLayout(t.Context()); !known || err != nil {
		t.Fatalf("layout known %v: %v", known, err)
	}
	next, changed := first.Assign(map[string]int{"r-0": 200, "r-1": 200, "r-2": 12})
	if !changed {
		t.Fatal("a new rack did not change the layout")
	}
	store(next)
	ctx, cancel := context.WithCancel(t.Context())
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return n.followLayout(ctx) })
	time.Sleep(during)
	cancel()
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
	return n
}

// A change of the layout whose notice was missed was noticed only with the next change,
// and the workers of a new rack stayed without work until then.
func TestMissedChangeOfLayoutIsFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := followStored(t, &deafTable{}, time.Minute)
		if l, _ := n.currentLayout(); !hasRack(l, "r-2") {
			t.Error("the change is not known after a minute")
		}
	})
}

// A layout table whose history was gone again right after it was read was read over and
// over without a pause.
func TestLayoutIsNotReadWithoutPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const during = 2 * time.Second
		table := &deafTable{gone: true}
		n := followStored(t, table, during)
		if l, _ := n.currentLayout(); !hasRack(l, "r-2") {
			t.Error("the change is not known")
		}
		if most := int(2 * (during/layoutRetry + 2)); table.calls > most {
			t.Errorf("%d calls in %v, want %d at most", table.calls, during, most)
		}
	})
}

func hasRack(l *layout.Layout, rack string) bool {
	_, ok := l.RackDocket(rack)
	return ok
}

// Rows of hosts that cannot be read at the end of a page made the same page be read for ever.
func TestCoresBehindUnreadableHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := fleettest.NewTable()
		table.SetPage(2)
		table.SetSlow(time.Millisecond)
		for _, h := range []struct{ key, value string }{{"a", "\xff"}, {"b", "\xff"}, {"c", ""}} {
			if _, err := table.Commit(t.Context(), changelog.Transaction{
				Require: provider.Row{Key: h.key}, Put: []provider.Row{{Key: h.key, Value: []byte(h.value)}},
			}); err != nil {
				t.Fatal(err)
			}
		}
		n := &Node{Tables: func(string) changelog.Table { return table }, Log: &event.Log{Writer: io.Discard}}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		if cores := n.knownCores(ctx); len(cores) != 1 || ctx.Err() != nil {
			t.Errorf("cores %v, %v, want those of the last host", cores, ctx.Err())
		}
	})
}
