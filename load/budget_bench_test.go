package load_test

import (
	"fmt"
	"net/http"
	"runtime"
	"testing"
	"time"

	"persimmonworks.example/persimmonworks/resource"
	"persimmonworks.example/persimmonworks/standin"
)

// BenchmarkBudget counts what the processes of three data centres ask of the
// platform: while all start at once, while nothing happens, and after the
// platform was away for 15 s. Run it with -benchtime 1x; each size takes 50 s.
func BenchmarkBudget(b *testing.B) {
	for _, n := range []int{1, 3, 6} {
		b.Run(fmt.Sprint("processes-", 3*n), func(b *testing.B) {
			bed := newBed(b, standin.Layout{
				DataCentres: 3, Racks: 17 * n, Workers: 1, Runners: 1, Service: "jobs", Slots: 8,
				Capacity: resource.Vector{MilliCPU: 16 * resource.MilliPerCore, MemoryMB: 32 << 10},
			}, n)
			count := func(name string, length time.Duration) {
				time.Sleep(length)
				c := bed.stand.Counters()
				b.ReportMetric(float64(c.Reads.Peak), name+"-reads-peak")
				b.ReportMetric(float64(c.Writes.Peak), name+"-writes-peak")
				b.ReportMetric(c.Reads.Mean, name+"-reads/s")
				b.ReportMetric(c.Writes.Mean, name+"-writes/s")
				resetCounters(b, bed)
			}
			for b.Loop() {
				count("start", 15*time.Second)
				count("quiet", 10*time.Second)
				if err := bed.stand.SetFaults([]byte(`{"platform":{"away":true}}`)); err != nil {
					b.Fatal(err)
				}
				time.Sleep(15 * time.Second)
				resetCounters(b, bed)
				if err := bed.stand.SetFaults([]byte(`{"platform":{"away":false}}`)); err != nil {
					b.Fatal(err)
				}
				count("back", 10*time.Second)
			}
			var m runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&m)
			b.ReportMetric(float64(m.HeapAlloc)/1e6/float64(3*n), "heap-MB/process")
		})
	}
}

func resetCounters(b *testing.B, bed *bed) {
	b.Helper()
	q, err := http.NewRequestWithContext(b.Context(), http.MethodDelete, bed.stand.Address()+standin.PathCounters, nil)
	if err != nil {
		b.Fatal(err)
	}
	answer, err := http.DefaultClient.Do(q)
	if err != nil {
		b.Fatal(err)
	}
	answer.Body.Close()
}
