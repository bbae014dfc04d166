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

// BenchmarkSync is one regular exchange with a worker that runs tasks: what the
// owner of its rack does, what the stand-in worker does, and the bytes of the
// two bodies, without the HTTP headers (some 300 bytes more).
func BenchmarkSync(b *testing.B) {
	for _, tasks := range []int{0, 1, 4, 16} {
		b.Run(fmt.Sprint("tasks-", tasks), func(b *testing.B) { benchmarkSync(b, tasks) })
	}
}

func benchmarkSync(b *testing.B, tasks int) {
	now := time.Now()
	capacity := resource.Vector{MilliCPU: 16 * resource.MilliPerCore, MemoryMB: 32 << 10}
	w := &agent.Agent{ID: "w-dc1-r1-01", Capacity: capacity, Ledger: &ledger.Ledger{}, Faults: fault.NewBoard()}
	r := &Rack{Name: "rack-dc1-r1", Epoch: 3, Lease: time.Minute, Transit: time.Second}
	r.SetHosts([]provider.Host{{ID: w.ID, Kind: provider.KindWorker, DataCentre: "dc1", Rack: "dc1-r1", Capacity: capacity}}, now)
	r.AllowWaitOut(now)
	var owner, member time.Duration
	bytes, n := 0, 0
	exchange := func() {
		begin := time.Now()
		s, ok := r.Outbox(w.ID, begin)
		if !ok {
			b.Fatal("nothing to send")
		}
		request, err := json.Marshal(s)
		if err != nil {
			b.Fatal(err)
		}
		sent := time.Now()
		var got worker.Sync
		if err := json.Unmarshal(request, &got); err != nil {
			b.Fatal(err)
		}
		report, err := w.Sync(b.Context(), got)
		if err != nil {
			b.Fatal(err)
		}
		answer, err := json.Marshal(report)
		if err != nil {
			b.Fatal(err)
		}
		answered := time.Now()
		var heard worker.Report
		if err := json.Unmarshal(answer, &heard); err != nil {
			b.Fatal(err)
		}
		if _, err := r.Answer(w.ID, s, heard, nil, time.Now()); err != nil {
			b.Fatal(err)
		}
		owner += sent.Sub(begin) + time.Since(answered)
		member += answered.Sub(sent)
		bytes, n = len(request)+len(answer), n+1
	}
	exchange() // fences
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range tasks {
		s := worker.Start{
			Ref: worker.Ref{Task: fmt.Sprintf("dc1.jobs-0.89473da0-3c7b-454d-8b22-06546ff00ac2/%d", i), Attempt: 1}, JobShard: "dc1/jobs-0",
			Organisation: "workshop", Class: "batch", Demand: resource.Vector{MilliCPU: 500, MemoryMB: 512},
			Work: json.RawMessage(`{"run-ms":3600000}`),
		}
		if _, err := r.Place(s, Wish{}, now, rng); err != nil {
			b.Fatal(err)
		}
	}
	exchange() // starts them
	owner, member, n = 0, 0, 0
	for b.Loop() {
		exchange()
	}
	b.ReportMetric(float64(bytes), "bytes")
	b.ReportMetric(float64(owner.Nanoseconds())/1000/float64(n), "owner-us")
	b.ReportMetric(float64(member.Nanoseconds())/1000/float64(n), "worker-us")
}
