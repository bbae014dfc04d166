package resource

import (
	"testing"

	"pgregory.net/rapid"
)

func drawVector(t *rapid.T, name string) Vector {
	amount := rapid.Int64Range(0, 1<<40)
	return Vector{amount.Draw(t, name+"-cpu"), amount.Draw(t, name+"-memory"), amount.Draw(t, name+"-accelerators")}
}

// Add and Sub are inverse, a vector covers another exactly if the difference has no
// negative amount, and the dominant share of a covered vector is at most 1.
func TestVectorArithmetic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v, w := drawVector(t, "v"), drawVector(t, "w")
		if got := v.Add(w).Sub(w); got != v {
			t.Fatalf("%v + %v - %v = %v", v, w, w, got)
		}
		if v.Covers(w) == v.Sub(w).Negative() {
			t.Fatalf("%v covers %v: %v, but the difference is %v", v, w, v.Covers(w), v.Sub(w))
		}
		if v.Covers(w) && w.DominantShare(v) > 1 {
			t.Fatalf("%v is covered by %v, but its dominant share is %v", w, v, w.DominantShare(v))
		}
	})
}
