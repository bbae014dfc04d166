// Package resource defines the resource amounts that workers offer and tasks demand.
//
// A Vector is a value type: it may be copied and compared with ==. All amounts are
// integers, so that sums over many tasks are exact. CPU is measured in thousandths
// of a core.
//
// Usage:
//
//	free := capacity.Sub(demand)
//	if !free.Covers(next) { ... }
package resource

import "fmt"

// MilliPerCore is the number of MilliCPU units per processor core.
const MilliPerCore = 1000

// Vector holds an amount of each resource. In the zero value all amounts are zero.
type Vector struct {
	MilliCPU     int64 `json:"milli-cpu"`
	MemoryMB     int64 `json:"memory-mb"`
	Accelerators int64 `json:"accelerators,omitempty"`
}

// Add returns v + w, resource by resource.
func (v Vector) Add(w Vector) Vector {
	return Vector{v.MilliCPU + w.MilliCPU, v.MemoryMB + w.MemoryMB, v.Accelerators + w.Accelerators}
}

// Sub returns v - w, resource by resource. Amounts in the result may be negative.
func (v Vector) Sub(w Vector) Vector {
	return Vector{v.MilliCPU - w.MilliCPU, v.MemoryMB - w.MemoryMB, v.Accelerators - w.Accelerators}
}

// Scale returns v with each amount multiplied by n.
func (v Vector) Scale(n int64) Vector {
	return Vector{v.MilliCPU * n, v.MemoryMB * n, v.Accelerators * n}
}

// Covers reports whether v is at least w in every resource.
func (v Vector) Covers(w Vector) bool {
	return v.MilliCPU >= w.MilliCPU && v.MemoryMB >= w.MemoryMB && v.Accelerators >= w.Accelerators
}

// Max returns the larger amount of each resource.
func (v Vector) Max(w Vector) Vector {
	return Vector{max(v.MilliCPU, w.MilliCPU), max(v.MemoryMB, w.MemoryMB), max(v.Accelerators, w.Accelerators)}
}

// IsZero reports whether all amounts are zero.
func (v Vector) IsZero() bool { return v == Vector{} }

// Negative reports whether any amount is negative.
func (v Vector) Negative() bool {
	return v.MilliCPU < 0 || v.MemoryMB < 0 || v.Accelerators < 0
}

// DominantShare returns the largest fraction of the pool that v uses of any resource.
// It is at most 1 if the pool covers v. A resource that the pool lacks counts as a
// fraction of 1 if v demands it, and is otherwise ignored.
func (v Vector) DominantShare(pool Vector) float64 {
	return max(fraction(v.MilliCPU, pool.MilliCPU), fraction(v.MemoryMB, pool.MemoryMB), fraction(v.Accelerators, pool.Accelerators))
}

// fraction returns part / whole; 0 if part is not positive, and 1 if only whole is
// not.
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
