package ingress

import (
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"persimmonworks.example/persimmonworks/intake"
)

const (
	lookInterval    = 100 * time.Millisecond // between two tries to make room for those that wait
	reclaimInterval = 5 * time.Millisecond   // between two tries for new connections, after one that found nothing
	refuseTime      = 500 * time.Millisecond // for the call of a client that is refused to arrive
	lingerTime      = 200 * time.Millisecond // for a client to take its last answer
)

// admit returns a new connection, which may have to wait in its first read. It returns nil if
// the connection may not stay open.
func (i *Interface) admit(n net.Conn, now time.Time) *conn {
	c := i.newConn(n, now)
	i.mu.Lock()
	i.next++
	c.number = i.next
	if len(i.queue) == 0 && i.Limits.HasPlace(len(i.conns), i.held[c.client]) {
		i.place(c, now)
		i.mu.Unlock()
		return c
	}
	c.decided = make(chan struct{})
	var gone []*conn
	waits := i.enqueue(c)
	if !waits && now.Sub(i.reclaimed) >= reclaimInterval {
		gone = i.reclaim(c.client, now)
		waits = i.enqueue(c)
	}
	stays := waits
	if waits {
		gone = append(gone, i.makePlaces(now)...)
	} else {
		stays = i.keepToRefuse(c)
		close(c.decided)
	}
	i.mu.Unlock()
	i.letAllGo(gone)
	if !stays {
		i.note(intake.NoRoomForConnections)
		return nil
	}
	return c
}

func (i *Interface) newConn(n net.Conn, now time.Time) *conn {
	c := &conn{Conn: n, owner: i, client: clientOf(n)}
	c.since.Store(int64(now.Sub(i.epoch)))
	c.progress.Store(int64(now.Sub(i.epoch)))
	return c
}

// place serves a connection. The caller must hold i.mu.
func (i *Interface) place(c *conn, now time.Time) {
	if i.conns == nil {
		i.conns, i.held = map[uint64]*conn{}, map[string]int{}
	}
	c.opened = now
	c.since.Store(int64(now.Sub(i.epoch)))
	i.conns[c.number] = c
	i.held[c.client]++
}

// unplace takes the place of a connection. The caller must hold i.mu.
func (i *Interface) unplace(c *conn) {
	if _, ok := i.conns[c.number]; !ok {
		return
	}
	delete(i.conns, c.number)
	if i.held[c.client]--; i.held[c.client] == 0 {
		delete(i.held, c.client)
	}
}

// enqueue lets a connection wait, in the place of another if the queue is full. It returns
// false if the connection has to go. The caller must hold i.mu.
func (i *Interface) enqueue(c *conn) bool {
	if len(i.queue) >= i.Limits.Waiting() {
		d := intake.Displaced(i.waiters(), i.held, c.client)
		if d < 0 {
			return false
		}
		i.dequeue(d, false)
	}
	i.queue = append(i.queue, c)
	return true
}

// waiters returns what is known of those that wait. The caller must hold i.mu.
func (i *Interface) waiters() []intake.Waiter {
	out := make([]intake.Waiter, 0, len(i.queue))
	for _, c := range i.queue {
		out = append(out, intake.Waiter{Number: c.number, Client: c.client})
	}
	return out
}

// dequeue ends the wait of a connection: it gets a place, or is refused. The caller must hold
// i.mu.
func (i *Interface) dequeue(index int, placed bool) {
	c := i.queue[index]
	i.queue = slices.Delete(i.queue, index, index+1)
	if placed {
		i.place(c, time.Now())
	} else if !i.keepToRefuse(c) {
		c.away.Store(true)
	}
	close(c.decided)
}

// keepToRefuse reports whether a connection may stay open until it is refused with an answer. The
// caller must hold i.mu.
func (i *Interface) keepToRefuse(c *conn) bool {
	if i.refusing >= i.Limits.Refusing() {
		return false
	}
	i.refusing++
	c.refused.Store(true)
	return true
}

// grant gives free places to those that wait. The caller must hold i.mu.
func (i *Interface) grant() {
	for len(i.queue) > 0 {
		first := intake.First(i.waiters(), i.held)
		if !i.Limits.HasPlace(len(i.conns), i.held[i.queue[first].client]) {
			return
		}
		i.dequeue(first, true)
	}
}

