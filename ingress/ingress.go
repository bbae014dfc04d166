// Package ingress applies the limits of package intake to the connections of a server: it
// counts what clients hold, and refuses or closes those that hold it for nothing.
//
// Bytes are counted where they are read from a connection, so that headers, bodies, the
// framing of chunks and calls that are sent ahead all count. A call whose body is arriving
// when it has to go reads an intake.RefusedError, so that its handler can still answer; any
// other client only sees that its connection is closed.
//
// A new connection for which there is no place is accepted and waits in its first read, while
// connections that were served for long are told to close with their next answer. One that
// gets no place in time is answered by Refuse, if it has sent a call.
//
// Usage:
//
//	i := &ingress.Interface{Name: "callers", Limits: limits, Refuse: refuse, Log: log, Meter: meter}
//	server := &http.Server{Handler: handler}
//	i.Attach(server)
//	server.Serve(i.Listen(listener))
//	ingress.Sweep(ctx, i)  // applies the time limits until ctx ends
package ingress

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/intake"
)

const (
	sweepInterval = time.Second
	logInterval   = 10 * time.Second // between two lines about clients that were let go
	answerTime    = time.Second      // for a client that is let go to take the refusal
)

// Meter counts the clients that were let go, and observes how long others waited for a place.
type Meter interface {
	Count(name, outcome string)
	Observe(name string, d time.Duration)
}

// Interface bounds what the clients of one server hold. Set the exported fields, then call
// Attach and Listen.
type Interface struct {
	Name   string
	Limits intake.Limits
	// Refuse answers a call of a client that got no place. The headers Connection and
	// Retry-After are set. If it is nil, the answer is 503 without a body.
	Refuse http.Handler
	Log    event.Emitter
	Meter  Meter

	epoch   time.Time    // set by Listen
	gap     atomic.Int64 // least time between two calls of a connection
	bytes   atomic.Int64 // that count towards the limit
	leaving atomic.Int64 // part of bytes, of calls that were let go and have not ended

	mu        sync.Mutex
	next      uint64
	conns     map[uint64]*conn      // that are served
	held      map[string]int        // places by client
	queue     []*conn               // that wait for a place, first ones first
	refusing  int                   // connections that are open only to be refused
	looked    time.Time             // when it was last tried to make room for the queue
	reclaimed time.Time             // when no connection was found that makes no use of its place
	gone      map[intake.Reason]int // since the last log line
	logged    time.Time
}

type connKey struct{}

// Attach makes a server tell the interface what its connections are doing.
func (i *Interface) Attach(s *http.Server) {
	next := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		c, ok := q.Context().Value(connKey{}).(*conn)
		if !ok {
			next.ServeHTTP(w, q)
			return
		}
		if c.refused.Load() {
			i.refuse(w, q, c)
			return
		}
		c.handling.Store(true)
		defer c.handled()
		if c.closeNext.Load() {
			c.closeAfterAnswer(w)
		}
		if gap := i.Gap(); gap > 0 {
			c.pause(q.Context(), gap)
		}
		if q.Body == nil || q.Body == http.NoBody {
			c.enter(intake.Handling)
			next.ServeHTTP(w, q)
			return
		}
		// The server looks at the body of the request itself when the handler has returned.
		counted := *q
		counted.Body = &body{ReadCloser: q.Body, conn: c}
		c.arriving.Store(true)
		c.resume()
		next.ServeHTTP(w, &counted)
	})
	s.ConnContext = func(ctx context.Context, n net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, n)
	}
	s.ConnState = func(n net.Conn, state http.ConnState) {
		if c, ok := n.(*conn); ok && state == http.StateIdle {
			c.idle()
		}
	}
}

// Listen returns a listener whose connections are bounded.
func (i *Interface) Listen(l net.Listener) net.Listener {
	i.epoch = time.Now()
	return &listener{l, i}
}

// now returns the time since the epoch, which is cheaper to get than the time of day.
func (i *Interface) now() int64 { return int64(time.Since(i.epoch)) }

func (i *Interface) time(sinceEpoch int64) time.Time { return i.epoch.Add(time.Duration(sinceEpoch)) }

type listener struct {
	net.Listener
	owner *Interface
}

// Accept implements net.Listener. A connection that may not even wait is closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		n, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.owner.admit(n, time.Now()); c != nil {
			return c, nil
		}
		_ = n.Close() // the client learns it
	}
}

