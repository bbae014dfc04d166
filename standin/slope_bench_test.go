package standin

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"golang.org/x/sync/errgroup"

	"persimmonworks.example/persimmonworks/provider"
	"persimmonworks.example/persimmonworks/resource"
)

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkReadHosts reads the list of hosts again and again, as an entry
// process does: bytes on the wire and time of a read, the platform's share
// included.
func BenchmarkReadHosts(b *testing.B) {
	for _, racks := range []int{14, 138, 1240} {
		b.Run(fmt.Sprint("racks-", racks), func(b *testing.B) {
			p := &Platform{Listen: "127.0.0.1:0", Role: Service, Layout: Layout{
				DataCentres: 1, Racks: racks, Workers: 8, Runners: 1, Slots: 8, Service: "jobs",
				Capacity: resource.Vector{MilliCPU: 16000, MemoryMB: 32768},
			}}
			ctx, stop := context.WithCancel(b.Context())
			var group errgroup.Group
			defer func() { stop(); _ = group.Wait() }()
			group.Go(func() error { return p.Run(ctx) })
			var bytes atomic.Int64
			dial := func(ctx context.Context, network, address string) (net.Conn, error) {
				c, err := (&net.Dialer{}).DialContext(ctx, network, address)
				return &countingConn{c, &bytes}, err
			}
			transport := &http.Transport{DialContext: dial}
			defer transport.CloseIdleConnections()
			c := provider.Client{Address: p.Address(), Name: "e1", HTTP: &http.Client{Transport: transport}}
			if _, err := c.Hosts(ctx); err != nil {
				b.Fatal(err)
			}
			bytes.Store(0)
			n := 0
			for b.Loop() {
				if _, err := c.Hosts(ctx); err != nil {
					b.Fatal(err)
				}
				n++
			}
			b.ReportMetric(float64(bytes.Load())/float64(n), "bytes")
		})
	}
}
