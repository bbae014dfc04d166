package relay

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"persimmonworks.example/persimmonworks/wire"
)

const (
	chunkData = 32 << 10        // bytes of a body in one Chunk
	maxChunk  = chunkData + 256 // bytes of one Chunk message
)

// read reads one message of at most limit bytes.
func read(r *bufio.Reader, m proto.Message, limit int) error {
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

// write writes one message, which the caller has checked for its size.
func write(w io.Writer, m proto.Message) error {
	_, err := protodelim.MarshalTo(w, m)
	return err
}

// bodyWriter cuts a body into chunks and counts and sums what it has written.
type bodyWriter struct {
	w      io.Writer
	hash   *xxhash.Digest
	length uint64
}

func newBodyWriter(w io.Writer) *bodyWriter { return &bodyWriter{w: w, hash: xxhash.New()} }

// Write sends p in chunks and blocks while the reader does not keep up.
func (b *bodyWriter) Write(p []byte) (int, error) {
	sent := 0
	for sent < len(p) {
		part := p[sent:min(len(p), sent+chunkData)]
		if err := write(b.w, &wire.Chunk{Data: part}); err != nil {
			return sent, err
		}
		_, _ = b.hash.Write(part)
		b.length += uint64(len(part))
		sent += len(part)
	}
	return sent, nil
}

// finish sends the last chunk.
func (b *bodyWriter) finish() error {
	return write(b.w, &wire.Chunk{Last: true, Checksum: b.hash.Sum64(), Length: b.length})
}

// bodyReader joins chunks. It returns io.EOF only after the last chunk, whose
// length and checksum agree with what was read.
type bodyReader struct {
	r      *bufio.Reader
	hash   *xxhash.Digest
	length uint64
	rest   []byte
	err    error
	ended  func(error) // called once with the final error, may be nil
}

func newBodyReader(r *bufio.Reader, ended func(error)) *bodyReader {
	return &bodyReader{r: r, hash: xxhash.New(), ended: ended}
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	for len(b.rest) == 0 && b.err == nil && len(p) > 0 {
		b.next()
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	if n == 0 && len(p) > 0 {
		return 0, b.err
	}
	return n, nil
}

func (b *bodyReader) next() {
	var c wire.Chunk
	if err := read(b.r, &c, maxChunk); err != nil {
		if !errors.Is(err, ErrMalformed) {
			err = fmt.Errorf("%w after %d bytes: %w", ErrTruncated, b.length, noEOF(err))
		}
		b.end(err)
		return
	}
	_, _ = b.hash.Write(c.GetData())
	b.length += uint64(len(c.GetData()))
	b.rest = c.GetData()
	switch {
	case !c.GetLast() && len(c.GetData()) == 0:
		b.end(fmt.Errorf("%w: empty chunk after %d bytes", ErrMalformed, b.length))
	case !c.GetLast():
	case c.GetLength() != b.length || c.GetChecksum() != b.hash.Sum64():
		b.rest = nil
		b.end(fmt.Errorf("%w: %d bytes read, %d sent", ErrAltered, b.length, c.GetLength()))
	default:
		b.end(io.EOF)
	}
}

func (b *bodyReader) end(err error) {
	b.err = err
	if b.ended != nil {
		b.ended(err)
	}
}

// noEOF keeps a truncation from matching io.EOF.
func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
