package dispatch

import (
	"time"

	"persimmonworks.example/persimmonworks/joblog"

	"persimmonworks.example/persimmonworks/job"
	"persimmonworks.example/persimmonworks/queue"
	"persimmonworks.example/persimmonworks/wire"
	"persimmonworks.example/persimmonworks/worker"
)

// delayed is a task that is queued again after a pause.
type delayed struct {
	at   time.Time
	item queue.Item
}

// shard is a job shard that this process owns.
type shard struct {
	name     string
	epoch    uint64
	store    *joblog.Store
	book     *job.Book
	sequence uint64
	// covered holds the racks whose complete inventory has been seen under
	// this epoch; nil once all have been.
	covered map[string]bool
	// unresolved are tasks of earlier epochs whose granted attempt has not
	// been found on a rack yet.
	unresolved map[string]bool
	pending    []pendingEntry
	frozen     []pendingEntry // a batch whose write may have taken effect
	ending     map[worker.Ref]bool
	committing bool
	nextCommit time.Time
	links      map[string]*link
	// owners holds the owner of each rack that was last asked for its inventory.
	owners      map[string]Owner
	sent        map[worker.Ref]*sending
	finished    map[string]time.Time
	archiving   bool
	nextArchive time.Time
	cancelling  map[string]int // undecided cancellations by job
}

// sending is a granted attempt that may be on a rack.
type sending struct {
	item      queue.Item
	rack      string
	sequence  uint64 // of the message that carried it; 0 until it is sent
	uncertain bool   // the answer to the message was lost
	stopping  bool
	preempt   bool // the rack may stop batch work for it
}

type pendingEntry struct {
	entry  job.Entry
	done   chan<- Outcome   // of a submission or a cancellation
	others []chan<- Outcome // of later submissions under the same idempotency key
	ackTo  string           // process to acknowledge to once durable
	ref    worker.Ref
	urgent bool
}

// link is the conversation about one job shard with one process.
type link struct {
	placements []*wire.Placement
	stops      []*wire.AttemptRef
	acks       []*wire.AttemptRef
	inventory  bool
	busy       bool
	next       time.Time
	lively     time.Time // when an attempt last started or ended
}

// interval returns how long to wait for the next quiet sync.
func (l *link) interval(now time.Time) time.Duration {
	if now.Sub(l.lively) < livelyTime {
		return livelyInterval
	}
	return pollInterval
}
