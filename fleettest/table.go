// Package fleettest holds stand-ins for the store, the workers and the advisory
// service, in memory, with the faults that the real ones have and a ledger that
// judges what the scheduler did.
//
// Everything runs on the clock of package time, so tests use testing/synctest
// and simulate minutes in milliseconds.
//
// Usage:
//
//	f := fleettest.New(8, 16000, 32768)
//	c := &cell.Cell{Orders: f, Fleet: f, ...}
//	f.Worker(3).Crash()
//	for _, fault := range f.Broken() { t.Error(fault) }
package fleettest

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"persimmonworks.example/persimmonworks/changelog"
	"persimmonworks.example/persimmonworks/pause"
	"persimmonworks.example/persimmonworks/provider"
)

const (
	answerTime  = 9 * time.Millisecond // of the store
	pageRows    = 500
	callTimeout = 900 * time.Millisecond // after which a call without an answer fails
)

// Table is a table of the store, or one process's way to it. Set the faults at
// any time.
type Table struct {
	mu      sync.Mutex
	shared  *Table // set for a way to another table
	rows    map[string]provider.Row
	version uint64
	history uint64 // changes up to it are forgotten
	changed chan struct{}
	away    bool
	lose    int           // answers of commits to lose
	late    time.Duration // lost commits are carried out so much later
	commits int
	calls   int           // commits that were called
	hang    int           // commits to leave without an answer
	slow    time.Duration // time of a call; commits take it one after the other
	page    int           // rows of a page, pageRows if 0
	turn    chan struct{} // holds one value while no slow commit is carried out
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{rows: map[string]provider.Row{}, changed: make(chan struct{}), turn: make(chan struct{}, 1)}
	t.turn <- struct{}{}
	return t
}

// Path returns a way to the table that can be away by itself.
func (t *Table) Path() *Table { return &Table{shared: t} }

// SetAway makes the table answer nothing, or answer again.
func (t *Table) SetAway(away bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.away = away
}

// LoseAnswers loses the answers of the next commits, which are carried out so
// much later if their condition still holds.
func (t *Table) LoseAnswers(commits int, late time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lose, t.late = commits, late
}

// HangCommits leaves the next commits without an answer; they are not carried out.
func (t *Table) HangCommits(commits int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hang = commits
}

// SetSlow makes each call take a time, and commits take it one after the other.
func (t *Table) SetSlow(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.slow = d
}

// SetPage sets how many rows a page has.
func (t *Table) SetPage(rows int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.page = rows
}

// CommitCalls returns how many commits were called, carried out or not.
func (t *Table) CommitCalls() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.calls
}

// ForgetHistory makes feeds start anew.
func (t *Table) ForgetHistory() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.version++
	t.history = t.version
}

// Commits returns how many commits were carried out.
func (t *Table) Commits() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.commits
}

// Rows returns how many rows there are.
func (t *Table) Rows() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.rows)
}

func (t *Table) reach(ctx context.Context) error {
	t.mu.Lock()
	away, takes := t.away, max(answerTime, t.slow)
	t.mu.Unlock()
	if away {
		pause.For(ctx, callTimeout)
		return fmt.Errorf("%w: no answer", provider.ErrOutcomeUnknown)
	}
	select {
	case <-time.After(takes):
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", provider.ErrOutcomeUnknown, ctx.Err())
	}
}

