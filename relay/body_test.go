package relay

import (
	"bufio"
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"persimmonworks.example/persimmonworks/wire"
)

func encodeBody(t interface{ Fatal(...any) }, body []byte) []byte {
	var b bytes.Buffer
	w := newBodyWriter(&b)
	if _, err := w.Write(body); err != nil {
		t.Fatal(err)
	}
	if err := w.finish(); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

func decodeBody(raw []byte) ([]byte, error) {
	return io.ReadAll(newBodyReader(bufio.NewReader(iotest.HalfReader(bytes.NewReader(raw))), nil))
}

// A body reads back as it was written; cut anywhere, or with any bit flipped,
// it never reads as complete with other bytes.
func TestBodyIsWholeOrAnError(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := bytes.Repeat(rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "piece"), rapid.IntRange(0, 3000).Draw(t, "times"))
		raw := encodeBody(t, body)
		if got, err := decodeBody(raw); err != nil || !bytes.Equal(got, body) {
			t.Fatalf("whole body: %d of %d bytes, error %v", len(got), len(body), err)
		}
		cut := rapid.IntRange(0, len(raw)-1).Draw(t, "cut")
		if got, err := decodeBody(raw[:cut]); err == nil {
			t.Fatalf("cut after %d of %d bytes: read %d bytes without an error", cut, len(raw), len(got))
		}
		flipped := bytes.Clone(raw)
		flipped[rapid.IntRange(0, len(raw)-1).Draw(t, "at")] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
		if got, err := decodeBody(flipped); err == nil && !bytes.Equal(got, body) {
			t.Fatalf("altered body: read %d other bytes without an error", len(got))
		}
	})
}

// Any bytes are either refused or a call that is written back the same; none
// panics or is read past the limit.
func FuzzCall(f *testing.F) {
	for _, c := range []*wire.Call{
		{},
		status("r", 1),
		{Process: "p", Request: "r", Body: &wire.Call_Forward{Forward: &wire.Forward{Path: "/", Length: -1}}},
	} {
		var b bytes.Buffer
		if err := write(&b, c); err != nil {
			f.Fatal(err)
		}
		f.Add(b.Bytes())
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Fuzz(func(t *testing.T, raw []byte) {
		const limit = 1 << 10
		var c, again wire.Call
		if read(bufio.NewReader(bytes.NewReader(raw)), &c, limit) != nil {
			return
		}
		if proto.Size(&c) > 2*limit {
			t.Fatalf("a call of %d bytes passed a limit of %d", proto.Size(&c), limit)
		}
		(&Node{}).check("p", &c, true)
		var b bytes.Buffer
		if err := write(&b, &c); err != nil {
			t.Fatal(err)
		}
		if err := read(bufio.NewReader(&b), &again, 2*limit); err != nil || !proto.Equal(&c, &again) {
			t.Fatalf("read back %v, error %v; want %v", &again, err, &c)
		}
	})
}

// Any bytes are either an error or a body which, written again, reads the same.
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
