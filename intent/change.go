package intent

import (
	"fmt"
	"reflect"
	"slices"

	"persimmonworks.example/persimmonworks/platform"
	"persimmonworks.example/persimmonworks/pool"
)

// Apply returns the configuration that the intent leads to. It changes nothing
// of s. The error wraps ErrInvalid.
func Apply(s *State, in Intent) (pool.Configuration, error) {
	c := s.Configuration.Clone()
	var err error
	switch in.Kind {
	case AddOrganisation:
		err = addOrganisation(&c, in)
	case SetWeight, SetQuota, SetPriority:
		err = setOrganisation(&c, in)
	case DrainWorker, DrainRunner, DrainRack, DrainDataCentre:
		err = drain(s, &c, in)
	case Undrain:
		err = undrain(&c, in)
	case AddCapacity:
		err = addCapacity(&c, in)
	case Undo:
		err = undo(s, &c, in)
	default:
		err = fmt.Errorf("kind %q is unknown", in.Kind)
	}
	if err == nil {
		err = pool.Check(&c).Err()
	}
	if err == nil && reflect.DeepEqual(c, s.Configuration.Clone()) {
		err = fmt.Errorf("it changes nothing")
	}
	if err != nil {
		return c, fmt.Errorf("%w: %s on configuration %d: %w", ErrInvalid, in.Kind, s.Number, err)
	}
	return c, nil
}

func addOrganisation(c *pool.Configuration, in Intent) error {
	if in.Add == nil {
		return fmt.Errorf("the organisation to add is missing")
	}
	c.Organisations = append(c.Organisations, *in.Add)
	return nil
}

func setOrganisation(c *pool.Configuration, in Intent) error {
	o := c.Organisation(in.Organisation)
	if o == nil {
		return fmt.Errorf("organisation %q does not exist", in.Organisation)
	}
	switch in.Kind {
	case SetWeight:
		o.Weight = in.Weight
	case SetQuota:
		o.Quota = in.Quota
	default:
		setPriority(c, in)
	}
	return nil
}

func setPriority(c *pool.Configuration, in Intent) {
	for i := range c.Shares {
		if c.Shares[i].Organisation == in.Organisation && c.Shares[i].Class == in.Class {
			c.Shares[i].Priority = in.Priority
			return
		}
	}
	c.Shares = append(c.Shares, pool.Share{Organisation: in.Organisation, Class: in.Class, Priority: in.Priority})
}

func addCapacity(c *pool.Configuration, in Intent) error {
	if in.Capacity == nil {
		return fmt.Errorf("the capacity to add is missing")
	}
	c.Capacity = append(c.Capacity, *in.Capacity)
	return nil
}

func drain(s *State, c *pool.Configuration, in Intent) error {
	d := pool.Drain{Since: in.At, By: in.By}
	known := func(h Host) bool { return h.ID == in.Target }
	switch in.Kind {
	case DrainRack:
		d.Rack, known = in.Target, func(h Host) bool { return h.Rack == in.Target }
	case DrainDataCentre:
		d.DataCentre, known = in.Target, func(h Host) bool { return h.DataCentre == in.Target }
	case DrainRunner:
		d.Host, known = in.Target, func(h Host) bool { return h.ID == in.Target && h.Kind == platform.KindRunner }
	default:
		d.Host, known = in.Target, func(h Host) bool { return h.ID == in.Target && h.Kind == platform.KindWorker }
	}
	if in.Target == "" || !slices.ContainsFunc(s.Hosts, known) {
		return fmt.Errorf("no host answers to %q", in.Target)
	}
	c.Drains = append(c.Drains, d)
	return nil
}

func undrain(c *pool.Configuration, in Intent) error {
	before := len(c.Drains)
	c.Drains = slices.DeleteFunc(c.Drains, func(d pool.Drain) bool {
		_, name := d.Target()
		return name == in.Target
	})
	if len(c.Drains) == before {
		return fmt.Errorf("%q is not drained", in.Target)
	}
	return nil
}

// undo takes back what one configuration changed. It fails if a later one
// changed the same things again.
func undo(s *State, c *pool.Configuration, in Intent) error {
	if s.Undone == nil {
		return fmt.Errorf("configuration %d is not kept any more", in.Number)
	}
	b, a := &s.Undone.Before, &s.Undone.After
	err := revert(&c.Organisations, b.Organisations, a.Organisations, func(o pool.Organisation) string { return o.Name })
	if err == nil {
		err = revert(&c.Operators, b.Operators, a.Operators, func(o pool.Operator) string { return o.Name })
	}
	if err == nil {
		err = revert(&c.Shares, b.Shares, a.Shares, func(o pool.Share) string { return o.Organisation + " " + string(o.Class) })
	}
	if err == nil {
		err = revert(&c.Services, b.Services, a.Services, func(o pool.Service) string { return o.Name })
	}
	if err == nil {
		err = revert(&c.Objectives, b.Objectives, a.Objectives, func(o pool.Objective) string { return o.Organisation + " " + string(o.Class) })
	}
	if err == nil {
		err = revert(&c.Drains, b.Drains, a.Drains, func(o pool.Drain) string { kind, name := o.Target(); return kind + " " + name })
	}
	if err == nil {
		err = revert(&c.Capacity, b.Capacity, a.Capacity, func(o pool.Addition) string { return fmt.Sprint(o) })
	}
	if err == nil && a.Limits != b.Limits {
		if c.Limits != a.Limits {
			return fmt.Errorf("the limits have changed again since")
		}
		c.Limits = b.Limits
	}
	return err
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
