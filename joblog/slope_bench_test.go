package joblog

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"persimmonworks.example/persimmonworks/job"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/provider"
	"persimmonworks.example/persimmonworks/resource"
	"persimmonworks.example/persimmonworks/standin"
)

// batchOf returns the spec of a batch job of n tasks.
func batchOf(n int) job.Spec {
	s := job.Spec{
		Name: "renderings", Organisation: "workshop", Class: class.Batch, Kind: "rendering",
		Demand: resource.Vector{MilliCPU: 2000, MemoryMB: 1024}, EstimateMS: 200,
	}
	for range n {
		s.Tasks = append(s.Tasks, job.TaskSpec{Work: json.RawMessage(`{"run-ms":200}`)})
	}
	return s
}

// ends returns the entries that record the end of the first n tasks of a job.
func ends(id string, n int) []job.Entry {
	all := make([]job.Entry, n)
	for i := range all {
		all[i] = job.Entry{
			Kind: job.EntryEnd, Job: id, Task: i, Attempt: 1, State: job.Done, Worker: "w-dc1-r1-01",
			Result: []byte("mould 1"), RunTime: 200 * time.Millisecond,
		}
	}
	return all
}

// BenchmarkAppend measures appending state transitions as one row of the
// stand-in's table.
func BenchmarkAppend(b *testing.B) {
	for _, n := range []int{1, 10, 100, 1000} {
		b.Run(fmt.Sprint("transitions-", n), func(b *testing.B) {
			s := &Store{Table: &standin.Table{}, Objects: &standin.Objects{}, DataCentre: "dc1", Shard: "jobs-0", Epoch: 1, Writer: "e1-1"}
			if _, err := s.Open(b.Context()); err != nil {
				b.Fatal(err)
			}
			entries := ends(job.NewID("dc1", "jobs-0", "89473da0-3c7b-454d-8b22-06546ff00ac2"), n)
			body, err := encodeBatch("e1-1", entries)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				if err := s.Append(b.Context(), entries); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(body)), "bytes")
		})
	}
}

// readCountingTable is a table that counts reads.
type readCountingTable struct {
	standin.Table
	reads int
}

// Get implements provider.Reader.
func (c *readCountingTable) Get(ctx context.Context, key string) (provider.Row, error) {
	c.reads++
	return c.Table.Get(ctx, key)
}

// Range implements provider.Reader.
func (c *readCountingTable) Range(ctx context.Context, prefix, after string, limit int) ([]provider.Row, error) {
	c.reads++
	return c.Table.Range(ctx, prefix, after, limit)
}

// BenchmarkOpen measures the takeover of a job shard: reading and applying its
// journal. Each job has 38 tasks, half of which have ended. A data centre has
// 3,800 open tasks, so that each of its 8 shards has 475.
func BenchmarkOpen(b *testing.B) {
	for _, open := range []int{475, 1900, 3800} {
		b.Run(fmt.Sprint("open-", open), func(b *testing.B) {
			table, objects := &readCountingTable{}, &standin.Objects{}
			w := &Store{Table: table, Objects: objects, DataCentre: "dc1", Shard: "jobs-0", Epoch: 1, Writer: "e1-1"}
			if _, err := w.Open(b.Context()); err != nil {
				b.Fatal(err)
			}
			rows := 1
			for i := range open / 19 {
				id := job.NewID("dc1", "jobs-0", fmt.Sprintf("89473da0-3c7b-454d-8b22-%012d", i))
				for _, batch := range [][]job.Entry{{job.AcceptEntry(id, batchOf(38), time.Now())}, ends(id, 19)} {
					if err := w.Append(b.Context(), batch); err != nil {
						b.Fatal(err)
					}
					rows++
				}
			}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			var state *job.ShardState
			epoch := uint64(1)
			for b.Loop() {
				epoch++
				table.reads = 0
				s := &Store{Table: table, Objects: objects, DataCentre: "dc1", Shard: "jobs-0", Epoch: epoch, Writer: fmt.Sprint("e2-", epoch)}
				opened, err := s.Open(b.Context())
				if err != nil {
					b.Fatal(err)
				}
				state = opened
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			found := 0
			for _, j := range state.Jobs() {
				found += j.OpenTasks()
			}
			if found != open {
				b.Fatalf("%d open tasks after the replay, want %d", found, open)
			}
			b.ReportMetric(float64(rows), "rows")
			b.ReportMetric(float64(table.reads), "reads")
			b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/1024, "held-KB")
		})
	}
}
