package resource

import (
	"testing"

	"pgregory.net/rapid"
)

func drawVector(t *rapid.T, name string) Vector {
	amount := rapid.Int64Range(0, 1<<40)
	return Vector{amount.Draw(t, name+"-cpu"), amount.Draw(t, name+"-memory"), amount.Draw(t, name+"-accelerators")}
}

// What is taken off and put back is unchanged, and a vector covers exactly
// what leaves nothing negative.
func TestVectorArithmetic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v, w := drawVector(t, "v"), drawVector(t, "w")
		if got := v.Add(w).Sub(w); got != v {
			t.Fatalf("%v + %v - %v = %v", v, w, w, got)
		}
		if v.Covers(w) == v.Sub(w).Negative() {
			t.Fatalf("%v covers %v: %v, but the rest is %v", v, w, v.Covers(w), v.Sub(w))
		}
		if v.Covers(w) && w.DominantShare(v) > 1 {
			t.Fatalf("%v fits into %v, yet its share is %v", w, v, w.DominantShare(v))
		}
	})
}
