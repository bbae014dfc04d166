package line

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

type item struct {
	key    int
	gone   bool
	cohort *Cohort
	asked  *int // calls of Waits
}

func (i *item) Waits() bool {
	if i.asked != nil {
		*i.asked++
	}
	return !i.gone && !i.cohort.Cancelled()
}

func (i *item) Cohort() *Cohort { return i.cohort }

var _ Entry = (*item)(nil)

// The head is always the least entry that waits, whatever leaves from the
// middle or with its cohort.
func TestHeadIsLeast(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Line[*item]{Less: func(a, b *item) bool { return a.key < b.key }}
		var all []*item
		cohort := &Cohort{}
		for n := range rapid.IntRange(1, 1200).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1, 2, 3:
				i := &item{key: rapid.IntRange(0, 1000).Draw(t, "key")*10_000 + n}
				if rapid.Bool().Draw(t, "in-cohort") {
					i.cohort = cohort
				}
				l.Push(i, len(all))
				all = append(all, i)
			case 4, 5, 6:
				if len(all) > 0 {
					all[rapid.IntRange(0, len(all)-1).Draw(t, "gone")].gone = true
				}
			case 7:
				if rapid.IntRange(0, 9).Draw(t, "cancel") == 0 {
					cohort.Cancel()
					cohort = &Cohort{}
				}
			}
			all = slices.DeleteFunc(all, func(i *item) bool { return !i.Waits() })
			head := l.Head()
			if len(all) == 0 {
				if head != nil {
					t.Fatalf("the head is %v, but nothing waits", head)
				}
				continue
			}
			if want := slices.MinFunc(all, func(a, b *item) int { return a.key - b.key }); head != want {
				t.Fatalf("the head is %v, want %v", head, want)
			}
		}
		if got := len(l.Waiting()); got != len(all) {
			t.Fatalf("%d wait, want %d", got, len(all))
		}
	})
}

// Entries that have left are dropped once they are most of the line.
func TestCompaction(t *testing.T) {
	l := Line[*item]{Less: func(a, b *item) bool { return a.key < b.key }}
	l.Push(&item{}, 0)
	for n := range 100 * minCompaction {
		i := &item{key: n + 1}
		l.Push(i, 1)
		i.gone = true
	}
	if l.stored > minCompaction+1 {
		t.Errorf("%d entries are stored, of which 1 waits", l.stored)
	}
}

// A cancelled cohort leaves the front of a line together, however large.
func TestCancelledCohortLeavesTogether(t *testing.T) {
	l := Line[*item]{Less: func(a, b *item) bool { return a.key < b.key }}
	cohort, asked := &Cohort{}, 0
	for n := range 10_000 {
		l.Push(&item{key: n, cohort: cohort, asked: &asked}, n)
	}
	last := &item{key: 10_000}
	l.Push(last, 10_000)
	cohort.Cancel()
	asked = 0
	if head := l.Head(); head != last || asked > 1 {
		t.Errorf("the head is %v, after asking %d of 10,000 cancelled entries", head, asked)
	}
}
