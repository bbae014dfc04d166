package load_test

import (
	"net/netip"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"persimmonworks.example/persimmonworks/load"
	"persimmonworks.example/persimmonworks/standin"
)

var netAddress = netip.MustParseAddrPort("127.0.0.1:0")

// pathRate returns the rate of BenchmarkPath in requests a second, 2,000
// unless PATH_RATE says otherwise.
func pathRate(b *testing.B) float64 {
	text := os.Getenv("PATH_RATE")
	if text == "" {
		return 2000
	}
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil {
		b.Fatalf("PATH_RATE: %v", err)
	}
	return rate
}

// BenchmarkPath measures the cost of the path: one rack of 50 runners with 8
// slots, requests of 5 ms, sent to the runners themselves, through the entry
// process that owns the rack, and through one that forwards all to it. Each
// iteration sends 2 s of each at one rate, and the figures are the medians over
// the iterations. Run it with -benchtime 7x.
func BenchmarkPath(b *testing.B) {
	bed := newBed(b, standin.Layout{DataCentres: 1, Racks: 1, Runners: 50, Service: "jobs", Slots: 8}, 2)
	owner := bed.owner(b, "dc1", "rack-dc1-r1")
	other := "e1"
	if owner == other {
		other = "e2"
	}
	var direct []string
	hosts, err := bed.table.Hosts(b.Context())
	if err != nil {
		b.Fatal(err)
	}
	for _, h := range hosts {
		direct = append(direct, h.Address+"/match")
	}
	const path = "/v1/services/jobs/match"
	ways := []struct {
		name    string
		targets []string
	}{{"direct", direct}, {"entry", []string{bed.address(owner) + path}}, {"forward", []string{bed.address(other) + path}}}
	rate := pathRate(b)
	run := func(targets []string, length time.Duration, seed uint64) *load.Report {
		r := load.Requests{
			Targets: targets, Rate: rate, Length: length, Work: 5 * time.Millisecond, Seed: seed,
			Organisations: []load.Organisation{{Name: "workshop", Token: bed.token}}, Timeout: 5 * time.Second,
		}
		report, err := r.Run(b.Context())
		if err != nil {
			b.Fatal(err)
		}
		return report
	}
	for _, w := range ways { // opens the connections
		run(w.targets, time.Second, 99)
	}
	medians, tails, bad := map[string][]time.Duration{}, map[string][]time.Duration{}, map[string]int{}
	for i := 0; b.Loop(); i++ {
		for _, w := range ways {
			report := run(w.targets, 2*time.Second, uint64(i))
			medians[w.name] = append(medians[w.name], report.Latency(0.5))
			tails[w.name] = append(tails[w.name], report.Latency(0.99))
			bad[w.name] += report.Total() - report.Count(load.OK)
		}
	}
	for _, w := range ways {
		b.ReportMetric(middle(medians[w.name]), w.name+"-p50-ms")
		b.ReportMetric(middle(tails[w.name]), w.name+"-p99-ms")
		b.ReportMetric(float64(bad[w.name]), w.name+"-bad")
	}
	if now := bed.owner(b, "dc1", "rack-dc1-r1"); now != owner {
		b.Fatalf("the rack went from %s to %s, so the ways were not what their names say", owner, now)
	}
}

// middle returns the median of the iterations in milliseconds, so that one
// iteration in which the machine was busy with something else does not decide.
func middle(all []time.Duration) float64 {
	slices.Sort(all)
	return float64(all[len(all)/2].Microseconds()) / 1000
}
