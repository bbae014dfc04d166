package framing

import (
	"bufio"
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"
)

func encodeBody(t interface{ Fatal(...any) }, body []byte) []byte {
	var b bytes.Buffer
	w := NewWriter(&b)
	if _, err := w.Write(body); err != nil {
		t.Fatal(err)
	}
	if err := w.Finish(); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

func decodeBody(raw []byte) ([]byte, error) {
	return io.ReadAll(NewReader(bufio.NewReader(iotest.HalfReader(bytes.NewReader(raw))), nil))
}

// A body reads back as it was written. If the encoding is truncated anywhere, the
// read fails; if a bit is flipped, it fails or still returns the same bytes.
func TestBodyIsWholeOrAnError(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := bytes.Repeat(rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "piece"), rapid.IntRange(0, 3000).Draw(t, "times"))
		raw := encodeBody(t, body)
		if got, err := decodeBody(raw); err != nil || !bytes.Equal(got, body) {
			t.Fatalf("complete body: %d of %d bytes, error %v", len(got), len(body), err)
		}
		cut := rapid.IntRange(0, len(raw)-1).Draw(t, "cut")
		if got, err := decodeBody(raw[:cut]); err == nil {
			t.Fatalf("truncated after %d of %d bytes: read %d bytes without an error", cut, len(raw), len(got))
		}
		flipped := bytes.Clone(raw)
		flipped[rapid.IntRange(0, len(raw)-1).Draw(t, "at")] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
		if got, err := decodeBody(flipped); err == nil && !bytes.Equal(got, body) {
			t.Fatalf("corrupted body: read %d different bytes without an error", len(got))
		}
	})
}

// Any input either fails to decode or gives a body that survives being encoded and
// decoded again.
func FuzzChunk(f *testing.F) {
	for _, body := range []string{"", "x", "a longer body"} {
		raw := encodeBody(f, []byte(body))
		f.Add(raw)
		f.Add(raw[:len(raw)-1])
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		body, err := decodeBody(raw)
		if err != nil {
			return
		}
		if again, err := decodeBody(encodeBody(t, body)); err != nil || !bytes.Equal(again, body) {
			t.Fatalf("read back %q, error %v; want %q", again, err, body)
		}
	})
}
