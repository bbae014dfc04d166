package experiment

import (
	"container/heap"
	"time"
)

// agenda holds what happens later, in virtual time. What happens at one time
// keeps the order in which it was added.
type agenda[E any] struct {
	list  []happening[E]
	added int
}

type happening[E any] struct {
	at       time.Duration
	sequence int
	event    E
}

func (a *agenda[E]) add(at time.Duration, event E) {
	a.added++
	heap.Push(a, happening[E]{at, a.added, event})
}

func (a *agenda[E]) next() (at time.Duration, event E, ok bool) {
	if len(a.list) == 0 {
		return 0, event, false
	}
	h := heap.Pop(a).(happening[E])
	return h.at, h.event, true
}

// first returns when the next thing happens.
func (a *agenda[E]) first() (at time.Duration, ok bool) {
	if len(a.list) == 0 {
		return 0, false
	}
	return a.list[0].at, true
}

// due reports whether more happens at the time.
func (a *agenda[E]) due(at time.Duration) bool { return len(a.list) > 0 && a.list[0].at <= at }

// Len implements heap.Interface.
func (a *agenda[E]) Len() int { return len(a.list) }

// Less implements heap.Interface.
func (a *agenda[E]) Less(i, j int) bool {
	if a.list[i].at != a.list[j].at {
		return a.list[i].at < a.list[j].at
	}
	return a.list[i].sequence < a.list[j].sequence
}

// Swap implements heap.Interface.
func (a *agenda[E]) Swap(i, j int) { a.list[i], a.list[j] = a.list[j], a.list[i] }

// Push implements heap.Interface.
func (a *agenda[E]) Push(x any) { a.list = append(a.list, x.(happening[E])) }

// Pop implements heap.Interface.
func (a *agenda[E]) Pop() any {
	last := len(a.list) - 1
	h := a.list[last]
	a.list = a.list[:last]
	return h
}
