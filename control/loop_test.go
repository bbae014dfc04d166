package control

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"

	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"
)

// Callers cancel and the loop stops at arbitrary times. A function for which Do
// returns nil must have run once, one for which Do returns the cancellation must
// never run, and no two functions may run at the same time.
func TestDo(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cancels := rapid.SliceOfN(rapid.Bool(), 1, 20).Draw(rt, "give-up")
		stopEarly := rapid.Bool().Draw(rt, "stop-early")
		var failures []string
		synctest.Test(t, func(t *testing.T) {
			l := New()
			ctx, stop := context.WithCancel(t.Context())
			var group errgroup.Group
			runs := make([]int, len(cancels)) // owned by the loop
			results := make([]error, len(cancels))
			running := false
			for i, cancelled := range cancels {
				caller, cancel := context.WithCancel(t.Context())
				group.Go(func() error {
					results[i] = l.Do(caller, func() {
						if running {
							failures = append(failures, "two functions at the same time")
						}
						running = true
						runs[i]++
						running = false
					})
					return nil
				})
				if cancelled {
					synctest.Wait()
					cancel()
				}
				defer cancel()
			}
			synctest.Wait()
			if stopEarly {
				stop()
			}
			group.Go(func() error { return l.Run(ctx) })
			synctest.Wait()
			stop()
			if err := group.Wait(); err != nil {
				failures = append(failures, err.Error())
			}
			for i, err := range results {
				switch {
				case err == nil && runs[i] != 1:
					failures = append(failures, "Do returned nil, but the function did not run once")
				case errors.Is(err, context.Canceled) && runs[i] != 0:
					failures = append(failures, "Do returned the cancellation, but the function ran")
				case runs[i] > 1:
					failures = append(failures, "ran twice")
				case cancels[i] != errors.Is(err, context.Canceled):
					failures = append(failures, "the cancellation of the caller and the result of Do differ")
				}
			}
			if err := l.Do(t.Context(), func() {}); !errors.Is(err, ErrStopped) {
				failures = append(failures, "a stopped loop accepted a function")
			}
		})
		if len(failures) > 0 {
			rt.Fatal(failures)
		}
	})
}
