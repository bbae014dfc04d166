package job

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// taskList is the tasks of a submission. Tasks beyond most are counted and not kept: an empty
// one takes many times the bytes that it has in the body.
type taskList struct {
	most  int
	tasks []TaskSpec
	count int
}

// skipped is a JSON value that is not kept.
type skipped struct{}

// UnmarshalJSON implements json.Unmarshaler.
func (skipped) UnmarshalJSON([]byte) error { return nil }

// UnmarshalJSON implements json.Unmarshaler.
func (l *taskList) UnmarshalJSON(text []byte) error {
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	open, err := d.Token()
	if err != nil {
		return err
	}
	l.tasks, l.count = nil, 0
	if open == nil {
		return nil // null stands for no tasks
	}
	if open != json.Delim('[') {
		return fmt.Errorf("tasks: %v, want a list", open)
	}
	for d.More() {
		l.count++
		if l.count > l.most {
			if err := d.Decode(&skipped{}); err != nil {
				return err
			}
			continue
		}
		var t TaskSpec
		if err := d.Decode(&t); err != nil {
			return err
		}
		l.tasks = append(l.tasks, t)
	}
	return nil
}

// decodeSpec decodes a submission. count is how many tasks it has, of which at most the given
// number are kept.
func decodeSpec(body []byte, most int) (s Spec, count int, err error) {
	raw := struct {
		*Spec
		Tasks taskList `json:"tasks"`
	}{Spec: &s, Tasks: taskList{most: most}}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&raw); err != nil {
		return Spec{}, 0, FieldErrors{{Field: "body", Problem: jsonProblem(err)}}
	}
	if decoder.More() {
		return Spec{}, 0, FieldErrors{{Field: "body", Problem: "more than one JSON value"}}
	}
	s.Tasks = raw.Tasks.tasks
	return s, raw.Tasks.count, nil
}
