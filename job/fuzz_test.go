package job

import (
	"encoding/json"
	"errors"
	"testing"
)

// Any input is either refused with errors, or results in a job within the limits
// that is still accepted after it was encoded for storage.
func FuzzParseSpec(f *testing.F) {
	for _, text := range []string{
		`{"organisation":"prado","class":"batch","kind":"rendering","demand":{"milli-cpu":1000,"memory-mb":512},"tasks":[{"work":{"run-ms":1}}]}`,
		`{"tasks":[{"demand":{"milli-cpu":-1}}]}`, `{"tasks":null,"unknown":1}`, `[]`, ``, `{"a":1}{"a":2}`,
	} {
		f.Add([]byte(text))
	}
	limits := DefaultLimits()
	limits.MaxTasks = 20
	f.Fuzz(func(t *testing.T, body []byte) {
		s, err := ParseSpec(body, limits)
		if err != nil {
			var errs FieldErrors
			if errors.As(err, &errs) && len(errs) == 0 {
				t.Error("refused without an error in a field")
			}
			return
		}
		if len(s.Tasks) == 0 || len(s.Tasks) > limits.MaxTasks || s.Organisation == "" {
			t.Errorf("accepted beyond the limits: %d tasks of organisation %q", len(s.Tasks), s.Organisation)
		}
		stored, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := ParseSpec(stored, limits); err != nil {
			t.Errorf("accepted, but refused after encoding: %v\n%s", err, stored)
		}
	})
}
