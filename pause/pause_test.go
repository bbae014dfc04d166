package pause_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"persimmonworks.example/persimmonworks/pause"
)

func TestFor(t *testing.T) {
	for _, c := range []struct {
		name       string
		wait, ends time.Duration // the context ends after ends, 0 for never
		want       bool
		took       time.Duration
	}{
		{"time passes", time.Second, 0, true, time.Second},
		{"context ends first", time.Minute, time.Second, false, time.Second},
		{"nothing to wait for", -time.Second, 0, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx := t.Context()
				if c.ends > 0 {
					limited, cancel := context.WithTimeout(ctx, c.ends)
					defer cancel()
					ctx = limited
				}
				begun := time.Now()
				if got := pause.For(ctx, c.wait); got != c.want || time.Since(begun) != c.took {
					t.Errorf("For = %v after %v, want %v after %v", got, time.Since(begun), c.want, c.took)
				}
			})
		})
	}
}
