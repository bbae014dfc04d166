package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"persimmonworks.example/persimmonworks/provider"
)

var _ provider.Table = (*flakyTable)(nil)

// flakyTable wraps a table. Until flakyUntil, a share of its operations fails, and
// a share of its commits fails with an unknown result after it has taken effect.
// Until unavailableUntil, all operations fail.
type flakyTable struct {
	provider.Table
	mutex            sync.Mutex
	random           *rand.Rand
	flakyUntil       time.Time
	unavailableUntil time.Time
}

// fails reports whether an operation that fails with the given probability while
// the table is flaky is to fail now.
func (t *flakyTable) fails(percent int) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := time.Now()
	return now.Before(t.unavailableUntil) || now.Before(t.flakyUntil) && t.random.IntN(100) < percent
}

func (t *flakyTable) isUnavailable() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return time.Now().Before(t.unavailableUntil)
}

func (t *flakyTable) Get(ctx context.Context, key string) (provider.Row, error) {
	time.Sleep(time.Millisecond)
	if t.fails(20) {
		return provider.Row{}, provider.ErrUnavailable
	}
	return t.Table.Get(ctx, key)
}

func (t *flakyTable) Commit(ctx context.Context, ops ...provider.Op) ([]uint64, error) {
	time.Sleep(time.Millisecond)
	if t.isUnavailable() || t.fails(20) {
		return nil, provider.ErrUnavailable
	}
	versions, err := t.Table.Commit(ctx, ops...)
	if t.fails(30) {
		return nil, provider.ErrOutcomeUnknown
	}
	return versions, err
}
