package peer

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"persimmonworks.example/persimmonworks/wire"
)

// BenchmarkStatusExchange reports the bytes per second that a process with 17
// racks and runners sends to its peers while its free capacity changes all the
// time. For comparison, as-it-was-B/s is the rate of the earlier protocol: full
// statuses to all peers at fixed intervals, each answered by a status.
func BenchmarkStatusExchange(b *testing.B) {
	for _, c := range []struct{ local, remote int }{{2, 5}, {7, 16}, {7, 64}} {
		b.Run(fmt.Sprintf("near-%d-far-%d", c.local, c.remote), func(b *testing.B) {
			var sent, fixedInterval int
			for b.Loop() {
				sent, fixedInterval = 0, 0
				var pace Pacer
				peers, s, start := makePeers(c.local, c.remote), sampleStatus(17), time.Now()
				for tick := range int(time.Minute / StatusInterval) {
					s.Sequence++
					s.Shards[0].Free = &wire.Vector{MilliCpu: int64(tick)}
					local, remote := pace.Due(s, peers, start.Add(time.Duration(tick)*StatusInterval))
					if local {
						sent += c.local * (proto.Size(s) + callOverhead)
					}
					if remote {
						sent += c.remote * (proto.Size(ForOtherDataCentres(s)) + callOverhead)
					}
					fixedInterval += 2 * c.local * (proto.Size(s) + callOverhead)
					if tick%int(RemoteInterval/StatusInterval) == 0 {
						fixedInterval += 2 * c.remote * (proto.Size(s) + callOverhead)
					}
				}
			}
			b.ReportMetric(float64(sent)/60, "B/s")
			b.ReportMetric(float64(fixedInterval)/60, "as-it-was-B/s")
		})
	}
}
