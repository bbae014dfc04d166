package joblog_test

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"persimmonworks.example/persimmonworks/joblog"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/job"
	"persimmonworks.example/persimmonworks/provider"
	"persimmonworks.example/persimmonworks/resource"
	"persimmonworks.example/persimmonworks/standin"
)

// countingTable is a table that counts reads, commits and the bytes read.
type countingTable struct {
	provider.Table
	reads, writes, bytes int
}

func (m *countingTable) Get(ctx context.Context, key string) (provider.Row, error) {
	r, err := m.Table.Get(ctx, key)
	m.reads, m.bytes = m.reads+1, m.bytes+len(r.Value)
	return r, err
}

func (m *countingTable) Range(ctx context.Context, prefix, after string, limit int) ([]provider.Row, error) {
	rows, err := m.Table.Range(ctx, prefix, after, limit)
	m.reads++
	for _, r := range rows {
		m.bytes += len(r.Value)
	}
	return rows, err
}

func (m *countingTable) Commit(ctx context.Context, ops ...provider.Op) ([]uint64, error) {
	m.writes++
	return m.Table.Commit(ctx, ops...)
}

// BenchmarkTakeover measures opening a job shard with 3,800 open tasks in 38
// jobs, from the journal alone and from a snapshot. Half of the tasks are on
// their second attempt.
func BenchmarkTakeover(b *testing.B) {
	const jobs, tasks = 38, 100
	for _, snapshot := range []bool{false, true} {
		b.Run(fmt.Sprintf("snapshot=%v", snapshot), func(b *testing.B) {
			table := &countingTable{Table: &standin.Table{}}
			s := &joblog.Store{Table: table, Objects: &standin.Objects{}, DataCentre: "dc1", Shard: "jobs-1", Epoch: 1, Writer: "e1"}
			state, err := s.Open(b.Context())
			if err != nil {
				b.Fatal(err)
			}
			write := func(entries []job.Entry) {
				if err := s.Append(b.Context(), entries); err != nil {
					b.Fatal(err)
				}
				for _, e := range entries {
					state.Apply(e)
				}
			}
			for i := range jobs {
				spec := job.Spec{Organisation: "prado", Class: class.Batch, Kind: "rendering", Demand: resource.Vector{MilliCPU: 2000, MemoryMB: 1024}}
				for k := range tasks {
					spec.Tasks = append(spec.Tasks, job.TaskSpec{Work: fmt.Appendf(nil, `{"run-ms":60000,"output":"mould %d"}`, k)})
				}
				id := job.NewID("dc1", "jobs-1", fmt.Sprint(i))
				write([]job.Entry{job.AcceptEntry(id, spec, time.Unix(int64(i), 0))})
				var batch []job.Entry
				for k := 0; k < tasks; k += 2 {
					e, _ := state.EndEntry(job.TaskID(id, k), 1, job.AttemptEnd{Outcome: job.Failed, MayHaveRun: true, Reason: "task failed", Worker: "w-dc1-r1-01"})
					if batch = append(batch, e); len(batch) == 10 {
						write(batch)
						batch = nil
					}
				}
			}
			size := 0
			if snapshot {
				image, err := state.Snapshot()
				if err != nil {
					b.Fatal(err)
				}
				if err := s.Compact(b.Context(), image, s.NextRow()); err != nil {
					b.Fatal(err)
				}
				size = len(image)
			}
			*table = countingTable{Table: table.Table}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			var kept []*job.ShardState
			for n := 0; b.Loop(); n++ {
				next := &joblog.Store{Table: table, Objects: s.Objects, DataCentre: "dc1", Shard: "jobs-1", Epoch: uint64(n) + 2, Writer: fmt.Sprint(n)}
				state, err := next.Open(b.Context())
				if err != nil {
					b.Fatal(err)
				}
				kept = append(kept, state)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(table.reads)/float64(b.N), "reads/op")
			b.ReportMetric(float64(table.writes)/float64(b.N), "writes/op")
			b.ReportMetric(float64(table.bytes)/float64(b.N), "table-bytes/op")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(len(kept)*jobs*tasks), "heap-bytes/task")
			b.ReportMetric(float64(size), "snapshot-bytes")
			runtime.KeepAlive(kept)
			runtime.KeepAlive(state)
		})
	}
}
