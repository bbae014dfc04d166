package entry

import (
	"testing"

	"persimmonworks.example/persimmonworks/settings"
)

// The usual limits fit a small host, and two of the largest requests fit the limits.
func TestCallerLimitsFollowMemory(t *testing.T) {
	for _, memory := range []int64{144, 284, 512, 16 << 10} {
		s := &settings.Settings{}
		s.Limits = settings.Limits{MaxBodyBytes: 8 << 20, MaxConnections: 8192, MaxHeldBytes: 512 << 20, MemoryMB: memory}
		l := callerLimits(s)
		if l.Bytes < 2*s.Limits.MaxBodyBytes || l.Bytes > max(2*s.Limits.MaxBodyBytes, memory<<20/16) {
			t.Errorf("%d MB: %d bytes of requests may be arriving", memory, l.Bytes)
		}
		if most := memory << 20 / 4; int64(l.Connections)*l.FreeBytes > most || l.Connections < 16 {
			t.Errorf("%d MB: %d connections may be open", memory, l.Connections)
		}
	}
}
