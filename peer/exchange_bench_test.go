package peer

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"persimmonworks.example/persimmonworks/wire"
)

// BenchmarkStatusExchange counts the bytes that a process with 17 racks and
// runners sends to its peers in a minute in which its free capacity changes all
// the time: as it is, and with full statuses to all at fixed intervals, each
// answered by one, as it was.
func BenchmarkStatusExchange(b *testing.B) {
	for _, c := range []struct{ near, far int }{{2, 5}, {7, 16}, {7, 64}} {
		b.Run(fmt.Sprintf("near-%d-far-%d", c.near, c.far), func(b *testing.B) {
			var sent, full int
			for b.Loop() {
				sent, full = 0, 0
				var pace Pace
				peers, s, start := peersOf(c.near, c.far), sampleStatus(17), time.Now()
				for tick := range int(time.Minute / StatusInterval) {
					s.Sequence++
					s.Shards[0].Free = &wire.Vector{MilliCpu: int64(tick)}
					near, far := pace.Due(s, peers, start.Add(time.Duration(tick)*StatusInterval))
					if near {
						sent += c.near * (proto.Size(s) + Packet)
					}
					if far {
						sent += c.far * (proto.Size(ForFar(s)) + Packet)
					}
					full += 2 * c.near * (proto.Size(s) + Packet)
					if tick%int(FarInterval/StatusInterval) == 0 {
						full += 2 * c.far * (proto.Size(s) + Packet)
					}
				}
			}
			b.ReportMetric(float64(sent)/60, "B/s")
			b.ReportMetric(float64(full)/60, "as-it-was-B/s")
		})
	}
}
