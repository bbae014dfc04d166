package queue

import "persimmonworks.example/persimmonworks/class"

// Candidate is the preferred task of one organisation, class and demand.
type Candidate struct {
	Item  *Item   // not to be changed
	Usage float64 // dominant share of the organisation midway through the start, divided by its weight

	sequence uint64
}

// Policy orders the candidates of a decision. Before must be a strict order.
type Policy interface {
	// Before reports whether a goes before b.
	Before(a, b Candidate) bool
	// ByArrival reports whether tasks go in the order of arrival, regardless
	// of their class and priority. Otherwise the class decides before
	// anything else.
	ByArrival() bool
}

// usageFirst is a Policy that, within a class, puts organisations with lower
// usage first, so that those above the best found so far need no look.
type usageFirst interface{ usageFirst() }

var (
	_ Policy     = Fair{}
	_ Policy     = FIFO{}
	_ usageFirst = Fair{}
)

// Fair prefers the more urgent class, then the organisation with the lower
// weighted usage, then the higher priority, then the older task.
type Fair struct{}

// Before implements Policy.
func (Fair) Before(a, b Candidate) bool {
	if x, y := rank(a.Item.Class), rank(b.Item.Class); x != y {
		return x < y
	}
	if a.Item.Organisation != b.Item.Organisation {
		if a.Usage != b.Usage {
			return a.Usage < b.Usage
		}
	} else if a.Item.Priority != b.Item.Priority {
		return a.Item.Priority > b.Item.Priority
	}
	return FIFO{}.Before(a, b)
}

// ByArrival implements Policy.
func (Fair) ByArrival() bool { return false }

func (Fair) usageFirst() {}

// FIFO prefers the older task, whosever it is. It is the baseline that other
// policies are compared with.
type FIFO struct{}

// Before implements Policy.
func (FIFO) Before(a, b Candidate) bool {
	if !a.Item.Enqueued.Equal(b.Item.Enqueued) {
		return a.Item.Enqueued.Before(b.Item.Enqueued)
	}
	return a.sequence < b.sequence
}

// ByArrival implements Policy.
func (FIFO) ByArrival() bool { return true }

// classes is the number of ranks.
const classes = 4

func rank(c class.Class) int {
	switch c {
	case class.Urgent:
		return 0
	case class.Interactive:
		return 1
	case class.Batch:
		return 2
	default:
		return 3
	}
}
