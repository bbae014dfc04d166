package standin

import (
	"context"
	"slices"
	"sync"
	"time"

	"persimmonworks.example/persimmonworks/provider"
)

// HostList is the platform's list of hosts, which shows every change Lag after
// it was made. Exported fields are set before the first call; it is safe for
// concurrent use.
type HostList struct {
	Lag time.Duration

	mutex  sync.Mutex
	states []hostState // by time, the first one already visible
}

type hostState struct {
	at    time.Time
	hosts []provider.Host
}

var _ provider.HostLister = (*HostList)(nil)

// Set makes hosts the true state. The first Set is visible at once.
func (h *HostList) Set(hosts []provider.Host) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.states = append(h.states, hostState{at: time.Now(), hosts: slices.Clone(hosts)})
}

// Hosts returns the list as it was Lag ago.
func (h *HostList) Hosts(context.Context) ([]provider.Host, error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for len(h.states) > 1 && time.Since(h.states[1].at) >= h.Lag {
		h.states = h.states[1:]
	}
	if len(h.states) == 0 {
		return []provider.Host{}, nil
	}
	return slices.Clone(h.states[0].hosts), nil
}
