package entry

import (
	"context"
	"strings"
	"time"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/job"
	"persimmonworks.example/persimmonworks/meter"
	"persimmonworks.example/persimmonworks/wire"
)

const gaugeInterval = time.Second

// countPlatformCalls wraps the platform's clients to count every call.
func (p *Process) countPlatformCalls() {
	p.Table = &meter.Table{Table: p.Table, Meter: p.meter}
	p.Objects = &meter.Objects{Objects: p.Objects, Meter: p.meter}
	p.Hosts = &meter.Hosts{HostLister: p.Hosts, Meter: p.meter}
}

// attemptEnded counts an ended attempt by its end state. It runs on the control
// loop.
func (p *Process) attemptEnded(j *job.Job, _ *job.Task, w *wire.Attempt) {
	end, ok := map[wire.AttemptState]string{
		wire.AttemptState_ATTEMPT_STATE_DONE:    "done",
		wire.AttemptState_ATTEMPT_STATE_FAILED:  "failed",
		wire.AttemptState_ATTEMPT_STATE_STOPPED: "stopped",
		wire.AttemptState_ATTEMPT_STATE_REFUSED: "refused",
		wire.AttemptState_ATTEMPT_STATE_LOST:    "lost",
	}[w.State]
	if !ok {
		end = "unknown"
	}
	p.meter.AttemptEnded(j.Spec.Class, end)
}

// runGauges updates the gauges periodically until ctx ends.
func (p *Process) runGauges(ctx context.Context) error {
	ticker := time.NewTicker(gaugeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		p.countShards()
		p.countCallers()
		if p.loop.Do(ctx, p.setGauges) != nil {
			return nil
		}
	}
}

// countShards sets the gauges of owned shards. It must not run on the control loop,
// which must not block on the shards' view of the table.
func (p *Process) countShards() {
	racks, jobs := 0, 0
	for _, g := range p.shards.Held() {
		if strings.HasPrefix(g.Shard, "rack-") {
			racks++
		} else {
			jobs++
		}
	}
	p.meter.SetShards("rack", racks)
	p.meter.SetShards("jobs", jobs)
}

// setGauges sets the gauges of queues and workers. It runs on the control loop.
func (p *Process) setGauges() {
	for _, c := range class.All {
		waiting := 0
		for _, o := range p.configuration().Organisations {
			waiting += p.queue.Waiting(o.Name, c)
		}
		p.meter.SetQueue(c, waiting)
	}
	states := map[string]int{"open": 0, "closed": 0, "quarantined": 0, "draining": 0}
	for r := range p.racks.All {
		for _, id := range r.Workers() {
			states[workerState(r.Closed(id))]++
		}
	}
	for state, n := range states {
		p.meter.SetWorkers(state, n)
	}
}

// workerState returns the metric label for a worker, given the reason why it is
// closed.
func workerState(closed string) string {
	switch {
	case closed == "":
		return "open"
	case closed == "leaving":
		return "draining"
	case strings.HasPrefix(closed, "quarantine"):
		return "quarantined"
	}
	return "closed"
}
