// Package provider defines the interface of the platform and a client for it.
// The platform is the service, run by the users, that holds all durable state:
// a transactional table, an object store and a list of hosts that lags behind
// their real state.
//
// The processes of the scheduler reach agreement only through the table. A Row
// carries a version that increases with every change; Commit changes several
// rows atomically if each still has the version that the caller expects. The
// response to a write can be lost, so there are three kinds of failure:
//
//   - ErrConflict: another writer was first, and nothing changed.
//   - ErrUnavailable: the write was not applied.
//   - ErrOutcomeUnknown: the write may have been applied. The caller reads the row
//     back and compares it; it never assumes an outcome and never repeats the
//     write without that check.
//
// Usage:
//
//	c := provider.Client{Address: "http://127.0.0.1:7000"}
//	versions, err := c.Commit(ctx, provider.Create("job/a/1", body))
//	if errors.Is(err, provider.ErrOutcomeUnknown) {
//		row, err = c.Get(ctx, "job/a/1")
//	}
package provider

import (
	"context"
	"errors"

	"persimmonworks.example/persimmonworks/resource"
)

// Errors of calls to the platform. They are wrapped; test with errors.Is.
var (
	ErrNotFound       = errors.New("not found")
	ErrConflict       = errors.New("version conflict")
	ErrUnavailable    = errors.New("platform unavailable")
	ErrOutcomeUnknown = errors.New("outcome unknown")
)

// errRejected means that the platform considers the request invalid. Nothing
// changed, and a retry would fail the same way.
var errRejected = errors.New("request rejected")

// Row is one row of the table. Version is 0 only for a row that does not exist.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// Op is one operation of a Commit. Expect is the version that the row must
// have, or 0 for a row that must not exist. An Op with Check set only tests the
// version.
type Op struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Expect uint64 `json:"expect"`
	Delete bool   `json:"delete,omitempty"`
	Check  bool   `json:"check,omitempty"`
}

// Create returns an Op that writes a row that must not exist yet.
func Create(key string, value []byte) Op { return Op{Key: key, Value: value} }

// Update returns an Op that overwrites a row that must have the given version.
func Update(key string, value []byte, expect uint64) Op {
	return Op{Key: key, Value: value, Expect: expect}
}

// Remove returns an Op that deletes a row that must have the given version.
func Remove(key string, expect uint64) Op { return Op{Key: key, Expect: expect, Delete: true} }

// RequireVersion returns an Op that makes a Commit fail unless the row has the given
// version.
func RequireVersion(key string, expect uint64) Op { return Op{Key: key, Expect: expect, Check: true} }

// Reader reads the table.
type Reader interface {
	// Get returns the row with the given key, or ErrNotFound.
	Get(ctx context.Context, key string) (Row, error)
	// Range returns up to limit rows, sorted by key, whose keys start with prefix
	// and are greater than after.
	Range(ctx context.Context, prefix, after string, limit int) ([]Row, error)
}

// Writer changes the table.
type Writer interface {
	// Commit applies either all ops or none and returns the new version of each
	// row.
	Commit(ctx context.Context, ops ...Op) ([]uint64, error)
}

// Table is the transactional table.
type Table interface {
	Reader
	Writer
}

// Objects is the object store. Put overwrites an existing object. A Put whose
// response is lost can be repeated, since the scheduler's processes never reuse
// a name.
type Objects interface {
	Put(ctx context.Context, name string, body []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
	Delete(ctx context.Context, name string) error
}

// HostKind distinguishes workers from runners.
type HostKind string

// Kinds of host.
const (
	KindWorker HostKind = "worker"
	KindRunner HostKind = "runner"
)

// Host is an entry of the platform's list of hosts: a worker that runs tasks
// or a runner (an upstream) that answers the requests of a service.
type Host struct {
	ID         string          `json:"id"`
	Kind       HostKind        `json:"kind"`
	DataCentre string          `json:"data-centre"`
	Rack       string          `json:"rack"`
	Address    string          `json:"address"` // base URL
	Capacity   resource.Vector `json:"capacity"`
	Service    string          `json:"service,omitempty"` // of a runner
	Slots      int             `json:"slots,omitempty"`   // of a runner
	Leaving    bool            `json:"leaving,omitempty"`
}

// HostLister returns the platform's list of hosts, which lags behind their real
// state.
type HostLister interface {
	Hosts(ctx context.Context) ([]Host, error)
}