// makePlaces makes room for those that wait. It returns connections to let go; others are told to
// close with their next answer. The caller must hold i.mu.
func (i *Interface) makePlaces(now time.Time) []*conn {
	i.grant()
	if len(i.queue) == 0 || now.Sub(i.looked) < lookInterval {
		return nil
	}
	i.looked = now
	waiting := i.waiters()
	gone := i.reclaim(waiting[intake.First(waiting, i.held)].Client, now)
	if len(gone) > 0 {
		i.looked = time.Time{}
		return gone
	}
	for _, n := range i.Limits.GiveWay(i.views(), waiting, now) {
		i.conns[n].closeNext.Store(true)
	}
	return nil
}

// reclaim takes the places of connections that make no use of them, for one of a client, and
// gives them to those that wait. It returns the connections to let go. The caller must hold
// i.mu.
func (i *Interface) reclaim(client string, now time.Time) []*conn {
	var gone []*conn
	for _, n := range i.Limits.MakeRoomForConnections(intake.Yielding(i.views(), client), now) {
		c := i.conns[n]
		gone = append(gone, c)
		i.unplace(c)
	}
	i.reclaimed = now
	if len(gone) > 0 {
		i.reclaimed = time.Time{}
		i.grant()
	}
	return gone
}

// letAllGo closes connections that gave way. The caller must not hold i.mu.
func (i *Interface) letAllGo(gone []*conn) {
	for _, g := range gone {
		g.letGo(intake.NoRoomForConnections)
	}
}

// closed takes a connection that has been closed off all lists.
func (i *Interface) closed(c *conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.unplace(c)
	if c.refused.Swap(false) {
		i.refusing--
	}
	if n := slices.Index(i.queue, c); n >= 0 {
		i.queue = slices.Delete(i.queue, n, n+1)
		c.away.Store(true)
		close(c.decided)
	}
	i.grant()
}

// await waits until a connection has a place or is refused. It returns an error if it can do
// neither.
func (c *conn) await() error {
	begun := time.Now()
	most := time.NewTimer(intake.WaitMost)
	defer most.Stop()
	again := time.NewTicker(lookInterval)
	defer again.Stop()
	for waiting := true; waiting; {
		select {
		case <-c.decided:
			waiting = false
		case now := <-again.C:
			c.owner.lookForPlaces(now)
		case <-most.C:
			c.owner.expire(c)
		}
	}
	name := "ingress." + c.owner.Name + ".waited"
	c.owner.Meter.Observe(name, time.Since(begun))
	served := !c.away.Load() && !c.refused.Load()
	if served {
		c.owner.Meter.Count(name, "served")
		return nil
	}
	c.owner.note(intake.NoRoomForConnections)
	if c.away.Load() {
		c.owner.Meter.Count(name, "closed")
		return &intake.RefusedError{Reason: intake.NoRoomForConnections}
	}
	c.owner.Meter.Count(name, "refused")
	return c.Conn.SetReadDeadline(time.Now().Add(refuseTime))
}

func (i *Interface) lookForPlaces(now time.Time) {
	i.mu.Lock()
	gone := i.makePlaces(now)
	i.mu.Unlock()
	i.letAllGo(gone)
}

// expire refuses a connection that has waited for too long.
func (i *Interface) expire(c *conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if n := slices.Index(i.queue, c); n >= 0 {
		i.dequeue(n, false)
	}
}

// refuse answers a call of a client that got no place.
func (i *Interface) refuse(w http.ResponseWriter, q *http.Request, c *conn) {
	w.Header().Set("Connection", "close")
	w.Header().Set("Retry-After", strconv.Itoa(int(intake.RetryAfter(c.number).Seconds())))
	if i.Refuse == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	i.Refuse.ServeHTTP(w, q)
}

// closeAfterAnswer makes the answer of a call the last one of its connection.
func (c *conn) closeAfterAnswer(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	c.lastAnswer.Store(true)
	c.owner.note(intake.Turn)
}

// lingerClose lets the client take its last answer: closing at once would reset the connection
// if calls have been sent ahead.
func (c *conn) lingerClose() {
	if c.CloseWrite() != nil || c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	var sink [512]byte
	for {
		if _, err := c.Conn.Read(sink[:]); err != nil {
			return
		}
	}
}
