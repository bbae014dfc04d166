package main

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// step is a step of a job, as on the wire, and what its tasks do.
type step struct {
	Count        int    `json:"count"`
	MilliCPU     int    `json:"cpu"`
	MemoryMB     int    `json:"mem-mb"`
	EstimateMS   int64  `json:"estimate-ms,omitempty"`
	Gang         bool   `json:"gang,omitempty"`
	LongRunning  bool   `json:"long-running,omitempty"`
	Fills        bool   `json:"fills,omitempty"`
	Requires     string `json:"requires,omitempty"`
	Image        string `json:"image,omitempty"`
	AntiAffinity int    `json:"anti-affinity,omitempty"`
	TargetMS     int    `json:"target-ms,omitempty"`

	work time.Duration // of a task; a lasting one works until it is stopped
}

// job is a job as a client hands it in.
type job struct {
	id    string
	Spec  string `json:"spec"`
	Steps []step `json:"steps"`
}

// taskName is a name of the form ID.K.STEP.INDEX.
type taskName struct {
	job              string
	occurrence, step int
	index            int
}

func (t taskName) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.job, t.occurrence, t.step, t.index)
}

func parseTask(text string) (taskName, error) {
	fields := strings.Split(text, ".")
	if len(fields) != 4 {
		return taskName{}, fmt.Errorf("task %q: want ID.K.STEP.INDEX", text)
	}
	t := taskName{job: fields[0]}
	for i, into := range []*int{&t.occurrence, &t.step, &t.index} {
		n, err := strconv.Atoi(fields[i+1])
		if err != nil {
			return taskName{}, fmt.Errorf("task %q: %w", text, err)
		}
		*into = n
	}
	return t, nil
}

// gangName names the members of one run of a gang.
type gangName struct {
	job              string
	occurrence, step int
	run              int
}
