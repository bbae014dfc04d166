package inspection

import (
	"fmt"
	"slices"
	"strings"

	"persimmonworks.example/persimmonworks/resource"
)

// Change is a difference to the configuration in force.
type Change struct {
	Place
	Text string `json:"text"`
}

// String returns the change as a line of a report.
func (c Change) String() string { return fmt.Sprintf("%s: %s", c.Path, c.Text) }

// changes collects differences.
type changes []Change

func (l *changes) add(at Place, format string, args ...any) {
	*l = append(*l, Change{at, fmt.Sprintf(format, args...)})
}

// Compare returns what a configuration changes beside the one in force. Entries are the same
// if they have the same name.
func Compare(inForce, next *Configuration) []Change {
	var l changes
	if next.Version <= inForce.Version {
		l.add(Place{Path: "version"}, "version %d is not above %d, which is in force: it will never take effect", next.Version, inForce.Version)
	}
	l.queues(inForce, next)
	l.organisations(inForce, next)
	return l
}

func (l *changes) queues(inForce, next *Configuration) {
	find := func(in []Queue, name string) *Queue {
		if i := slices.IndexFunc(in, func(q Queue) bool { return q.Name == name }); i >= 0 {
			return &in[i]
		}
		return nil
	}
	for i := range inForce.Queues {
		if q := &inForce.Queues[i]; find(next.Queues, q.Name) == nil {
			l.add(q.Place, "queue %q is gone: calls to %s%s are refused; jobs that it has go on", q.Name, q.Host, q.Prefix)
		}
	}
	for i := range next.Queues {
		q := &next.Queues[i]
		was := find(inForce.Queues, q.Name)
		if was == nil {
			l.add(q.Place, "queue %q is new, at %s%s", q.Name, q.Host, q.Prefix)
			continue
		}
		l.queue(was, q)
	}
}

// queue compares a queue with itself. What a job was accepted with holds for it.
func (l *changes) queue(was, q *Queue) {
	if !strings.EqualFold(was.Host, q.Host) || was.Prefix != q.Prefix {
		l.add(q.Place, "queue %q moves from %s%s to %s%s: calls to the old place are refused", q.Name, was.Host, was.Prefix, q.Host, q.Prefix)
	}
	if was.Service != q.Service {
		l.add(q.Place, "queue %q: new jobs run on workers of %q in place of %q", q.Name, q.Service, was.Service)
	}
	if was.Priority != q.Priority {
		l.add(q.Place, "queue %q: priority of new jobs %d in place of %d (0 goes first)", q.Name, q.Priority, was.Priority)
	}
	if was.MaxAttempts != q.MaxAttempts {
		l.add(q.Place, "queue %q: tasks of new jobs are given up after %d failed attempts in place of %d", q.Name, max(1, q.MaxAttempts), max(1, was.MaxAttempts))
	}
	if was.Dilation != q.Dilation || was.Target != q.Target {
		l.add(q.Place, "queue %q: objective of new jobs %g times their work and %v, in place of %g times and %v", q.Name, q.Dilation, q.Target, was.Dilation, was.Target)
	}
	switch {
	case was.Public && !q.Public:
		l.add(q.Place, "queue %q is no longer public: calls without a key are refused", q.Name)
	case !was.Public && q.Public:
		l.add(q.Place, "queue %q becomes public: calls need no key", q.Name)
	}
}

func (l *changes) organisations(inForce, next *Configuration) {
	if inForce.KnowsOrganisations != next.KnowsOrganisations {
		text := "calls need no key any more"
		if next.KnowsOrganisations {
			text = "calls to queues that are not public need the key of an organisation from now on"
		}
		l.add(Place{Path: "organisations"}, "%s", text)
	}
	find := func(in []Organisation, name string) *Organisation {
		if i := slices.IndexFunc(in, func(o Organisation) bool { return o.Name == name }); i >= 0 {
			return &in[i]
		}
		return nil
	}
	for i := range inForce.Organisations {
		if o := &inForce.Organisations[i]; find(next.Organisations, o.Name) == nil {
			l.add(o.Place, "organisation %q is gone: calls with its keys are refused; jobs that it has go on", o.Name)
		}
	}
	for i := range next.Organisations {
		o := &next.Organisations[i]
		was := find(inForce.Organisations, o.Name)
		if was == nil {
			l.add(o.Place, "organisation %q is new, with %d keys and weight %g", o.Name, len(o.Keys), o.Weight)
			continue
		}
		l.organisation(was, o)
	}
}

func (l *changes) organisation(was, o *Organisation) {
	gone := countMissing(was.Keys, o.Keys)
	if gone > 0 {
		l.add(o.Place, "organisation %q loses %d of %d keys: calls with them are refused", o.Name, gone, len(was.Keys))
	}
	if added := countMissing(o.Keys, was.Keys); added > 0 {
		l.add(o.Place, "organisation %q gets %d more keys", o.Name, added)
	}
	if was.Weight != o.Weight {
		l.add(o.Place, "organisation %q: weight %g in place of %g", o.Name, o.Weight, was.Weight)
	}
	if was.Limit != o.Limit {
		l.add(o.Place, "organisation %q: limit %s in place of %s%s", o.Name, limitText(o.Limit), limitText(was.Limit), lowered(was.Limit, o.Limit))
	}
}

// countMissing returns how many of the digests are not among others.
func countMissing(digests, others []string) int {
	n := 0
	for _, d := range digests {
		if !slices.Contains(others, d) {
			n++
		}
	}
	return n
}

// lowered says what a limit that is lower for some resource does.
func lowered(was, now resource.Vector) string {
	below := func(a, b int64) bool { return a > 0 && (b == 0 || a < b) }
	if below(now.MilliCPU, was.MilliCPU) || below(now.MemoryMB, was.MemoryMB) || below(now.Accelerators, was.Accelerators) {
		return ": what runs above it has to end before its tasks start again"
	}
	return ""
}

func limitText(v resource.Vector) string {
	if v.IsZero() {
		return "none"
	}
	part := func(n int64, unit string) string {
		if n == 0 {
			return "any " + unit
		}
		return fmt.Sprintf("%d %s", n, unit)
	}
	return strings.Join([]string{part(v.MilliCPU, "thousandths of a core"), part(v.MemoryMB, "MB"), part(v.Accelerators, "accelerators")}, ", ")
}
