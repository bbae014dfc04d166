package forward

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"persimmonworks.example/persimmonworks/provider"
)

// An intent is noted in a second row, in order of time, so that it is found
// again when its key may be used anew.
const (
	intentPrefix = "request-intent/"
	agePrefix    = "request-intent-age/"
	agePage      = 100 // intents deleted in one commit
)

func ageKey(at time.Time, q *request) string {
	return fmt.Sprintf("%s%012d/%s/%s", agePrefix, at.Unix(), q.Organisation, q.key)
}

// Intents deletes the records of keyed non-idempotent requests. The field is
// set before the first call.
type Intents struct {
	Table provider.Table
}

// Expire deletes a page of the records made before a time and returns how many
// there were. After that their keys count as never used.
func (i *Intents) Expire(ctx context.Context, before time.Time) (int, error) {
	rows, err := i.Table.Range(ctx, agePrefix, "", agePage)
	if err != nil {
		return 0, fmt.Errorf("expiry of request intents: %w", err)
	}
	limit := fmt.Sprintf("%s%012d/", agePrefix, before.Unix())
	var ops []provider.Op
	expired := 0
	for _, r := range rows {
		if r.Key >= limit {
			break
		}
		expired++
		ops = append(ops, provider.Remove(r.Key, r.Version))
		_, key, _ := strings.Cut(strings.TrimPrefix(r.Key, agePrefix), "/")
		intent, err := i.Table.Get(ctx, intentPrefix+key)
		switch {
		case err == nil && string(r.Value) == requestOf(intent.Value):
			ops = append(ops, provider.Remove(intent.Key, intent.Version))
		case err != nil && !errors.Is(err, provider.ErrNotFound):
			return 0, fmt.Errorf("expiry of request intents: %w", err)
		}
	}
	if len(ops) == 0 {
		return 0, nil
	}
	if _, err := i.Table.Commit(ctx, ops...); err != nil {
		return 0, fmt.Errorf("expiry of %d request intents: %w", expired, err)
	}
	return expired, nil
}
