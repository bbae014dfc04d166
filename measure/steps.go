package measure

import (
	"fmt"
	"math"
	"time"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/measure/experiment"
	"persimmonworks.example/persimmonworks/measure/report"
	"persimmonworks.example/persimmonworks/measure/workload"
	"persimmonworks.example/persimmonworks/placement"
	"persimmonworks.example/persimmonworks/queue"
)

const (
	shortShare = 0.05 // of slots, kept for short work
	reserve    = 0.05 // of workers, kept for short work
	lateBy     = 250 * time.Millisecond
	oneInTen   = 10
	recovery   = 30 * time.Second // from the first failure to full throughput
)

var (
	requestPolicies = []experiment.Requests{
		{Name: "gate", ShortShare: shortShare},
		{Name: "gate, no reserve", ShortShare: 1e-9},
		{Name: "gate, nothing declared", ShortShare: shortShare, Undeclared: true},
		{Name: "fifo", FIFO: true},
	}
	taskPolicies = []experiment.Tasks{
		{Name: "fair, best fit", Reserve: reserve, Learn: true},
		{Name: "fair, first fit", Reserve: reserve, Learn: true, Placement: placement.FirstFit{}},
		{Name: "fair, random", Reserve: reserve, Learn: true, Placement: placement.Random{}},
		{Name: "late summaries", Reserve: reserve, Learn: true, Late: lateBy},
		{Name: "no reserve", Learn: true},
		{Name: "as declared", Reserve: reserve},
		{Name: "fifo, first fit", Queue: queue.FIFO{}, Placement: placement.FirstFit{}},
	}
)

// requests compares the policies of admission.
func (m *Measure) requests(w *workload.Workload, seed uint64) error {
	var results []*experiment.Result
	for _, p := range requestPolicies {
		results = append(results, p.Run(w, seed))
	}
	report.Waits(m.Out, results)
	report.Decisions(m.Out, results)
	return m.plot(w, "requests", seed, results)
}

// tasks compares the policies of queue and placement.
func (m *Measure) tasks(w *workload.Workload, seed uint64) error {
	var results []*experiment.Result
	for _, p := range taskPolicies {
		results = append(results, p.Run(w, seed))
	}
	report.Waits(m.Out, results)
	report.Decisions(m.Out, results)
	return m.plot(w, "tasks", seed, results)
}

// blocking compares the wait of the most urgent stream with and without batch
// work on the same system, and the batch work done with and without reserve.
func (m *Measure) blocking(w *workload.Workload, seed uint64) error {
	short := w.Streams[0].Name
	alone := w.Without(class.Batch)
	var rows [][]string
	row := func(path, policy string, with, without, unreserved *experiment.Result) {
		done, most := batchWork(w, with), batchWork(w, unreserved)
		a, b := with.Of(short), without.Of(short)
		rows = append(rows, []string{
			fmt.Sprint(seed), path, policy,
			report.Quantile(a.Wait, 99), report.Quantile(b.Wait, 99), report.Quantile(a.Response, 99), report.Quantile(b.Response, 99),
			fmt.Sprintf("%.0f", done), report.Share(1 - done/most),
		})
	}
	gate, open, fifo := requestPolicies[0], requestPolicies[1], requestPolicies[len(requestPolicies)-1]
	unreserved := open.Run(w, seed)
	row("requests", gate.Name, gate.Run(w, seed), gate.Run(alone, seed), unreserved)
	row("requests", open.Name, unreserved, open.Run(alone, seed), unreserved)
	row("requests", fifo.Name, fifo.Run(w, seed), fifo.Run(alone, seed), unreserved)
	ours, none, base := taskPolicies[0], taskPolicies[4], taskPolicies[len(taskPolicies)-1]
	free := none.Run(w, seed)
	row("tasks", ours.Name, ours.Run(w, seed), ours.Run(alone, seed), free)
	row("tasks", none.Name, free, none.Run(alone, seed), free)
	row("tasks", base.Name, base.Run(w, seed), base.Run(alone, seed), free)
	report.Table(m.Out, []string{"seed", "path", "policy", short + " wait p99", "alone", "response p99", "alone", "batch work s", "batch lost"}, rows)
	return nil
}

// batchWork returns the core or slot seconds of batch work that a run has done.
func batchWork(w *workload.Workload, r *experiment.Result) float64 {
	sum := 0.0
	for _, s := range w.Streams {
		if s.Class() == class.Batch {
			sum += r.Of(s.Name).Work
		}
	}
	return sum
}

