package event

import (
	"sync"

	"golang.org/x/time/rate"
)

// Usual bounds of a Limit.
const (
	linesPerSecond = 100
	lineBurst      = 1000
)

// Limit passes events on and bounds the lines of some of them, so that calls which are
// refused as fast as they come do not fill the log. The next line of an event that passes
// says in left-out how many were not written before it. Set the exported fields before the
// first Emit.
type Limit struct {
	Emitter Emitter
	Events  []*Event // that are bounded, each by itself

	once    sync.Once
	buckets map[*Event]*bucket
}

// bucket bounds the lines of one event.
type bucket struct {
	*rate.Limiter

	mu      sync.Mutex
	leftOut int
}

func (l *Limit) init() {
	l.buckets = map[*Event]*bucket{}
	for _, e := range l.Events {
		l.buckets[e] = &bucket{Limiter: rate.NewLimiter(linesPerSecond, lineBurst)}
	}
}

// Emit implements Emitter.
func (l *Limit) Emit(e *Event, keysAndValues ...any) {
	l.once.Do(l.init)
	b, ok := l.buckets[e]
	if !ok {
		l.Emitter.Emit(e, keysAndValues...)
		return
	}
	allowed, leftOut := b.take()
	if !allowed {
		return
	}
	if leftOut > 0 {
		keysAndValues = append(keysAndValues[:len(keysAndValues):len(keysAndValues)], "left-out", leftOut)
	}
	l.Emitter.Emit(e, keysAndValues...)
}

// take reports whether a line may be written, and how many were not before it.
func (b *bucket) take() (allowed bool, leftOut int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.Allow() {
		b.leftOut++
		return false, 0
	}
	leftOut, b.leftOut = b.leftOut, 0
	return true, leftOut
}
