// Package resource defines amounts of the resources that a worker offers and
// a task demands.
//
// A Vector is a plain value: it is copied freely and compared with ==. All
// amounts are integers so that sums over many tasks stay exact; a processor
// is counted in thousandths of a core.
//
// Usage:
//
//	free := capacity.Sub(demand)
//	if !free.Covers(next) { ... }
package resource

import "fmt"

// MilliPerCore is the number of MilliCPU units in one processor core.
const MilliPerCore = 1000

// Vector is an amount of each resource. The zero value is nothing at all.
type Vector struct {
	MilliCPU     int64 `json:"milli-cpu"`
	MemoryMB     int64 `json:"memory-mb"`
	Accelerators int64 `json:"accelerators,omitempty"`
}

// Add returns the sum of both amounts.
func (v Vector) Add(w Vector) Vector {
	return Vector{v.MilliCPU + w.MilliCPU, v.MemoryMB + w.MemoryMB, v.Accelerators + w.Accelerators}
}

// Sub returns what is left of v without w; entries may become negative.
func (v Vector) Sub(w Vector) Vector {
	return Vector{v.MilliCPU - w.MilliCPU, v.MemoryMB - w.MemoryMB, v.Accelerators - w.Accelerators}
}

// Scale returns v taken n times.
func (v Vector) Scale(n int64) Vector {
	return Vector{v.MilliCPU * n, v.MemoryMB * n, v.Accelerators * n}
}

// Covers reports whether w fits into v in every resource.
func (v Vector) Covers(w Vector) bool {
	return v.MilliCPU >= w.MilliCPU && v.MemoryMB >= w.MemoryMB && v.Accelerators >= w.Accelerators
}

// Max returns the larger amount of each resource.
func (v Vector) Max(w Vector) Vector {
	return Vector{max(v.MilliCPU, w.MilliCPU), max(v.MemoryMB, w.MemoryMB), max(v.Accelerators, w.Accelerators)}
}

// IsZero reports whether v is nothing at all.
func (v Vector) IsZero() bool { return v == Vector{} }

// Negative reports whether any entry is below zero.
func (v Vector) Negative() bool {
	return v.MilliCPU < 0 || v.MemoryMB < 0 || v.Accelerators < 0
}

// DominantShare returns the largest fraction that v takes of any resource of
// the pool, 0 to 1 for an amount within the pool. Resources that the pool
// does not have count only when v demands them, as a full share.
func (v Vector) DominantShare(pool Vector) float64 {
	return max(fraction(v.MilliCPU, pool.MilliCPU), fraction(v.MemoryMB, pool.MemoryMB), fraction(v.Accelerators, pool.Accelerators))
}

func fraction(part, whole int64) float64 {
	if part <= 0 {
		return 0
	}
	if whole <= 0 {
		return 1
	}
	return float64(part) / float64(whole)
}

// String returns v in the form "1500m 2048MB 1acc".
func (v Vector) String() string {
	if v.Accelerators == 0 {
		return fmt.Sprintf("%dm %dMB", v.MilliCPU, v.MemoryMB)
	}
	return fmt.Sprintf("%dm %dMB %dacc", v.MilliCPU, v.MemoryMB, v.Accelerators)
}
