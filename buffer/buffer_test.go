package buffer

import (
	"bytes"
	"strings"
	"testing"
)

func TestCopyIsCompleteAndReusesBuffers(t *testing.T) {
	for _, n := range []int{0, 1, Size - 1, Size, Size + 1, 3*Size + 7, 5} {
		want := strings.Repeat("x", n)
		var got bytes.Buffer
		if m, err := Copy(&got, strings.NewReader(want)); err != nil || m != int64(n) || got.String() != want {
			t.Errorf("%d bytes: copied %d, %v", n, m, err)
		}
	}
	if n := testing.AllocsPerRun(100, func() { _, _ = Copy(discard{}, strings.NewReader("some body")) }); n > 4 {
		t.Errorf("a copy allocates %v times", n)
	}
}

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }
