package queue

import "persimmonworks.example/persimmonworks/class"

// Candidate is the preferred task of one organisation, class and demand.
type Candidate struct {
	Item  *Item   // not to be changed
	Usage float64 // weighted usage of the organisation, with half of what the start would add

	sequence uint64
}

// Policy orders the candidates of a decision. Before must be a strict order.
type Policy interface {
	// Before reports whether a goes before b.
	Before(a, b Candidate) bool
	// ByArrival reports whether tasks start in order of arrival, regardless of
	// class and priority. Otherwise the class takes precedence over Before.
	ByArrival() bool
}

// usageFirst is a Policy that orders the organisations of a class by usage, so
// that those with a higher usage than the best candidate so far can be skipped.
type usageFirst interface{ usageFirst() }

var (
	_ Policy     = Fair{}
	_ Policy     = FIFO{}
	_ usageFirst = Fair{}
)

// Fair is weighted fair sharing: it orders tasks by class, then by weighted usage
// of the organisation, then by priority and age.
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

// FIFO orders tasks by age only. It is the baseline that other policies are
// compared with.
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

// numRanks is the number of ranks of classes.
const numRanks = 4

// rank returns the rank of a class, 0 for the most urgent.
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
