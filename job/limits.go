package job

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/resource"
)

// Limits bounds what a caller may submit. The zero value admits nothing but
// the defaults set by Defaults.
type Limits struct {
	MaxTasks      int
	MaxNameLength int
	MaxWorkBytes  int
	MaxAttempts   int
	// Largest is the capacity of the largest worker; a task that demands more
	// can never run.
	Largest resource.Vector
}

// Defaults returns the limits that hold where the settings say nothing.
func Defaults() Limits {
	return Limits{MaxTasks: 5000, MaxNameLength: 64, MaxWorkBytes: 16 << 10, MaxAttempts: 20}
}

// FieldError is a finding about one field of a submission.
type FieldError struct {
	Field   string `json:"field"`
	Problem string `json:"problem"`
	// NeverRunnable is set when no worker could ever run the task.
	NeverRunnable bool `json:"never-runnable,omitempty"`
}

// Error implements error.
func (e FieldError) Error() string { return e.Field + ": " + e.Problem }

// FieldErrors are all findings about a submission.
type FieldErrors []FieldError

// Error returns the findings, one a line.
func (l FieldErrors) Error() string {
	lines := make([]string, len(l))
	for i, e := range l {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

func (l *FieldErrors) add(field, format string, args ...any) {
	*l = append(*l, FieldError{Field: field, Problem: fmt.Sprintf(format, args...)})
}

// maxFindings bounds the findings reported for one submission.
const maxFindings = 20

// ParseSpec decodes a submission and checks it against the limits. The error
// is a FieldErrors with all findings.
func ParseSpec(body []byte, l Limits) (Spec, error) {
	var s Spec
	decoder := json.NewDecoder(strings.NewReader(string(body)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return Spec{}, FieldErrors{{Field: "body", Problem: describeJSON(err)}}
	}
	if decoder.More() {
		return Spec{}, FieldErrors{{Field: "body", Problem: "more than one JSON value"}}
	}
	if found := s.Check(l); len(found) > 0 {
		return Spec{}, found
	}
	return s, nil
}

func describeJSON(err error) string {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return fmt.Sprintf("not JSON at byte %d: %v", syntax.Offset, err)
	}
	return err.Error()
}

// Check returns everything that is wrong with s.
func (s *Spec) Check(l Limits) FieldErrors {
	var found FieldErrors
	for _, f := range []struct{ field, value string }{
		{"name", s.Name}, {"kind", s.Kind}, {"organisation", s.Organisation}, {"idempotency-key", s.Key},
	} {
		if len(f.value) > l.MaxNameLength {
			found.add(f.field, "%d bytes, limit %d", len(f.value), l.MaxNameLength)
		}
		if strings.ContainsFunc(f.value, func(r rune) bool { return r < ' ' || r == 0x7f }) {
			found.add(f.field, "has control characters")
		}
	}
	if s.Organisation == "" || strings.Contains(s.Organisation, "/") {
		found.add("organisation", "must be given, without a slash")
	}
	if _, err := class.Parse(string(s.Class)); err != nil {
		found.add("class", "%v", err)
	}
	if s.Priority < -100 || s.Priority > 100 {
		found.add("priority", "%d, allowed -100 to 100", s.Priority)
	}
	if s.MaxAttempts < 0 || s.MaxAttempts > l.MaxAttempts {
		found.add("max-attempts", "%d, allowed 0 to %d", s.MaxAttempts, l.MaxAttempts)
	}
	if s.NonIdempotent && s.MaxAttempts > 1 {
		found.add("max-attempts", "%d, but a non-idempotent task has one attempt only", s.MaxAttempts)
	}
	if s.NonIdempotent && s.Class == class.Service {
		found.add("non-idempotent", "a service is started again after a failure, so it cannot be non-idempotent")
	}
	if s.Gang {
		found.add("gang", "tasks that start all at once are not carried out yet, so the job is refused rather than started one by one")
	}
	s.checkTime(&found, "estimate-ms", s.EstimateMS)
	s.checkTime(&found, "deadline-ms", s.DeadlineMS)
	switch n := len(s.Tasks); {
	case n == 0:
		found.add("tasks", "none given, at least 1 needed")
	case n > l.MaxTasks:
		found.add("tasks", "%d tasks, limit %d", n, l.MaxTasks)
		return found
	}
	s.checkTasks(&found, l)
	return found
}

const maxTimeMS = 366 * 24 * 3600 * 1000 // a year

func (s *Spec) checkTime(found *FieldErrors, field string, ms int64) {
	if ms < 0 || ms > maxTimeMS {
		found.add(field, "%d, allowed 0 to %d", ms, int64(maxTimeMS))
	}
}

func (s *Spec) checkTasks(found *FieldErrors, l Limits) {
	shared := false
	for i, t := range s.Tasks {
		if len(*found) >= maxFindings {
			return
		}
		field := fmt.Sprintf("tasks[%d].", i)
		if len(t.Work) > l.MaxWorkBytes {
			found.add(field+"work", "%d bytes, limit %d", len(t.Work), l.MaxWorkBytes)
		}
		s.checkTime(found, field+"estimate-ms", t.EstimateMS)
		if t.Demand != nil {
			checkDemand(found, field+"demand", *t.Demand, l)
		} else if !shared {
			shared = true
			checkDemand(found, "demand", s.Demand, l)
		}
	}
}

func checkDemand(found *FieldErrors, field string, d resource.Vector, l Limits) {
	switch {
	case d.Negative():
		found.add(field, "%v has a negative amount", d)
	case d.MilliCPU == 0 && d.Accelerators == 0:
		found.add(field, "%v asks for neither processors nor accelerators", d)
	case !l.Largest.IsZero() && !l.Largest.Covers(d):
		*found = append(*found, FieldError{
			Field:         field,
			Problem:       fmt.Sprintf("%v is more than the largest worker has (%v), so it can never run", d, l.Largest),
			NeverRunnable: true,
		})
	}
}
