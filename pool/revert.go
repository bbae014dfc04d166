package pool

import (
	"fmt"
	"reflect"
	"slices"
)

// Revert takes back in now what changed from before to after. It fails, with
// now in any state, if the same things have changed again since.
func Revert(now, before, after *Configuration) error {
	for _, part := range []func() error{
		func() error {
			return revert(&now.Organisations, before.Organisations, after.Organisations, func(o Organisation) string { return o.Name })
		},
		func() error {
			return revert(&now.Operators, before.Operators, after.Operators, func(o Operator) string { return o.Name })
		},
		func() error {
			return revert(&now.Shares, before.Shares, after.Shares, func(s Share) string { return s.Organisation + " " + string(s.Class) })
		},
		func() error {
			return revert(&now.Services, before.Services, after.Services, func(s Service) string { return s.Name })
		},
		func() error {
			return revert(&now.Objectives, before.Objectives, after.Objectives, func(o Objective) string { return o.Organisation + " " + string(o.Class) })
		},
		func() error {
			return revert(&now.Drains, before.Drains, after.Drains, func(d Drain) string { kind, name := d.Target(); return kind + " " + name })
		},
		func() error {
			return revert(&now.Capacity, before.Capacity, after.Capacity, func(a Addition) string { return fmt.Sprint(a) })
		},
	} {
		if err := part(); err != nil {
			return err
		}
	}
	return revertLimits(now, before, after)
}

func revertLimits(now, before, after *Configuration) error {
	if after.Limits == before.Limits {
		return nil
	}
	if now.Limits != after.Limits {
		return fmt.Errorf("the limits have changed again since")
	}
	now.Limits = before.Limits
	return nil
}

// revert puts each item that differs between before and after back into now.
func revert[T any](now *[]T, before, after []T, key func(T) string) error {
	find := func(all []T, k string) int {
		return slices.IndexFunc(all, func(t T) bool { return key(t) == k })
	}
	for _, item := range slices.Concat(before, after) {
		k := key(item)
		b, a, n := find(before, k), find(after, k), find(*now, k)
		if b >= 0 && a >= 0 && reflect.DeepEqual(before[b], after[a]) {
			continue
		}
		if b >= 0 && n >= 0 && reflect.DeepEqual(before[b], (*now)[n]) || b < 0 && n < 0 {
			continue // put back already
		}
		if (a >= 0) != (n >= 0) || a >= 0 && !reflect.DeepEqual(after[a], (*now)[n]) {
			return fmt.Errorf("%q has changed again since", k)
		}
		switch {
		case b < 0:
			*now = slices.Delete(*now, n, n+1)
		case n < 0:
			*now = append(*now, before[b])
		default:
			(*now)[n] = before[b]
		}
	}
	return nil
}
