package intent

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"persimmonworks.example/persimmonworks/pool"
)

// touched returns the parts of the state that a plan for the intent depends on.
func touched(s *State, in Intent) []Part {
	var parts []Part
	switch in.Kind {
	case AddOrganisation, SetWeight:
		parts = append(parts, Part{"weights", weights(&s.Configuration)})
	case SetQuota, SetTokens:
		parts = append(parts, organisationPart(&s.Configuration, in.Organisation))
	case SetPriority:
		parts = append(parts, organisationPart(&s.Configuration, in.Organisation), Part{"shares", digest(s.Configuration.Shares)})
	case SetObjective:
		parts = append(parts, Part{"objectives", digest(s.Configuration.Objectives)})
	case SetOperator:
		parts = append(parts, Part{"operators", digest(s.Configuration.Operators)})
	case SetService:
		parts = append(parts, Part{"services", digest(s.Configuration.Services)})
	case AddCapacity:
		parts = append(parts, Part{"capacity", digest(s.Configuration.Capacity)})
	case Undo:
		parts = append(parts, Part{"configuration", digest(s.Configuration)})
	default:
		parts = append(parts, Part{"drains", digest(s.Configuration.Drains)})
		parts = append(parts, hostParts(s, in)...)
	}
	return parts
}

func weights(c *pool.Configuration) string {
	var b strings.Builder
	for _, o := range c.Organisations {
		fmt.Fprintf(&b, "%s %d\n", o.Name, o.Weight)
	}
	return digest(b.String())
}

func organisationPart(c *pool.Configuration, name string) Part {
	return Part{"organisation " + name, digest(c.Organisation(name))}
}

// hostParts returns a part for each host that the target covers. Its fingerprint
// includes the attempts that run on the host.
func hostParts(s *State, in Intent) []Part {
	var parts []Part
	for _, h := range s.Hosts {
		matches := h.ID == in.Target
		switch in.Kind {
		case DrainRack:
			matches = h.Rack == in.Target
		case DrainDataCentre:
			matches = h.DataCentre == in.Target
		case Undrain:
			matches = matches || h.Rack == in.Target || h.DataCentre == in.Target
		}
		if matches {
			parts = append(parts, Part{"host " + h.ID, digest(struct {
				Host     Host
				Attempts []Attempt
			}{h, attemptsOn(s, h.ID)})})
		}
	}
	slices.SortFunc(parts, func(a, b Part) int { return cmp.Compare(a.Name, b.Name) })
	return parts
}

// CheckStale compares the parts of the state that the plan touches with s. It returns
// nil if none has changed, or else an error that wraps ErrStale and names each
// changed part.
func CheckStale(p Plan, s State) error {
	now := touched(&s, p.Intent)
	var changed []string
	for _, part := range p.Touched {
		if !slices.Contains(now, part) {
			changed = append(changed, part.Name)
		}
	}
	for _, part := range now {
		if !slices.ContainsFunc(p.Touched, func(t Part) bool { return t.Name == part.Name }) {
			changed = append(changed, part.Name)
		}
	}
	if len(changed) == 0 {
		return nil
	}
	return fmt.Errorf("%w: since configuration %d these have changed: %s; make the plan again",
		ErrStale, p.Number, strings.Join(changed, ", "))
}
