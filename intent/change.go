package intent

import (
	"fmt"
	"reflect"
	"slices"

	"persimmonworks.example/persimmonworks/pool"
	"persimmonworks.example/persimmonworks/provider"
)

// Apply returns the configuration that results from the intent. It does not
// modify s. The error wraps ErrInvalid.
func Apply(s *State, in Intent) (pool.Configuration, error) {
	c := s.Configuration.Clone()
	var err error
	switch in.Kind {
	case AddOrganisation:
		err = addOrganisation(&c, in)
	case SetWeight, SetQuota, SetPriority, SetTokens:
		err = setOrganisation(&c, in)
	case SetObjective:
		err = upsert(&c.Objectives, in.Objective, func(o pool.Objective) string { return o.Organisation + " " + string(o.Class) })
	case SetOperator:
		err = setOperator(&c, in)
	case SetService:
		err = upsert(&c.Services, in.Service, func(o pool.Service) string { return o.Name })
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
	case SetTokens:
		o.TokenHashes = slices.Clone(in.TokenHashes)
	default:
		setPriority(c, in)
	}
	return nil
}

// setOperator adds or replaces an operator. It refuses a change that leaves
// nobody who can confirm plans, since no plan could then restore one.
func setOperator(c *pool.Configuration, in Intent) error {
	if err := upsert(&c.Operators, in.Operator, func(o pool.Operator) string { return o.Name }); err != nil {
		return err
	}
	if !slices.ContainsFunc(c.Operators, func(o pool.Operator) bool { return o.Role == pool.RoleOperator }) {
		return fmt.Errorf("nobody with the role %q would be left", pool.RoleOperator)
	}
	return nil
}

// upsert adds an item, or replaces the one with the same key.
func upsert[T any](all *[]T, item *T, key func(T) string) error {
	if item == nil {
		return fmt.Errorf("what to set is missing")
	}
	i := slices.IndexFunc(*all, func(t T) bool { return key(t) == key(*item) })
	if i < 0 {
		*all = append(*all, *item)
	} else {
		(*all)[i] = *item
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
	matches := func(h Host) bool { return h.ID == in.Target }
	switch in.Kind {
	case DrainRack:
		d.Rack, matches = in.Target, func(h Host) bool { return h.Rack == in.Target }
	case DrainDataCentre:
		d.DataCentre, matches = in.Target, func(h Host) bool { return h.DataCentre == in.Target }
	case DrainRunner:
		d.Host, matches = in.Target, func(h Host) bool { return h.ID == in.Target && h.Kind == provider.KindRunner }
	default:
		d.Host, matches = in.Target, func(h Host) bool { return h.ID == in.Target && h.Kind == provider.KindWorker }
	}
	if in.Target == "" || !slices.ContainsFunc(s.Hosts, matches) {
		return fmt.Errorf("no host answers to %q", in.Target)
	}
	c.Drains = append(c.Drains, d)
	return nil
}

func undrain(c *pool.Configuration, in Intent) error {
	count := len(c.Drains)
	c.Drains = slices.DeleteFunc(c.Drains, func(d pool.Drain) bool {
		_, name := d.Target()
		return name == in.Target
	})
	if len(c.Drains) == count {
		return fmt.Errorf("%q is not drained", in.Target)
	}
	return nil
}

// undo reverts the changes that one configuration made. It fails if a later
// configuration has changed the same items again.
func undo(s *State, c *pool.Configuration, in Intent) error {
	if s.Undone == nil {
		return fmt.Errorf("configuration %d is not kept any more", in.Number)
	}
	return pool.Revert(c, &s.Undone.Before, &s.Undone.After)
}
