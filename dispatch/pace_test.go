package dispatch

import (
	"fmt"
	"testing"
	"time"

	"persimmonworks.example/persimmonworks/job"
)

// simulateCommits simulates a process whose job shards receive state transitions
// in turn. It returns the commits per second and the mean time until a transition
// is durable.
func simulateCommits(rate float64, shards int, transitions float64, length time.Duration) (perSecond float64, delay time.Duration) {
	start := time.Unix(0, 0)
	var limiter rateLimiter
	pending, nextCommit := make([][]time.Time, shards), make([]time.Time, shards)
	committed, durable := 0, 0
	arrived := 0
	var totalDelay time.Duration
	for at := time.Duration(0); at < length; at += tickInterval {
		now := start.Add(at)
		for float64(arrived) < transitions*at.Seconds() {
			pending[arrived%shards] = append(pending[arrived%shards], now)
			arrived++
		}
		for k := range shards {
			i := (k + committed) % shards // tick visits the shards in map order, which is random
			if len(pending[i]) == 0 || now.Before(nextCommit[i]) || !limiter.allow(rate, false, now) {
				continue
			}
			committed++
			nextCommit[i] = now.Add(commitInterval)
			for _, t := range pending[i] {
				totalDelay, durable = totalDelay+now.Sub(t), durable+1
			}
			pending[i] = nil
		}
	}
	return float64(committed) / length.Seconds(), totalDelay / time.Duration(max(durable, 1))
}

func TestCommitPace(t *testing.T) {
	for _, shards := range []int{1, 2, 8} {
		perSecond, delay := simulateCommits(2, shards, 13.5, 5*time.Minute)
		if perSecond > 2.1 || delay > time.Duration(shards)*time.Second {
			t.Errorf("%d shards: %.2f commits per second, mean delay %v", shards, perSecond, delay)
		}
		if unlimited, _ := simulateCommits(unlimitedRate, shards, 13.5, time.Minute); unlimited < 9 {
			t.Errorf("%d shards: %.2f commits per second without a limit", shards, unlimited)
		}
	}
	now := time.Unix(0, 0)
	var limiter rateLimiter
	for i := range commitBurst {
		if !limiter.allow(1, false, now) {
			t.Fatalf("commit %d of the burst was not allowed", i)
		}
	}
	if limiter.allow(1, false, now) {
		t.Error("a commit beyond the burst was allowed")
	}
	for range 3 * commitBurst {
		if !limiter.allow(1, true, now) {
			t.Error("an awaited commit was not allowed")
		}
	}
	if now = now.Add((commitBurst + 2) * time.Second); !limiter.allow(1, false, now) {
		t.Error("awaited commits overdraw the bucket without bound")
	}
}

func TestAwaited(t *testing.T) {
	for kind, want := range map[job.EntryKind]bool{job.EntryEnd: false, job.EntryForget: false, job.EntryRetry: true, job.EntryIntent: true} {
		s := &shard{pending: []pendingEntry{{entry: job.Entry{Kind: job.EntryEnd}}, {entry: job.Entry{Kind: kind}}}}
		if s.hasAwaitedEntry() != want {
			t.Errorf("%s: hasAwaitedEntry %v", kind, !want)
		}
	}
	if s := (&shard{pending: []pendingEntry{{reply: make(chan Outcome, 1)}}}); !s.hasAwaitedEntry() {
		t.Error("hasAwaitedEntry is false for a submission")
	}
}

// BenchmarkCommitPace reports the commits per second and the mean delay of a
// process that receives 13.5 transitions per second (970 over 72 processes):
// without a limit, and with its share of 150 commits per second among 8, 24 or 72
// processes.
func BenchmarkCommitPace(b *testing.B) {
	for _, rate := range []float64{unlimitedRate, 150.0 / 8, 150.0 / 24, 150.0 / 72} {
		for _, shards := range []int{1, 2, 8} {
			b.Run(fmt.Sprintf("rate-%.1f-shards-%d", rate, shards), func(b *testing.B) {
				var perSecond float64
				var delay time.Duration
				for b.Loop() {
					perSecond, delay = simulateCommits(rate, shards, 13.5, 5*time.Minute)
				}
				b.ReportMetric(perSecond, "commits/s")
				b.ReportMetric(float64(delay.Milliseconds()), "delay-ms")
			})
		}
	}
}
