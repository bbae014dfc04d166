package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"persimmonworks.example/persimmonworks/provider"
)

var _ provider.Table = (*bedTable)(nil)

// bedTable loses answers and refuses writes until a time.
type bedTable struct {
	provider.Table
	mutex  sync.Mutex
	random *rand.Rand
	until  time.Time
	away   time.Time
}

func (t *bedTable) chance(percent int) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := time.Now()
	return now.Before(t.away) || now.Before(t.until) && t.random.IntN(100) < percent
}

func (t *bedTable) isAway() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return time.Now().Before(t.away)
}

func (t *bedTable) Get(ctx context.Context, key string) (provider.Row, error) {
	time.Sleep(time.Millisecond)
	if t.chance(20) {
		return provider.Row{}, provider.ErrUnavailable
	}
	return t.Table.Get(ctx, key)
}

func (t *bedTable) Commit(ctx context.Context, ops ...provider.Op) ([]uint64, error) {
	time.Sleep(time.Millisecond)
	if t.isAway() || t.chance(20) {
		return nil, provider.ErrUnavailable
	}
	versions, err := t.Table.Commit(ctx, ops...)
	if t.chance(30) {
		return nil, provider.ErrUnknown
	}
	return versions, err
}
