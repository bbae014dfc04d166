package pool

import (
	"fmt"
	"reflect"
	"slices"
)

// Revert undoes, in current, the changes between before and after. It fails if
// one of the changed items has changed again since; current may then be partly
// reverted.
func Revert(current, before, after *Configuration) error {
	for _, part := range []func() error{
		func() error {
			return revert(&current.Organisations, before.Organisations, after.Organisations, func(o Organisation) string { return o.Name })
		},
		func() error {
			return revert(&current.Operators, before.Operators, after.Operators, func(o Operator) string { return o.Name })
		},
		func() error {
			return revert(&current.Shares, before.Shares, after.Shares, func(s Share) string { return s.Organisation + " " + string(s.Class) })
		},
		func() error {
			return revert(&current.Services, before.Services, after.Services, func(s Service) string { return s.Name })
		},
		func() error {
			return revert(&current.Objectives, before.Objectives, after.Objectives, func(o Objective) string { return o.Organisation + " " + string(o.Class) })
		},
		func() error {
			return revert(&current.Drains, before.Drains, after.Drains, func(d Drain) string { kind, name := d.Target(); return kind + " " + name })
		},
		func() error {
			return revert(&current.Capacity, before.Capacity, after.Capacity, func(a PlannedCapacity) string { return fmt.Sprint(a) })
		},
	} {
		if err := part(); err != nil {
			return err
		}
	}
	return revertLimits(current, before, after)
}

func revertLimits(current, before, after *Configuration) error {
	if after.Limits == before.Limits {
		return nil
	}
	if current.Limits != after.Limits {
		return fmt.Errorf("the limits have changed again since")
	}
	current.Limits = before.Limits
	return nil
}

// revert restores in current each item that differs between before and after.
// Items are identified by key.
func revert[T any](current *[]T, before, after []T, key func(T) string) error {
	find := func(all []T, k string) int {
		return slices.IndexFunc(all, func(t T) bool { return key(t) == k })
	}
	for _, item := range slices.Concat(before, after) {
		k := key(item)
		b, a, n := find(before, k), find(after, k), find(*current, k)
		if b >= 0 && a >= 0 && reflect.DeepEqual(before[b], after[a]) {
			continue
		}
		if b >= 0 && n >= 0 && reflect.DeepEqual(before[b], (*current)[n]) || b < 0 && n < 0 {
			continue // already reverted
		}
		if (a >= 0) != (n >= 0) || a >= 0 && !reflect.DeepEqual(after[a], (*current)[n]) {
			return fmt.Errorf("%q has changed again since", k)
		}
		switch {
		case b < 0:
			*current = slices.Delete(*current, n, n+1)
		case n < 0:
			*current = append(*current, before[b])
		default:
			(*current)[n] = before[b]
		}
	}
	return nil
}
