package ownership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// rank sorts the processes by rendezvous hashing, the preferred owner of the
// shard first. Adding or removing a process changes the preferred owner only of
// the shards that this process gains or had.
func rank(shard string, processes []string) []string {
	ps := slices.Clone(processes)
	slices.SortFunc(ps, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(b, shard), weight(a, shard)), cmp.Compare(a, b))
	})
	return ps
}

// weight returns the hash of a process and a shard by which rank sorts.
func weight(process, shard string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(process)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(shard)
	return d.Sum64()
}
