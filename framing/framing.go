// Package framing writes messages and bodies to a stream and reads them back
// whole, or with an error that tells what is missing.
//
// A message is a protobuf message behind its length. A body is a sequence of
// wire.Chunk messages; the last one carries the length and checksum of the
// whole, so that a body that was cut off or altered is an error at the reader
// and never a short success.
//
// Usage:
//
//	w := framing.NewWriter(stream)
//	_, err := buffer.Copy(w, body)
//	err = w.Finish()
//	...
//	body, err := io.ReadAll(framing.NewReader(bufio.NewReader(stream), nil))
package framing

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"persimmonworks.example/persimmonworks/buffer"
	"persimmonworks.example/persimmonworks/wire"
)

// Failures of a read. Errors are wrapped; compare with errors.Is.
var (
	// ErrTruncated: a body ended before its last chunk.
	ErrTruncated = errors.New("body truncated")
	// ErrAltered: a body's length or checksum differs from its last chunk.
	ErrAltered = errors.New("body altered")
	// ErrMalformed: the peer broke the protocol.
	ErrMalformed = errors.New("malformed message")
)

const (
	chunkData = buffer.Size     // bytes of a body in one Chunk
	maxChunk  = chunkData + 256 // bytes of one Chunk message
)

// Read reads one message of at most limit bytes. The error wraps ErrMalformed
// if it is larger or is no message of the kind.
func Read(r *bufio.Reader, m proto.Message, limit int) error {
	err := protodelim.UnmarshalOptions{MaxSize: int64(limit)}.UnmarshalFrom(r, m)
	var large *protodelim.SizeTooLargeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &large), errors.Is(err, proto.Error):
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	default:
		return err
	}
}

// Write writes one message, which the caller has checked for its size.
func Write(w io.Writer, m proto.Message) error {
	_, err := protodelim.MarshalTo(w, m)
	return err
}

// Writer cuts a body into chunks and counts and sums what it has written.
type Writer struct {
	w      io.Writer
	hash   *xxhash.Digest
	length uint64
}

// NewWriter returns a writer of one body to w.
func NewWriter(w io.Writer) *Writer { return &Writer{w: w, hash: xxhash.New()} }

// Write sends p in chunks and blocks while the reader does not keep up.
func (w *Writer) Write(p []byte) (int, error) {
	sent := 0
	for sent < len(p) {
		part := p[sent:min(len(p), sent+chunkData)]
		if err := Write(w.w, &wire.Chunk{Data: part}); err != nil {
			return sent, err
		}
		_, _ = w.hash.Write(part)
		w.length += uint64(len(part))
		sent += len(part)
	}
	return sent, nil
}

// Finish sends the last chunk.
func (w *Writer) Finish() error {
	return Write(w.w, &wire.Chunk{Last: true, Checksum: w.hash.Sum64(), Length: w.length})
}

// Reader joins chunks. It returns io.EOF only after the last chunk, whose
// length and checksum agree with what was read.
type Reader struct {
	r      *bufio.Reader
	hash   *xxhash.Digest
	length uint64
	rest   []byte
	err    error
	ended  func(error) // called once with the final error, may be nil
}

// NewReader returns a reader of one body from r. ended, if not nil, is called
// once with the error that ends it, io.EOF for a whole body.
func NewReader(r *bufio.Reader, ended func(error)) *Reader {
	return &Reader{r: r, hash: xxhash.New(), ended: ended}
}

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	for len(r.rest) == 0 && r.err == nil && len(p) > 0 {
		r.next()
	}
	n := copy(p, r.rest)
	r.rest = r.rest[n:]
	if n == 0 && len(p) > 0 {
		return 0, r.err
	}
	return n, nil
}

func (r *Reader) next() {
	var c wire.Chunk
	if err := Read(r.r, &c, maxChunk); err != nil {
		if !errors.Is(err, ErrMalformed) {
			err = fmt.Errorf("%w after %d bytes: %w", ErrTruncated, r.length, NoEOF(err))
		}
		r.end(err)
		return
	}
	_, _ = r.hash.Write(c.GetData())
	r.length += uint64(len(c.GetData()))
	r.rest = c.GetData()
	switch {
	case !c.GetLast() && len(c.GetData()) == 0:
		r.end(fmt.Errorf("%w: empty chunk after %d bytes", ErrMalformed, r.length))
	case !c.GetLast():
	case c.GetLength() != r.length || c.GetChecksum() != r.hash.Sum64():
		r.rest = nil
		r.end(fmt.Errorf("%w: %d bytes read, %d sent", ErrAltered, r.length, c.GetLength()))
	default:
		r.end(io.EOF)
	}
}

func (r *Reader) end(err error) {
	r.err = err
	if r.ended != nil {
		r.ended(err)
	}
}

// NoEOF keeps a truncation from matching io.EOF.
func NoEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
