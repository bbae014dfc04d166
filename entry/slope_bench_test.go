package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/keys"
	"persimmonworks.example/persimmonworks/provider"
	"persimmonworks.example/persimmonworks/rack"
	"persimmonworks.example/persimmonworks/resource"
	"persimmonworks.example/persimmonworks/settings"
	"persimmonworks.example/persimmonworks/standin"
	"persimmonworks.example/persimmonworks/wire"
	"persimmonworks.example/persimmonworks/worker"
)

// layoutOf returns a layout in which every rack has 8 workers and one runner.
func layoutOf(dataCentres, racks int) standin.Layout {
	return standin.Layout{
		DataCentres: dataCentres, Racks: racks, Workers: 8, Runners: 1, Service: "jobs", Slots: 8,
		Capacity: resource.Vector{MilliCPU: 16 * resource.MilliPerCore, MemoryMB: 32 << 10},
	}
}

// newComposedProcess returns a process of dc1 with a valid session that owns the first racks
// of the layout. Its control loop does not run; the benchmark calls the loop's
// functions directly.
func newComposedProcess(tb testing.TB, layout standin.Layout, owned int) *Process {
	tb.Helper()
	s, err := settings.Parse("bench", []byte("[process]\nname = e1\ndata-centre = dc1\ncaller-address = 127.0.0.1:1\nrelay-address = 127.0.0.1:2\n"+
		"[platform]\naddress = http://127.0.0.1:1\n[keys]\nauthority = none\ncertificate = none\nprivate-key = none\n"))
	if err != nil {
		tb.Fatal(err)
	}
	s.Process.CallerAddress, s.Process.RelayAddress = netip.MustParseAddrPort("127.0.0.1:0"), netip.MustParseAddrPort("127.0.0.1:0")
	testKeys, err := keys.NewTestCA([]string{"e1"}, []net.IP{net.IPv4(127, 0, 0, 1)})
	if err != nil {
		tb.Fatal(err)
	}
	table := &standin.Table{}
	p := &Process{Settings: s, Keys: testKeys.Store("e1"), Table: table, Log: &event.Log{Writer: io.Discard, Level: event.LevelByName("error")}}
	if err := p.Prepare(); err != nil {
		tb.Fatal(err)
	}
	if err := p.compose(); err != nil {
		tb.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return p.session.Run(ctx) })
	tb.Cleanup(func() { stop(); _ = group.Wait(); _ = p.listener.Close() })
	for !p.session.Valid(time.Now()) {
		time.Sleep(time.Millisecond)
	}
	p.hosts.Store(p.viewOf(layout.Hosts("http://127.0.0.1:1")))
	for i := range owned {
		p.racks.Add(&rack.Rack{Name: fmt.Sprintf("rack-dc1-r%d", i+1), Epoch: 3, Lease: 10 * time.Second, MaxTransit: maxTransit})
	}
	p.applyHosts()
	for r := range p.racks.All { // every worker accepts the epoch
		for _, id := range r.Workers() {
			if m, ok := r.NextSync(id, time.Now()); ok {
				_, _ = r.HandleReport(id, m, worker.Report{}, nil, time.Now())
			}
		}
	}
	return p
}

// BenchmarkStatus builds the status that a process sends to its peers. Of 138 racks
// a process owns 17 if there are 8 processes, 69 if there are 2, and all if it is
// the only one.
func BenchmarkStatus(b *testing.B) {
	for _, owned := range []int{1, 17, 69, 138} {
		b.Run(fmt.Sprint("racks-", owned), func(b *testing.B) {
			p := newComposedProcess(b, layoutOf(1, 138), owned)
			var s *wire.Status
			b.ReportAllocs()
			for b.Loop() {
				s = p.status()
			}
			b.ReportMetric(float64(proto.Size(s)), "bytes")
		})
	}
}

// BenchmarkOwners looks up the owners of all racks, which are divided among 7 peers
// of the data centre.
func BenchmarkOwners(b *testing.B) {
	for _, racks := range []int{18, 69, 138} {
		b.Run(fmt.Sprint("racks-", racks), func(b *testing.B) {
			p := newComposedProcess(b, layoutOf(1, racks), 0)
			for i := range 7 {
				s := &wire.Status{Process: fmt.Sprint("e", i+2), DataCentre: "dc1", Sequence: 1}
				for r := i; r < racks; r += 7 {
					s.Shards = append(s.Shards, &wire.ShardStatus{Shard: fmt.Sprintf("rack-dc1-r%d", r+1), Epoch: 2, Capacity: &wire.Vector{MilliCpu: 1}})
				}
				p.peers.Update(s, time.Now().Add(time.Hour))
			}
			b.ReportAllocs()
			for b.Loop() {
				(&rackOwners{p: p}).owners()
			}
		})
	}
}

// BenchmarkHosts measures the size of the platform's list of hosts, the time to
// decode it, and the time that it takes to apply it on the control loop.
func BenchmarkHosts(b *testing.B) {
	for _, racks := range []int{14, 138, 1240} {
		layout := layoutOf(1, racks)
		if racks == 1240 {
			layout = layoutOf(9, 138)
		}
		b.Run(fmt.Sprint("racks-", racks), func(b *testing.B) {
			p := newComposedProcess(b, layout, 17)
			body, err := json.Marshal(layout.Hosts("http://127.0.0.1:1"))
			if err != nil {
				b.Fatal(err)
			}
			var decode, apply time.Duration
			n := 0
			for b.Loop() {
				begin := time.Now()
				var hosts []provider.Host
				if err := json.Unmarshal(body, &hosts); err != nil {
					b.Fatal(err)
				}
				p.hosts.Store(p.viewOf(hosts))
				middle := time.Now()
				p.applyHosts()
				decode, apply, n = decode+middle.Sub(begin), apply+time.Since(middle), n+1
			}
			b.ReportMetric(float64(len(body)), "bytes")
			b.ReportMetric(float64(decode.Microseconds())/float64(n), "decode-us")
			b.ReportMetric(float64(apply.Microseconds())/float64(n), "loop-us")
		})
	}
}

// BenchmarkLearn applies a peer's status that names one leaving host, as nearly all
// statuses do when 1,900 hosts are restarted per day.
func BenchmarkLearn(b *testing.B) {
	for _, racks := range []int{14, 138, 1240} {
		b.Run(fmt.Sprint("racks-", racks), func(b *testing.B) {
			layout := layoutOf(1, racks)
			if racks == 1240 {
				layout = layoutOf(9, 138)
			}
			p := newComposedProcess(b, layout, 14)
			s := p.status()
			s.Process, s.Incarnation = "e2", 1
			s.DataCentre, s.LeavingHosts = "dc1", []string{"w-dc1-r1-01"}
			for b.Loop() {
				s.Sequence++
				p.applyStatus(s, time.Now())
			}
		})
	}
}
