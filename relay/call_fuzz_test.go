package relay

import (
	"bufio"
	"bytes"
	"testing"

	"google.golang.org/protobuf/proto"

	"persimmonworks.example/persimmonworks/framing"
	"persimmonworks.example/persimmonworks/wire"
)

// Any input either fails to decode or gives a call that survives being encoded and
// decoded again. No input causes a panic or a read beyond the limit.
func FuzzCall(f *testing.F) {
	for _, c := range []*wire.Call{
		{},
		status("r", 1),
		{Process: "p", Request: "r", Body: &wire.Call_Forward{Forward: &wire.Forward{Path: "/", Length: -1}}},
	} {
		var b bytes.Buffer
		if err := framing.Write(&b, c); err != nil {
			f.Fatal(err)
		}
		f.Add(b.Bytes())
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Fuzz(func(t *testing.T, raw []byte) {
		const limit = 1 << 10
		var c, again wire.Call
		if framing.Read(bufio.NewReader(bytes.NewReader(raw)), &c, limit) != nil {
			return
		}
		if proto.Size(&c) > 2*limit {
			t.Fatalf("a call of %d bytes was accepted with a limit of %d", proto.Size(&c), limit)
		}
		(&Node{}).checkCall("p", &c, true)
		var b bytes.Buffer
		if err := framing.Write(&b, &c); err != nil {
			t.Fatal(err)
		}
		if err := framing.Read(bufio.NewReader(&b), &again, 2*limit); err != nil || !proto.Equal(&c, &again) {
			t.Fatalf("read back %v, error %v; want %v", &again, err, &c)
		}
	})
}