// clientOf returns the address of the other side without its port.
func clientOf(n net.Conn) string {
	host, _, err := net.SplitHostPort(n.RemoteAddr().String())
	if err != nil {
		return n.RemoteAddr().String()
	}
	return host
}

// views returns what is known of all connections. The caller must hold i.mu.
func (i *Interface) views() []intake.View {
	out := make([]intake.View, 0, len(i.conns))
	for _, c := range i.conns {
		if c.reason() == "" {
			out = append(out, c.view())
		}
	}
	return out
}

// makeRoom lets others go for bytes of c that have arrived, or returns an error if c has to
// go itself.
func (i *Interface) makeRoom(c *conn, now time.Time) error {
	i.mu.Lock()
	missing := i.bytes.Load() - i.leaving.Load() - i.Limits.Bytes
	if missing <= 0 {
		i.mu.Unlock()
		return nil
	}
	var gone []*conn
	// What was let go is still held until its handlers have ended.
	ok := i.leaving.Load() < i.Limits.Bytes/2
	if ok {
		var numbers []uint64
		numbers, ok = i.Limits.MakeRoomForBytes(i.views(), c.number, missing, now)
		for _, n := range numbers {
			gone = append(gone, i.conns[n])
		}
	}
	for _, g := range gone {
		g.leave()
	}
	i.mu.Unlock()
	for _, g := range gone {
		g.letGo(intake.NoRoomForBytes)
	}
	if ok {
		return nil
	}
	c.letGo(intake.NoRoomForBytes)
	return &intake.RefusedError{Reason: intake.NoRoomForBytes}
}

// note counts a client that was let go. The caller must not hold i.mu: a meter that is being
// read asks for Connections.
func (i *Interface) note(r intake.Reason) {
	i.mu.Lock()
	if i.gone == nil {
		i.gone = map[intake.Reason]int{}
	}
	i.gone[r]++
	i.mu.Unlock()
	i.Meter.Count("ingress."+i.Name+".closed", string(r))
}

// Connections returns how many connections are in a phase.
func (i *Interface) Connections(p intake.Phase) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	count := 0
	for _, c := range i.conns {
		if intake.Phase(c.phase.Load()) == p {
			count++
		}
	}
	return count
}

// Waiting returns how many connections wait for a place.
func (i *Interface) Waiting() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.queue)
}

// Bytes returns how many bytes count towards the limit.
func (i *Interface) Bytes() int64 { return i.bytes.Load() }

// Gap returns the least time between two calls of a connection, 0 for none.
func (i *Interface) Gap() time.Duration { return time.Duration(i.gap.Load()) }

// Sweep applies the time limits of interfaces until ctx ends, and holds back connections that
// never pause while the process runs late.
func Sweep(ctx context.Context, all ...*Interface) error {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-t.C:
			late := time.Since(now)
			for _, i := range all {
				if i.Limits.Paced {
					i.gap.Store(int64(intake.Pace(i.Gap(), late)))
				}
				i.sweep(now)
			}
		}
	}
}

type overdue struct {
	conn   *conn
	reason intake.Reason
}

func (i *Interface) sweep(now time.Time) {
	i.mu.Lock()
	var late []overdue
	for _, c := range i.conns {
		if c.reason() != "" {
			continue
		}
		if r := i.Limits.Overdue(c.view(), now); r != "" {
			late = append(late, overdue{c, r})
		}
	}
	for _, o := range late {
		o.conn.leave()
	}
	fields := i.report(now)
	i.mu.Unlock()
	for _, o := range late {
		o.conn.letGo(o.reason)
	}
	if fields != nil {
		i.Log.Emit(event.ClientsLetGo, fields...)
	}
}

// report returns the fields of a log line about the clients that were let go since the last
// one, nil for no line. The caller must hold i.mu.
func (i *Interface) report(now time.Time) []any {
	if len(i.gone) == 0 || now.Sub(i.logged) < logInterval {
		return nil
	}
	fields := []any{"interface", i.Name, "connections", len(i.conns), "most-connections", i.Limits.Connections, "bytes", i.bytes.Load(), "most-bytes", i.Limits.Bytes}
	for _, r := range intake.Reasons {
		fields = append(fields, "closed-"+string(r), i.gone[r])
	}
	i.gone, i.logged = nil, now
	return fields
}
