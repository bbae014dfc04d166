package chain

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"persimmonworks.example/persimmonworks/pool"
	"persimmonworks.example/persimmonworks/standin"
)

// organisations returns a configuration with n organisations.
func organisations(n int) pool.Configuration {
	c := pool.Configuration{Services: []pool.Service{{Name: "jobs", RetryPercent: 10}}}
	for i := range n {
		c.Organisations = append(c.Organisations, pool.Organisation{
			Name: fmt.Sprintf("team-%03d", i), Weight: 1 + i%5,
			TokenHashes: []string{fmt.Sprintf("%064x", i)},
		})
	}
	return c
}

// BenchmarkConfiguration measures encoding, decoding and checking one entry.
// Every process decodes and checks each published entry.
func BenchmarkConfiguration(b *testing.B) {
	for _, n := range []int{10, 100, 320} {
		b.Run(fmt.Sprint("teams-", n), func(b *testing.B) {
			c := organisations(n)
			size := 0
			for b.Loop() {
				body, err := json.Marshal(Entry{Number: 1, Configuration: c})
				if err != nil {
					b.Fatal(err)
				}
				var e Entry
				if err := json.Unmarshal(body, &e); err != nil {
					b.Fatal(err)
				}
				pool.Check(&e.Configuration)
				size = len(body)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}

// BenchmarkForce measures the time from publishing a configuration of 320
// organisations until all followers have applied it, each by polling the table.
func BenchmarkForce(b *testing.B) {
	for _, processes := range []int{8, 24, 72} {
		b.Run(fmt.Sprint("processes-", processes), func(b *testing.B) {
			table := &standin.Table{}
			publisher := Publisher{Table: table}
			ctx, stop := context.WithCancel(b.Context())
			var group errgroup.Group
			defer func() { stop(); _ = group.Wait() }()
			followers := make([]*Follower, processes)
			for i := range followers {
				f := &Follower{Reader: table}
				followers[i] = f
				group.Go(func() error { return f.Run(ctx) })
			}
			number := uint64(0)
			var sum time.Duration
			n := 0
			for b.Loop() {
				begin := time.Now()
				next, err := publisher.Publish(ctx, number, organisations(320), "bench", "next")
				if err != nil {
					b.Fatal(err)
				}
				number = next
				for _, f := range followers {
					for f.Number() < number {
						time.Sleep(time.Millisecond)
					}
				}
				sum, n = sum+time.Since(begin), n+1
			}
			b.ReportMetric(sum.Seconds()/float64(n), "force-s")
		})
	}
}
