package job_test

import (
	"strings"
	"testing"

	"persimmonworks.example/persimmonworks/job"
)

// A submission of empty tasks took a hundred times its size to decode.
func TestManyTasksAreNotKept(t *testing.T) {
	const size = 256 << 10
	body := []byte(`{"organisation":"a","tasks":[{}` + strings.Repeat(",{}", size/3) + "]}")
	limits := job.DefaultLimits()
	limits.MaxTasks = 50
	result := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			if _, err := job.ParseSpec(body, limits); err == nil {
				b.Fatal("the submission is accepted")
			}
		}
	})
	if got := result.AllocedBytesPerOp(); got > 6*size {
		t.Errorf("decoding a body of %d bytes takes %d bytes, want at most six times its size", size, got)
	}
	_, err := job.ParseSpec(body, limits)
	for _, want := range []string{"tasks: 87382 tasks, limit 50", "class: "} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v does not say %q", err, want)
		}
	}
}

// Tasks are decoded as the rest of a submission is.
func TestTasksDecodeAlike(t *testing.T) {
	const head = `{"organisation":"a","class":"batch","demand":{"milli-cpu":1,"memory-mb":1},`
	limits := job.DefaultLimits()
	for _, c := range []struct {
		tasks, fault string
	}{
		{`"tasks":[{"estimate-ms":5},{"work":{"x":[1]}}]`, ""},
		{`"Tasks":[{"Estimate-MS":5}]`, ""},
		{`"tasks":[{}],"tasks":[{"estimate-ms":5}]`, ""},
		{`"tasks":null`, "none given"},
		{`"tasks":[]`, "none given"},
		{`"tasks":{}`, "want a list"},
		{`"tasks":7`, "want a list"},
		{`"tasks":[{"unknown":1}]`, "unknown"},
		{`"tasks":[7]`, "cannot unmarshal"},
	} {
		_, err := job.ParseSpec([]byte(head+c.tasks+"}"), limits)
		if (err == nil) != (c.fault == "") || err != nil && !strings.Contains(err.Error(), c.fault) {
			t.Errorf("%s: %v, want %q", c.tasks, err, c.fault)
		}
	}
}
