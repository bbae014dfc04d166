package intake

import (
	"cmp"
	"slices"
	"time"
)

const (
	waitingPart  = 8  // part of the connections that may wait for a place
	refusingPart = 16 // part that is refused with an answer
	reservePart  = 16 // part of the places that only clients without a place take

	// turnLeast is how long a connection is served before it gives its place to a client that
	// holds as many.
	turnLeast = 500 * time.Millisecond
	// WaitMost is how long a new connection waits for a place.
	WaitMost = 1500 * time.Millisecond

	retryLeast = time.Second
	retrySteps = 3 // that callers which were refused are spread over, a second apart
)

// Waiter is a connection that waits for a place.
type Waiter struct {
	Number uint64
	Client string
}

// Waiting returns how many connections may wait for a place.
func (l Limits) Waiting() int { return max(1, l.Connections/waitingPart) }

// Refusing returns how many connections may be open only to be refused with an answer.
func (l Limits) Refusing() int { return max(1, l.Connections/refusingPart) }

// Places returns how many connections are served at a time.
func (l Limits) Places() int { return max(1, l.Connections-l.Waiting()-l.Refusing()) }

// HasPlace reports whether one more connection can be served, when so many are and the client
// holds so many of them. The last places are for clients that hold none.
func (l Limits) HasPlace(served, held int) bool {
	if held == 0 {
		return served < l.Places()
	}
	return served < l.Places()-l.Places()/reservePart
}

// First returns the index of the waiter that goes before the others: the first one of a client
// that holds the fewest places. There must be one.
func First(waiting []Waiter, held map[string]int) int {
	first := 0
	for i, w := range waiting {
		if held[w.Client] < held[waiting[first].Client] {
			first = i
		}
	}
	return first
}

// Displaced returns the index of the waiter that leaves a full queue for another client's
// connection: the last one of the client with the most connections, served or waiting, if it
// has at least two more than the other. It returns -1 if the new connection has to go.
func Displaced(waiting []Waiter, held map[string]int, client string) int {
	open := map[string]int{client: held[client]}
	for _, w := range waiting {
		open[w.Client] = held[w.Client]
	}
	for _, w := range waiting {
		open[w.Client]++
	}
	last := -1
	for i, w := range waiting {
		if open[w.Client] > open[client]+1 && (last < 0 || open[w.Client] >= open[waiting[last].Client]) {
			last = i
		}
	}
	return last
}

// Yielding returns the connections that may be closed for one of a client: those of clients
// that hold as many places or more.
func Yielding(views []View, client string) []View {
	held := map[string]int{}
	for _, v := range views {
		held[v.Client]++
	}
	return slices.DeleteFunc(slices.Clone(views), func(v View) bool { return held[v.Client] < held[client] })
}

// GiveWay returns the connections that end after their call, so that others which wait get
// their places. A client that holds more places than the waiting one gives way at once,
// one that holds as many after a connection has been served for a turn, and one that holds
// fewer never. Clients with the most places go first, of these the connections that were
// served longest. A full queue stands for twice as many, since others were turned away.
func (l Limits) GiveWay(views []View, waiting []Waiter, now time.Time) []uint64 {
	held := map[string]int{}
	asked := 0
	var served []View
	for _, v := range views {
		held[v.Client]++
		if v.Leaving {
			asked++
			continue
		}
		served = append(served, v)
	}
	slices.SortFunc(served, func(a, b View) int {
		return cmp.Or(cmp.Compare(held[b.Client], held[a.Client]), a.Opened.Compare(b.Opened), cmp.Compare(a.Number, b.Number))
	})
	wanted := waiting
	if len(waiting) >= l.Waiting() {
		wanted = slices.Concat(waiting, waiting)
	}
	var out []uint64
	for _, w := range wanted[min(asked, len(wanted)):] {
		i := slices.IndexFunc(served, func(v View) bool { return givesWay(v, held[v.Client], held[w.Client], now) })
		if i < 0 {
			continue
		}
		out = append(out, served[i].Number)
		held[served[i].Client]--
		served = slices.Delete(served, i, i+1)
	}
	return out
}

// givesWay reports whether a connection of a client with so many places gives way to one of
// a client with others.
func givesWay(v View, held, others int, now time.Time) bool {
	if held > others+1 {
		return true
	}
	return held >= others && now.Sub(v.Opened) >= turnLeast
}

// RetryAfter returns when a client that was refused for want of a place may come back. Those
// that are refused at the same moment come back one after another.
func RetryAfter(number uint64) time.Duration {
	return retryLeast + time.Duration(number%retrySteps)*time.Second
}
