// Package intake decides what a process takes in from clients that it does not control,
// and whom it lets go when there is no room.
//
// Two things are bounded at each interface: the connections that are open, and the bytes
// of calls that are being read. A call costs what has arrived of it, never what its header
// claims. The first bytes of a call are covered by the price of its connection, so that
// ordinary calls never meet the bound on bytes, however many large ones are on the way.
//
// Where there is no room, the clients that hold more than an equal share are let go first,
// in the order: connections without a call, calls of which nothing arrives any more, calls
// that have been arriving for long. A client below an equal share also takes the room of
// busy calls of those above it. A call that has arrived whole is never let go.
//
// If that makes no room for a new connection, it waits a moment for a place, and connections
// that have been served for a turn end after the call that they are in: first those of
// clients that hold the most places.
//
// The package reads no clock and does no input or output: times come in as arguments.
//
// Usage:
//
//	l := intake.Divide(memory, descriptors).Callers
//	gone := l.MakeRoomForConnections(views, now)
//	gone, ok := l.MakeRoomForBytes(views, number, bytes, now)
//	asked := l.GiveWay(views, waiting, now) // when the first made no room
package intake

import (
	"cmp"
	"slices"
	"time"
)

// Limits bound one interface.
type Limits struct {
	Connections int           // that are open at a time
	Bytes       int64         // of all calls that are being read, beyond FreeBytes of each
	FreeBytes   int64         // of each call that Bytes does not count
	Stall       time.Duration // without progress after which a call or an answer is given up
	Whole       time.Duration // for a call to arrive
	Paced       bool          // whether connections that never pause are held back while the process runs late
}

// Phase is what a connection is doing.
type Phase int32

// Phases of a connection.
const (
	Idle     Phase = iota // no call has begun
	Reading               // a call is arriving
	Handling              // a call has arrived whole
	Phases                // how many there are
)

// String returns the name of a phase as metrics show it.
func (p Phase) String() string { return [...]string{"idle", "reading", "handling"}[p] }

// View is what is known of a connection at a moment.
type View struct {
	Number   uint64 // of the connection
	Client   string // address without port
	Phase    Phase
	Opened   time.Time // when the connection got its place
	Leaving  bool      // ends after its call
	Since    time.Time // start of the phase
	Progress time.Time // last bytes that arrived
	Writing  time.Time // start of a write that has not ended, zero if there is none
	Held     int64     // bytes that count
}

// Reason says why a client is let go.
type Reason string

// Reasons to let a client go.
const (
	NoRoomForBytes       Reason = "bytes"       // of the calls that are being read
	NoRoomForConnections Reason = "connections" // that are open
	Stalled              Reason = "stalled"     // nothing arrives of its call
	Slow                 Reason = "slow"        // its call takes too long to arrive
	Unread               Reason = "unread"      // it does not read its answer
	Turn                 Reason = "turn"        // it was served for long, and others wait
)

// Reasons lists all reasons.
var Reasons = []Reason{NoRoomForBytes, NoRoomForConnections, Stalled, Slow, Unread, Turn}

const (
	stallLeast = time.Second            // without progress before a call counts as stalled where there is no room
	slowLeast  = 3 * time.Second        // for a call to arrive before it counts as slow where there is no room
	idleLeast  = 250 * time.Millisecond // for a new connection to send something
	batch      = 16                     // part of a bound that is freed at a time
)

// Overdue returns why a connection has to go whether there is room or not, "" if it may
// stay.
func (l Limits) Overdue(v View, now time.Time) Reason {
	switch {
	case !v.Writing.IsZero() && now.Sub(v.Writing) > l.Stall:
		return Unread
	case v.Phase != Reading:
		return ""
	case now.Sub(v.Progress) > l.Stall:
		return Stalled
	case now.Sub(v.Since) > l.Whole:
		return Slow
	}
	return ""
}

// Ranks of connections to let go, first ones first.
const (
	rankIdle = iota
	rankStalled
	rankSlow
	rankKept
)

// rank returns the rank of a connection and since when it has it.
func rank(v View, now time.Time) (int, time.Time) {
	switch {
	case !v.Writing.IsZero() && now.Sub(v.Writing) > stallLeast:
		return rankStalled, v.Writing
	case v.Phase == Idle && now.Sub(v.Since) > idleLeast:
		return rankIdle, v.Since
	case v.Phase == Reading && now.Sub(v.Progress) > stallLeast:
		return rankStalled, v.Progress
	case v.Phase == Reading && now.Sub(v.Since) > slowLeast:
		return rankSlow, v.Since
	}
	return rankKept, now
}

