// Package buffer provides a pool of buffers for copying bodies, so that
// requests do not allocate a new buffer on each hop.
//
// A buffer may still contain data of an earlier body. Use only the part of it
// that was read into.
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

// Buffer is a buffer of the pool, obtained with Get.
type Buffer [Size]byte

var pool = sync.Pool{New: func() any { return new(Buffer) }}

// Get returns a buffer from the pool. Return it with Put.
func Get() *Buffer { return pool.Get().(*Buffer) }

// Put returns the buffer to the pool. It must not be used afterwards.
func (b *Buffer) Put() { pool.Put(b) }

// Copy copies src to dst until the end of src, always through a buffer of the
// pool. It returns the number of bytes written.
func Copy(dst io.Writer, src io.Reader) (int64, error) {
	b := Get()
	defer b.Put()
	// The wrappers hide the methods ReadFrom and WriteTo, with which
	// io.CopyBuffer would bypass the buffer.
	return io.CopyBuffer(struct{ io.Writer }{dst}, struct{ io.Reader }{src}, b[:])
}
