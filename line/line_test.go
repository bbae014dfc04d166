package line

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

type item struct {
	key        int
	removed    bool
	token      *CancelToken
	waitsCalls *int // number of calls of Waits; may be nil
}

func (i *item) Waits() bool {
	if i.waitsCalls != nil {
		*i.waitsCalls++
	}
	return !i.removed && !i.token.Cancelled()
}

func (i *item) CancelToken() *CancelToken { return i.token }

var _ Entry = (*item)(nil)

// The head is always the least entry that still waits, after any removals and
// cancellations.
func TestHeadIsLeast(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := Queue[*item]{Less: func(a, b *item) bool { return a.key < b.key }}
		var all []*item
		token := &CancelToken{}
		for n := range rapid.IntRange(1, 1200).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1, 2, 3:
				i := &item{key: rapid.IntRange(0, 1000).Draw(t, "key")*10_000 + n}
				if rapid.Bool().Draw(t, "in-cohort") {
					i.token = token
				}
				q.Push(i, len(all))
				all = append(all, i)
			case 4, 5, 6:
				if len(all) > 0 {
					all[rapid.IntRange(0, len(all)-1).Draw(t, "gone")].removed = true
				}
			case 7:
				if rapid.IntRange(0, 9).Draw(t, "cancel") == 0 {
					token.Cancel()
					token = &CancelToken{}
				}
			}
			all = slices.DeleteFunc(all, func(i *item) bool { return !i.Waits() })
			head := q.Head()
			if len(all) == 0 {
				if head != nil {
					t.Fatalf("head is %v, but no entry waits", head)
				}
				continue
			}
			if want := slices.MinFunc(all, func(a, b *item) int { return a.key - b.key }); head != want {
				t.Fatalf("head is %v, want %v", head, want)
			}
		}
		if got := len(q.Waiting()); got != len(all) {
			t.Fatalf("%d entries wait, want %d", got, len(all))
		}
	})
}

// The queue is compacted once most of its stored entries no longer wait.
func TestCompaction(t *testing.T) {
	q := Queue[*item]{Less: func(a, b *item) bool { return a.key < b.key }}
	q.Push(&item{}, 0)
	for n := range 100 * minCompaction {
		i := &item{key: n + 1}
		q.Push(i, 1)
		i.removed = true
	}
	if q.stored > minCompaction+1 {
		t.Errorf("%d entries are stored while at most 1 waits", q.stored)
	}
}

// Head drops the entries of a cancelled token without visiting each of them.
func TestCancelledRunIsDroppedAtOnce(t *testing.T) {
	q := Queue[*item]{Less: func(a, b *item) bool { return a.key < b.key }}
	token, waitsCalls := &CancelToken{}, 0
	for n := range 10_000 {
		q.Push(&item{key: n, token: token, waitsCalls: &waitsCalls}, n)
	}
	last := &item{key: 10_000}
	q.Push(last, 10_000)
	token.Cancel()
	waitsCalls = 0
	if head := q.Head(); head != last || waitsCalls > 1 {
		t.Errorf("head is %v after %d calls of Waits, want the last entry after at most 1", head, waitsCalls)
	}
}
