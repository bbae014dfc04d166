package ownership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// rank orders the processes by preference for the shard, best first. Adding or
// removing a process moves only the shards that it gains or had.
func rank(shard string, processes []string) []string {
	ps := slices.Clone(processes)
	slices.SortFunc(ps, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(b, shard), weight(a, shard)), cmp.Compare(a, b))
	})
	return ps
}

func weight(process, shard string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(process)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(shard)
	return d.Sum64()
}
