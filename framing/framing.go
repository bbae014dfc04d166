// Package framing encodes messages and bodies on a byte stream and detects bodies
// that are truncated or corrupted.
//
// A message is a protobuf message preceded by its length. A body is a sequence of
// wire.Chunk messages. The last chunk carries the length and checksum of the whole
// body, so that the reader of a truncated or corrupted body gets an error and
// never takes it for a shorter, complete body.
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

// Errors of a read. They are wrapped; compare with errors.Is.
var (
	// ErrTruncated means that a body ended before its last chunk.
	ErrTruncated = errors.New("body truncated")
	// ErrAltered means that the length or checksum of a body differs from that in
	// its last chunk.
	ErrAltered = errors.New("body altered")
	// ErrMalformed means that the peer violated the protocol.
	ErrMalformed = errors.New("malformed message")
)

const (
	maxChunkData    = buffer.Size        // body bytes in one Chunk
	maxChunkMessage = maxChunkData + 256 // bytes of one encoded Chunk
)

// Read reads one message of at most limit bytes. The error wraps ErrMalformed if
// the message is larger or cannot be decoded.
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

// Write writes one message. The caller must have checked its size.
func Write(w io.Writer, m proto.Message) error {
	_, err := protodelim.MarshalTo(w, m)
	return err
}

// Writer splits a body into chunks and keeps the length and checksum of what it
// has written.
type Writer struct {
	w      io.Writer
	hash   *xxhash.Digest
	length uint64
}

// NewWriter returns a Writer that writes one body to w.
func NewWriter(w io.Writer) *Writer { return &Writer{w: w, hash: xxhash.New()} }

// Write writes p in chunks. It blocks while the reader does not keep up.
func (w *Writer) Write(p []byte) (int, error) {
	sent := 0
	for sent < len(p) {
		data := p[sent:min(len(p), sent+maxChunkData)]
		if err := Write(w.w, &wire.Chunk{Data: data}); err != nil {
			return sent, err
		}
		_, _ = w.hash.Write(data)
		w.length += uint64(len(data))
		sent += len(data)
	}
	return sent, nil
}

// Finish writes the last chunk, with the length and checksum of the body.
func (w *Writer) Finish() error {
	return Write(w.w, &wire.Chunk{Last: true, Checksum: w.hash.Sum64(), Length: w.length})
}

// Reader decodes a body from its chunks. It returns io.EOF only if the length and
// checksum in the last chunk match the data that it has read.
type Reader struct {
	r      *bufio.Reader
	hash   *xxhash.Digest
	length uint64
	unread []byte
	err    error
	onEnd  func(error) // called once with the final error; may be nil
}

// NewReader returns a Reader of one body from r. If onEnd is not nil, it is called
// once with the error that ends the body, which is io.EOF for a complete body.
func NewReader(r *bufio.Reader, onEnd func(error)) *Reader {
	return &Reader{r: r, hash: xxhash.New(), onEnd: onEnd}
}

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	for len(r.unread) == 0 && r.err == nil && len(p) > 0 {
		r.readChunk()
	}
	n := copy(p, r.unread)
	r.unread = r.unread[n:]
	if n == 0 && len(p) > 0 {
		return 0, r.err
	}
	return n, nil
}

// readChunk reads the next chunk into unread, or sets the final error.
func (r *Reader) readChunk() {
	var c wire.Chunk
	if err := Read(r.r, &c, maxChunkMessage); err != nil {
		if !errors.Is(err, ErrMalformed) {
			err = fmt.Errorf("%w after %d bytes: %w", ErrTruncated, r.length, NoEOF(err))
		}
		r.finish(err)
		return
	}
	_, _ = r.hash.Write(c.GetData())
	r.length += uint64(len(c.GetData()))
	r.unread = c.GetData()
	switch {
	case !c.GetLast() && len(c.GetData()) == 0:
		r.finish(fmt.Errorf("%w: empty chunk after %d bytes", ErrMalformed, r.length))
	case !c.GetLast():
	case c.GetLength() != r.length || c.GetChecksum() != r.hash.Sum64():
		r.unread = nil
		r.finish(fmt.Errorf("%w: %d bytes read, %d sent", ErrAltered, r.length, c.GetLength()))
	default:
		r.finish(io.EOF)
	}
}

func (r *Reader) finish(err error) {
	r.err = err
	if r.onEnd != nil {
		r.onEnd(err)
	}
}

// NoEOF converts an error that matches io.EOF to io.ErrUnexpectedEOF, so that a
// truncated stream is not mistaken for a complete one.
func NoEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
