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
	queueBytes    = 256 << 10 // lines that would exceed it are dropped and counted
	maxWriteBytes = 4 << 10   // size up to which a write to a pipe is atomic
	flushInterval = 100 * time.Millisecond
)

// Queue is a writer for a Log that never blocks. It buffers lines in memory and
// writes many at a time. If the underlying writer is too slow, lines are
// dropped and counted. Set Writer before Run.
type Queue struct {
	Writer io.Writer

	mu      sync.Mutex
	lines   []byte
	spare   []byte
	dropped atomic.Uint64
}

// Write implements io.Writer. It buffers a copy of the line, or drops the line
// if the buffer is full.
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

// Dropped returns the number of dropped lines. A failed write counts as one.
func (q *Queue) Dropped() uint64 { return q.dropped.Load() }

// Run writes buffered lines periodically until ctx ends, then writes the rest.
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

// writeLength returns how many bytes of lines the next write takes: as many
// whole lines as fit into maxWriteBytes. If the first line does not fit, or
// everything does, it is all of them.
func writeLength(lines []byte) int {
	if len(lines) <= maxWriteBytes {
		return len(lines)
	}
	if n := bytes.LastIndexByte(lines[:maxWriteBytes], '\n'); n >= 0 {
		return n + 1
	}
	return len(lines)
}

// Flush writes the buffered lines.
func (q *Queue) Flush() {
	q.mu.Lock()
	lines := q.lines
	q.lines, q.spare = q.spare[:0], nil
	q.mu.Unlock()
	for rest := lines; len(rest) > 0; {
		n := writeLength(rest)
		if _, err := q.Writer.Write(rest[:n]); err != nil {
			q.dropped.Add(1)
		}
		rest = rest[n:]
	}
	q.mu.Lock()
	q.spare = lines[:0]
	q.mu.Unlock()
}
