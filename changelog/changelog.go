// Package changelog implements the log of a docket's entries, in numbered rows of a
// table in the store, with one writer at a time.
//
// The row "head" names the owner and the newest row of entries. Every transaction of a
// writer requires the version of the head that the writer last wrote, and rewrites the
// head. Therefore rows are numbered without gaps, a deposed writer cannot change
// anything, and the outcome of a transaction whose answer was lost is found by repeating
// it: at most one of its copies takes effect, however late they arrive.
//
// A Replica follows the rows and holds the docket. A Writer, which Replica.TakeOver
// returns, appends rows. A long log is replaced by a snapshot; each later transaction
// drops a few of the rows that the snapshot covers.
//
// Usage:
//
//	r := changelog.Replica{Table: t}
//	err := r.Load(ctx)
//	err = r.Follow(ctx, wait)                  // repeatedly
//	w, err := r.TakeOver(ctx, changelog.Owner{Name: "e1", Incarnation: n, Address: a})
//	err = w.Append(ctx, entries)               // ErrDeposed: another writer took over
package changelog

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"persimmonworks.example/persimmonworks/provider"
	"persimmonworks.example/persimmonworks/wire"
)

// Errors of a changelog. They are wrapped; compare with errors.Is.
var (
	ErrDeposed     = errors.New("another writer has taken over")
	ErrHistoryGone = errors.New("the table no longer has the requested changes")
)

// Page is a part of the rows of a table.
type Page struct {
	Rows    []provider.Row // in order of keys, or of versions in a feed
	More    bool           // whether the range has further rows
	Version uint64         // newest version of the whole store
}

// Transaction writes the rows Put and deletes the keys Drop if the row Require.Key has
// the version Require.Version, and no row has a key of Absent. Version 0 means that the row
// must not exist.
type Transaction struct {
	Require provider.Row
	Absent  []string
	Put     []provider.Row
	Drop    []string
}

// Table holds the rows of one docket. Its errors are those of package provider; Feed may
// also return ErrHistoryGone.
type Table interface {
	// Read returns the rows with from <= key < until, in order of their keys.
	Read(ctx context.Context, from, until string) (Page, error)
	// Feed returns the rows changed after a version, in order of their versions. If
	// there are none, it waits for one for up to wait.
	Feed(ctx context.Context, after uint64, wait time.Duration) (Page, error)
	// Commit carries out a transaction and returns the version that it gave to its rows.
	Commit(ctx context.Context, t Transaction) (uint64, error)
}

// Owner identifies the process that becomes the writer.
type Owner struct {
	Name        string
	Incarnation uint64 // start of the process, Unix milliseconds
	Address     string // ip:port for other processes
	Cores       float64
}

const (
	headKey   = "head"
	rowPrefix = "row-"
	rowEnd    = "row." // greater than every key that starts with rowPrefix
)

func rowKey(sequence uint64) string { return fmt.Sprintf("%s%012d", rowPrefix, sequence) }

func snapshotKey(base uint64, part uint32) string {
	return fmt.Sprintf("snapshot-%012d-%04d", base, part)
}

// ReadHead returns the head of a docket. It is empty if the docket never had an owner.
func ReadHead(ctx context.Context, t Table) (*wire.DocketHead, error) {
	head, _, _, err := readHead(ctx, t)
	return head, err
}

// readHead returns the head, its version, and the newest version of the store.
func readHead(ctx context.Context, t Table) (*wire.DocketHead, uint64, uint64, error) {
	page, err := t.Read(ctx, headKey, headKey+"\x00")
	if err != nil {
		return nil, 0, 0, fmt.Errorf("read head: %w", err)
	}
	head := &wire.DocketHead{}
	if len(page.Rows) == 0 {
		return head, 0, page.Version, nil
	}
	if err := proto.Unmarshal(page.Rows[0].Value, head); err != nil {
		return nil, 0, 0, fmt.Errorf("decode head: %w", err)
	}
	return head, page.Rows[0].Version, page.Version, nil
}