// burst shows useful answers and the first stream before, in and after a burst.
func (m *Measure) burst(w *workload.Workload, seed uint64) error {
	if w.BurstLength <= 0 {
		fmt.Fprintf(m.Out, "workload %q has no burst-length, so there is nothing to show\n", w.Name)
		return nil
	}
	calm := *w
	calm.BurstLength = 0
	end := w.BurstAt + w.BurstLength
	var rows [][]string
	for _, p := range requestPolicies {
		with, without := p.Run(w, seed), p.Run(&calm, seed)
		s, c := with.Of(w.Streams[0].Name), without.Of(w.Streams[0].Name)
		rows = append(rows, []string{
			fmt.Sprint(seed), p.Name, report.Share(with.Mean(w.BurstAt+w.BurstRise, end)),
			report.Quantile(c.Response, 99), report.Quantile(s.Burst, 99), report.Quantile(s.After, 99),
			fmt.Sprint(s.Arrived), fmt.Sprint(s.Finished), fmt.Sprint(s.Refused),
		})
	}
	report.Table(m.Out, []string{"seed", "policy", "useful in the burst", "response p99 calm", "in the burst", "5 s after", "arrived", "finished", "refused"}, rows)
	return nil
}

// gang shows the wait of a gang job of half the pool.
func (m *Measure) gang(w *workload.Workload, seed uint64) error {
	var rows [][]string
	for _, p := range []experiment.Gang{
		{Name: "reservation, learned", Reserve: true, Learn: true},
		{Name: "reservation, as declared", Reserve: true},
		{Name: "no reservation", Learn: true},
	} {
		r := p.Run(w, seed)
		bound := "-"
		if r.Bound > 0 {
			bound = report.Round(r.Bound)
		}
		rows = append(rows, []string{
			fmt.Sprint(seed), p.Name, bound, report.Round(r.Waited), fmt.Sprint(r.Started), fmt.Sprint(r.Stopped), report.Share(r.Packing),
		})
	}
	report.Table(m.Out, []string{"seed", "policy", "bound", "waited", "started", "stopped at limit", "in use meanwhile"}, rows)
	return nil
}

// shares shows the largest distance of an organisation from its fair share
// over a minute, at saturation.
func (m *Measure) shares(_ *workload.Workload, seed uint64) error {
	w, err := workload.Load("shares")
	if err != nil {
		return err
	}
	var rows [][]string
	for _, p := range sharePolicies {
		r := p.Run(w, seed)
		below, above, mean := 0.0, 0.0, 0.0
		for _, x := range r.Shares {
			off := x.Got/x.Fair - 1
			below, above = min(below, off), max(above, off)
			mean += math.Abs(off) / float64(len(r.Shares))
		}
		rows = append(rows, []string{
			fmt.Sprint(seed), p.Name, report.Share(below), report.Share(above), report.Share(mean), fmt.Sprint(len(r.Shares)), report.Share(r.Packing),
		})
	}
	report.Table(m.Out, []string{"seed", "policy", "lowest minute", "highest minute", "mean distance", "minutes", "packing"}, rows)
	return nil
}

var sharePolicies = []experiment.Tasks{
	{Name: "fair, best fit", Reserve: reserve, Learn: true},
	{Name: "fair, room kept", Reserve: reserve, Learn: true, KeepRoom: true},
	{Name: "first fit, room kept", Reserve: reserve, Learn: true, KeepRoom: true, Placement: placement.FirstFit{}},
	{Name: "random, room kept", Reserve: reserve, Learn: true, KeepRoom: true, Placement: placement.Random{}},
	{Name: "fifo, first fit", Queue: queue.FIFO{}, Placement: placement.FirstFit{}},
}

// failing shows the useful work with a tenth of the workers failing all they
// start, against the healthy nine tenths.
func (m *Measure) failing(w *workload.Workload, seed uint64) error {
	var rows [][]string
	healthy := *w
	healthy.Workers = w.Workers * (oneInTen - 1) / oneInTen
	base := taskPolicies[0]
	reference := base.Run(&healthy, seed)
	useful := func(r *experiment.Result, of *workload.Workload) float64 {
		return r.Mean(recovery, w.Duration) * float64(of.Workers)
	}
	for _, quarantined := range []bool{true, false} {
		p := base
		p.Name, p.Failing, p.Quarantine = "no quarantine", oneInTen, quarantined
		if quarantined {
			p.Name = "quarantine"
		}
		r := p.Run(w, seed)
		rows = append(rows, []string{
			fmt.Sprint(seed), p.Name, report.Share(useful(r, w) / useful(reference, &healthy)), fmt.Sprint(r.Held), fmt.Sprint(r.Failures),
		})
	}
	report.Table(m.Out, []string{"seed", "policy", "useful work of nine tenths", "held", "failed attempts"}, rows)
	return nil
}
