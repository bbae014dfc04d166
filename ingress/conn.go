package ingress

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"persimmonworks.example/persimmonworks/intake"
	"persimmonworks.example/persimmonworks/pause"
)

// conn is a connection of a client. Times are nanoseconds since the epoch of its owner.
type conn struct {
	net.Conn
	owner  *Interface
	number uint64
	client string
	opened time.Time // when it got its place; the owner's mu is held

	decided    chan struct{} // closed when it has waited for a place; nil if it has not
	away       atomic.Bool   // it got no place, and not even an answer
	refused    atomic.Bool   // it got no place, and is open until its call is refused
	closeNext  atomic.Bool   // it is to end with its next answer
	lastAnswer atomic.Bool   // its last answer is being sent
	called     time.Time     // start of the latest call that may have been held back; for its handler alone
	waited     bool          // the first read has begun; for the reader alone

	phase    atomic.Int32 // an intake.Phase
	since    atomic.Int64 // start of the phase, but for intake.Handling
	progress atomic.Int64 // last bytes that arrived
	writing  atomic.Int64 // start of a write that has not ended, 0 if there is none
	held     atomic.Int64 // bytes of the call
	counted  atomic.Int64 // part of held that counts towards the limit
	left     atomic.Int64 // part of counted that is in owner.leaving
	pending  atomic.Bool  // a read waits for the client
	handling atomic.Bool  // a handler runs
	arriving atomic.Bool  // the body has not arrived whole
	gone     atomic.Pointer[intake.Reason]

	mu     sync.Mutex // held while the read deadline is changed
	closed sync.Once
}

func (c *conn) view() intake.View {
	v := intake.View{
		Number: c.number, Client: c.client, Phase: intake.Phase(c.phase.Load()), Held: c.counted.Load(),
		Opened: c.opened, Leaving: c.closeNext.Load(), Since: c.owner.time(c.since.Load()), Progress: c.owner.time(c.progress.Load()),
	}
	if !c.pending.Load() {
		v.Progress = c.owner.time(c.owner.now()) // it is not the client who is waited for
	}
	if w := c.writing.Load(); w != 0 {
		v.Writing = c.owner.time(w)
	}
	return v
}

// reason returns why the client was let go, "" if it was not.
func (c *conn) reason() intake.Reason {
	if r := c.gone.Load(); r != nil {
		return *r
	}
	return ""
}

// enter begins a phase.
func (c *conn) enter(p intake.Phase) {
	if c.phase.Swap(int32(p)) != int32(p) && p != intake.Handling {
		c.since.Store(c.owner.now())
	}
}

// resume goes on with a call whose head has arrived. Part of its body may have come with
// the head, or with the call before it.
func (c *conn) resume() {
	if c.phase.Load() != int32(intake.Reading) {
		c.progress.Store(c.owner.now())
		c.enter(intake.Reading)
	}
}

// handled ends the handler of a call. The server reads what is left of the body.
func (c *conn) handled() {
	c.handling.Store(false)
	if c.arriving.Swap(false) {
		c.resume()
	}
}

// pause holds a call back until the gap since the one before it has passed.
func (c *conn) pause(ctx context.Context, gap time.Duration) {
	if wait := time.Until(c.called.Add(gap)); wait > 0 {
		pause.For(ctx, wait)
	}
	c.called = time.Now()
}

// idle ends a call.
func (c *conn) idle() {
	c.release()
	c.enter(intake.Idle)
}

// release returns what the call held.
func (c *conn) release() {
	c.held.Store(0)
	if n := c.counted.Swap(0); n != 0 {
		c.owner.bytes.Add(-n)
	}
	c.owner.leaving.Add(-c.left.Swap(0)) // leave may have counted it after the bytes were released
}