// Read implements changelog.Table.
func (t *Table) Read(ctx context.Context, from, until string) (changelog.Page, error) {
	if err := t.reach(ctx); err != nil {
		return changelog.Page{}, err
	}
	if t.shared != nil {
		return t.shared.Read(ctx, from, until)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p := changelog.Page{Version: t.version}
	for key, row := range t.rows {
		if key >= from && key < until {
			p.Rows = append(p.Rows, row)
		}
	}
	slices.SortFunc(p.Rows, func(a, b provider.Row) int { return strings.Compare(a.Key, b.Key) })
	most := t.page
	if most == 0 {
		most = pageRows
	}
	if len(p.Rows) > most {
		p.Rows, p.More = p.Rows[:most], true
	}
	return p, nil
}

// Feed implements changelog.Table.
func (t *Table) Feed(ctx context.Context, after uint64, wait time.Duration) (changelog.Page, error) {
	if err := t.reach(ctx); err != nil {
		return changelog.Page{}, err
	}
	if t.shared != nil {
		return t.shared.Feed(ctx, after, wait)
	}
	end := time.After(wait)
	for {
		t.mu.Lock()
		if after < t.history {
			t.mu.Unlock()
			return changelog.Page{}, changelog.ErrHistoryGone
		}
		p := changelog.Page{Version: t.version}
		for _, row := range t.rows {
			if row.Version > after {
				p.Rows = append(p.Rows, row)
			}
		}
		changed := t.changed
		t.mu.Unlock()
		slices.SortFunc(p.Rows, func(a, b provider.Row) int { return int(a.Version) - int(b.Version) })
		if len(p.Rows) > 0 {
			return p, nil
		}
		select {
		case <-changed:
		case <-end:
			return p, nil
		case <-ctx.Done():
			return changelog.Page{}, fmt.Errorf("%w: %w", provider.ErrOutcomeUnknown, ctx.Err())
		}
	}
}

// Commit implements changelog.Table.
func (t *Table) Commit(ctx context.Context, x changelog.Transaction) (uint64, error) {
	if t.shared == nil {
		if slow := t.noteCall(); slow > 0 {
			return t.commitSlowly(ctx, x, slow)
		}
	}
	if err := t.reach(ctx); err != nil {
		return 0, err
	}
	if t.shared != nil {
		return t.shared.Commit(ctx, x)
	}
	if t.takeHang() {
		<-ctx.Done()
		return 0, fmt.Errorf("%w: %w", provider.ErrOutcomeUnknown, ctx.Err())
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lose > 0 {
		t.lose--
		if t.late == 0 {
			_, _ = t.apply(x) // whether it succeeds is what the caller has to find out
		} else {
			time.AfterFunc(t.late, func() {
				t.mu.Lock()
				defer t.mu.Unlock()
				_, _ = t.apply(x) // as above
			})
		}
		return 0, provider.ErrOutcomeUnknown
	}
	return t.apply(x)
}

func (t *Table) takeHang() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.hang == 0 {
		return false
	}
	t.hang--
	return true
}

func (t *Table) noteCall() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls++
	return t.slow
}

// commitSlowly carries the transaction out in its turn, also if the caller has left.
func (t *Table) commitSlowly(ctx context.Context, x changelog.Transaction, takes time.Duration) (uint64, error) {
	type result struct {
		version uint64
		err     error
	}
	done := make(chan result, 1)
	var group errgroup.Group
	group.Go(func() error {
		<-t.turn
		defer func() { t.turn <- struct{}{} }()
		time.Sleep(takes)
		t.mu.Lock()
		defer t.mu.Unlock()
		version, err := t.apply(x)
		done <- result{version, err}
		return nil
	})
	select {
	case r := <-done:
		return r.version, r.err
	case <-ctx.Done():
		return 0, fmt.Errorf("%w: %w", provider.ErrOutcomeUnknown, ctx.Err())
	}
}

// apply needs the lock.
func (t *Table) apply(x changelog.Transaction) (uint64, error) {
	if t.rows[x.Require.Key].Version != x.Require.Version {
		return 0, provider.ErrConflict
	}
	for _, key := range x.Absent {
		if _, ok := t.rows[key]; ok {
			return 0, provider.ErrConflict
		}
	}
	t.version++
	t.commits++
	for _, row := range x.Put {
		row.Version = t.version
		t.rows[row.Key] = row
	}
	for _, key := range x.Drop {
		delete(t.rows, key)
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return t.version, nil
}
