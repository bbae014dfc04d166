// Package pause waits for a time or for the end of a context, whichever comes first.
//
// Usage:
//
//	for ctx.Err() == nil {
//		try(ctx)
//		pause.For(ctx, retryDelay)
//	}
package pause

import (
	"context"
	"time"
)

// For waits until d has passed or ctx has ended, and reports whether ctx goes on. A d of 0
// or less does not wait.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
