// Package agenda keeps what happens later in virtual time.
//
// Usage:
//
//	var a agenda.Agenda[event]
//	a.Add(3*time.Second, e)
//	at, e, ok := a.Next()
package agenda

import (
	"container/heap"
	"time"
)

// Agenda holds what happens later, in virtual time. The zero value is empty. What happens at one time
// keeps the order in which it was added.
type Agenda[E any] struct {
	list  []happening[E]
	added int
}

type happening[E any] struct {
	at       time.Duration
	sequence int
	event    E
}

// Add adds an event at a time since the start.
func (a *Agenda[E]) Add(at time.Duration, event E) {
	a.added++
	heap.Push(a, happening[E]{at, a.added, event})
}

// Next takes the next event out.
func (a *Agenda[E]) Next() (at time.Duration, event E, ok bool) {
	if len(a.list) == 0 {
		return 0, event, false
	}
	h := heap.Pop(a).(happening[E])
	return h.at, h.event, true
}

// First returns when the next thing happens.
func (a *Agenda[E]) First() (at time.Duration, ok bool) {
	if len(a.list) == 0 {
		return 0, false
	}
	return a.list[0].at, true
}

// Due reports whether more happens at the time.
func (a *Agenda[E]) Due(at time.Duration) bool { return len(a.list) > 0 && a.list[0].at <= at }

// Pending returns the events that are still to come, in no order.
func (a *Agenda[E]) Pending() []E {
	pending := make([]E, 0, len(a.list))
	for _, h := range a.list {
		pending = append(pending, h.event)
	}
	return pending
}

// Len implements heap.Interface.
func (a *Agenda[E]) Len() int { return len(a.list) }

// Less implements heap.Interface.
func (a *Agenda[E]) Less(i, j int) bool {
	if a.list[i].at != a.list[j].at {
		return a.list[i].at < a.list[j].at
	}
	return a.list[i].sequence < a.list[j].sequence
}

// Swap implements heap.Interface.
func (a *Agenda[E]) Swap(i, j int) { a.list[i], a.list[j] = a.list[j], a.list[i] }

// Push implements heap.Interface.
func (a *Agenda[E]) Push(x any) { a.list = append(a.list, x.(happening[E])) }

// Pop implements heap.Interface.
func (a *Agenda[E]) Pop() any {
	last := len(a.list) - 1
	h := a.list[last]
	a.list = a.list[:last]
	return h
}
