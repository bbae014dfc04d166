package process

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const goodSettings = `[process]
name = e1
data-centre = a
ip = 10.1.0.13
memory-mb = 284
core-share = 0.4
core-speed = 2
[listen]
front = 10.1.0.13:8161
ready = 10.1.0.13:8167
ports = 7720,7735
[platform]
store = 10.200.1.7:8169
advisor =
[bounds]
grace-s = 6
lease-most-ms = 10000
gang-wait-ms = 3000
stop-ms = 400
restore-ms = 600
status-s = 120
`

func load(t *testing.T, text string) (*Settings, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return LoadSettings(path)
}

func TestLoadSettings(t *testing.T) {
	s, err := load(t, goodSettings)
	if err != nil {
		t.Fatal(err)
	}
	if s.Exchange != "10.1.0.13:7720" || s.Limits.Lease != 9*time.Second || s.Limits.Retention != 240*time.Second || s.MemoryMB != 284 || s.Cores != 0.8 {
		t.Errorf("%+v", s)
	}
}

func TestFaultsAreReportedTogether(t *testing.T) {
	text := strings.NewReplacer("grace-s = 6", "grace-s = soon", "ports = 7720,7735", "ports = x", "name = e1", "").Replace(goodSettings)
	_, err := load(t, text)
	if err == nil {
		t.Fatal("no error")
	}
	for _, want := range []string{"grace-s", "ports", "name"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%q is not named in: %v", want, err)
		}
	}
}
