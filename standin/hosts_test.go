package standin

import (
	"testing"
	"testing/synctest"
	"time"

	"persimmonworks.example/persimmonworks/provider"
)

// The list shows each change Lag after it was made, in turn.
func TestHostListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &HostList{Lag: 5 * time.Second}
		want := func(count int) {
			t.Helper()
			if hosts, _ := h.Hosts(t.Context()); len(hosts) != count {
				t.Fatalf("%d hosts, want %d", len(hosts), count)
			}
		}
		h.Set(make([]provider.Host, 1))
		want(1)
		time.Sleep(time.Minute)
		h.Set(make([]provider.Host, 2))
		time.Sleep(time.Second)
		h.Set(make([]provider.Host, 3))
		time.Sleep(4*time.Second - 1)
		want(1)
		time.Sleep(1)
		want(2)
		time.Sleep(time.Second)
		want(3)
	})
}

// Peak is the busiest second, mean the whole time.
func TestMeter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var m meter
		for _, count := range []int{2, 7, 0, 1} {
			for range count {
				m.add()
			}
			time.Sleep(time.Second)
		}
		if r := m.rate(); r.Total != 10 || r.Peak != 7 || r.Mean != 2.5 {
			t.Errorf("rate %+v", r)
		}
	})
}
