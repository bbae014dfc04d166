// Package changelog keeps a docket's changes in numbered rows of a table, with
// one writer at a time.
//
// The row "head" names the owner and the newest row of changes. Every
// transaction of a writer requires the head as the writer left it and rewrites
// it, so rows are numbered without gaps, a deposed writer changes nothing, and
// the outcome of a transaction whose answer was lost is found by repeating it:
// of all its copies at most one can be carried out, however late.
//
// A Replica follows the rows and holds the docket; a Writer, which a Replica
// makes by taking over, appends to them. A long log is replaced by a snapshot;
// the rows that it covers are dropped a few with each transaction.
//
// Usage:
//
//	r := changelog.Replica{Table: t}
//	err := r.Load(ctx)
//	err = r.Follow(ctx, wait)                  // again and again
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

// Failures of a changelog. Errors are wrapped; compare with errors.Is.
var (
	ErrDeposed     = errors.New("another writer has taken over")
	ErrHistoryGone = errors.New("the table no longer has the changes asked for")
)

// Page is a part of a table.
type Page struct {
	Rows    []provider.Row // by key, or by version in a feed
	More    bool           // the range has further rows
	Version uint64         // newest version of the whole store
}

// Transaction puts and drops rows if the row Require.Key has the version
// Require.Version, 0 meaning that it does not exist.
type Transaction struct {
	Require provider.Row
	Put     []provider.Row
	Drop    []string
}

// Table holds the rows of one docket. Failures are those of package provider,
// and ErrHistoryGone from Feed.
type Table interface {
	// Read returns rows with from <= key < until in order of their keys.
	Read(ctx context.Context, from, until string) (Page, error)
	// Feed returns the rows changed after a version, in order of their versions,
	// and waits for one.
	Feed(ctx context.Context, after uint64, wait time.Duration) (Page, error)
	// Commit returns the version that the transaction gave to its rows.
	Commit(ctx context.Context, t Transaction) (uint64, error)
}

// Owner says which process writes.
type Owner struct {
	Name        string
	Incarnation uint64 // Unix milliseconds of its start
	Address     string // for other processes, ip:port
	Cores       float64
}

const (
	headKey     = "head"
	entryPrefix = "row-"
	entryEnd    = "row." // follows every key that starts with entryPrefix
)

func entryKey(sequence uint64) string { return fmt.Sprintf("%s%012d", entryPrefix, sequence) }

func snapshotKey(base uint64, part uint32) string {
	return fmt.Sprintf("snapshot-%012d-%04d", base, part)
}

// ReadHead returns the head of a docket; a docket that never had an owner has an
// empty one.
func ReadHead(ctx context.Context, t Table) (*wire.DocketHead, error) {
	head, _, _, err := readHead(ctx, t)
	return head, err
}

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
		return nil, 0, 0, fmt.Errorf("read head: %w", err)
	}
	return head, page.Rows[0].Version, page.Version, nil
}
