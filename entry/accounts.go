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

var _ console.Accounts = (*accounts.Keeper)(nil)

const burnInterval = 30 * time.Second // between copies of the burn counts

// account brings what a worker told, or its loss, into the accounts; called on
// the loop.
func (p *Process) account(r *rack.Rack, id string, report worker.Report, changed []*rack.Attempt, err error) {
	now := time.Now()
	lost := 0
	for _, a := range changed {
		if a.State == rack.Lost {
			p.books.Lost(r.Epoch, a, now)
			lost++
		}
	}
	if err == nil {
		p.books.Report(r.Epoch, id, report, now)
	} else if lost > 0 {
		p.Log.Emit(event.WorkerLost, "worker", id, "attempts", lost)
	}
}

// observer counts the requests that ended.
type observer struct{ p *Process }

var _ forward.Observer = (*observer)(nil)

// outcomesOfRequests maps the outcomes of package runner to those of package
// meter. A caller that gave up had no answer, and its request may have run.
var outcomesOfRequests = map[string]string{
	runner.OK.String():      meter.OutcomeDone,
	runner.NotRun.String():  meter.OutcomeNotRun,
	runner.Failed.String():  meter.OutcomeFailed,
	runner.Unknown.String(): meter.OutcomeUnknown,
	runner.GivenUp.String(): meter.OutcomeUnknown,
}

// Request implements forward.Observer.
func (o *observer) Request(organisation string, c class.Class, request, outcome string, waited, total time.Duration) {
	o.p.meter.Request(c, outcomesOfRequests[outcome], waited)
	o.p.burn.Record(burn.Request{
		ID: request, Organisation: organisation, Class: c, Latency: total, Answered: outcome == runner.OK.String(), At: time.Now(),
	})
}

// startName names this start of the process for good.
func (p *Process) startName() string {
	return fmt.Sprintf("%s-%d", p.Settings.Process.Name, p.node.Incarnation)
}

// runBurn stores the counts of the burn report until ctx ends, and once more
// then.
func (p *Process) runBurn(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			last, cancel := context.WithTimeout(context.WithoutCancel(ctx), handOverTime)
			defer cancel()
			p.keepBurn(last)
			return nil
		case <-time.After(burnInterval/2 + rand.N(burnInterval)):
			p.keepBurn(ctx)
		}
	}
}

func (p *Process) keepBurn(ctx context.Context) {
	counts := p.burn.Snapshot()
	if len(counts.Series) == 0 {
		return
	}
	if err := p.burnKept.Keep(ctx, counts); err != nil && ctx.Err() == nil {
		p.Log.Emit(event.BurnDelayed, "error", err)
	}
}
