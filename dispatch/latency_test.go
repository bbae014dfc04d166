package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"persimmonworks.example/persimmonworks/job"
	"persimmonworks.example/persimmonworks/resource"
)

// runBatch runs a job on one rack of four workers with 16 cores each. It returns
// how long that took, and the messages and bytes exchanged per worker.
func runBatch(t *testing.T, s job.Spec) (took time.Duration, messages, bytes int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := newTestBedWithCapacity(1, 4, resource.Vector{MilliCPU: 16000, MemoryMB: 32 << 10})
		b.runFor(3 * time.Second)
		before, bytesBefore := b.workerTraffic()
		id := b.mustSubmit(t, s)
		begin := time.Now() // once the job is accepted, which took a write to the table
		for {
			b.runFor(rackTick)
			v, _, err := b.jobAndTasks(id)
			if err != nil || time.Since(begin) > time.Minute {
				t.Fatalf("job not finished within a minute: error %v, states %v", err, v.States)
			}
			if v.Open == 0 {
				break
			}
		}
		took = time.Since(begin)
		messages, bytes = b.workerTraffic()
		messages, bytes = (messages-before)/4, (bytes-bytesBefore)/4
		for _, f := range b.shutDown() {
			t.Error(f)
		}
	})
	return took, messages, bytes
}

// The ends of short tasks are noticed soon enough that a batch whose tasks run in
// four rounds takes at most twice its ideal time, however wrong its estimate is.
func TestShortBatch(t *testing.T) {
	const ideal = 4 * 200 * time.Millisecond
	cases := []struct {
		name     string
		estimate int64 // milliseconds
		maxTime  time.Duration
	}{
		{"good estimate", 200, 2 * ideal},
		{"no estimate", 0, 2 * ideal},
		{"ten times too long", 2000, 2 * ideal},
		{"ten times too short", 20, 2 * ideal},
	}
	for _, c := range cases {
		s := newSpec(100, `{"run-ms":200}`)
		s.Demand, s.EstimateMS = resource.Vector{MilliCPU: 2000, MemoryMB: 1024}, c.estimate
		took, messages, bytes := runBatch(t, s)
		t.Logf("%s: batch took %v, %d messages and %d bytes per worker", c.name, took, messages, bytes)
		if took > c.maxTime {
			t.Errorf("%s: batch took %v, want at most %v", c.name, took, c.maxTime)
		}
	}
}

// Long tasks cause little more traffic per worker than its periodic messages.
func TestLongBatchCost(t *testing.T) {
	s := newSpec(32, `{"run-ms":30000}`)
	s.Demand = resource.Vector{MilliCPU: 2000, MemoryMB: 1024}
	took, messages, bytes := runBatch(t, s)
	rate := float64(bytes) / took.Seconds()
	t.Logf("batch took %v, %d messages and %d bytes per worker, %.0f bytes/s", took, messages, bytes, rate)
	if maxRate := 14 << 10; rate > float64(maxRate) || took > 32*time.Second {
		t.Errorf("%.0f bytes/s, limit %d; batch took %v", rate, maxRate, took)
	}
}
