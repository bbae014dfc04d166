package fairness

import (
	"cmp"
	"slices"
)

// Claim is what one organisation has of the pool and wants of it, as dominant shares.
type Claim struct {
	Weight float64 // above 0
	Wanted float64 // what it has and what its waiting tasks would take besides
}

// PerWeight divides a part of the pool among organisations by weighted max-min fairness:
// who wants less than its share gets what it wants, and the others divide the rest by
// weight. It returns the share that goes to each unit of weight. It reports false if there
// is enough for all that is wanted; then nobody's share is limited.
func PerWeight(claims []Claim, pool float64) (perWeight float64, scarce bool) {
	wanted, weight := 0.0, 0.0
	for _, c := range claims {
		wanted += c.Wanted
		weight += c.Weight
	}
	if wanted <= pool || weight <= 0 {
		return 0, false
	}
	claims = slices.Clone(claims)
	slices.SortFunc(claims, func(a, b Claim) int { return cmp.Compare(a.Wanted*b.Weight, b.Wanted*a.Weight) })
	for _, c := range claims {
		if c.Wanted*weight > pool*c.Weight {
			break // nor does any that follows get all that it wants
		}
		pool -= c.Wanted
		weight -= c.Weight
	}
	return pool / weight, true
}
