package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"persimmonworks.example/persimmonworks/accounts"
	"persimmonworks.example/persimmonworks/burn"
	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/console"
	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/forward"
	"persimmonworks.example/persimmonworks/meter"
	"persimmonworks.example/persimmonworks/rack"
	"persimmonworks.example/persimmonworks/runner"
	"persimmonworks.example/persimmonworks/worker"
)

var _ console.Accounts = (*accounts.Recorder)(nil)

const burnInterval = 30 * time.Second // mean interval between archive writes

// recordReport adds a worker's report to the usage accounts, or the attempts that
// were lost with the worker. It runs on the control loop.
func (p *Process) recordReport(r *rack.Rack, id string, report worker.Report, changed []*rack.Attempt, err error) {
	now := time.Now()
	lost := 0
	for _, a := range changed {
		if a.State == rack.Lost {
			p.accounts.RecordLost(r.Epoch, a, now)
			lost++
		}
	}
	if err == nil {
		p.accounts.Report(r.Epoch, id, report, now)
	} else if lost > 0 {
		p.Log.Emit(event.WorkerLost, "worker", id, "attempts", lost)
	}
}

// requestObserver records ended requests in the metrics and in the burn-rate ledger.
type requestObserver struct{ p *Process }

var _ forward.Observer = (*requestObserver)(nil)

// meterOutcomes maps the outcomes of package runner to those of package meter. A
// request whose caller gave up may have run, so its outcome is unknown.
var meterOutcomes = map[string]string{
	runner.OK.String():      meter.OutcomeDone,
	runner.NotRun.String():  meter.OutcomeNotRun,
	runner.Failed.String():  meter.OutcomeFailed,
	runner.Unknown.String(): meter.OutcomeUnknown,
	runner.GivenUp.String(): meter.OutcomeUnknown,
}

// RequestEnded implements forward.Observer.
func (o *requestObserver) RequestEnded(organisation string, c class.Class, request, outcome string, waited, total time.Duration) {
	o.p.meter.Request(c, meterOutcomes[outcome], waited)
	o.p.burn.Record(burn.Request{
		ID: request, Organisation: organisation, Class: c, Latency: total, Succeeded: outcome == runner.OK.String(), At: time.Now(),
	})
}

// runID returns an ID that is unique to this run of the process.
func (p *Process) runID() string {
	return fmt.Sprintf("%s-%d", p.Settings.Process.Name, p.node.Incarnation)
}

// runBurnArchive archives the counts of the burn report periodically until ctx ends, and
// once more at the end.
func (p *Process) runBurnArchive(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			last, cancel := context.WithTimeout(context.WithoutCancel(ctx), handOverTimeout)
			defer cancel()
			p.archiveBurn(last)
			return nil
		case <-time.After(burnInterval/2 + rand.N(burnInterval)):
			p.archiveBurn(ctx)
		}
	}
}

func (p *Process) archiveBurn(ctx context.Context) {
	counts := p.burn.Snapshot()
	if len(counts.Series) == 0 {
		return
	}
	if err := p.burnArchive.Store(ctx, counts); err != nil && ctx.Err() == nil {
		p.Log.Emit(event.BurnDelayed, "error", err)
	}
}
