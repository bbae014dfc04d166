package forward

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"persimmonworks.example/persimmonworks/provider"
)

// Each intent has a second row whose key starts with its time, so that expired
// intents can be found by a range read in order of time.
const (
	intentPrefix    = "request-intent/"
	intentAgePrefix = "request-intent-age/"
	expirePageSize  = 100 // maximum number of intents deleted in one commit
)

func intentAgeKey(at time.Time, q *request) string {
	return fmt.Sprintf("%s%012d/%s/%s", intentAgePrefix, at.Unix(), q.Organisation, q.key)
}

// IntentExpirer deletes expired records of non-idempotent requests with an idempotency
// key. The field must be set before the first call.
type IntentExpirer struct {
	Table provider.Table
}

// Expire deletes up to one page of the records created before a time and returns
// their number. Their keys then count as never used.
func (i *IntentExpirer) Expire(ctx context.Context, before time.Time) (int, error) {
	rows, err := i.Table.Range(ctx, intentAgePrefix, "", expirePageSize)
	if err != nil {
		return 0, fmt.Errorf("expiry of request intents: %w", err)
	}
	limit := fmt.Sprintf("%s%012d/", intentAgePrefix, before.Unix())
	var ops []provider.Op
	expired := 0
	for _, r := range rows {
		if r.Key >= limit {
			break
		}
		expired++
		ops = append(ops, provider.Remove(r.Key, r.Version))
		_, key, _ := strings.Cut(strings.TrimPrefix(r.Key, intentAgePrefix), "/")
		intent, err := i.Table.Get(ctx, intentPrefix+key)
		switch {
		case err == nil && string(r.Value) == intentRequestID(intent.Value):
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
