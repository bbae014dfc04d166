// Package organisation holds what the operators' configuration says of those who share
// the pool: their keys, their weights and the limits of what they may have running.
//
// A Set is built once for each version of the configuration and never changes, so it may
// be read from any goroutine. It holds digests of keys, never the keys themselves, so that
// no log line, metric or error made from it can show one.
//
// Usage:
//
//	set, findings := organisation.NewSet([]organisation.Declaration{{Name: "press", Weight: 4, Keys: keys}})
//	o, ok := set.ByKey(key)
//	if ok && o.Limited() { ... o.Limit() ... }
package organisation

import (
	"crypto/sha256"
	"fmt"
	"maps"
	"math"
	"slices"

	"persimmonworks.example/persimmonworks/resource"
)

// Declaration is what a configuration says of one organisation.
type Declaration struct {
	Name   string
	Weight float64         // share of the pool when all of it is wanted, relative to the others'
	Limit  resource.Vector // of what runs at the same time; 0 for no limit of that resource
	Keys   []string
}

// Organisation is one of those who share the pool.
type Organisation struct {
	name   string
	weight float64
	limit  resource.Vector
}

// Name returns the organisation's name.
func (o *Organisation) Name() string { return o.name }

// Weight returns the share of the pool that the organisation gets when all of it is wanted,
// relative to the weights of the others. It is above 0.
func (o *Organisation) Weight() float64 { return o.weight }

// Limit returns what the tasks of the organisation may take at the same time over all
// workers. A resource of which the amount is 0 has no limit.
func (o *Organisation) Limit() resource.Vector { return o.limit }

// Limited reports whether any resource has a limit.
func (o *Organisation) Limited() bool { return !o.limit.IsZero() }

// defaultWeight is that of an organisation whose configuration gives none.
const defaultWeight = 1

type digest [sha256.Size]byte

// Set is all organisations of one version of the configuration. The nil Set has none, and
// calls need no key then.
type Set struct {
	byName map[string]*Organisation
	byKey  map[digest]*Organisation
}

// Finding is a part of a declaration that cannot be used. It never names a key.
type Finding struct {
	Organisation string // empty for a declaration without a name
	Problem      string
}

// NewSet returns the set of the declared organisations. What is odd in one of them leaves the
// others as they are and is reported: a declaration without a name is left out, two of one
// name are one organisation with the keys of both, a key of two organisations belongs to the
// first, and a limit or weight that none can have counts as not given.
func NewSet(declared []Declaration) (*Set, []Finding) {
	s := &Set{byName: map[string]*Organisation{}, byKey: map[digest]*Organisation{}}
	var findings []Finding
	report := func(name, format string, args ...any) {
		findings = append(findings, Finding{name, fmt.Sprintf(format, args...)})
	}
	for i, d := range declared {
		if d.Name == "" {
			report("", "organisation %d has no name and is left out", i)
			continue
		}
		o, again := s.byName[d.Name]
		if again {
			report(d.Name, "is declared twice; weight and limit are those of the first declaration")
		} else {
			o = newOrganisation(d, report)
			s.byName[d.Name] = o
		}
		for _, key := range d.Keys {
			s.addKey(key, o, report)
		}
	}
	return s, findings
}

func newOrganisation(d Declaration, report func(name, format string, args ...any)) *Organisation {
	o := &Organisation{name: d.Name, weight: d.Weight, limit: d.Limit}
	switch {
	case d.Weight == 0:
		o.weight = defaultWeight
	case !(d.Weight > 0) || math.IsInf(d.Weight, 1):
		report(d.Name, "weight %v is not above 0; %v is used", d.Weight, defaultWeight)
		o.weight = defaultWeight
	}
	if d.Limit.Negative() {
		report(d.Name, "limit %v is below 0 and counts as none", d.Limit)
		o.limit = o.limit.Max(resource.Vector{})
	}
	return o
}

// addKey gives a key to an organisation unless another one has it.
func (s *Set) addKey(key string, o *Organisation, report func(name, format string, args ...any)) {
	if key == "" {
		report(o.name, "has an empty key, which is left out")
		return
	}
	if other, ok := s.byKey[digestOf(key)]; ok && other != o {
		report(o.name, "shares a key with %q, whose callers the key stands for", other.name)
		return
	}
	s.byKey[digestOf(key)] = o
}

// Configured reports whether the configuration knows organisations at all, so that calls
// need a key.
func (s *Set) Configured() bool { return s != nil }

// ByName returns an organisation by its name.
func (s *Set) ByName(name string) (*Organisation, bool) {
	if s == nil {
		return nil, false
	}
	o, ok := s.byName[name]
	return o, ok
}

// ByKey returns the organisation to which a key belongs.
func (s *Set) ByKey(key string) (*Organisation, bool) {
	if s == nil {
		return nil, false
	}
	o, ok := s.byKey[digestOf(key)]
	return o, ok
}

// MayUse reports whether a caller of one organisation may see and cancel a job that belongs
// to another. A job without an owner, such as one that was accepted before there were
// organisations, may be used by all. Where there are no organisations there is nothing to tell
// callers apart by.
func (s *Set) MayUse(caller, owner string) bool {
	return !s.Configured() || owner == "" || caller == owner
}

// Names returns the names of all organisations in ascending order.
func (s *Set) Names() []string {
	if s == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(s.byName))
}

func digestOf(key string) digest { return sha256.Sum256([]byte(key)) }
