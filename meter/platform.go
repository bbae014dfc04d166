package meter

import (
	"context"
	"errors"
	"time"

	"persimmonworks.example/persimmonworks/provider"
)

// Table wraps a provider.Table and records its calls.
type Table struct {
	provider.Table
	Meter *Meter
}

// Objects wraps a provider.Objects and records its calls.
type Objects struct {
	provider.Objects
	Meter *Meter
}

// Hosts wraps a provider.HostLister and records its calls.
type Hosts struct {
	provider.HostLister
	Meter *Meter
}

var (
	_ provider.Table      = (*Table)(nil)
	_ provider.Objects    = (*Objects)(nil)
	_ provider.HostLister = (*Hosts)(nil)
)

// platformResult returns the result label of a call to the platform. A missing
// row counts as a successful call.
func platformResult(err error) string {
	switch {
	case err == nil, errors.Is(err, provider.ErrNotFound):
		return ResultOK
	case errors.Is(err, provider.ErrConflict):
		return ResultConflict
	case errors.Is(err, provider.ErrUnavailable):
		return ResultUnavailable
	case errors.Is(err, provider.ErrOutcomeUnknown):
		return ResultUnknown
	}
	return ResultFailed
}

func (m *Meter) platformCall(call string, begin time.Time, err error) {
	m.PlatformCall(call, platformResult(err), time.Since(begin))
}

// Get implements provider.Reader.
func (t *Table) Get(ctx context.Context, key string) (provider.Row, error) {
	begin := time.Now()
	row, err := t.Table.Get(ctx, key)
	t.Meter.platformCall("get", begin, err)
	return row, err
}

// Range implements provider.Reader.
func (t *Table) Range(ctx context.Context, prefix, after string, limit int) ([]provider.Row, error) {
	begin := time.Now()
	rows, err := t.Table.Range(ctx, prefix, after, limit)
	t.Meter.platformCall("range", begin, err)
	return rows, err
}

// Commit implements provider.Writer.
func (t *Table) Commit(ctx context.Context, ops ...provider.Op) ([]uint64, error) {
	begin := time.Now()
	versions, err := t.Table.Commit(ctx, ops...)
	t.Meter.platformCall("commit", begin, err)
	return versions, err
}

// Put implements provider.Objects.
func (o *Objects) Put(ctx context.Context, name string, body []byte) error {
	begin := time.Now()
	err := o.Objects.Put(ctx, name, body)
	o.Meter.platformCall("object-put", begin, err)
	return err
}

// Get implements provider.Objects.
func (o *Objects) Get(ctx context.Context, name string) ([]byte, error) {
	begin := time.Now()
	body, err := o.Objects.Get(ctx, name)
	o.Meter.platformCall("object-get", begin, err)
	return body, err
}

// Delete implements provider.Objects.
func (o *Objects) Delete(ctx context.Context, name string) error {
	begin := time.Now()
	err := o.Objects.Delete(ctx, name)
	o.Meter.platformCall("object-delete", begin, err)
	return err
}

// Hosts implements provider.HostLister.
func (h *Hosts) Hosts(ctx context.Context) ([]provider.Host, error) {
	begin := time.Now()
	hosts, err := h.HostLister.Hosts(ctx)
	h.Meter.platformCall("hosts", begin, err)
	return hosts, err
}
