package rack

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"persimmonworks.example/persimmonworks/agent"
	"persimmonworks.example/persimmonworks/fault"
	"persimmonworks.example/persimmonworks/ledger"
	"persimmonworks.example/persimmonworks/provider"
	"persimmonworks.example/persimmonworks/resource"
	"persimmonworks.example/persimmonworks/worker"
)

// BenchmarkSync measures one regular Sync with a worker that runs tasks: the
// time spent by the rack's owner and by the simulated worker, and the size of
// both bodies without the HTTP headers (about 300 bytes more).
func BenchmarkSync(b *testing.B) {
	for _, tasks := range []int{0, 1, 4, 16} {
		b.Run(fmt.Sprint("tasks-", tasks), func(b *testing.B) { benchmarkSync(b, tasks) })
	}
}

func benchmarkSync(b *testing.B, tasks int) {
	now := time.Now()
	capacity := resource.Vector{MilliCPU: 16 * resource.MilliPerCore, MemoryMB: 32 << 10}
	w := &agent.Agent{ID: "w-dc1-r1-01", Capacity: capacity, Ledger: &ledger.Ledger{}, Faults: fault.NewInjector()}
	r := &Rack{Name: "rack-dc1-r1", Epoch: 3, Lease: time.Minute, MaxTransit: time.Second}
	r.SetHosts([]provider.Host{{ID: w.ID, Kind: provider.KindWorker, DataCentre: "dc1", Rack: "dc1-r1", Capacity: capacity}}, now)
	r.SetPreviousOwnerEnd(now)
	var ownerTime, workerTime time.Duration
	bytes, n := 0, 0
	exchange := func() {
		begin := time.Now()
		s, ok := r.NextSync(w.ID, begin)
		if !ok {
			b.Fatal("nothing to send")
		}
		request, err := json.Marshal(s)
		if err != nil {
			b.Fatal(err)
		}
		sent := time.Now()
		var decodedSync worker.Sync
		if err := json.Unmarshal(request, &decodedSync); err != nil {
			b.Fatal(err)
		}
		report, err := w.Sync(b.Context(), decodedSync)
		if err != nil {
			b.Fatal(err)
		}
		response, err := json.Marshal(report)
		if err != nil {
			b.Fatal(err)
		}
		responded := time.Now()
		var decodedReport worker.Report
		if err := json.Unmarshal(response, &decodedReport); err != nil {
			b.Fatal(err)
		}
		if _, err := r.HandleReport(w.ID, s, decodedReport, nil, time.Now()); err != nil {
			b.Fatal(err)
		}
		ownerTime += sent.Sub(begin) + time.Since(responded)
		workerTime += responded.Sub(sent)
		bytes, n = len(request)+len(response), n+1
	}
	exchange() // the worker accepts the epoch
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range tasks {
		s := worker.Start{
			Ref: worker.Ref{Task: fmt.Sprintf("dc1.jobs-0.89473da0-3c7b-454d-8b22-06546ff00ac2/%d", i), Attempt: 1}, JobShard: "dc1/jobs-0",
			Organisation: "workshop", Class: "batch", Demand: resource.Vector{MilliCPU: 500, MemoryMB: 512},
			Work: json.RawMessage(`{"run-ms":3600000}`),
		}
		if _, err := r.Place(s, Preferences{}, now, rng); err != nil {
			b.Fatal(err)
		}
	}
	exchange() // starts them
	ownerTime, workerTime, n = 0, 0, 0
	for b.Loop() {
		exchange()
	}
	b.ReportMetric(float64(bytes), "bytes")
	b.ReportMetric(float64(ownerTime.Nanoseconds())/1000/float64(n), "owner-us")
	b.ReportMetric(float64(workerTime.Nanoseconds())/1000/float64(n), "worker-us")
}
