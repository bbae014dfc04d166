// Package finding collects the errors in an input with their locations, so that
// all of them are reported together.
//
// A Finding gives the file, line, section and key of an error, the problem and
// the allowed values. A List collects findings. Its Err method returns a nil error
// for an empty list, so that a caller can compare the result with nil.
//
// Usage:
//
//	var l finding.List
//	l.Add(finding.Finding{File: "p.ini", Line: 3, Section: "session", Key: "ttl", Problem: "is 0"})
//	return l.Err()
package finding

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Finding is one error in an input. Line counts from 1 and is 0 if the error has
// no line, as for a missing key.
type Finding struct {
	File    string `json:"file,omitempty"`
	Line    int    `json:"line,omitempty"`
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	Problem string `json:"problem"`
	Allowed string `json:"allowed,omitempty"`
}

// Error returns "file:line: [section] key: problem; allowed: ...", omitting
// empty parts.
func (f Finding) Error() string { return f.message().Error() }

func (f Finding) message() error {
	if f.Allowed == "" {
		return fmt.Errorf("%s%s", f.location(), f.Problem)
	}
	return fmt.Errorf("%s%s; allowed: %s", f.location(), f.Problem, f.Allowed)
}

func (f Finding) location() string {
	var b strings.Builder
	switch {
	case f.File != "" && f.Line > 0:
		fmt.Fprintf(&b, "%s:%d: ", f.File, f.Line)
	case f.File != "":
		fmt.Fprintf(&b, "%s: ", f.File)
	case f.Line > 0:
		fmt.Fprintf(&b, "line %d: ", f.Line)
	}
	if f.Section != "" {
		fmt.Fprintf(&b, "[%s] ", f.Section)
	}
	if f.Key != "" {
		fmt.Fprintf(&b, "%s: ", f.Key)
	}
	return b.String()
}

// List is a collection of findings. The zero value is an empty list.
type List []Finding

var (
	_ error = Finding{}
	_ error = List{}
)

// Add appends f.
func (l *List) Add(f Finding) { *l = append(*l, f) }

// Addf appends a finding for the given section and key, without a file or line.
func (l *List) Addf(section, key, format string, args ...any) {
	l.Add(Finding{Section: section, Key: key, Problem: fmt.Sprintf(format, args...)})
}

// Err returns the sorted list as an error, or nil if the list is empty.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l.Sorted()
}

// Sorted returns a copy sorted by file, line, section, key and problem.
func (l List) Sorted() List {
	s := slices.Clone(l)
	slices.SortStableFunc(s, func(a, b Finding) int {
		return cmp.Or(
			cmp.Compare(a.File, b.File),
			cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Section, b.Section),
			cmp.Compare(a.Key, b.Key),
			cmp.Compare(a.Problem, b.Problem),
		)
	})
	return s
}

// Error returns the sorted findings, one per line.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, f := range l.Sorted() {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// FromError returns the findings that err is or wraps, or nil if there are none.
func FromError(err error) List {
	var l List
	if errors.As(err, &l) {
		return l
	}
	var f Finding
	if errors.As(err, &f) {
		return List{f}
	}
	return nil
}
