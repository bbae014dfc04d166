package entry

import (
	"context"
	"time"

	"persimmonworks.example/persimmonworks/event"
)

const drainInterval = 250 * time.Millisecond

// runDrains periodically stops attempts on drained workers that can resume
// elsewhere, until ctx ends.
func (p *Process) runDrains(ctx context.Context) error {
	return p.loop.Every(ctx, drainInterval, p.stopDrained)
}

// stopDrained requests checkpoints of attempts on drained workers of owned racks.
func (p *Process) stopDrained() {
	now := time.Now()
	c := p.configuration()
	v := p.hosts.Load()
	if len(c.Drains) == 0 || v == nil || !p.session.Valid(now) {
		return
	}
	leaving := map[string]bool{}
	for _, h := range v.hosts {
		if _, drained := c.Drained(h.ID, h.Rack, h.DataCentre); drained {
			leaving[h.ID] = true
		}
	}
	for _, a := range p.drains.StopAttempts(p.racks.All, func(id string) bool { return leaving[id] }, now) {
		p.Log.Emit(event.DrainStop, "worker", a.Worker, "task", a.Task, "attempt", a.Ref.Attempt)
	}
}
