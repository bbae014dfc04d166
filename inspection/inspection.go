// Package inspection examines a configuration before an operator sends it: what is wrong
// with it, which entries can never take effect, and what it changes beside the one in force.
//
// It reads and writes nothing, and never sees a key: organisations come with digests of
// theirs.
//
// Usage:
//
//	findings := inspection.Inspect(&next)
//	changes := inspection.Compare(&inForce, &next)
package inspection

import (
	"cmp"
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"persimmonworks.example/persimmonworks/resource"
)

// Place says where an entry stands in the file.
type Place struct {
	Path string `json:"path"` // for example routes[2]
	Line int    `json:"line"` // from 1; 0 if it is not known
}

// Configuration is what an operator has written.
type Configuration struct {
	Version       uint64
	Queues        []Queue
	Services      []Service
	Organisations []Organisation
	// KnowsOrganisations is set if calls need the key of an organisation, unless their
	// queue is public.
	KnowsOrganisations bool
}

// Queue is an entry that takes jobs.
type Queue struct {
	Place
	Name, Host, Prefix, Service string
	Priority, MaxAttempts       uint32
	Dilation                    float64 // the objective over the work
	Target                      time.Duration
	Public                      bool
	Decision, Validity          time.Duration // of the advisory service; 0 without one
}

// Service is a declared service.
type Service struct {
	Place
	Name string
}

// Organisation is one of those who share the pool.
type Organisation struct {
	Place
	Name   string
	Weight float64
	Limit  resource.Vector
	Keys   []string // digests
}

// Severity says whether a finding has to be mended.
type Severity string

// Severities.
const (
	Error   Severity = "error"   // it would be rejected, or cannot have been meant
	Warning Severity = "warning" // it may have been meant
)

// Finding is something wrong with an entry.
type Finding struct {
	Place
	Severity Severity `json:"severity"`
	Text     string   `json:"text"`
}

// String returns the finding as a line of a report.
func (f Finding) String() string {
	return fmt.Sprintf("%d: %s: %s: %s", f.Line, f.Path, f.Severity, f.Text)
}

// findings collects what is found.
type findings []Finding

func (f *findings) add(at Place, s Severity, format string, args ...any) {
	*f = append(*f, Finding{at, s, fmt.Sprintf(format, args...)})
}

// Inspect returns what is wrong with a configuration, in the order of its lines.
func Inspect(c *Configuration) []Finding {
	var found findings
	found.queues(c)
	found.reach(c)
	found.organisations(c)
	slices.SortStableFunc(found, func(a, b Finding) int { return cmp.Compare(a.Line, b.Line) })
	return found
}

// queues examines each queue by itself.
func (f *findings) queues(c *Configuration) {
	named := map[string]*Queue{}
	for i := range c.Queues {
		q := &c.Queues[i]
		if q.Name == "" {
			f.add(q.Place, Error, "the queue has no name")
		} else if other, ok := named[q.Name]; ok {
			f.add(q.Place, Warning, "queue %q is declared before, at %s", q.Name, other.Path)
		} else {
			named[q.Name] = q
		}
		switch {
		case q.Service == "":
			f.add(q.Place, Error, "queue %q has no service, so no worker runs its tasks", q.Name)
		case !slices.ContainsFunc(c.Services, func(s Service) bool { return s.Name == q.Service }):
			f.add(q.Place, Error, "queue %q: service %q is not declared", q.Name, q.Service)
		}
		if q.MaxAttempts == 0 {
			f.add(q.Place, Warning, "queue %q: max-attempts is not set and counts as 1: its tasks are never tried again", q.Name)
		}
		if q.Dilation < 1 {
			f.add(q.Place, Error, "queue %q: dilation %g is below 1: the objective is shorter than the work, and every job is late", q.Name, q.Dilation)
		}
		if q.Target < 0 {
			f.add(q.Place, Error, "queue %q: the target latency %v is below 0", q.Name, q.Target)
		}
		if q.Decision > 0 && q.Validity <= q.Decision {
			f.add(q.Place, Error, "queue %q: advice is valid for %v and takes %v: it has expired when it arrives", q.Name, q.Validity, q.Decision)
		}
	}
}

// reach finds the queues that no call can reach.
func (f *findings) reach(c *Configuration) {
	type key struct{ host, prefix string }
	first := map[key]*Queue{}
	for i := range c.Queues {
		q := &c.Queues[i]
		k := key{strings.ToLower(q.Host), q.Prefix}
		other, hidden := first[k]
		_, _, portErr := net.SplitHostPort(q.Host)
		switch {
		case q.Host == "":
			f.add(q.Place, Error, "queue %q can never match: it names no host", q.Name)
		case portErr == nil:
			f.add(q.Place, Error, "queue %q can never match: calls are compared without the port that host %q names", q.Name, q.Host)
		case !strings.HasPrefix(q.Prefix, "/"):
			f.add(q.Place, Error, "queue %q can never match: path prefix %q does not begin with /", q.Name, q.Prefix)
		case hidden:
			f.add(q.Place, Error, "queue %q can never match: it is hidden by queue %q at %s, which has the same host and path prefix", q.Name, other.Name, other.Path)
		default:
			first[k] = q
		}
	}
}

// organisations examines those who share the pool.
func (f *findings) organisations(c *Configuration) {
	if !c.KnowsOrganisations {
		return
	}
	named, owner := map[string]*Organisation{}, map[string]*Organisation{}
	for i := range c.Organisations {
		o := &c.Organisations[i]
		if o.Name == "" {
			f.add(o.Place, Error, "the organisation has no name")
		} else if other, ok := named[o.Name]; ok {
			f.add(o.Place, Error, "organisation %q is declared before, at %s", o.Name, other.Path)
		} else {
			named[o.Name] = o
		}
		if o.Weight < 0 {
			f.add(o.Place, Error, "organisation %q: weight %g is below 0", o.Name, o.Weight)
		} else if o.Weight == 0 {
			f.add(o.Place, Warning, "organisation %q: a weight that is not set, or 0, counts as 1", o.Name)
		}
		if o.Limit.Negative() {
			f.add(o.Place, Error, "organisation %q: its limit is below 0", o.Name)
		}
		if (o.Limit.MilliCPU > 0) != (o.Limit.MemoryMB > 0) {
			f.add(o.Place, Warning, "organisation %q: of processor time and memory only one is limited", o.Name)
		}
		if len(o.Keys) == 0 {
			f.add(o.Place, Warning, "organisation %q has no key: it can hand in no jobs but to public queues", o.Name)
		}
		for n, digest := range o.Keys {
			switch other, ok := owner[digest]; {
			case ok && other != o:
				f.add(o.Place, Error, "organisation %q: key %d is one of organisation %q at %s, too", o.Name, n, other.Name, other.Path)
			case ok:
				f.add(o.Place, Warning, "organisation %q: key %d is listed twice", o.Name, n)
			default:
				owner[digest] = o
			}
		}
	}
	private := slices.IndexFunc(c.Queues, func(q Queue) bool { return !q.Public })
	if private >= 0 && len(owner) == 0 {
		f.add(c.Queues[private].Place, Warning, "nobody can call queue %q: no organisation has a key", c.Queues[private].Name)
	}
}