// candidate is a connection that may be let go.
type candidate struct {
	View
	fair  bool // its client holds an equal share or less
	rank  int
	since time.Time
}

// shares is what each client takes of what there is no room for.
type shares struct {
	held  map[string]int64
	equal int64 // share of each client
}

func newShares(views []View, weight func(View) int64) shares {
	s := shares{held: map[string]int64{}}
	var all int64
	for _, v := range views {
		s.held[v.Client] += weight(v)
		all += weight(v)
	}
	s.equal = all / int64(max(1, len(s.held)))
	return s
}

// below reports whether a client holds less than an equal share.
func (s shares) below(client string) bool { return s.held[client] < s.equal }

// order returns the connections that may be let go, first ones first. weight is what a
// connection takes of what there is no room for.
func order(views []View, now time.Time, weight func(View) int64) []candidate {
	s := newShares(views, weight)
	var out []candidate
	for _, v := range views {
		if weight(v) == 0 {
			continue
		}
		if r, since := rank(v, now); r < rankKept {
			out = append(out, candidate{v, s.below(v.Client), r, since})
		}
	}
	slices.SortFunc(out, func(a, b candidate) int {
		if a.fair != b.fair {
			if a.fair {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(a.rank, b.rank), a.since.Compare(b.since), cmp.Compare(a.Number, b.Number))
	})
	return out
}

// MakeRoomForConnections returns whom to let go so that another connection can be opened.
// If it returns nobody, the new one has to go.
func (l Limits) MakeRoomForConnections(views []View, now time.Time) []uint64 {
	var gone []uint64
	for _, c := range order(views, now, func(View) int64 { return 1 }) {
		if len(gone) >= max(1, l.Connections/batch) {
			break
		}
		gone = append(gone, c.Number)
	}
	return gone
}

// MakeRoomForBytes returns whom to let go so that a call can go on arriving. missing is by
// how much the bytes exceed the bound. If the others cannot make that room, ok is false and
// the call itself has to go.
func (l Limits) MakeRoomForBytes(views []View, number uint64, missing int64, now time.Time) (gone []uint64, ok bool) {
	var freed int64
	for _, c := range order(views, now, heldBytes) {
		if freed >= missing+l.Bytes/batch {
			break
		}
		if c.Number == number || c.Phase != Reading {
			continue
		}
		gone = append(gone, c.Number)
		freed += c.Held
	}
	if freed >= missing {
		return gone, true
	}
	for _, v := range busiest(views, number, gone) {
		if freed >= missing {
			break
		}
		gone = append(gone, v.Number)
		freed += v.Held
	}
	if freed < missing {
		return nil, false
	}
	return gone, true
}

// busiest returns the calls that make progress and still give way to the one that needs
// room, largest first: those of clients above an equal share, for a client below it.
func busiest(views []View, number uint64, gone []uint64) []View {
	s := newShares(views, heldBytes)
	i := slices.IndexFunc(views, func(v View) bool { return v.Number == number })
	if i < 0 || !s.below(views[i].Client) {
		return nil
	}
	var out []View
	for _, v := range views {
		if v.Phase == Reading && v.Held > 0 && !s.below(v.Client) && !slices.Contains(gone, v.Number) {
			out = append(out, v)
		}
	}
	slices.SortFunc(out, func(a, b View) int { return cmp.Or(cmp.Compare(b.Held, a.Held), cmp.Compare(a.Number, b.Number)) })
	return out
}

func heldBytes(v View) int64 { return v.Held }

// RefusedError is the error of reading from a client that was let go. It counts as a
// timeout, so that http.Server closes the connection without an answer of its own.
type RefusedError struct {
	Reason Reason
}

// Error implements error.
func (r *RefusedError) Error() string {
	switch r.Reason {
	case NoRoomForBytes, NoRoomForConnections:
		return "too many calls are arriving"
	case Unread:
		return "the answer is not read"
	}
	return "the call does not arrive whole"
}

// Timeout implements net.Error.
func (*RefusedError) Timeout() bool { return true }

// Temporary implements net.Error.
func (*RefusedError) Temporary() bool { return true }
