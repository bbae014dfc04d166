package agent

import (
	"encoding/json"
	"fmt"
	"time"

	"persimmonworks.example/persimmonworks/ledger"
	"persimmonworks.example/persimmonworks/resource"
	"persimmonworks.example/persimmonworks/worker"
)

// fullPercent is the speed of an attempt that is not throttled.
const fullPercent = 100

// Work describes a simulated task. A checkpoint is a Work, encoded as JSON, that
// resumes where the attempt stopped.
type Work struct {
	RunMs   int64  `json:"run-ms"`            // run time at full speed
	DoneMs  int64  `json:"done-ms,omitempty"` // completed by earlier attempts
	Fail    bool   `json:"fail,omitempty"`    // fails when the run time is over
	Forever bool   `json:"forever,omitempty"` // runs until it is stopped
	Output  string `json:"output,omitempty"`  // result if it succeeds
	// NonIdempotent makes a second run of the task, under any attempt number, a
	// violation in the ledger.
	NonIdempotent bool `json:"non-idempotent,omitempty"`
	// UsePercent is the percentage of its demand that the task actually uses; 0
	// means all of it.
	UsePercent int64 `json:"use-percent,omitempty"`
}

// decodeWork decodes a Work. If it is invalid, reason describes the error. An
// empty body is a task that ends at once.
func decodeWork(body []byte) (w Work, reason string) {
	if len(body) == 0 {
		return w, ""
	}
	if err := json.Unmarshal(body, &w); err != nil {
		return w, fmt.Sprintf("work is not valid: %v", err)
	}
	return w, ""
}

func (w Work) checkpoint(progress time.Duration) []byte {
	w.DoneMs += progress.Milliseconds()
	body, err := json.Marshal(w)
	if err != nil {
		return nil // cannot happen: the fields of Work always encode
	}
	return body
}

// attempt is one entry of the inventory. progress is the work done until
// progressAt, measured in run time at full speed.
type attempt struct {
	start      worker.Start
	work       Work
	state      worker.State
	reason     string
	result     []byte
	checkpoint []byte
	run        ledger.Run
	begin      time.Time
	end        time.Time
	progressAt time.Time
	progress   time.Duration
	percent    int
	usageLag   time.Duration
	timer      *time.Timer
	generation int // of the timer; a timer of an older generation has no effect
}

// updateProgress adds the progress made at the current speed since progressAt.
func (t *attempt) updateProgress() {
	now := time.Now()
	t.progress += now.Sub(t.progressAt) * time.Duration(t.percent) / fullPercent
	t.progressAt = now
}

// remaining returns how long the rest of the work takes at the current speed. It
// must be called right after updateProgress or at the start.
func (t *attempt) remaining() time.Duration {
	left := time.Duration(t.work.RunMs-t.work.DoneMs)*time.Millisecond - t.progress
	return max(0, left*fullPercent/time.Duration(t.percent))
}

func (t *attempt) report() worker.Attempt {
	r := worker.Attempt{Start: t.start, State: t.state, Reason: t.reason, Result: t.result, Checkpoint: t.checkpoint}
	r.Work = nil // omitted because the owner knows it and it may be large
	if t.begin.IsZero() {
		return r
	}
	now, end := time.Now(), t.end
	if end.IsZero() {
		end = now
	}
	r.Ran, r.Age = end.Sub(t.begin), now.Sub(t.begin)
	if time.Since(t.begin) >= t.usageLag {
		r.Used = t.used()
	}
	return r
}

func (t *attempt) used() resource.Vector {
	percent := int64(fullPercent)
	if t.work.UsePercent > 0 {
		percent = t.work.UsePercent
	}
	d := t.start.Demand
	return resource.Vector{
		MilliCPU:     d.MilliCPU * percent / fullPercent * int64(t.percent) / fullPercent,
		MemoryMB:     d.MemoryMB * percent / fullPercent,
		Accelerators: d.Accelerators,
	}
}