// leave counts what the call holds as about to be released. The caller must hold
// c.owner.mu.
func (c *conn) leave() {
	n := c.counted.Load()
	c.owner.leaving.Add(n - c.left.Swap(n))
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if c.decided != nil && !c.waited {
		c.waited = true
		if err := c.await(); err != nil {
			return 0, err
		}
	}
	if r := c.reason(); r != "" {
		return 0, &intake.RefusedError{Reason: r}
	}
	if c.handling.Load() {
		c.progress.Store(c.owner.now()) // the handler may have waited before it went on reading
	}
	c.pending.Store(true)
	n, err := c.Conn.Read(p)
	c.pending.Store(false)
	if n > 0 {
		if refused := c.arrived(int64(n)); refused != nil {
			return 0, refused
		}
	}
	if r := c.reason(); err != nil && r != "" {
		err = &intake.RefusedError{Reason: r}
	}
	return n, err
}

// arrived counts bytes that have been read.
func (c *conn) arrived(n int64) error {
	now := c.owner.now()
	c.progress.Store(now)
	if c.phase.CompareAndSwap(int32(intake.Idle), int32(intake.Reading)) {
		c.since.Store(now)
	}
	extra := c.held.Add(n) - c.owner.Limits.FreeBytes - c.counted.Load()
	if extra <= 0 {
		return nil
	}
	c.counted.Add(extra)
	if c.owner.bytes.Add(extra)-c.owner.leaving.Load() <= c.owner.Limits.Bytes {
		return nil
	}
	return c.owner.makeRoom(c, c.owner.time(now))
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Store(c.owner.now())
	n, err := c.Conn.Write(p)
	c.writing.Store(0)
	return n, err
}

// letGo refuses the call whose body is arriving, or closes the connection.
func (c *conn) letGo(r intake.Reason) {
	if !c.gone.CompareAndSwap(nil, &r) {
		return
	}
	c.owner.note(r)
	if c.handling.Load() && (r == intake.NoRoomForBytes || r == intake.Stalled || r == intake.Slow) {
		now := time.Now()
		c.mu.Lock()
		defer c.mu.Unlock()
		if errors.Join(c.Conn.SetWriteDeadline(now.Add(answerTime)), c.Conn.SetReadDeadline(now)) == nil {
			return
		}
	}
	_ = c.Close() // whoever reads or writes learns it
}

// SetReadDeadline implements net.Conn. A client that was let go stays so.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reason() != "" || c.refused.Load() {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if c.lastAnswer.Swap(false) && c.reason() == "" {
		c.lingerClose()
	}
	err := c.Conn.Close()
	c.closed.Do(func() { c.owner.closed(c) })
	c.release()
	return err
}

// CloseWrite ends the answers, for http.Server.
func (c *conn) CloseWrite() error {
	if t, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return t.CloseWrite()
	}
	return nil
}

// body is the body of a call.
type body struct {
	io.ReadCloser
	conn *conn
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && b.conn.arriving.Swap(false) {
		b.conn.enter(intake.Handling)
	}
	return n, err
}

const firstBytes = 512 // of the buffer for a body of unknown length

// ReadBody reads the body of a call. Its buffer grows with the bytes that have arrived. The
// errors are those of http.MaxBytesReader, and intake.RefusedError.
func ReadBody(w http.ResponseWriter, q *http.Request, most int64) ([]byte, error) {
	r := http.MaxBytesReader(w, q.Body, most)
	whole := most
	size := int64(firstBytes)
	if q.ContentLength > 0 {
		whole = min(most, q.ContentLength)
		size = min(whole, largeBody)
	}
	b := make([]byte, 0, size)
	for {
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if errors.Is(err, io.EOF) {
			return b, nil
		}
		if err != nil {
			return nil, err
		}
		if len(b) == cap(b) {
			next := min(2*int64(cap(b)), max(whole, int64(len(b)))+1)
			b = append(make([]byte, 0, next), b...)
		}
	}
}

// largeBody is the size from which bodies are read in growing buffers and decoded one at a
// time.
const largeBody = 8 << 10

// IsLarge reports whether bodies of this size are to be decoded one at a time.
func IsLarge(body []byte) bool { return len(body) > largeBody }
