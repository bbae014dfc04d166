package ownership

import (
	"fmt"
	"testing"
	"time"

	"persimmonworks.example/persimmonworks/provider"
)

// BenchmarkObserve measures the reads and decoding of one process in each
// renewal: the session rows of all processes of 9 data centres.
func BenchmarkObserve(b *testing.B) {
	for _, processes := range []int{9, 36, 72} {
		b.Run(fmt.Sprint("processes-", processes), func(b *testing.B) {
			table := newFakeTable()
			perDataCentre := processes / 9
			for i := range processes {
				row := sessionRow{
					Process: fmt.Sprintf("entry-%02d", i), Incarnation: 7, Nonce: 1 << 62, Sequence: 1 << 20, State: Live,
					DataCentre: fmt.Sprintf("dc%d", i/max(perDataCentre, 1)+1), RelayAddress: "10.1.2.3:7100", CallerAddress: "10.1.2.3:7080",
				}
				for w := range perDataCentre - 1 {
					row.Witnesses = append(row.Witnesses, fmt.Sprintf("entry-%02d@7", w))
				}
				table.rows[sessionPrefix+row.Process] = provider.Row{Key: sessionPrefix + row.Process, Value: encode(&row), Version: uint64(i + 1)}
			}
			s := &Session{Table: table, Process: "entry-00", DataCentre: "dc1"}
			s.init()
			size := 0
			for b.Loop() {
				rows, err := readAll(b.Context(), table, sessionPrefix, time.Second)
				if err != nil {
					b.Fatal(err)
				}
				clear(s.members)
				if err := s.updateMembers(rows, time.Now()); err != nil {
					b.Fatal(err)
				}
				size = jsonSize(rows)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}

// BenchmarkShardRound measures the reads, decoding and planning of one process
// in each round in which nothing changes: the shard rows of its data centre.
func BenchmarkShardRound(b *testing.B) {
	for _, shards := range []int{26, 77, 146} {
		b.Run(fmt.Sprint("shards-", shards), func(b *testing.B) {
			table := newFakeTable()
			var known []string
			for i := range shards {
				name := fmt.Sprintf("rack-dc1-r%03d", i)
				known = append(known, name)
				row := shardRow{Session: fmt.Sprintf("entry-%02d@7", i%8), Epoch: 12}
				key := shardPrefix("dc1") + name
				table.rows[key] = provider.Row{Key: key, Value: encode(&row), Version: uint64(i + 1)}
			}
			s := &Session{Table: table, Process: "entry-00", DataCentre: "dc1"}
			h := &Shards{Session: s, ListShards: func() []string { return known }}
			h.init()
			for b.Loop() {
				if err := h.readRows(b.Context()); err != nil {
					b.Fatal(err)
				}
				h.plan("entry-00@7", time.Now())
			}
			rows, err := readAll(b.Context(), table, shardPrefix("dc1"), time.Second)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(jsonSize(rows)), "bytes")
		})
	}
}

// jsonSize returns the size of rows in the JSON encoding that the platform's
// client reads.
func jsonSize(rows []provider.Row) int {
	n := 0
	for _, r := range rows {
		n += len(encode(&r)) + 1
	}
	return n
}
