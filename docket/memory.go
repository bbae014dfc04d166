package docket

import (
	"unsafe"

	"google.golang.org/protobuf/proto"

	"persimmonworks.example/persimmonworks/wire"
)

// Memory that is counted besides the fields of a job, in bytes.
const (
	jobBytes   = 1100 // of a decoded job without its steps, and of its place in the docket
	endedBytes = 700  // of one that was trimmed
	stepBytes  = 260  // of a decoded step
	openBytes  = 400  // of the state of one occurrence of a step without its tasks, ready or not
	taskBytes  = int64(unsafe.Sizeof(Task{}))
)

// Bytes estimates the memory that the docket takes. For a job that has not ended it counts
// the state of at least one occurrence, so that each job can always go on.
func (d *Docket) Bytes() int64 { return d.bytes }

// JobBytes estimates the memory that a docket takes for a job that it has just accepted.
func JobBytes(job *wire.DocketAccepted) int64 { return acceptedBytes(job) + OccurrenceBytes(job) }

// OccurrenceBytes estimates the memory that the state of one occurrence of a job takes.
func OccurrenceBytes(job *wire.DocketAccepted) int64 {
	n := int64(0)
	for _, s := range job.GetSteps() {
		n += openBytes + taskBytes*int64(s.GetCount())
	}
	return n
}

func acceptedBytes(job *wire.DocketAccepted) int64 {
	if len(job.GetSteps()) == 0 {
		return endedBytes + int64(proto.Size(job))
	}
	return jobBytes + stepBytes*int64(len(job.GetSteps())) + int64(proto.Size(job))
}

// Trim drops what the job was accepted with, but for its name, queue and times, once it has
// ended and nothing of it is active, or another docket has it: its end, or where it is, is all
// that callers may still ask for.
func (d *Docket) Trim(j *Job) {
	if !j.Terminal() && !j.moveConfirmed || j.active > 0 || len(j.accepted.GetSteps()) == 0 {
		return
	}
	a := j.accepted
	j.accepted = &wire.DocketAccepted{
		Job: a.GetJob(), Queue: a.GetQueue(), AcceptedMs: a.GetAcceptedMs(), FirstDueMs: a.GetFirstDueMs(),
		IntervalMs: a.GetIntervalMs(), Repeat: a.GetRepeat(), Moved: a.GetMoved(), Moves: a.GetMoves(),
		Organisation: a.GetOrganisation(),
	}
	j.acceptedBytes, j.occurrenceBytes = acceptedBytes(j.accepted), 0
	d.count(j)
}

// count updates the bytes that are counted for a job.
func (d *Docket) count(j *Job) {
	occurrences := len(j.open)
	if !j.Terminal() && !j.moved {
		occurrences = max(1, occurrences)
	}
	n := j.acceptedBytes + int64(occurrences)*j.occurrenceBytes
	d.bytes += n - j.counted
	j.counted = n
}
