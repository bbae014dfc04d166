package agent

import (
	"encoding/json"
	"fmt"
	"time"

	"persimmonworks.example/persimmonworks/ledger"
	"persimmonworks.example/persimmonworks/resource"
	"persimmonworks.example/persimmonworks/worker"
)

// fullPercent is the pace of an attempt that is not throttled.
const fullPercent = 100

// Work is what a task of the stand-in does. A checkpoint is a Work in JSON
// that goes on from where the attempt stopped.
type Work struct {
	RunMs   int64  `json:"run-ms"`            // length at full pace
	DoneMs  int64  `json:"done-ms,omitempty"` // already done by earlier attempts
	Fail    bool   `json:"fail,omitempty"`    // fails at the end
	Forever bool   `json:"forever,omitempty"` // never ends by itself
	Output  string `json:"output,omitempty"`  // result if it succeeds
	// NonIdempotent makes a second run, of any attempt, a violation.
	NonIdempotent bool `json:"non-idempotent,omitempty"`
	// UsePercent is the share of its demand that the task really uses; 0 is
	// all of it.
	UsePercent int64 `json:"use-percent,omitempty"`
}

// decodeWork returns the work, or the reason why it cannot run. No work at all
// ends at once.
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
		return nil // a Work has only numbers and text, which always encode
	}
	return body
}

// attempt is one entry of the inventory. Progress counts time at full pace, up
// to the time since.
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
	since      time.Time
	progress   time.Duration
	percent    int
	usageLag   time.Duration
	timer      *time.Timer
	generation int // of the timer; one of an older generation does nothing
}

// settle counts the progress made at the present pace.
func (t *attempt) settle() {
	now := time.Now()
	t.progress += now.Sub(t.since) * time.Duration(t.percent) / fullPercent
	t.since = now
}

// remaining returns how long the rest of the work takes at the present pace.
// It is valid right after settle or at the start.
func (t *attempt) remaining() time.Duration {
	left := time.Duration(t.work.RunMs-t.work.DoneMs)*time.Millisecond - t.progress
	return max(0, left*fullPercent/time.Duration(t.percent))
}

func (t *attempt) report() worker.Attempt {
	r := worker.Attempt{Start: t.start, State: t.state, Reason: t.reason, Result: t.result, Checkpoint: t.checkpoint}
	r.Work = nil // the owner knows it, and it would fill the message
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
