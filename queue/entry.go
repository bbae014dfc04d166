package queue

import "persimmonworks.example/persimmonworks/line"

// entry is a waiting task. It is stored in up to three priority queues, which
// drop it lazily once it no longer waits.
type entry struct {
	item     Item
	sequence uint64 // order of Push, which breaks ties
	bucket   *bucket
	group    *group
	removed  bool
}

var _ line.Entry = (*entry)(nil)

// Waits implements line.Entry.
func (e *entry) Waits() bool { return !e.removed && (e.group == nil || !e.group.token.Cancelled()) }

// CancelToken implements line.Entry.
func (e *entry) CancelToken() *line.CancelToken {
	if e.group == nil {
		return nil
	}
	return &e.group.token
}

func byArrival(a, b *entry) bool {
	if !a.item.Enqueued.Equal(b.item.Enqueued) {
		return a.item.Enqueued.Before(b.item.Enqueued)
	}
	return a.sequence < b.sequence
}

func byPriority(a, b *entry) bool {
	if a.item.Priority != b.item.Priority {
		return a.item.Priority > b.item.Priority
	}
	return byArrival(a, b)
}

func byDeadline(a, b *entry) bool {
	if !a.item.Deadline.Equal(b.item.Deadline) {
		return a.item.Deadline.Before(b.item.Deadline)
	}
	return a.sequence < b.sequence
}
