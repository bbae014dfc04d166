package event

import (
	"bytes"
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	queueBytes    = 256 << 10 // lines beyond it are dropped and counted
	writeBytes    = 4 << 10   // what a pipe takes in one piece
	flushInterval = 100 * time.Millisecond
)

// Queue is a writer for a Log that never blocks: lines are kept in memory and
// written many at a time. When the reader is too slow lines are dropped, and
// their number is kept. Set Writer before Run.
type Queue struct {
	Writer io.Writer

	mu      sync.Mutex
	lines   []byte
	spare   []byte
	dropped atomic.Uint64
}

// Write implements io.Writer; it keeps a copy of the line or drops it.
func (q *Queue) Write(line []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.lines)+len(line) > queueBytes {
		q.dropped.Add(1)
		return len(line), nil
	}
	q.lines = append(q.lines, line...)
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (q *Queue) Dropped() uint64 { return q.dropped.Load() }

// Run writes the lines until ctx ends, then those that are left.
func (q *Queue) Run(ctx context.Context) error {
	t := time.NewTicker(flushInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			q.Flush()
		case <-ctx.Done():
			q.Flush()
			return nil
		}
	}
}

// chunk returns the length of the whole lines that one write takes.
func chunk(lines []byte) int {
	if len(lines) <= writeBytes {
		return len(lines)
	}
	if n := bytes.LastIndexByte(lines[:writeBytes], '\n'); n >= 0 {
		return n + 1
	}
	return len(lines)
}

// Flush writes the lines kept so far.
func (q *Queue) Flush() {
	q.mu.Lock()
	lines := q.lines
	q.lines, q.spare = q.spare[:0], nil
	q.mu.Unlock()
	for rest := lines; len(rest) > 0; {
		n := chunk(rest)
		if _, err := q.Writer.Write(rest[:n]); err != nil {
			q.dropped.Add(1)
		}
		rest = rest[n:]
	}
	q.mu.Lock()
	q.spare = lines[:0]
	q.mu.Unlock()
}
