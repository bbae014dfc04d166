package docket

import "persimmonworks.example/persimmonworks/wire"

// Accept returns the entry that accepts a job.
func Accept(job *wire.DocketAccepted) *wire.DocketEntry {
	return &wire.DocketEntry{Kind: &wire.DocketEntry_Accepted{Accepted: job}}
}

// Start returns the entry that starts a run of a task on the incarnation of a worker
// that started at the given time, in Unix milliseconds.
func Start(t TaskID, run uint32, worker string, workerStartedAt int64) *wire.DocketEntry {
	return &wire.DocketEntry{Kind: &wire.DocketEntry_Started{
		Started: &wire.DocketStarted{Task: t.Name(), Run: run, Worker: worker, BornMs: workerStartedAt},
	}}
}

// End returns the entry that ends a run of a task.
func End(t TaskID, run uint32, outcome wire.DocketOutcome, checkpoint string, atMS int64) *wire.DocketEntry {
	return &wire.DocketEntry{Kind: &wire.DocketEntry_Ended{
		Ended: &wire.DocketEnded{Task: t.Name(), Run: run, Outcome: outcome, Checkpoint: checkpoint, AtMs: atMS},
	}}
}

// CrashRecord is what the end of a worker's process means for a run that was on it.
type CrashRecord struct {
	Run     uint32
	Counts  bool // as a crash under the task; the run had begun
	Suspect bool // the run may have been the cause
	GivenUp bool // the task is given up, and its job fails
}

// Crash returns the entry that records that the process of a worker ended while a run of
// the task was on it.
func Crash(t TaskID, r CrashRecord, atMS int64) *wire.DocketEntry {
	return &wire.DocketEntry{Kind: &wire.DocketEntry_Crashed{Crashed: &wire.DocketCrashed{
		Task: t.Name(), Run: r.Run, Counts: r.Counts, Suspect: r.Suspect, GivenUp: r.GivenUp, AtMs: atMS,
	}}}
}

// Observe returns the entry that records that a worker has begun a run, or has reported it
// as running for a while.
func Observe(t TaskID, run uint32, settled bool) *wire.DocketEntry {
	return &wire.DocketEntry{Kind: &wire.DocketEntry_Observed{Observed: &wire.DocketObserved{Task: t.Name(), Run: run, Settled: settled}}}
}

// Cancel returns the entry that cancels a job.
func Cancel(job string, atMS int64) *wire.DocketEntry {
	return &wire.DocketEntry{Kind: &wire.DocketEntry_Cancelled{Cancelled: &wire.DocketCancelled{Job: job, AtMs: atMS}}}
}

// Move returns the entry that marks a job as moved to another docket.
func Move(job string, to int) *wire.DocketEntry {
	return &wire.DocketEntry{Kind: &wire.DocketEntry_Moved{Moved: &wire.DocketMoved{Job: job, Docket: uint32(to)}}}
}

// ConfirmMove returns the entry that records that the other docket has accepted a moved job.
func ConfirmMove(job string, atMS int64) *wire.DocketEntry {
	return &wire.DocketEntry{Kind: &wire.DocketEntry_Moved{Moved: &wire.DocketMoved{Job: job, Confirmed: true, AtMs: atMS}}}
}

// Forget returns the entry that deletes a job that has ended.
func Forget(job string) *wire.DocketEntry {
	return &wire.DocketEntry{Kind: &wire.DocketEntry_Forgotten{Forgotten: &wire.DocketForgotten{Job: job}}}
}

// ReachWorker returns the entry that records where an incarnation of a worker listens.
// An empty address removes the worker.
func ReachWorker(id, address string, startedAt int64) *wire.DocketEntry {
	return &wire.DocketEntry{Kind: &wire.DocketEntry_Worker{
		Worker: &wire.DocketWorker{Worker: id, Address: address, BornMs: startedAt},
	}}
}

// Learn returns the entry that records what the owner has learnt of run times.
func Learn(l *wire.DocketLearnt) *wire.DocketEntry {
	return &wire.DocketEntry{Kind: &wire.DocketEntry_Learnt{Learnt: l}}
}

// LearnSpeeds returns the entry that records what the owner has learnt of the speeds of
// workers.
func LearnSpeeds(s *wire.DocketSpeeds) *wire.DocketEntry {
	return &wire.DocketEntry{Kind: &wire.DocketEntry_Speeds{Speeds: s}}
}
