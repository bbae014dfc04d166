// Package buffer keeps the buffers with which bodies are copied, so that a
// request does not leave one behind for the garbage collector on each hop.
//
// A buffer holds what an earlier body left in it; only what has been read into
// it may be used.
//
// Usage:
//
//	b := buffer.Get()
//	defer b.Put()
//	n, err := body.Read(b[:])
package buffer

import (
	"io"
	"sync"
)

// Size is the size of a buffer in bytes.
const Size = 32 << 10

// Buffer is a buffer that was taken with Get.
type Buffer [Size]byte

var pool = sync.Pool{New: func() any { return new(Buffer) }}

// Get returns a buffer; Put gives it back.
func Get() *Buffer { return pool.Get().(*Buffer) }

// Put gives the buffer back. It must not be used any more.
func (b *Buffer) Put() { pool.Put(b) }

// Copy copies src to dst until the end of src, always through a buffer of the
// pool. It returns the number of bytes that were written.
func Copy(dst io.Writer, src io.Reader) (int64, error) {
	b := Get()
	defer b.Put()
	// Without the methods ReadFrom and WriteTo the buffer is used.
	return io.CopyBuffer(struct{ io.Writer }{dst}, struct{ io.Reader }{src}, b[:])
}
