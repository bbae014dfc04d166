// Package finding collects what is wrong with an input, each with its place,
// so that all of it is reported together.
//
// A Finding names the file, line, section and key at fault, the problem and
// what would be allowed. A List gathers findings and is an error once it
// holds any. Err returns a plain nil for an empty list, so that a caller can
// compare the result with nil.
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

// Finding is one fault of an input. Line counts from 1 and is 0 where the
// fault has no line, such as a missing key.
type Finding struct {
	File    string `json:"file,omitempty"`
	Line    int    `json:"line,omitempty"`
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	Problem string `json:"problem"`
	Allowed string `json:"allowed,omitempty"`
}

// Error returns "file:line: [section] key: problem; allowed: ..." without the
// parts that are empty.
func (f Finding) Error() string { return f.text().Error() }

func (f Finding) text() error {
	if f.Allowed == "" {
		return fmt.Errorf("%s%s", f.place(), f.Problem)
	}
	return fmt.Errorf("%s%s; allowed: %s", f.place(), f.Problem, f.Allowed)
}

func (f Finding) place() string {
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

// List gathers findings. The zero value is an empty list.
type List []Finding

var (
	_ error = Finding{}
	_ error = List{}
)

// Add appends f.
func (l *List) Add(f Finding) { *l = append(*l, f) }

// Addf appends a finding without a file, for the given section and key.
func (l *List) Addf(section, key, format string, args ...any) {
	l.Add(Finding{Section: section, Key: key, Problem: fmt.Sprintf(format, args...)})
}

// Err returns the sorted list as an error, nil if nothing was found.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l.Sorted()
}

// Sorted returns a copy in order of file, line, section, key and problem.
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

// Error returns the findings in order, one a line.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, f := range l.Sorted() {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// From returns the findings that err wraps, nil if it wraps none.
func From(err error) List {
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
