package dispatch

import (
	"time"

	"persimmonworks.example/persimmonworks/joblog"

	"persimmonworks.example/persimmonworks/job"
	"persimmonworks.example/persimmonworks/queue"
	"persimmonworks.example/persimmonworks/wire"
	"persimmonworks.example/persimmonworks/worker"
)

// delayedTask is a task that waits for its retry backoff to pass.
type delayedTask struct {
	readyAt time.Time
	item    queue.Item
}

// shard is the state of a job shard that this process owns.
type shard struct {
	name         string
	epoch        uint64
	store        *joblog.Store
	state        *job.ShardState
	lastSequence uint64
	// inventoried holds the racks that have reported a complete inventory under
	// this epoch. It is nil once all racks have.
	inventoried map[string]bool
	// unresolved holds the open tasks of earlier epochs whose granted attempt may
	// have been sent but has not been found on a rack yet.
	unresolved  map[string]bool
	pending     []pendingEntry      // entries of the next commit
	inFlight    []pendingEntry      // entries of the current commit, which may have taken effect
	pendingEnds map[worker.Ref]bool // attempts whose end is being committed
	committing  bool
	nextCommit  time.Time
	links       map[string]*ownerLink
	// inventoryOwners holds, for each rack, the owner that was last asked for the
	// inventory of the rack.
	inventoryOwners map[string]RackOwner
	sent            map[worker.Ref]*sentAttempt
	finishedAt      map[string]time.Time
	archiving       bool
	nextArchive     time.Time
	pendingCancels  map[string]int // number of uncommitted cancellations by job
}

// sentAttempt is a granted attempt that is assigned to a rack and may run there.
type sentAttempt struct {
	item       queue.Item
	rack       string
	sequence   uint64 // of the message with its placement; 0 until that is sent
	uncertain  bool   // no answer to that message; the rack may have the attempt
	stopping   bool   // the rack owner has been asked to stop it
	mayPreempt bool   // the rack may preempt batch work for it
}

// pendingEntry is an entry that is not durable yet, with the actions to take once
// it is.
type pendingEntry struct {
	entry            job.Entry
	reply            chan<- Outcome   // for the caller of Submit or Cancel
	duplicateReplies []chan<- Outcome // for later submissions with the same idempotency key
	ackTo            string           // process to which the end is acknowledged
	ref              worker.Ref
	urgent           bool
}

// ownerLink holds the outgoing messages of a job shard to one rack owner.
type ownerLink struct {
	placements     []*wire.Placement
	stops          []*wire.AttemptRef
	acks           []*wire.AttemptRef
	needsInventory bool // the next message asks for complete inventories
	syncing        bool // a message is in flight
	nextSync       time.Time
	lastActivity   time.Time // when an attempt last started or ended
}

// syncInterval returns the time until the next sync if there is nothing to send.
func (l *ownerLink) syncInterval(now time.Time) time.Duration {
	if now.Sub(l.lastActivity) < activePeriod {
		return activeSyncInterval
	}
	return idleSyncInterval
}
