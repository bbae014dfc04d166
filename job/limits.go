package job

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/resource"
)

// Limits are the limits on a submission. The zero value admits no job; start from
// DefaultLimits.
type Limits struct {
	MaxTasks      int
	MaxNameLength int
	MaxWorkBytes  int
	MaxAttempts   int
	// LargestWorker is the capacity of the largest worker, or zero if unknown. A task
	// that demands more can never run.
	LargestWorker resource.Vector
}

// DefaultLimits returns the limits that apply unless the settings override them.
func DefaultLimits() Limits {
	return Limits{MaxTasks: 5000, MaxNameLength: 64, MaxWorkBytes: 16 << 10, MaxAttempts: 20}
}

// FieldError is an error in one field of a submission.
type FieldError struct {
	Field   string `json:"field"`
	Problem string `json:"problem"`
	// NeverRunnable is set if no worker has the capacity for the task.
	NeverRunnable bool `json:"never-runnable,omitempty"`
}

// Error implements the error interface.
func (e FieldError) Error() string { return e.Field + ": " + e.Problem }

// FieldErrors holds the errors in a submission.
type FieldErrors []FieldError

// Error returns the errors, one per line.
func (errs FieldErrors) Error() string {
	lines := make([]string, len(errs))
	for i, e := range errs {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

func (errs *FieldErrors) add(field, format string, args ...any) {
	*errs = append(*errs, FieldError{Field: field, Problem: fmt.Sprintf(format, args...)})
}

// maxFieldErrors is the number of errors after which no further task is checked.
const maxFieldErrors = 20

// ParseSpec decodes a submission and checks it against the limits. The error, if
// any, is of type FieldErrors.
func ParseSpec(body []byte, l Limits) (Spec, error) {
	s, count, err := decodeSpec(body, l.MaxTasks)
	if err != nil {
		return Spec{}, err
	}
	if errs := s.check(l, count); len(errs) > 0 {
		return Spec{}, errs
	}
	return s, nil
}

// jsonProblem describes a decoding error, with its position if known.
func jsonProblem(err error) string {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return fmt.Sprintf("not JSON at byte %d: %v", syntax.Offset, err)
	}
	return err.Error()
}

// Check returns the errors in s. It skips the remaining tasks after
// maxFieldErrors errors.
func (s *Spec) Check(l Limits) FieldErrors { return s.check(l, len(s.Tasks)) }

// check does so for a submission with so many tasks, of which s.Tasks may lack some.
func (s *Spec) check(l Limits, tasks int) FieldErrors {
	var errs FieldErrors
	for _, f := range []struct{ field, value string }{
		{"name", s.Name}, {"kind", s.Kind}, {"organisation", s.Organisation}, {"idempotency-key", s.IdempotencyKey},
	} {
		if len(f.value) > l.MaxNameLength {
			errs.add(f.field, "%d bytes, limit %d", len(f.value), l.MaxNameLength)
		}
		if strings.ContainsFunc(f.value, func(r rune) bool { return r < ' ' || r == 0x7f }) {
			errs.add(f.field, "has control characters")
		}
	}
	if s.Organisation == "" || strings.Contains(s.Organisation, "/") {
		errs.add("organisation", "must be given, without a slash")
	}
	if _, err := class.Parse(string(s.Class)); err != nil {
		errs.add("class", "%v", err)
	}
	if s.Priority < -100 || s.Priority > 100 {
		errs.add("priority", "%d, allowed -100 to 100", s.Priority)
	}
	if s.MaxAttempts < 0 || s.MaxAttempts > l.MaxAttempts {
		errs.add("max-attempts", "%d, allowed 0 to %d", s.MaxAttempts, l.MaxAttempts)
	}
	if s.NonIdempotent && s.MaxAttempts > 1 {
		errs.add("max-attempts", "%d, but a non-idempotent task has one attempt only", s.MaxAttempts)
	}
	if s.NonIdempotent && s.Class == class.Service {
		errs.add("non-idempotent", "a service is started again after a failure, so it cannot be non-idempotent")
	}
	if s.Gang {
		errs.add("gang", "tasks that start all at once are not carried out yet, so the job is refused rather than started one by one")
	}
	s.checkDuration(&errs, "estimate-ms", s.EstimateMS)
	s.checkDuration(&errs, "deadline-ms", s.DeadlineMS)
	switch {
	case tasks == 0:
		errs.add("tasks", "none given, at least 1 needed")
	case tasks > l.MaxTasks:
		errs.add("tasks", "%d tasks, limit %d", tasks, l.MaxTasks)
		return errs
	}
	s.checkTasks(&errs, l)
	return errs
}

const maxDurationMS = 366 * 24 * 3600 * 1000 // one leap year

func (s *Spec) checkDuration(errs *FieldErrors, field string, ms int64) {
	if ms < 0 || ms > maxDurationMS {
		errs.add(field, "%d, allowed 0 to %d", ms, int64(maxDurationMS))
	}
}

func (s *Spec) checkTasks(errs *FieldErrors, l Limits) {
	sharedChecked := false
	for i, t := range s.Tasks {
		if len(*errs) >= maxFieldErrors {
			return
		}
		field := fmt.Sprintf("tasks[%d].", i)
		if len(t.Work) > l.MaxWorkBytes {
			errs.add(field+"work", "%d bytes, limit %d", len(t.Work), l.MaxWorkBytes)
		}
		s.checkDuration(errs, field+"estimate-ms", t.EstimateMS)
		if t.Demand != nil {
			checkDemand(errs, field+"demand", *t.Demand, l)
		} else if !sharedChecked {
			sharedChecked = true
			checkDemand(errs, "demand", s.Demand, l)
		}
	}
}

func checkDemand(errs *FieldErrors, field string, d resource.Vector, l Limits) {
	switch {
	case d.Negative():
		errs.add(field, "%v has a negative amount", d)
	case d.MilliCPU == 0 && d.Accelerators == 0:
		errs.add(field, "%v asks for neither processors nor accelerators", d)
	case !l.LargestWorker.IsZero() && !l.LargestWorker.Covers(d):
		*errs = append(*errs, FieldError{
			Field:         field,
			Problem:       fmt.Sprintf("%v is more than the largest worker has (%v), so it can never run", d, l.LargestWorker),
			NeverRunnable: true,
		})
	}
}
