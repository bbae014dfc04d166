package control

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"

	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"
)

// Every function that Do reports as run has run, every one that it reports as
// given up has not and never will, and no two run at the same time, whichever
// callers give up and whenever the loop stops.
func TestDo(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		giveUp := rapid.SliceOfN(rapid.Bool(), 1, 20).Draw(rt, "give-up")
		stopEarly := rapid.Bool().Draw(rt, "stop-early")
		var wrong []string
		synctest.Test(t, func(t *testing.T) {
			l := New()
			ctx, stop := context.WithCancel(t.Context())
			var group errgroup.Group
			ran := make([]int, len(giveUp)) // owned by the loop
			results := make([]error, len(giveUp))
			inside := false
			for i, gives := range giveUp {
				caller, leave := context.WithCancel(t.Context())
				group.Go(func() error {
					results[i] = l.Do(caller, func() {
						if inside {
							wrong = append(wrong, "two functions at the same time")
						}
						inside = true
						ran[i]++
						inside = false
					})
					return nil
				})
				if gives {
					synctest.Wait()
					leave()
				}
				defer leave()
			}
			synctest.Wait()
			if stopEarly {
				stop()
			}
			group.Go(func() error { return l.Run(ctx) })
			synctest.Wait()
			stop()
			if err := group.Wait(); err != nil {
				wrong = append(wrong, err.Error())
			}
			for i, err := range results {
				switch {
				case err == nil && ran[i] != 1:
					wrong = append(wrong, "reported as run, but was not")
				case errors.Is(err, context.Canceled) && ran[i] != 0:
					wrong = append(wrong, "reported as given up, but ran")
				case ran[i] > 1:
					wrong = append(wrong, "ran twice")
				case giveUp[i] != errors.Is(err, context.Canceled):
					wrong = append(wrong, "not given up as asked")
				}
			}
			if err := l.Do(t.Context(), func() {}); !errors.Is(err, ErrStopped) {
				wrong = append(wrong, "a stopped loop took a function")
			}
		})
		if len(wrong) > 0 {
			rt.Fatal(wrong)
		}
	})
}
