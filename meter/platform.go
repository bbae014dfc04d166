package meter

import (
	"context"
	"errors"
	"time"

	"persimmonworks.example/persimmonworks/platform"
)

// Table is a platform.Table whose calls are counted.
type Table struct {
	platform.Table
	Meter *Meter
}

// Objects is a platform.Objects whose calls are counted.
type Objects struct {
	platform.Objects
	Meter *Meter
}

// Hosts is a platform.HostLister whose calls are counted.
type Hosts struct {
	platform.HostLister
	Meter *Meter
}

var (
	_ platform.Table      = (*Table)(nil)
	_ platform.Objects    = (*Objects)(nil)
	_ platform.HostLister = (*Hosts)(nil)
)

// platformResult names the result of a call to the platform. A row that is not
// there is an answer.
func platformResult(err error) string {
	switch {
	case err == nil, errors.Is(err, platform.ErrNotFound):
		return ResultOK
	case errors.Is(err, platform.ErrConflict):
		return ResultConflict
	case errors.Is(err, platform.ErrUnavailable):
		return ResultUnavailable
	case errors.Is(err, platform.ErrUnknown):
		return ResultUnknown
	}
	return ResultFailed
}

func (m *Meter) platformCall(call string, begin time.Time, err error) {
	m.PlatformCall(call, platformResult(err), time.Since(begin))
}

// Get implements platform.Reader.
func (t *Table) Get(ctx context.Context, key string) (platform.Row, error) {
	begin := time.Now()
	row, err := t.Table.Get(ctx, key)
	t.Meter.platformCall("get", begin, err)
	return row, err
}

// Range implements platform.Reader.
func (t *Table) Range(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	begin := time.Now()
	rows, err := t.Table.Range(ctx, prefix, after, limit)
	t.Meter.platformCall("range", begin, err)
	return rows, err
}

// Commit implements platform.Writer.
func (t *Table) Commit(ctx context.Context, ops ...platform.Op) ([]uint64, error) {
	begin := time.Now()
	versions, err := t.Table.Commit(ctx, ops...)
	t.Meter.platformCall("commit", begin, err)
	return versions, err
}

// Put implements platform.Objects.
func (o *Objects) Put(ctx context.Context, name string, body []byte) error {
	begin := time.Now()
	err := o.Objects.Put(ctx, name, body)
	o.Meter.platformCall("object-put", begin, err)
	return err
}

// Get implements platform.Objects.
func (o *Objects) Get(ctx context.Context, name string) ([]byte, error) {
	begin := time.Now()
	body, err := o.Objects.Get(ctx, name)
	o.Meter.platformCall("object-get", begin, err)
	return body, err
}

// Delete implements platform.Objects.
func (o *Objects) Delete(ctx context.Context, name string) error {
	begin := time.Now()
	err := o.Objects.Delete(ctx, name)
	o.Meter.platformCall("object-delete", begin, err)
	return err
}

// Hosts implements platform.HostLister.
func (h *Hosts) Hosts(ctx context.Context) ([]platform.Host, error) {
	begin := time.Now()
	hosts, err := h.HostLister.Hosts(ctx)
	h.Meter.platformCall("hosts", begin, err)
	return hosts, err
}
