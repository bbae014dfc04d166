package dispatch

import (
	"fmt"
	"testing"
	"time"

	"persimmonworks.example/persimmonworks/job"
)

// commits simulates a process whose job shards get transitions in turn, and
// returns its commits a second and the mean time until a transition is durable.
func commits(rate float64, shards int, transitions float64, length time.Duration) (perSecond float64, delay time.Duration) {
	start := time.Unix(0, 0)
	var pace commitPace
	pending, next := make([][]time.Time, shards), make([]time.Time, shards)
	made, count := 0, 0
	arrived := 0
	var waited time.Duration
	for at := time.Duration(0); at < length; at += tickInterval {
		now := start.Add(at)
		for float64(arrived) < transitions*at.Seconds() {
			pending[arrived%shards] = append(pending[arrived%shards], now)
			arrived++
		}
		for k := range shards {
			i := (k + made) % shards // the desk's shards come in no particular order
			if len(pending[i]) == 0 || now.Before(next[i]) || !pace.take(rate, false, now) {
				continue
			}
			made++
			next[i] = now.Add(commitInterval)
			for _, t := range pending[i] {
				waited, count = waited+now.Sub(t), count+1
			}
			pending[i] = nil
		}
	}
	return float64(made) / length.Seconds(), waited / time.Duration(max(count, 1))
}

func TestCommitPace(t *testing.T) {
	for _, shards := range []int{1, 2, 8} {
		per, delay := commits(2, shards, 13.5, 5*time.Minute)
		if per > 2.1 || delay > time.Duration(shards)*time.Second {
			t.Errorf("%d shards: %.2f commits a second, delay %v", shards, per, delay)
		}
		if free, _ := commits(unboundedRate, shards, 13.5, time.Minute); free < 9 {
			t.Errorf("%d shards: %.2f commits a second without a bound", shards, free)
		}
	}
	now := time.Unix(0, 0)
	var c commitPace
	for i := range commitBurst {
		if !c.take(1, false, now) {
			t.Fatalf("commit %d of the burst was held back", i)
		}
	}
	if c.take(1, false, now) {
		t.Error("a commit went beyond the burst")
	}
	for range 3 * commitBurst {
		if !c.take(1, true, now) {
			t.Error("a commit that a caller waits for was held back")
		}
	}
	if now = now.Add((commitBurst + 2) * time.Second); !c.take(1, false, now) {
		t.Error("commits that callers waited for hold the others back for ever")
	}
}

func TestAwaited(t *testing.T) {
	for kind, want := range map[job.EntryKind]bool{job.EntryEnd: false, job.EntryForget: false, job.EntryRetry: true, job.EntryIntent: true} {
		s := &shard{pending: []pendingEntry{{entry: job.Entry{Kind: job.EntryEnd}}, {entry: job.Entry{Kind: kind}}}}
		if s.awaited() != want {
			t.Errorf("%s: awaited %v", kind, !want)
		}
	}
	if s := (&shard{pending: []pendingEntry{{done: make(chan Outcome, 1)}}}); !s.awaited() {
		t.Error("a submission is not awaited")
	}
}

// BenchmarkCommitPace gives the commits a second and the delay of a process
// that gets 13.5 transitions a second (970 over 72 processes), without a bound
// and with its share of 150 commits a second.
func BenchmarkCommitPace(b *testing.B) {
	for _, rate := range []float64{unboundedRate, 150.0 / 8, 150.0 / 24, 150.0 / 72} {
		for _, shards := range []int{1, 2, 8} {
			b.Run(fmt.Sprintf("rate-%.1f-shards-%d", rate, shards), func(b *testing.B) {
				var per float64
				var delay time.Duration
				for b.Loop() {
					per, delay = commits(rate, shards, 13.5, 5*time.Minute)
				}
				b.ReportMetric(per, "commits/s")
				b.ReportMetric(float64(delay.Milliseconds()), "delay-ms")
			})
		}
	}
}
