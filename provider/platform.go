// Package provider describes the service that the users run for everything
// that has to last: a transactional table, an object store and a lagging list
// of hosts.
//
// The table is the only place where the processes of the scheduler agree. A
// Row carries a version that rises with every change; Commit changes several
// rows at once if each still has the version that the caller expects. The
// answer to a write can be lost, so there are three kinds of failure:
//
//   - ErrConflict: another writer was first, nothing changed;
//   - ErrUnavailable: the platform certainly did not take the write;
//   - ErrUnknown: the write may have taken effect. The caller reads the row
//     back and compares; it never guesses and never repeats blindly.
//
// Usage:
//
//	c := provider.Client{Address: "http://127.0.0.1:7000"}
//	versions, err := c.Commit(ctx, provider.Create("job/a/1", body))
//	if errors.Is(err, provider.ErrUnknown) {
//		row, err = c.Get(ctx, "job/a/1")
//	}
package provider

import (
	"context"
	"errors"

	"persimmonworks.example/persimmonworks/resource"
)

// Failures of the platform. Errors are wrapped; compare with errors.Is.
var (
	ErrNotFound    = errors.New("not found")
	ErrConflict    = errors.New("version conflict")
	ErrUnavailable = errors.New("platform unavailable")
	ErrUnknown     = errors.New("outcome unknown")
)

// errRejected is a request that the platform does not accept as it stands;
// nothing changed, and sending it again cannot help.
var errRejected = errors.New("request rejected")

// Row is one row of the table. Version is 0 only for a row that does not exist.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// Op is one part of a Commit. Expect is the version that the row must have,
// 0 for a row that must not exist. An Op with Check set changes nothing.
type Op struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Expect uint64 `json:"expect"`
	Delete bool   `json:"delete,omitempty"`
	Check  bool   `json:"check,omitempty"`
}

// Create writes a row that must not exist yet.
func Create(key string, value []byte) Op { return Op{Key: key, Value: value} }

// Update writes a row that must have the given version.
func Update(key string, value []byte, expect uint64) Op {
	return Op{Key: key, Value: value, Expect: expect}
}

// Remove deletes a row that must have the given version.
func Remove(key string, expect uint64) Op { return Op{Key: key, Expect: expect, Delete: true} }

// Require lets a Commit succeed only while the row has the given version.
func Require(key string, expect uint64) Op { return Op{Key: key, Expect: expect, Check: true} }

// Reader reads the table.
type Reader interface {
	// Get returns the row, or ErrNotFound.
	Get(ctx context.Context, key string) (Row, error)
	// Range returns at most limit rows whose keys start with prefix and come
	// after the key after, in order of their keys.
	Range(ctx context.Context, prefix, after string, limit int) ([]Row, error)
}

// Writer changes the table.
type Writer interface {
	// Commit applies all ops or none and returns the new version of each row.
	Commit(ctx context.Context, ops ...Op) ([]uint64, error)
}

// Table is the transactional table.
type Table interface {
	Reader
	Writer
}

// Objects is the object store. Put replaces; a Put whose answer is lost can be
// repeated, since the writers of this project never reuse a name.
type Objects interface {
	Put(ctx context.Context, name string, body []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
	Delete(ctx context.Context, name string) error
}

// HostKind tells workers from runners.
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

// HostLister returns the platform's list of hosts, which lags the truth.
type HostLister interface {
	Hosts(ctx context.Context) ([]Host, error)
}
