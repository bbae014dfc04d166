package job_test

import (
	"errors"
	"strings"
	"testing"

	"persimmonworks.example/persimmonworks/job"
	"persimmonworks.example/persimmonworks/resource"
)

// A refused submission gets one error for each wrong field, in order.
func TestParseSpec(t *testing.T) {
	const good = `"organisation":"prado","class":"batch","demand":{"milli-cpu":1000}`
	cases := []struct {
		body   string
		fields string // with errors, in order
	}{
		{`{` + good + `,"tasks":[{}]}`, ""},
		{`{` + good + `,"gang":true,"tasks":[{},{}]}`, "gang"},
		{`{` + good + `,"tasks":[]}`, "tasks"},
		{`{` + good + `,"tasks":[{"demand":{"milli-cpu":5000}}]}`, "tasks[0].demand"},
		{`{` + good + `,"tasks":[{"demand":{"milli-cpu":-1}}],"priority":101}`, "priority tasks[0].demand"},
		{`{` + good + `,"non-idempotent":true,"max-attempts":2,"tasks":[{}]}`, "max-attempts"},
		{`{` + good + `,"unknown":1,"tasks":[{}]}`, "body"},
		{`{` + good + `,"tasks":[{}]}{}`, "body"},
		{`{"organisation":"a/b","class":"none","demand":{"memory-mb":1},"tasks":[{}]}`, "organisation class demand"},
	}
	limits := job.DefaultLimits()
	limits.LargestWorker = resource.Vector{MilliCPU: 4000, MemoryMB: 1}
	for _, c := range cases {
		_, err := job.ParseSpec([]byte(c.body), limits)
		var errs job.FieldErrors
		errors.As(err, &errs)
		var fields []string
		for _, f := range errs {
			fields = append(fields, f.Field)
			if f.NeverRunnable != strings.Contains(f.Problem, "can never run") {
				t.Errorf("%s: %+v", c.body, f)
			}
		}
		if got := strings.Join(fields, " "); got != c.fields {
			t.Errorf("%s: errors in fields %q, want %q: %v", c.body, got, c.fields, err)
		}
	}
}
