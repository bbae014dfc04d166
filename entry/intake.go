package entry

import (
	"strings"
	"time"

	"persimmonworks.example/persimmonworks/ingress"
	"persimmonworks.example/persimmonworks/intake"
	"persimmonworks.example/persimmonworks/meter"
	"persimmonworks.example/persimmonworks/settings"
)

const (
	callerFreeBytes  = 16 << 10         // of each request, that max-held-bytes does not count
	callerStall      = 30 * time.Second // without a byte of a request or of an answer taken
	callerWhole      = time.Hour        // for a request that is streamed to a runner
	descriptorsParts = 4                // of which callers may take all but one
)

// callerLimits returns what callers may hold.
func callerLimits(s *settings.Settings) intake.Limits {
	connections := s.Limits.MaxConnections
	if most := ingress.Descriptors(); most > 0 {
		connections = min(connections, most-most/descriptorsParts)
	}
	l := intake.Limits{
		Connections: connections, Bytes: s.Limits.MaxHeldBytes,
		FreeBytes: callerFreeBytes, Stall: callerStall, Whole: callerWhole,
	}
	memory := s.Limits.MemoryMB
	if memory == 0 {
		memory = ingress.HostMemoryMB()
	}
	if memory > 0 {
		l = l.Within(memory)
	}
	l.Bytes = max(l.Bytes, 2*s.Limits.MaxBodyBytes)
	return l
}

// callerMeter counts the callers that were let go, and those that waited for a place.
type callerMeter struct{ *meter.Meter }

// Count implements ingress.Meter.
func (m callerMeter) Count(name, outcome string) {
	if strings.HasSuffix(name, ".waited") {
		m.CallerWaited(outcome)
		return
	}
	m.CallerClosed(outcome)
}

// Observe implements ingress.Meter.
func (m callerMeter) Observe(_ string, d time.Duration) { m.CallerWait(d) }

// countCallers sets the gauges of what callers hold.
func (p *Process) countCallers() {
	if p.intake == nil {
		return
	}
	p.meter.SetCallerBytes(p.intake.Bytes())
	p.meter.SetCallerConnections("waiting", p.intake.Waiting())
	for phase := range intake.Phases {
		p.meter.SetCallerConnections(phase.String(), p.intake.Connections(phase))
	}
}
